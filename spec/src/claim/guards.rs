//! The guards of the protocol.

crate::guards! {
    /// A record is created only if no record with its number exists.
    conditional_create,
    /// An owner whose record was in doubt reads it back.
    read_back,
    /// An owner whose record met another one stops and takes over anew.
    stop_at_conflict,
    /// An owner that reads the takeover record of another one stops.
    stop_at_takeover,
    /// A new owner appends a takeover record before it answers.
    takeover_record,
    /// Only the owner that has authority claims in memory and takes over.
    authority,
    /// Only first attempts are claimed in memory.
    first_attempts_only,
    /// An owner claims in memory only while none of its records is in doubt.
    resolve_indeterminate,
    /// An owner claims in memory only once a majority knows it, so that the next owner runs no resend
    /// of a key that is not in the log.
    announce_memory,
    /// An entry starts a call once, although two owners cleared it.
    start_once,
    /// An entry that released a call never starts it.
    release_final,
}
