//! Task that keeps the configuration of a host up to date.
