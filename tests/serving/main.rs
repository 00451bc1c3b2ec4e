//! The decisions of a host that serves callers, without sockets or clocks.

mod attempt_history;
mod exchange;
mod fixture;
mod followers;
mod hostile;
mod knowledge;
mod page;
mod peers;
mod placement;
mod retry_budget;
mod stream;
mod usage;
