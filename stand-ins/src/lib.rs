//! Small stand-ins for the platform, the engines, plain services and their callers (docs/PLATFORM.md).

mod clock;
pub mod cluster;
pub mod demo;
pub mod engine;
pub mod load;
pub mod owner;
mod patch;
pub mod platform;
pub mod server;
pub mod service;
