//! Who is turned away when callers hold more than a host has room for.
//!
//! Load pattern: a crowd of callers that send or read slowly, most of them stopping just short of the end and staying.
//! Whoever holds the most for the longest goes first. A request alone inside the limits is never turned away.

use std::net::{IpAddr, SocketAddr};

use crate::time::{Span, Time};

/// Bytes that every caller may hold regardless of others. They are part of the memory that a connection takes.
pub const UNSHARED_BYTES: usize = 8 << 10;

/// Divisor of a host's memory that gives the share for what callers send and do not read.
const INTAKE_DIVISOR: usize = 7;

/// Divisor of a host's memory that gives the share for the state of connections.
const CONNECTIONS_DIVISOR: usize = 5;

/// Memory that a connection and a request on it take, in bytes, without what the caller holds beyond its unshared bytes.
const CONNECTION_BYTES: usize = 24 << 10;

/// Share of the bytes that the callers at one address may hold together, in quarters.
const ADDRESS_QUARTERS: usize = 3;

/// Time after which a request that is still arriving, or an answer that is still unread, is slow.
const SLOW_TIME: Span = Span::from_ms(1_000);

/// Room of a host for its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Most open connections.
    pub connections: usize,
    /// Bytes that the callers share, in addition to the unshared bytes of each.
    pub bytes: usize,
}

impl Room {
    /// Room of a host with so much memory, in bytes, and sockets for so many callers.
    pub fn of_host(memory_bytes: usize, sockets: usize) -> Room {
        let by_memory = memory_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        Room { connections: sockets.min(by_memory).max(1), bytes: memory_bytes / INTAKE_DIVISOR }
    }
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Nothing was received yet.
    Silent,
    /// No request is in progress.
    Idle,
    /// A request is arriving, or the connection closes after a refusal.
    Arriving,
    /// A request is in progress that has arrived whole.
    Running,
    /// The caller does not read its answer.
    Unread,
    /// It was turned away and is about to close.
    Leaving,
}

/// There is no room, and nobody who holds more for longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// An open connection.
#[derive(Debug, Clone, Copy)]
struct Caller {
    address: SocketAddr,
    stage: Stage,
    /// When the stage began.
    since: Time,
    /// Bytes that it holds, the unshared ones included.
    bytes: usize,
}

impl Caller {
    /// Place in the order in which connections close for others; `None` if it does not.
    fn rank(&self, now: Time) -> Option<u8> {
        match self.stage {
            Stage::Silent => Some(0),
            Stage::Idle => Some(1),
            Stage::Arriving | Stage::Unread if now.since(self.since) >= SLOW_TIME => Some(2),
            _ => None,
        }
    }

    fn shared(&self) -> usize {
        shared(self.bytes)
    }
}

/// Callers of a host and what they hold.
#[derive(Debug)]
pub struct Intake {
    room: Room,
    /// Sorted by address.
    callers: Vec<Caller>,
    /// Sum of the callers' shared bytes.
    held: usize,
}

impl Intake {
    /// Creates an intake without connections.
    pub fn new(room: Room) -> Intake {
        Intake { room, callers: Vec::new(), held: 0 }
    }

    /// Adds a connection. Returns the one that has to close for it, if any: the one that has been silent for the
    /// longest, otherwise idle, otherwise the one that sends or reads slowly.
    ///
    /// # Errors
    /// `Full` if all connections carry requests.
    pub fn open(&mut self, address: SocketAddr, now: Time) -> Result<Option<SocketAddr>, Full> {
        let mut victim = None;
        if self.callers.len() >= self.room.connections {
            let ranked = self.callers.iter_mut().filter_map(|it| Some((it.rank(now)?, it)));
            let (_, first) = ranked.min_by_key(|(rank, it)| (*rank, it.since)).ok_or(Full)?;
            self.held -= first.shared();
            (first.stage, first.bytes) = (Stage::Leaving, 0);
            victim = Some(first.address);
        }
        self.close(address);
        let at = self.callers.partition_point(|it| it.address < address);
        let caller = Caller { address, stage: Stage::Silent, since: now, bytes: 0 };
        self.callers.insert(at, caller);
        Ok(victim)
    }

