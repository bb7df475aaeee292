//! Decisions about credits, cold starts, probes, retries and quarantine, without I/O.
