//! A running host: opens every task and stops them in order.
