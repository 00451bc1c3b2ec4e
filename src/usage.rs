//! Usage of customers: batches, windows and their seals.
