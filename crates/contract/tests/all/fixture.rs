//! A bundle, and keys, that the tests share.

use contract::signature::Key;
use contract::{keyring::Keyring, text, Bundle};

/// The text of a bundle with two services, one of them with a move.
pub(crate) const TEXT: &str = r#"version = 7

[[data-centre]]
name = "east"
in-service = true

[[data-centre]]
name = "west"
in-service = true

[[service]]
name = "gauge"
hosts = ["gauge.example", "levels.example"]
slots = 4
probes-per-second = 2.5
probe-path = "/health"

[[service.route]]
name = "read"
methods = ["GET", "HEAD"]
path = "/levels"
time-limit-ms = 500

[[service.route]]
name = "write"
methods = ["POST"]
path = "/levels"
time-limit-ms = 2000

[[service.version]]
name = "v1"

[[service.version]]
name = "v2"

[service.move]
from = "v1"
to = "v2"
first-share = 0.02
deadline = 1800000000

[[service]]
name = "clayworks"
hosts = ["clayworks.example"]
slots = 4
probes-per-second = 1
probe-path = "/health"

[[service.route]]
name = "order"
path = "/"
idempotent = false
can-wait = true
time-limit-ms = 10000

[[service.version]]
name = "v1"
"#;

/// Returns the bundle of [`TEXT`].
pub(crate) fn bundle() -> Bundle {
    text::parse(TEXT).unwrap()
}

/// Returns the key of the operator with the number `seed`.
pub(crate) fn key(seed: u8) -> Key {
    Key::from_seed([seed; 32])
}

/// Returns the keyring of the operators 1 and 2.
pub(crate) fn keyring() -> Keyring {
    let entries = [("ada", 1), ("ben", 2)];
    Keyring::new(entries.map(|(name, seed)| (name.into(), key(seed).public()))).unwrap()
}
