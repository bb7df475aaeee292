//! The guards of the protocol.

crate::guards! {
    /// A record is created only if no record with its number exists.
    conditional_create,
    /// An owner reads a record back after an indeterminate append.
    read_back,
    /// An owner whose append conflicts with another record stops and takes over again.
    stop_at_conflict,
    /// An owner stops when it reads the takeover record of the other one.
    stop_at_takeover,
    /// A new owner appends a takeover record before it answers requests.
    takeover_record,
    /// Only the owner with authority claims in memory and takes over.
    authority,
    /// Only first attempts are claimed in memory.
    first_attempts_only,
    /// An owner claims in memory only while it has no pending or indeterminate append.
    resolve_indeterminate,
    /// An owner claims in memory only after announcing this to a majority, so that the next owner
    /// does not run a resend of a key that is missing from the log.
    announce_memory,
    /// An entry instance starts a call only once, even if both owners granted it.
    start_once,
    /// An entry instance never starts a call that it has released.
    release_final,
}
