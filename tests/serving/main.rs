//! Tests of a host that serves callers; most need neither sockets nor clocks.

mod attempt_history;
mod backoff;
mod crash_evidence;
mod exchange;
mod fixture;
mod followers;
mod hostile;
mod knowledge;
mod page;
mod peers;
mod placement;
mod rate_limit;
mod retry_budget;
mod stream;
mod unframed;
mod usage;
