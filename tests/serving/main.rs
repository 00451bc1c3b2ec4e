//! The decisions of a host that serves callers, without sockets or clocks.

mod course;
mod exchange;
mod fixture;
mod followers;
mod hostile;
mod knowledge;
mod page;
mod peers;
mod placement;
mod repeats;
mod stream;
mod usage;
