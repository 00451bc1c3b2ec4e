//! Administration interface: configuration, keys, status, reports and health.
