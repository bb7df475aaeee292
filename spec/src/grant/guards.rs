//! The guards of the protocol.

crate::guards! {
    /// A member supports only one actor at a time on each duty.
    one_actor,
    /// A member refuses to support actors of an epoch earlier than its own.
    refuse_stale,
    /// Authority is counted from when the heartbeat was sent, not from when its answer arrived.
    lease_from_sent,
    /// Support lasts longer than authority by the margin for clock drift.
    vote_margin,
    /// A new actor waits until a majority of the previous epoch has seen its epoch.
    await_majority,
    /// After that, a new actor waits for the lease and the margin.
    await_lease,
    /// A new actor waits until the credits of earlier actors are known or have ended.
    await_credits,
    /// Every member of the epoch and of the previous one has to report, not only the members that
    /// remain.
    report_all,
    /// Reports count only if requested after authority was acquired.
    fresh_reports,
    /// A member that reports abandons its requests for credits to other actors.
    abandon_others,
    /// A member that reports abandons its requests for credits to the same actor too, because it
    /// may have sent them before another actor acted.
    abandon_own,
    /// Reports do not cover members that left in an earlier epoch, so the actor waits until their
    /// credits have expired.
    await_departed,
    /// An actor grants credits only to members of its epoch.
    members_only,
    /// An actor that lost its authority takes over again when it regains it.
    restart_takeover,
    /// The entry instance counts the lifetime of a credit from before it sent the request.
    expiry_from_request,
    /// The owner counts a credit as live for the request time limit after its expiry.
    count_time_limit,
    /// The owner counts a credit as live for the drift margin after that.
    credit_margin,
    /// A handover is valid only until the authority of the releasing actor would have expired.
    handover_in_time,
    /// A handover counts only once a majority of the previous epoch has seen the epoch.
    handover_majority,
    /// An actor that hands over gives up its authority.
    handover_stops,
    /// An instance hands over to an actor of the next epoch only after it has adopted that epoch.
    adopt_first,
    /// A release does not cover heartbeats that were sent after it.
    release_sequence,
    /// The next roster is written only when the current one is settled.
    await_settled,
    /// A write of the roster succeeds only if the stored roster has not changed.
    conditional_write,
    /// A roster is adopted only when it is known to be stored.
    adopt_stored,
    /// A roster of an earlier epoch is never adopted.
    adopt_newer,
}
