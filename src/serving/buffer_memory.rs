//! Memory for parts of answers that cannot be passed on yet, shared by all requests of a host.
//!
//! The load pattern it answers: upstreams whose bytes never end, as an answer that has to be whole or as one event of a
//! stream. Each would be kept up to its own limit, and many at once are more than a small host has.

use std::{cell::Cell, rc::Rc};

/// Bytes that every answer may keep whatever others do: several whole answers or events of the users' services, which have
/// 5 kB at most.
const OWN_BYTES: usize = 16 << 10;

/// Memory of a host; clones share it.
#[derive(Debug, Clone)]
pub struct BufferMemory {
    /// Bytes that are not taken.
    free: Rc<Cell<usize>>,
}

/// What one answer has taken of a host's memory; returned when dropped.
#[derive(Debug)]
pub struct BufferReservation {
    room: BufferMemory,
    kept: usize,
}

impl BufferMemory {
    /// Memory of some bytes, beside what every answer has of its own.
    pub fn new(bytes: usize) -> BufferMemory {
        BufferMemory { free: Rc::new(Cell::new(bytes)) }
    }

    /// Space for an answer, which keeps nothing yet.
    pub fn reservation(&self) -> BufferReservation {
        BufferReservation { room: self.clone(), kept: 0 }
    }
}

impl BufferReservation {
    /// Changes how much the answer keeps. False, and nothing is changed, if there is no room for it.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let free = self.room.free.get() + shared(self.kept);
        let Some(rest) = free.checked_sub(shared(bytes)) else { return false };
        self.room.free.set(rest);
        self.kept = bytes;
        true
    }

    /// Bytes that the answer keeps.
    pub fn reserved(&self) -> usize {
        self.kept
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.try_resize(0);
    }
}

/// Part of some bytes that is taken from what all answers share.
fn shared(bytes: usize) -> usize {
    bytes.saturating_sub(OWN_BYTES)
}
