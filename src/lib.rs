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

pub(crate) mod account;
pub(crate) mod attainment;
pub(crate) mod pages;

pub mod admin;
pub mod aggregate;
pub mod aggregator;
pub mod attempt;
pub mod attempts;
pub mod audit;
pub mod body;
pub mod burn;
pub mod change;
pub mod circuit;
pub mod claim;
pub mod collector;
pub mod config;
pub mod confirm;
pub mod content;
pub mod controller;
pub mod credential;
pub(crate) mod disconnect;
pub mod dispatch;
pub mod dispatch_client;
pub mod dispatchers;
pub mod dissemination;
pub mod engine;
pub mod entry;
pub mod error;
pub mod estimate;
pub mod exchange;
pub mod fleet;
pub mod gate;
pub mod gossip;
pub mod health;
pub mod host;
pub mod intent;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod limits;
pub mod lint;
pub mod load;
pub mod logs;
pub mod member;
pub mod metrics;
pub mod operate;
pub mod page;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod pool_dispatcher;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod rate;
pub mod record;
pub mod relay;
pub mod rendezvous;
pub mod reporter;
pub mod request;
pub mod resolve;
pub mod retry;
pub mod running;
pub mod scale;
pub mod schema;
pub mod serving;
pub mod settings;
pub mod sse;
pub mod store;
pub mod suspicion;
pub mod tally;
pub mod time;
pub mod upstream;
pub mod usage;
pub mod watcher;
pub mod window;
pub mod wire;
pub mod witness;
pub mod writer;
