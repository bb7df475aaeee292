//! Time to handle heartbeats.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use clock::Instant;
use contract::id;
use membership::authority::Authority;
use membership::duty::Duty;
use membership::member::Member;
use membership::roster::Roster;
use membership::vote::{Request, Voter};

use crate::series::Series;
use crate::timer;

const MEMBERS: [usize; 4] = [3, 19, 50, 100];
const ROUNDS: usize = 200;
const LEASE: Duration = Duration::from_secs(3);
const MARGIN: Duration = Duration::from_millis(100);
const PERIOD: Duration = Duration::from_millis(500);

fn name(index: usize) -> id::Instance {
    format!("instance-{index:03}").as_str().into()
}

fn roster(members: usize) -> Roster {
    let member = |index| Member {
        name: name(index),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7000)),
        centre: "east".into(),
    };
    let joining: Vec<Member> = (0..members).map(member).collect();
    Roster::default().next(&joining, &[])
}

fn request(roster: &Roster, actor: usize, sequence: u64) -> Request {
    Request {
        epoch: roster.epoch,
        duty: Duty(name(actor)),
        actor: name(actor),
        sequence,
        release: None,
    }
}

fn unwrap_infallible(time: Result<f64, Infallible>) -> f64 {
    match time {
        Ok(time) => time,
    }
}

/// Prints the time that a member takes to answer one heartbeat of each member, by the number of
/// members.
pub(crate) fn voter() {
    let mut series = Series::new("Voter: one heartbeat of each member, by members");
    for members in MEMBERS {
        let roster = roster(members);
        let mut voter = Voter::new(name(0), LEASE, MARGIN);
        voter.adopt(&roster);
        let (mut now, mut sequence) = (Instant::ZERO, 0);
        let time = timer::time(ROUNDS, || {
            for _ in 0..ROUNDS {
                now += PERIOD;
                sequence += 1;
                for actor in 0..members {
                    voter.consider(&request(&roster, actor, sequence), now);
                }
            }
            Ok(())
        });
        series.push(members, unwrap_infallible(time));
    }
    series.print("members");
}

/// Prints the time that an actor takes to send one heartbeat and record all its answers, by the
/// number of members.
pub(crate) fn authority() {
    let mut series = Series::new("Authority: one heartbeat and all its answers, by members");
    for members in MEMBERS {
        let roster = roster(members);
        let mut voter = Voter::new(name(0), LEASE, MARGIN);
        voter.adopt(&roster);
        let mut authority = Authority::new(&name(0), Duty(name(0)), &roster, LEASE);
        let (mut now, mut sequence) = (Instant::ZERO, 0);
        let time = timer::time(ROUNDS, || {
            for _ in 0..ROUNDS {
                now += PERIOD;
                sequence += 1;
                authority.record_sent(sequence, now);
                let answer = voter.consider(&request(&roster, 0, sequence), now);
                for member in &roster.members {
                    authority.record_answer(&member.name, sequence, &answer, now);
                }
            }
            Ok(())
        });
        series.push(members, unwrap_infallible(time));
    }
    series.print("members");
}
