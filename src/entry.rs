//! Callers' interface: authentication, routing and streaming.
