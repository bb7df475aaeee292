//! The guards of the protocol.

crate::guards! {
    /// A member supports one actor a duty at a time.
    one_actor,
    /// A member that has seen an epoch supports no actor of an earlier one.
    refuse_stale,
    /// Authority is counted from when the heartbeat was sent, not from when its answer came.
    lease_from_sent,
    /// Support outlasts authority by the margin for drift.
    vote_margin,
    /// A new actor waits until a majority of the epoch before has seen the epoch.
    await_majority,
    /// A new actor waits for a lease after that.
    await_lease,
    /// A new actor waits until the credits of earlier actors are known or have ended.
    await_credits,
    /// Every member of the epoch and of the one before has to report, not only those that remain.
    report_all,
    /// Reports count only if asked for after authority was acquired.
    fresh_reports,
    /// A member that reports abandons its requests to other actors.
    abandon_others,
    /// A member that reports abandons its requests to the same actor, which it may have sent before
    /// another one acted.
    abandon_own,
    /// Reports cover no member that left an epoch earlier: its credits have to end by time.
    await_departed,
    /// An actor grants to members of its epoch only.
    members_only,
    /// An actor that regains authority after a break takes over again.
    restart_takeover,
    /// The entry counts a credit's life from before it asked for it.
    expiry_from_request,
    /// The owner counts a credit as live until the time limit after its expiry.
    count_time_limit,
    /// The owner counts a credit as live for the margin after that.
    credit_margin,
    /// A handover counts only while the authority of the actor that gave it would have lasted.
    handover_in_time,
    /// A handover counts only if a majority of the epoch before has seen the epoch meanwhile.
    handover_majority,
    /// An actor that hands over stops.
    handover_stops,
    /// An actor hands over to an actor of the next epoch only after it has adopted that epoch.
    adopt_first,
    /// Relief does not cover heartbeats that were sent after it was given.
    release_sequence,
    /// The next roster is written only when the present one is settled.
    await_settled,
    /// The roster is written on condition that it has not changed.
    conditional_write,
    /// A roster is adopted only when it is known to be stored.
    adopt_stored,
    /// A roster of an earlier epoch is never adopted.
    adopt_newer,
}
