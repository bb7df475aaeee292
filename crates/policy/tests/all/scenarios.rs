//! One test for each failure that a pool must get through.

use policy::evidence::Outcome;
use policy::pool::Config;

use crate::support::{at, cases, evidence, ms, pool, ticket};

cases! {
    cold_server_has_one_credit => cold_server();
}

/// A cold server gets one credit, and the next when that is returned.
fn cold_server() {
    let mut pool = pool(Config::new(4), 1);
    for id in 0..3 {
        assert_eq!(pool.ask(ticket(id, at(1000)), at(0)), Ok(()));
    }
    let grants = pool.grant(at(0));
    assert_eq!(grants.len(), 1);
    let answer = evidence(Outcome::Answered, ms(5));
    assert!(pool.give_back(grants[0].credit.id, Some(answer), at(5)));
    assert_eq!(pool.grant(at(5)).len(), 1);
}
