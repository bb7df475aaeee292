//! Moves between versions and the tests that take bad versions back, without I/O.
