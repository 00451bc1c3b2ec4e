//! Decisions on how many upstreams each pool needs.
