//! The daemon of every entry host.

fn main() {}
