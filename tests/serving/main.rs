//! Tests of a host that serves callers; most need neither sockets nor clocks.

mod admission;
mod attempt_history;
mod backoff;
mod callers;
mod contact;
mod crash_evidence;
mod dispatcher;
mod exchange;
mod fixture;
mod followers;
mod hostile;
mod knowledge;
mod outbound_connection;
mod page;
mod peers;
mod placement;
mod rate_limit;
mod retry_budget;
mod run_status;
mod stream;
mod stream_origin;
mod stream_records;
mod unframed;
mod usage;
