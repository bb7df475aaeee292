//! Compares the `membership` crate with the specification on random walks.

use arbtest::arbitrary::{Result, Unstructured};
use spec::grant::{Guards, Mask, Pool, Scope, State, INSTANCES};
use spec::Model;

use crate::mirror::Mirror;

/// The maximum number of events in a walk.
const MAX_EVENTS: usize = 150;

/// Returns a random scope with longer times and more events than those explored exhaustively.
fn scope(u: &mut Unstructured<'_>) -> Result<Scope> {
    let scope = Scope::clone(u.choose(Scope::ALL)?);
    Ok(Scope {
        drift: 0,
        handovers: u.int_in_range(0..=4)?,
        lease: u.int_in_range(1..=4)?,
        margin: u.int_in_range(0..=1)?,
        credit_ttl: u.int_in_range(0..=2)?,
        time_limit: u.int_in_range(1..=3)?,
        crashes: Mask(u.int_in_range(0..=7)?),
        ..scope
    })
}

/// Asserts that both answer each heartbeat that could arrive now in the same way.
fn compare_votes(pool: &Pool, state: &State, mirror: &Mirror) {
    for actor in pool.scope.actors.iter() {
        let acting = &state.instances[actor];
        for member in (0..INSTANCES).filter(|&member| acting.actor.roster.members.has(member)) {
            let member_of = acting.actor.roster.members.has(actor);
            if !acting.alive || !state.instances[member].alive || !member_of {
                continue;
            }
            let mut copy = *state;
            let own = pool.support(&mut copy, actor, actor);
            let supported = own && pool.support(&mut copy, actor, member);
            let same = mirror.supports(state, actor, member) == supported;
            assert!(same, "vote of {member} for {actor}: {supported}");
        }
    }
}

/// Follows one random walk, comparing both after every event.
fn walk(u: &mut Unstructured<'_>) -> Result<()> {
    let pool = Pool {
        scope: scope(u)?,
        guards: Guards::ALL,
    };
    let mut state = pool.initial_state();
    let mut mirror = Mirror::new(&pool.scope, &state);
    mirror.compare(&state);
    for _ in 0..MAX_EVENTS {
        let steps = pool.transitions(&state);
        if steps.is_empty() || u.is_empty() {
            break;
        }
        let (event, next) = u.choose(&steps)?;
        mirror.follow(&state, *event, next);
        state = *next;
        mirror.compare(&state);
        compare_votes(&pool, &state, &mirror);
        assert_eq!(pool.violation(&state), None);
    }
    Ok(())
}

#[test]
fn code_conforms_to_specification() {
    arbtest::arbtest(walk)
        .size_min(64)
        .size_max(4096)
        .budget_ms(8_000);
}
