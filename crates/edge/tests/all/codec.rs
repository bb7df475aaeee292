//! A codec for tests.

use std::time::Duration;

use balance::report::{Report, NORMAL_SLOWDOWN_PERCENT};
use balance::tenant::Digest;
use edge::headers::{
    find, find_id, Codec, Credential, Header, RequestMetadata, ResponseMetadata, Tenancy,
};

/// A codec with short header names.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TestCodec;

impl Codec for TestCodec {
    fn parse_request(&self, headers: &[Header]) -> RequestMetadata {
        RequestMetadata {
            request_id: find_id(headers, "id"),
            time_left: find(headers, "wait")
                .and_then(|t| t.parse().ok())
                .map(Duration::from_millis),
        }
    }

    fn parse_credential(&self, headers: &[Header]) -> Option<Credential> {
        let mut keys = headers.iter().filter(|(name, _)| self.is_credential(name));
        let (_, key) = keys.next()?;
        let digest = Digest::of_valid(key).filter(|_| keys.next().is_none());
        Some(digest.map_or(Credential::Malformed, Credential::Key))
    }

    fn is_credential(&self, name: &str) -> bool {
        name.eq_ignore_ascii_case("key")
    }

    fn challenge_header(&self) -> Header {
        ("Challenge".to_owned(), b"key".to_vec())
    }

    fn request_headers(
        &self,
        headers: &[Header],
        time_left: Duration,
        server: &str,
        tenancy: Tenancy<'_>,
    ) -> Vec<Header> {
        let is_replaced = |name: &str| {
            let is_tenancy = self.is_credential(name) || name.eq_ignore_ascii_case("tenant");
            name.eq_ignore_ascii_case("wait") || (tenancy != Tenancy::Disabled && is_tenancy)
        };
        let forwarded = headers.iter().filter(|(name, _)| !is_replaced(name));
        let mut sent: Vec<Header> = forwarded.cloned().collect();
        sent.push((
            "Wait".to_owned(),
            time_left.as_millis().to_string().into_bytes(),
        ));
        sent.push(("Server".to_owned(), server.as_bytes().to_vec()));
        if let Tenancy::Tenant(tenant) = tenancy {
            sent.push(("Tenant".to_owned(), tenant.as_bytes().to_vec()));
        }
        sent
    }

    fn parse_response(&self, headers: &[Header]) -> ResponseMetadata {
        ResponseMetadata {
            request_id: find_id(headers, "id"),
            signed: find(headers, "signed").is_some(),
            not_run: find(headers, "unrun").is_some(),
            report: find(headers, "load").and_then(parse_load),
            server_id: None,
            warmup_left: None,
            leaving: find(headers, "leaving").is_some(),
            limit: find(headers, "limit").and_then(|l| l.parse().ok()),
        }
    }

    fn request_id_header(&self, id: &str) -> Header {
        ("Id".to_owned(), id.as_bytes().to_vec())
    }
}

/// Parses the number of running requests.
fn parse_load(text: &str) -> Option<Report> {
    Some(Report {
        running: text.parse().ok()?,
        waiting: 0,
        slots: 4,
        slowdown_percent: NORMAL_SLOWDOWN_PERCENT,
    })
}
