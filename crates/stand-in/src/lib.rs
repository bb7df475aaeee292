//! Small platform and backend servers for tests, the quick start and measurements.
