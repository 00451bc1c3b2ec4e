//! Requests that crash their upstreams and are refused for a period.
