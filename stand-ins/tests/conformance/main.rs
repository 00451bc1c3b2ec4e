//! The stand-ins answer as docs/PLATFORM.md says.

mod common;
mod engine;
mod load;
mod platform;
mod service;
