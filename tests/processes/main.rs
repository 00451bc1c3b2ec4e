//! Tests of the whole system as separate processes: the platform, upstreams and hosts.

mod bad_input;
mod credentials;
mod faults;
mod history;
mod stops;
mod unruly_callers;
mod whole_path;
