//! At-most-once claims on idempotency keys, without I/O.
