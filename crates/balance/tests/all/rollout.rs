//! Which versions requests may use.

use balance::rollout::{Filter, Stage};

use crate::cases;

fn share(point: f64) -> Filter {
    let stage = Stage::Share {
        version: "v2".to_owned(),
        share: 0.1,
    };
    stage.filter(point)
}

fn allows(arm: &Filter, version: &str, expected: bool) {
    assert_eq!(
        arm.allows(version, Some("v1")),
        expected,
        "{arm:?} {version}"
    );
}

cases! {
    drawn_requests_use_the_new_version => assert_eq!(share(0.09), Filter::Only("v2".to_owned()));
    others_stay_with_the_old_one => assert_eq!(share(0.1), Filter::Except("v2".to_owned()));
    without_an_order_new_versions_get_nothing => allows(&Filter::Base, "v2", false);
    without_an_order_the_base_serves => allows(&Filter::Base, "v1", true);
    completed_moves_leave_the_old_version =>
        allows(&Stage::Only("v2".to_owned()).filter(0.5), "v1", false);
    taken_back_moves_leave_the_new_version =>
        allows(&Stage::Without("v2".to_owned()).filter(0.0), "v2", false);
}
