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
pub mod burn;
pub mod collector;
pub mod config;
pub mod controller;
pub mod credential;
pub mod dispatch;
pub mod engine;
pub mod entry;
pub mod error;
pub mod estimate;
pub mod host;
pub mod intent;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod logs;
pub mod member;
pub mod metrics;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod pool;
pub mod quarantine;
pub mod queue;
pub mod record;
pub mod rendezvous;
pub mod reporter;
pub mod scale;
pub mod settings;
pub mod sse;
pub mod time;
pub mod upstream;
pub mod usage;
pub mod watcher;
pub mod window;
pub mod wire;
