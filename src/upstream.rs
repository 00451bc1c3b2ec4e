//! Requests to upstreams.
