//! The stand-ins answer as docs/PLATFORM.md says.

mod common;
mod demo;
mod engine;
mod load;
mod platform;
mod programs;
mod service;
