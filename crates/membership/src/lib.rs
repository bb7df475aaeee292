//! Roster, leases and authority, without I/O.
