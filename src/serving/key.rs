//! Keys that the parts of the request path share.

/// Key of an upstream's life in this host's arena. Never given to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// Number of a ticket at this host. Never given twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketKey(pub u64);

/// Number of an attempt at this host. Never given twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey(pub u64);
