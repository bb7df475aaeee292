//! Time to seal and open frames.

use std::time::Duration;

use policy::credit;
use policy::feedback::{Feedback, Outcome, StartId};
use wire::grant::{Release, Releases};
use wire::{Frame, Key, Message, Pool};

use crate::fault::Fault;
use crate::series::Series;
use crate::timer;

const RETURNS: [usize; 4] = [1, 10, 100, 1000];
const ROUNDS: usize = 20;

/// Returns a message that releases `count` credits.
fn message(count: usize) -> Message {
    let feedback = Feedback {
        outcome: Outcome::Answered,
        latency: Duration::from_millis(10),
        start_id: Some(StartId(1)),
        route: "read".into(),
        fingerprint: None,
        draining: false,
    };
    let returned = |id| Release {
        credit: credit::Id(id),
        feedback: Some(feedback.clone()),
    };
    Message::Release(Releases {
        pool: Pool {
            service: "gauge".into(),
            centre: "east".into(),
        },
        releases: (0..count as u64).map(returned).collect(),
        withdrawn: Vec::new(),
    })
}

/// Prints the times to seal and to open a frame, by the number of returned credits.
pub(crate) fn by_returns() -> Result<(), Fault> {
    let key = Key::new(&[7; 32])?;
    let mut seal = Series::new("Frame: seal returned credits, by credits");
    let mut open = Series::new("Frame: open returned credits, by credits");
    for count in RETURNS {
        let message = message(count);
        let each = |_| {
            Frame::request(&key, &message)
                .map(drop)
                .map_err(Fault::from)
        };
        seal.push(
            count,
            timer::time(ROUNDS, || (0..ROUNDS).try_for_each(each))?,
        );
        let frame = Frame::request(&key, &message)?;
        let each = |_| {
            Frame::open_request(&key, frame.as_bytes())
                .map(drop)
                .map_err(Fault::from)
        };
        open.push(
            count,
            timer::time(ROUNDS, || (0..ROUNDS).try_for_each(each))?,
        );
    }
    seal.print("credits");
    open.print("credits");
    Ok(())
}
