//! Counters and gauges of a host.
