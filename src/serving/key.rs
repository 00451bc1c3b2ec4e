//! Keys of upstreams, tickets and attempts on one host.

/// Key of an incarnation of an upstream on this host; not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// Number of a ticket on this host; not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketKey(pub u64);

/// Number of an attempt on this host; not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey(pub u64);
