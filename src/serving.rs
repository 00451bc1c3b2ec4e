//! The request path of a host that decides by itself.

pub mod budget;
pub mod connection;
pub mod dialect;
pub mod dispatcher;
pub mod duties;
pub mod exchange;
pub mod handler;
pub mod host;
pub mod key;
pub mod knowledge;
pub mod leadership;
pub mod link;
pub mod links;
pub mod listener;
pub mod placement;
pub mod readiness;
pub mod registry;
pub mod relay;
pub mod roll;
pub mod scaling;
pub mod settings;
pub mod table;
pub mod usage;
