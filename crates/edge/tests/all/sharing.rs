//! Tests of requests of tenants at an instance.

use std::collections::BTreeMap;

use balance::record::{Kind, Record};
use balance::tenant::{Digest, Tenant};

use crate::script::{Action, Backend, OK};
use crate::site::{config, exchange, status, Site};

/// Guards against requests of tenants that wait by the route's priority alone, or are not counted.
#[test]
fn requests_count_by_the_priority_of_their_tenant() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    let Record::Config(mut config) = config(5) else {
        unreachable!("it is a configuration");
    };
    let tenant = Tenant {
        keys: vec![Digest::of(b"k1")],
        priority: Some(3),
    };
    config.tenants = Some(BTreeMap::from([("seje681".to_owned(), tenant)]));
    site.store
        .put(Kind::Config, "main", Some(Record::Config(config)));
    let request = "GET /safe/1 HTTP/1.1\r\nHost: pond.example\r\nId: r1\r\nKey: k1\r\n\
                   Connection: close\r\n\r\n";
    site.wait_until(|site| {
        assert_eq!(status(&exchange(site.callers, request)), 200);
        let page = site.metrics();
        let mut series = page
            .lines()
            .filter(|l| l.starts_with("chivewheel_tenant_requests"));
        series.any(|l| l.contains("priority=\"3\"") && l.contains("end=\"passed on\""))
    });
}
