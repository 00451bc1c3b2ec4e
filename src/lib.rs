//! Router for language-model traffic with service levels and priorities.
//!
//! The decisions stand in modules without input or output, driven by events and time. The sockets, timers and tasks
//! stand round them.
//!
//! ```
//! use almondrack::error::Kind;
//!
//! let answer = Kind::Shed.answer();
//! assert_eq!((answer.status, answer.later), (503, true));
//! ```

pub mod admin;
pub mod attempt;
pub mod attempts;
pub mod burn;
pub mod config;
pub mod controller;
pub mod credential;
pub mod dispatch;
pub mod dispatchers;
pub mod entry;
pub mod error;
pub mod estimate;
pub mod exchange;
pub mod fleet;
pub mod health;
pub mod host;
pub mod lane;
pub mod lease;
pub mod limit;
pub mod load;
pub mod logs;
pub mod member;
pub mod metrics;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod pool;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod rate;
pub mod record;
pub mod relay;
pub mod rendezvous;
pub mod reporter;
pub mod request;
pub mod retry;
pub mod running;
pub mod scale;
pub mod settings;
pub mod sse;
pub mod time;
pub mod upstream;
pub mod usage;
pub mod watcher;
pub mod wire;
