//! Limits per customer on requests, tokens and concurrency.
