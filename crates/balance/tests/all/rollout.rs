//! Tests of the versions that requests may use.

use balance::rollout::{Filter, Stage};

use crate::cases;

fn filter_at(point: f64) -> Filter {
    let stage = Stage::Share {
        version: "v2".to_owned(),
        share: 0.1,
    };
    stage.filter(point)
}

fn check_allows(filter: &Filter, version: &str, expected: bool) {
    assert_eq!(
        filter.allows(version, Some("v1")),
        expected,
        "{filter:?} {version}"
    );
}

cases! {
    requests_within_the_share_use_the_new_version =>
        assert_eq!(filter_at(0.09), Filter::Only("v2".to_owned()));
    other_requests_use_the_old_version =>
        assert_eq!(filter_at(0.1), Filter::Except("v2".to_owned()));
    without_an_order_a_new_version_gets_no_requests => check_allows(&Filter::Base, "v2", false);
    without_an_order_the_base_version_gets_requests => check_allows(&Filter::Base, "v1", true);
    old_version_gets_no_requests_after_completion =>
        check_allows(&Stage::Only("v2".to_owned()).filter(0.5), "v1", false);
    new_version_gets_no_requests_after_rollback =>
        check_allows(&Stage::Without("v2".to_owned()).filter(0.0), "v2", false);
}
