//! The canonical encoding from which digests are computed.
//!
//! The encoding is injective: texts are preceded by their length, lists by their count and optional
//! values by a presence flag. Lists whose order has no meaning are sorted. Structures are
//! destructured without `..`, so that adding a field is a compile error until it is encoded.

use sha2::{Digest as _, Sha256};

use crate::root::Root;
use crate::{digest, Centre, Rollout, Route, Service, Version};

/// A value with a canonical encoding.
pub(crate) trait Canonical {
    /// Writes the encoding of the value to `sink`.
    fn encode(&self, sink: &mut Sink);
}

/// An incremental SHA-256 to which encodings are written.
pub(crate) struct Sink(Sha256);

impl Sink {
    /// Starts an encoding with the domain separator `domain`, so that values of different kinds
    /// never have the same encoding.
    pub(crate) fn new(domain: &str) -> Self {
        let mut sink = Self(Sha256::new());
        sink.text(domain);
        sink
    }

    /// Returns the digest of all bytes written.
    pub(crate) fn finish(self) -> digest::Digest {
        digest::Digest(self.0.finalize().into())
    }

    fn number(&mut self, number: u64) {
        self.0.update(number.to_be_bytes());
    }

    fn count(&mut self, count: usize) {
        self.number(count as u64);
    }

    fn flag(&mut self, flag: bool) {
        self.0.update([u8::from(flag)]);
    }

    fn float(&mut self, float: f64) {
        // Adding zero turns -0.0 into 0.0: equal numbers must have the same encoding.
        self.number((float + 0.0).to_bits());
    }

    fn text(&mut self, text: &str) {
        self.count(text.len());
        self.0.update(text);
    }

    fn list<'a, T>(&mut self, items: impl ExactSizeIterator<Item = &'a T>)
    where
        T: Canonical + 'a,
    {
        self.count(items.len());
        items.for_each(|item| item.encode(self));
    }

    fn sorted_texts(&mut self, texts: &[String]) {
        let mut sorted: Vec<&String> = texts.iter().collect();
        sorted.sort();
        self.list(sorted.into_iter());
    }
}

impl Canonical for String {
    fn encode(&self, sink: &mut Sink) {
        sink.text(self);
    }
}

impl<T> Canonical for Option<T>
where
    T: Canonical,
{
    fn encode(&self, sink: &mut Sink) {
        sink.flag(self.is_some());
        if let Some(value) = self {
            value.encode(sink);
        }
    }
}

impl Canonical for bool {
    fn encode(&self, sink: &mut Sink) {
        sink.flag(*self);
    }
}

impl Canonical for digest::Digest {
    fn encode(&self, sink: &mut Sink) {
        sink.0.update(self.0);
    }
}

impl Canonical for Centre {
    fn encode(&self, sink: &mut Sink) {
        let Centre { name, in_service } = self;
        sink.text(name.as_str());
        sink.flag(*in_service);
    }
}

impl Canonical for Version {
    fn encode(&self, sink: &mut Sink) {
        let Version { name } = self;
        sink.text(name.as_str());
    }
}

impl Canonical for Rollout {
    fn encode(&self, sink: &mut Sink) {
        let Rollout {
            from,
            to,
            first_share,
            deadline,
        } = self;
        sink.text(from.as_str());
        sink.text(to.as_str());
        sink.float(*first_share);
        sink.number(*deadline);
    }
}

impl Canonical for Route {
    fn encode(&self, sink: &mut Sink) {
        let Route {
            name,
            methods,
            path,
            idempotent,
            can_wait,
            time_limit,
        } = self;
        sink.text(name.as_str());
        sink.sorted_texts(methods);
        sink.text(path);
        idempotent.encode(sink);
        sink.flag(*can_wait);
        sink.number(time_limit.as_secs());
        sink.number(u64::from(time_limit.subsec_nanos()));
    }
}

impl Canonical for Service {
    fn encode(&self, sink: &mut Sink) {
        let Service {
            name,
            hosts,
            slots,
            probes_per_second,
            probe_path,
            routes,
            versions,
            rollout,
        } = self;
        sink.text(name.as_str());
        sink.sorted_texts(hosts);
        sink.number(u64::from(*slots));
        sink.float(*probes_per_second);
        sink.text(probe_path);
        sink.list(by_name(routes, |r| r.name.as_str()).into_iter());
        // The first version carries the traffic, so the order of versions has a meaning.
        sink.list(versions.iter());
        rollout.encode(sink);
    }
}

impl Canonical for Root {
    fn encode(&self, sink: &mut Sink) {
        let Root {
            version,
            centres,
            parts,
            previous,
        } = self;
        sink.number(*version);
        sink.list(by_name(centres, |c| c.name.as_str()).into_iter());
        sink.count(parts.len());
        for (name, digest) in parts {
            sink.text(name.as_str());
            digest.encode(sink);
        }
        previous.encode(sink);
    }
}

/// Returns the items ordered by name.
fn by_name<T>(items: &[T], name: impl Fn(&T) -> &str) -> Vec<&T> {
    let mut sorted: Vec<&T> = items.iter().collect();
    sorted.sort_by(|a, b| name(a).cmp(name(b)));
    sorted
}
