//! Choice of an upstream for a request.
