//! Life cycle of one attempt to run a request, as a typestate.
