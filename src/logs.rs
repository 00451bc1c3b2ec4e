//! Structured logs of changes of state.
