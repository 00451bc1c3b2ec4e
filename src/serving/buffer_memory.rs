//! Memory for buffered parts of answers, shared by all requests of a host.
//!
//! Upstreams may send an endless answer that has to be buffered whole, or an endless event of a
//! stream. Each would be buffered up to its own limit, and many at once exceed the memory of a
//! small host.

use std::{cell::Cell, rc::Rc};

/// Bytes that every answer may buffer regardless of others. Answers and events of the users'
/// services have at most 5 kB, so several fit.
const UNSHARED_BYTES: usize = 16 << 10;

/// Buffer memory of a host; clones share it.
#[derive(Debug, Clone)]
pub struct Memory {
    /// Bytes that are not reserved.
    free: Rc<Cell<usize>>,
}

/// Memory that is reserved for one answer; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Memory,
    reserved: usize,
}

impl Memory {
    /// Creates a memory of `bytes` to share, in addition to the unshared bytes of each answer.
    pub fn new(bytes: usize) -> Memory {
        Memory { free: Rc::new(Cell::new(bytes)) }
    }

    /// Returns an empty reservation for one answer.
    pub fn reservation(&self) -> Reservation {
        Reservation { memory: self.clone(), reserved: 0 }
    }
}

impl Reservation {
    /// Changes the size of the reservation to `bytes`. Returns false and changes nothing if the
    /// free memory does not suffice.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let free = self.memory.free.get() + shared_bytes(self.reserved);
        let Some(rest) = free.checked_sub(shared_bytes(bytes)) else { return false };
        self.memory.free.set(rest);
        self.reserved = bytes;
        true
    }

    /// Returns the size of the reservation in bytes.
    pub fn reserved(&self) -> usize {
        self.reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.try_resize(0);
    }
}

/// Returns how many bytes of a reservation are taken from the shared memory.
fn shared_bytes(bytes: usize) -> usize {
    bytes.saturating_sub(UNSHARED_BYTES)
}
