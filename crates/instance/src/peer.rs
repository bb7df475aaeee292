//! Answers the messages of other instances.

use std::sync::Arc;

use clock::Clock;
use platform::Store;
use wire::{Frame, Message, Reply};

use crate::link;
use crate::node::Node;
use crate::outcome::Outcome;
use crate::server::{Presence, Request, Response, Service};

const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const INTERNAL_ERROR: u16 = 500;

/// Answers the messages of other instances.
pub struct Handler<S, C>(pub Arc<Node<S, C>>)
where
    S: Store,
    C: Clock;

impl<S, C> Clone for Handler<S, C>
where
    S: Store,
    C: Clock,
{
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<S, C> Service for Handler<S, C>
where
    S: Store,
    C: Clock,
{
    async fn answer(&self, request: Request, presence: Presence) -> Response {
        if request.method != "POST" || request.path() != link::PATH {
            return Response::refusal(NOT_FOUND, Outcome::NotRun, "no such path");
        }
        let key = &self.0.settings.key;
        let message = match Frame::open_request(key, &request.body) {
            Ok(message) => message,
            Err(fault) => {
                self.0.telemetry.metrics.record_refused_frame(&fault);
                if let Some(suppressed) = self.0.alarms.frames.pass(self.0.now()) {
                    slog::warn!(self.0.log, "peer: rejected a frame"; "reason" => %fault,
                        "suppressed" => suppressed);
                }
                return Response::refusal(BAD_REQUEST, Outcome::NotRun, &fault.to_string());
            }
        };
        let gone = async {
            presence.disconnected().await;
            // The other instance has disconnected; nobody reads this reply. Dropping the future
            // withdraws what the message requested.
            Reply::Unexpected
        };
        let reply = smol::future::or(self.reply(message), gone).await;
        match Frame::reply(key, &reply) {
            Ok(frame) => Response::ok(frame.into_bytes()),
            Err(fault) => Response::refusal(INTERNAL_ERROR, Outcome::Unknown, &fault.to_string()),
        }
    }
}

impl<S, C> Handler<S, C>
where
    S: Store,
    C: Clock,
{
    async fn reply(&self, message: Message) -> Reply {
        let node = &self.0;
        let now = node.now();
        match message {
            Message::Acquire(ask) => match node.ask(&ask, now).await {
                Ok(grant) => Reply::Granted(grant),
                Err(refusal) => Reply::Refused(refusal),
            },
            Message::Release(returns) => {
                node.release_credits(&returns);
                Reply::Done
            }
            Message::Heartbeat(heartbeat) => Reply::Heartbeat(node.answer_heartbeat(&heartbeat)),
            Message::Roster(roster) => {
                node.adopt_roster(&roster);
                Reply::Done
            }
            Message::GetRoster => Reply::Roster(node.leases.lock().roster().clone()),
            Message::GetReport(epoch) => match node.report(epoch) {
                Some(report) => Reply::Report(report),
                None => Reply::Unexpected,
            },
            Message::Claim(claim) => Reply::Claimed(node.claim(&claim, now).await),
            Message::Settle(settlement) => match node.settle_claim(&settlement) {
                true => Reply::Done,
                false => Reply::Unexpected,
            },
            Message::Evidence { service, evidence } => {
                let knowledge = node.record_evidence(&service, &evidence);
                Reply::Rollouts(rmp_serde::to_vec_named(&knowledge).unwrap_or_default())
            }
            Message::Suspicions {
                service,
                suspicions,
            } => {
                node.merge_suspicions(&service, &suspicions);
                Reply::Done
            }
            Message::GetRollouts => Reply::Rollouts(node.encoded_statuses()),
            Message::GetBundle => Reply::Bundle(node.encoded_head()),
            Message::GetPart(digest) => Reply::Part(node.encoded_part(&digest)),
            Message::Reclaim { from, epoch } => node.hand_over(&from, epoch),
        }
    }
}
