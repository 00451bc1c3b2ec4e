//! Membership: which hosts are alive, by heartbeats and incarnations.
