//! Stand-ins of the review's cases: hosts as processes, runners, clients, the operator and a record of what happened.

pub mod case;
pub mod client;
pub mod host;
pub mod operator;
pub mod record;
pub mod runner;
pub mod streams;