    /// Notes what a connection is doing from now on.
    pub fn enter(&mut self, address: SocketAddr, stage: Stage, now: Time) {
        let Some(at) = self.position(address) else { return };
        let caller = &mut self.callers[at];
        if caller.stage != stage && caller.stage != Stage::Leaving {
            (caller.stage, caller.since) = (stage, now);
        }
    }

    /// Changes what a connection holds to `bytes`, before they are allocated. Returns those that are turned away for it,
    /// whose bytes count no longer.
    ///
    /// # Errors
    /// `Full`, and nothing changes, if there is no room and nobody else holds more for longer.
    pub fn hold(
        &mut self,
        address: SocketAddr,
        bytes: usize,
        now: Time,
    ) -> Result<Vec<SocketAddr>, Full> {
        let Some(own) = self.position(address) else { return Ok(Vec::new()) };
        let before = self.callers[own].shared();
        let growth = shared(bytes).saturating_sub(before);
        let mut victims = Vec::new();
        if growth > 0 && self.held > before {
            victims = self.make_room(own, growth, now)?;
        }
        for victim in &victims {
            let caller = &mut self.callers[*victim];
            self.held -= caller.shared();
            (caller.stage, caller.bytes) = (Stage::Leaving, 0);
        }
        self.held = self.held - before + shared(bytes);
        self.callers[own].bytes = bytes;
        Ok(victims.into_iter().map(|it| self.callers[it].address).collect())
    }

    /// Selects who has to go so that the caller at `own` can grow.
    fn make_room(&self, own: usize, growth: usize, now: Time) -> Result<Vec<usize>, Full> {
        let ip = self.callers[own].address.ip();
        let share = self.room.bytes / 4 * ADDRESS_QUARTERS;
        let mut at_ip = self.held_by(ip);
        let mut held = self.held;
        if held + growth <= self.room.bytes && at_ip + growth <= share {
            return Ok(Vec::new());
        }
        let weight = |it: &Caller| it.shared() as u64 * (now.since(it.since).as_ms() + 1);
        let can_go = |at: &usize| {
            let caller = &self.callers[*at];
            let is_slow = matches!(caller.stage, Stage::Arriving | Stage::Unread);
            *at == own || is_slow && caller.shared() > 0
        };
        let mut candidates: Vec<_> = (0..self.callers.len()).filter(can_go).collect();
        candidates.sort_by_key(|it| std::cmp::Reverse(weight(&self.callers[*it])));
        let mut victims = Vec::new();
        for at in candidates {
            let fits = held + growth <= self.room.bytes;
            if fits && at_ip + growth <= share {
                return Ok(victims);
            }
            let caller = &self.callers[at];
            if fits && caller.address.ip() != ip {
                continue;
            }
            if at == own {
                // All that are left hold less for a shorter time; they stay.
                break;
            }
            held -= caller.shared();
            at_ip -= if caller.address.ip() == ip { caller.shared() } else { 0 };
            victims.push(at);
        }
        let fits = held + growth <= self.room.bytes && at_ip + growth <= share;
        let is_alone = held == self.callers[own].shared();
        if fits || is_alone { Ok(victims) } else { Err(Full) }
    }

    /// Removes a connection that has closed.
    pub fn close(&mut self, address: SocketAddr) {
        if let Some(at) = self.position(address) {
            self.held -= self.callers[at].shared();
            self.callers.remove(at);
        }
    }

    /// Whether there is no room for a further connection and nobody else could close for it, so that the answer had better
    /// close the connection.
    pub fn is_crowded(&self, address: SocketAddr) -> bool {
        let can_close =
            |it: &Caller| it.address != address && matches!(it.stage, Stage::Silent | Stage::Idle);
        self.callers.len() >= self.room.connections && !self.callers.iter().any(can_close)
    }

    /// Bytes that all callers hold, without the unshared ones.
    pub fn held(&self) -> usize {
        self.held
    }

    fn held_by(&self, ip: IpAddr) -> usize {
        self.callers.iter().filter(|it| it.address.ip() == ip).map(Caller::shared).sum()
    }

    fn position(&self, address: SocketAddr) -> Option<usize> {
        self.callers.binary_search_by_key(&address, |it| it.address).ok()
    }
}

fn shared(bytes: usize) -> usize {
    bytes.saturating_sub(UNSHARED_BYTES)
}
