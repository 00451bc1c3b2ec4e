//! Membership: detects by probes, suspicions and incarnations which hosts are alive.
//!
//! Within a zone each host probes random other hosts and suspects those that answer neither its own probe nor that of a
//! helper. A suspect can refute the suspicion by raising its version; otherwise it counts as dead after a timeout. Two
//! delegates of each zone exchange members with the delegates of the other zones. This module does no I/O; the task in
//! [`gossip`](crate::gossip) runs it.

use std::net::SocketAddr;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};
use serde::{Deserialize, Serialize};

use crate::{
    dissemination::{Broadcast, Cursor, Quarantine},
    platform, rendezvous,
    time::{Span, Time},
    wire::Gossip,
};

/// State of a host as its peers see it. Of two states with the same incarnation and version the later variant prevails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// Answers probes and can hold roles.
    Alive,
    /// Answers probes and finishes its requests, but takes no new roles.
    Leaving,
    /// Has not answered a probe and may still refute the suspicion.
    Suspect,
    /// Has not refuted a suspicion in time, or has announced its end.
    Dead,
}

/// A statement about one process of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host id.
    pub id: String,
    /// Name of the host's region.
    pub region: String,
    /// Name of the host's availability zone.
    pub zone: String,
    /// Address of the peer service.
    pub peer: SocketAddr,
    /// Address of the administration server.
    pub admin: SocketAddr,
    /// Start of the process in wall-clock milliseconds since the Unix epoch, or more. A restarted host raises it above
    /// the incarnation of its predecessor if the clock was set back.
    pub incarnation: u64,
    /// Version of the statement within the incarnation. Only the host itself raises it, for example to refute a
    /// suspicion.
    pub version: u64,
    /// State of the host in this statement.
    pub state: State,
}

impl Member {
    /// Returns the key by which statements about the same host are compared; the one with the larger key prevails.
    pub fn precedence(&self) -> (u64, u64, State) {
        (self.incarnation, self.version, self.state)
    }
}

/// The hosts that this host considers present.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// Members sorted by id, this host included. Dead hosts and the hosts of silent zones are absent.
    pub members: Vec<Member>,
}

impl View {
    /// Returns the member with an id.
    pub fn get(&self, id: &str) -> Option<&Member> {
        let found = self.members.binary_search_by(|it| it.id.as_str().cmp(id)).ok()?;
        Some(&self.members[found])
    }

    /// Returns the ids of the hosts of a zone that can hold roles. A suspect keeps its roles until it counts as dead.
    pub fn eligible<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a str> {
        self.members.iter().filter_map(move |it| {
            (it.zone == zone && can_take_roles(it.state)).then_some(it.id.as_str())
        })
    }
}

fn can_take_roles(state: State) -> bool {
    match state {
        State::Alive | State::Suspect => true,
        State::Leaving | State::Dead => false,
    }
}

/// Newest configuration revision in force at a host that is not dead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Newest {
    /// The configuration revision.
    pub revision: u64,
    /// Id of a host at which the revision is in force.
    pub host: String,
    /// Address of that host's peer service.
    pub peer: SocketAddr,
}

/// Status of this host within the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// Contacts other hosts and takes no roles.
    Joining,
    /// Has received all members from another host, or none within the join timeout and runs alone.
    Joined,
    /// Was stopped for longer than the suspicion timeout, or another process uses its id. Holds no roles until it has
    /// joined again and any other process with its id is dead.
    Stalled,
    /// Another process with a larger incarnation uses the host id. Final.
    Replaced,
}

/// Period of [`Event::Tick`], in milliseconds.
pub const TICK_MS: u64 = 50;

const PROBE_PERIOD: Span = Span::from_ms(200);
const PROBE_TIMEOUT: Span = Span::from_ms(250);
const HELPER_TIMEOUT: Span = Span::from_ms(350);
const HELPERS: usize = 3;

/// Time after which an unrefuted suspicion becomes a death at the host whose probe failed.
pub const SUSPICION_TIMEOUT: Span = Span::from_ms(1_000);

/// Time after which an unrefuted suspicion becomes a death at a host that received it from another one.
const RECEIVED_SUSPICION_TIMEOUT: Span = Span::from_ms(1_400);

/// Time after which an unrefuted suspicion is sent again.
const SUSPICION_REPEAT_DELAY: Span = Span::from_ms(800);

/// Longest gap between two events. After a longer one this host itself was too slow to judge other hosts.
const MAX_EVENT_GAP: Span = Span::from_ms(4 * TICK_MS);

const PUSH_FANOUT: usize = 3;
const EXCHANGE_PERIOD: Span = Span::from_ms(500);
const EXCHANGE_TIMEOUT: Span = Span::from_ms(1_000);
const DELEGATES: usize = 2;
const HEARTBEAT_PERIOD: Span = Span::from_ms(5_000);

/// Time without news of any of its hosts after which a zone is absent from the view.
pub const ZONE_TIMEOUT: Span = Span::from_ms(20_000);

const FIRST_FULL_SYNC_PERIOD: Span = Span::from_ms(2_000);
const FULL_SYNC_PERIOD: Span = Span::from_ms(60_000);
const JOIN_CONTACT_PERIOD: Span = Span::from_ms(200);
const JOIN_TIMEOUT: Span = Span::from_ms(5_000);

/// Time in which a process with this host's id and a larger incarnation must answer, or else it counts as dead.
const CONFLICT_TIMEOUT: Span = Span::from_ms(10_000);

const CONTACT_PERIOD: Span = Span::from_ms(1_000);
const LIST_PERIOD: Span = Span::from_ms(30_000);
const LIST_RETRY_PERIOD: Span = Span::from_ms(3_000);

/// Time for which a dead host stays stored, so that old messages cannot revive it.
pub const DEAD_RETENTION: Span = Span::from_ms(600_000);

/// Time for which the hosts of a silent zone stay stored. It is shorter than `DEAD_RETENTION`, so that a zone that
/// returns still stores its dead hosts for as long as other zones may report them as alive.
pub const ABSENT_RETENTION: Span = Span::from_ms(300_000);

/// Largest number of stored hosts, dead ones included.
pub const MAX_ROWS: usize = 4_096;

/// Largest number of stored candidates.
const MAX_CANDIDATES: usize = 4_096;

/// Largest number of changes sent to another zone in one message.
const MAX_EXCHANGED: usize = 32;

/// Input of [`Membership::handle`].
#[derive(Debug, Clone)]
pub enum Event {
    /// Occurs every `TICK_MS`.
    Tick,
    /// A peer sent a message, to be answered by `Action::Answer` with the same number.
    Received(u64, Gossip),
    /// A peer requests a probe of an address, to be answered by `Action::AnswerProbe` with the same number.
    ProbeRequested(u64, SocketAddr),
    /// Answer to the `Action::Send` with the same number; `None` if the call failed.
    Answered(u64, Option<Gossip>),
    /// Answer to the `Action::RequestProbe` with the same number: whether the probed host answered.
    ProbeAnswered(u64, bool),
    /// The platform's list of hosts, requested by `Action::ListHosts`.
    HostsListed(Vec<platform::Host>),
    /// A configuration revision has come into force on this host.
    Revision(u64),
    /// This host has quarantined fingerprints, given with the time left in milliseconds.
    Quarantined(Vec<(u64, u64)>),
    /// This host starts to leave and takes no new roles.
    Leave,
    /// The process of this host ends.
    Depart,
}

/// Output of [`Membership::handle`], to be carried out by the caller.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a message to a peer and return the answer by `Event::Answered`.
    Send(u64, SocketAddr, Gossip),
    /// Request that the helper at the first address probes the second one, and return the answer by
    /// `Event::ProbeAnswered`.
    RequestProbe(u64, SocketAddr, SocketAddr),
    /// Answer the `Event::Received` with the same number.
    Answer(u64, Gossip),
    /// Answer the `Event::ProbeRequested` with the same number: whether the probed host answered.
    AnswerProbe(u64, bool),
    /// Read the platform's list of hosts.
    ListHosts,
    /// Quarantine fingerprints received from other hosts, given with the time left in milliseconds.
    Quarantine(Vec<(u64, u64)>),
    /// This host was stopped or its id is in use twice; its tasks must drop their roles.
    Stalled,
    /// This host has joined and may take roles.
    Joined,
    /// Another process uses this host's id; this process must not take roles again.
    Replaced,
}

#[derive(Debug)]
struct Row {
    member: Member,
    /// When `member` last changed here.
    changed: Time,
    broadcast: Broadcast,
    /// Largest configuration revision in a message from the host itself.
    revision: u64,
    /// When this host's own probe first failed since the other host's last answer or newer statement.
    failed_at: Option<Time>,
    /// Whether the current suspicion was sent again.
    repeated: bool,
}

#[derive(Debug)]
struct Zone {
    name: String,
    /// When a newer statement about a responding host of the zone last arrived.
    last_seen: Time,
    cursor: Cursor,
    /// Consecutive exchanges that failed.
    failures: u32,
}

/// A host that may be alive although it is not known as a member.
#[derive(Debug, Clone)]
struct Candidate {
    /// Empty if only the address is known.
    id: String,
    zone: String,
    peer: SocketAddr,
}

/// Another process that uses this host's id with a larger incarnation and may be alive.
#[derive(Debug)]
struct Conflict {
    since: Time,
    member: Member,
}

#[derive(Debug)]
struct Call {
    number: u64,
    deadline: Time,
    purpose: Purpose,
}

#[derive(Debug, Clone, PartialEq)]
enum Purpose {
    /// Probe of a host and its incarnation.
    Probe(String, u64),
    /// Probe of a host and its incarnation by a helper.
    IndirectProbe(String, u64),
    /// Probe of an address on behalf of a peer, with the number of the peer's request.
    ProxyProbe(u64, SocketAddr),
    /// Exchange with a zone that sends the changes up to a sequence number.
    Exchange(String, u64),
    /// Message to a host that is not known to be alive.
    Contact,
    /// Urgent changes; a missing answer has no effect.
    Push,
}

/// Membership state of one host: a state machine without I/O.
#[derive(Debug)]
pub struct Membership {
    id: String,
    zone: String,
    /// Sorted by id; contains this host.
    rows: Vec<Row>,
    /// Zones other than this host's, sorted by name.
    zones: Vec<Zone>,
    candidates: Vec<Candidate>,
    /// Sorted by number, since new calls get ever larger numbers.
    calls: Vec<Call>,
    /// Ids of the hosts still to be probed in this round.
    round: Vec<String>,
    /// Whether the last probe was reserved for hosts whose last probe failed; every second one is.
    recheck: bool,
    quarantine: Quarantine,
    presence: Presence,
    conflict: Option<Conflict>,
    /// Whether the platform's list of hosts has been read since the start.
    listed: bool,
    /// Whether changes are to be pushed with the next tick instead of with the next probe.
    urgent: bool,
    /// Sequence number of the last change.
    sequence: u64,
    /// Number of changes of rows since the start.
    changes: u64,
    next_call: u64,
    last_event: Time,
    joining_since: Time,
    next_probe: Time,
    next_exchange: Time,
    next_heartbeat: Time,
    next_full_sync: Time,
    /// Time between requests for all members; short after a start, when many hosts may be starting.
    full_sync_period: Span,
    next_zone_resync: Time,
    next_contact: Time,
    next_list: Time,
    revision: u64,
    /// Index in `zones` of the zone of the last exchange.
    rotation: usize,
    random: SmallRng,
}

impl Membership {
    /// Creates the membership of a host that has only the addresses of some peers. `seed` is for the random choices.
    pub fn new(now: Time, own: Member, seeds: &[SocketAddr], seed: u64) -> Membership {
        let unnamed = |peer: &SocketAddr| Candidate {
            id: String::new(),
            zone: own.zone.clone(),
            peer: *peer,
        };
        let candidates = seeds.iter().map(unnamed).collect();
        let mut random = SmallRng::seed_from_u64(seed);
        let phase = Span(random.random_range(0..PROBE_PERIOD.0));
        let resync_phase = Span(random.random_range(0..FULL_SYNC_PERIOD.0));
        let row = Row {
            member: own.clone(),
            changed: now,
            broadcast: Broadcast::new(1),
            revision: 0,
            failed_at: None,
            repeated: false,
        };
        Membership {
            id: own.id,
            zone: own.zone,
            rows: vec![row],
            zones: Vec::new(),
            candidates,
            calls: Vec::new(),
            round: Vec::new(),
            recheck: false,
            quarantine: Quarantine::default(),
            presence: Presence::Joining,
            conflict: None,
            listed: false,
            urgent: false,
            sequence: 1,
            changes: 0,
            next_call: 1,
            last_event: now,
            joining_since: now,
            next_probe: now + phase,
            next_exchange: now + phase,
            next_heartbeat: now + HEARTBEAT_PERIOD,
            next_full_sync: now + FIRST_FULL_SYNC_PERIOD + phase,
            full_sync_period: FIRST_FULL_SYNC_PERIOD,
            next_zone_resync: now + resync_phase,
            next_contact: now,
            next_list: now,
            revision: 0,
            rotation: 0,
            random,
        }
    }

    /// Returns the current statement of this host about itself.
    pub fn own(&self) -> &Member {
        &self.rows[self.own_index()].member
    }

    /// Returns the status of this host within the membership.
    pub fn presence(&self) -> Presence {
        self.presence
    }

    /// Returns the hosts that are not dead, except those of silent zones.
    pub fn view(&self) -> View {
        let shown =
            |it: &&Row| it.member.state != State::Dead && self.is_zone_present(&it.member.zone);
        View { members: self.rows.iter().filter(shown).map(|it| it.member.clone()).collect() }
    }

    /// Returns a value that differs between two calls if the view may differ.
    pub fn view_version(&self) -> (u64, usize) {
        (self.changes, self.zones.iter().filter(|it| self.is_zone_present(&it.name)).count())
    }

    /// Returns the newest configuration revision among the hosts that are not dead.
    pub fn newest(&self) -> Option<Newest> {
        let live = self.rows.iter().filter(|it| it.member.state != State::Dead);
        let row = live.max_by_key(|it| it.revision)?;
        Some(Newest { revision: row.revision, host: row.member.id.clone(), peer: row.member.peer })
    }

    /// Returns the number of stored hosts, dead ones included.
    pub fn stored_hosts(&self) -> usize {
        self.rows.len()
    }

    /// Handles one event and appends the actions that follow from it. `now` must not decrease between calls.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.check_gap(now, actions);
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Received(number, message) => self.receive(now, number, message, actions),
            Event::ProbeRequested(number, target) => self.proxy_probe(now, number, target, actions),
            Event::Answered(number, message) => self.handle_answer(now, number, message, actions),
            Event::ProbeAnswered(number, alive) => self.probe_answered(now, number, alive, actions),
            Event::HostsListed(hosts) => self.set_candidates(hosts),
            Event::Revision(revision) => self.set_revision(revision),
            Event::Quarantined(entries) => {
                let sequence = self.next_sequence();
                self.quarantine.merge(now, sequence, &entries);
            }
            Event::Leave => self.announce(now, State::Leaving),
            Event::Depart => self.announce(now, State::Dead),
        }
    }

    /// Extends the timeouts of other hosts by the time in which this host did not run and could not receive answers.
    fn check_gap(&mut self, now: Time, actions: &mut Vec<Action>) {
        let gap = now.since(self.last_event);
        self.last_event = now;
        if gap <= MAX_EVENT_GAP {
            return;
        }
        for call in &mut self.calls {
            call.deadline = call.deadline + gap;
        }
        for row in &mut self.rows {
            row.changed = row.changed + gap;
            row.failed_at = row.failed_at.map(|it| it + gap);
        }
        for zone in &mut self.zones {
            zone.last_seen = zone.last_seen + gap;
        }
        if gap > SUSPICION_TIMEOUT {
            self.stall(now, gap, actions);
        }
    }

    fn stall(&mut self, now: Time, gap: Span, actions: &mut Vec<Action>) {
        if self.presence == Presence::Replaced {
            return;
        }
        for call in self.calls.drain(..) {
            if let Purpose::ProxyProbe(asked, _) = call.purpose {
                actions.push(Action::AnswerProbe(asked, false));
            }
        }
        if gap > ABSENT_RETENTION {
            // The statements stored here may be older than the retention time at other hosts.
            let id = self.id.clone();
            self.forget(|it| it.id != id);
        }
        if self.presence == Presence::Joined {
            self.presence = Presence::Stalled;
        }
        self.joining_since = now;
        self.next_contact = now;
        self.next_list = now;
        self.raise_version(now);
        self.urgent = true;
        actions.push(Action::Stalled);
    }

    /// Removes hosts and stores their addresses as candidates.
    fn forget(&mut self, which: impl Fn(&Member) -> bool) {
        self.changes += 1;
        for row in self.rows.extract_if(.., |it| which(&it.member)) {
            let Member { id, zone, peer, .. } = row.member;
            let known = self.candidates.iter().any(|it| it.peer == peer);
            if !known && self.candidates.len() < MAX_CANDIDATES {
                self.candidates.push(Candidate { id, zone, peer });
            }
        }
        let rows = &self.rows;
        self.zones.retain(|zone| rows.iter().any(|it| it.member.zone == zone.name));
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.expire_calls(now, actions);
        if self.presence == Presence::Replaced {
            return;
        }
        self.expire_rows(now);
        self.quarantine.expire(now);
        self.finish_join(now, actions);
        self.heartbeat(now);
        self.probe(now, actions);
        self.push_changes(now, actions);
        self.exchange(now, actions);
        self.contact(now, actions);
        self.request_list(now, actions);
    }

    fn expire_calls(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expired: Vec<u64> =
            self.calls.iter().filter(|it| it.deadline <= now).map(|it| it.number).collect();
        for number in expired {
            if let Some(call) = self.take_call(number) {
                self.handle_failure(now, call.purpose, actions);
            }
        }
    }

    fn expire_rows(&mut self, now: Time) {
        for index in 0..self.rows.len() {
            let row = &self.rows[index];
            let own_zone = row.member.zone == self.zone && row.member.id != self.id;
            let timed_out = row.failed_at.is_some_and(|it| now.since(it) >= SUSPICION_TIMEOUT);
            let over = match row.member.state {
                State::Suspect => timed_out || now.since(row.changed) >= RECEIVED_SUSPICION_TIMEOUT,
                State::Leaving => timed_out,
                State::Alive | State::Dead => false,
            };
            // A host with newer information can then answer before the suspicion becomes a death.
            let to_repeat = row.member.state == State::Suspect && !row.repeated;
            if own_zone && to_repeat && now.since(row.changed) >= SUSPICION_REPEAT_DELAY {
                self.rows[index].repeated = true;
                self.rows[index].broadcast.renew();
                self.urgent = true;
            }
            if own_zone && over {
                self.set_state(now, index, State::Dead);
            }
        }
        let forgotten =
            |it: &Row| it.member.state == State::Dead && now.since(it.changed) >= DEAD_RETENTION;
        self.rows.retain(|it| it.member.id == self.id || !forgotten(it));
        let silent = |it: &&Zone| now.since(it.last_seen) >= ABSENT_RETENTION;
        let zones: Vec<String> =
            self.zones.iter().filter(silent).map(|it| it.name.clone()).collect();
        if !zones.is_empty() {
            self.forget(|it| zones.contains(&it.zone));
        }
    }

    fn finish_join(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.joining_since) >= JOIN_TIMEOUT {
            self.join(actions);
        }
        let over = |it: &Conflict| now.since(it.since) >= CONFLICT_TIMEOUT;
        if let Some(conflict) = self.conflict.take_if(|it| over(it)) {
            self.raise_incarnation(now, conflict.member.incarnation);
        }
    }

    fn join(&mut self, actions: &mut Vec<Action>) {
        match self.presence {
            Presence::Joining | Presence::Stalled if self.conflict.is_none() => {
                self.presence = Presence::Joined;
                actions.push(Action::Joined);
            }
            Presence::Joining | Presence::Stalled | Presence::Joined | Presence::Replaced => {}
        }
    }

    /// Raises the version of this host if it is the first delegate of its zone. The new versions show other zones that
    /// the zone is alive.
    fn heartbeat(&mut self, now: Time) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + HEARTBEAT_PERIOD;
        let first = self.delegates(&self.zone).first().is_some_and(|it| *it == self.id);
        if first {
            self.raise_version(now);
        }
    }

    fn probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + PROBE_PERIOD;
        let Some(index) = self.next_probe_target() else { return };
        let member = &self.rows[index].member;
        let (id, incarnation, to) = (member.id.clone(), member.incarnation, member.peer);
        let full = now >= self.next_full_sync;
        if full {
            // The random pause spreads the requests of hosts that started at the same time.
            let pause =
                self.random.random_range(self.full_sync_period.0 / 2..=self.full_sync_period.0);
            self.next_full_sync = now + Span(pause);
            self.full_sync_period = Span(self.full_sync_period.0 * 2).min(FULL_SYNC_PERIOD);
        }
        let message = self.message(&self.to_refute(index), full);
        self.send(now, PROBE_TIMEOUT, Purpose::Probe(id, incarnation), to, message, actions);
    }

    fn next_probe_target(&mut self) -> Option<usize> {
        let probed = |it: &Row, own: &str| it.member.id != own && it.member.state != State::Dead;
        self.recheck = !self.recheck;
        if self.recheck {
            let failed = |it: &Row| it.failed_at.is_some() && it.member.state != State::Dead;
            if let Some(index) = self.pick(1, failed).first() {
                return Some(*index);
            }
        }
        for _ in 0..2 {
            while let Some(id) = self.round.pop() {
                let Ok(index) = self.find(&id) else { continue };
                if probed(&self.rows[index], &self.id) {
                    return Some(index);
                }
            }
            self.round = self
                .rows
                .iter()
                .filter(|it| it.member.zone == self.zone && probed(it, &self.id))
                .map(|it| it.member.id.clone())
                .collect();
            self.round.shuffle(&mut self.random);
        }
        None
    }

    fn push_changes(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !std::mem::take(&mut self.urgent) {
            return;
        }
        for index in self.pick(PUSH_FANOUT, |it| is_responding(it.member.state)) {
            let to = self.rows[index].member.peer;
            let message = self.message(&[], false);
            self.send(now, PROBE_TIMEOUT, Purpose::Push, to, message, actions);
        }
    }

    /// Returns random other hosts of this zone that meet a condition, at most `count`.
    fn pick(&mut self, count: usize, condition: impl Fn(&Row) -> bool) -> Vec<usize> {
        let fits =
            |it: &Row| it.member.id != self.id && it.member.zone == self.zone && condition(it);
        let mut found: Vec<usize> =
            (0..self.rows.len()).filter(|it| fits(&self.rows[*it])).collect();
        let (chosen, _) = found.partial_shuffle(&mut self.random, count);
        chosen.to_vec()
    }

    fn exchange(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.next_exchange {
            return;
        }
        self.next_exchange = now + EXCHANGE_PERIOD;
        if self.zones.is_empty() || !self.is_delegate() {
            return;
        }
        self.rotation = (self.rotation + 1) % self.zones.len();
        let zone = &mut self.zones[self.rotation];
        if now >= self.next_zone_resync {
            self.next_zone_resync = now + FULL_SYNC_PERIOD;
            zone.cursor.reset();
        }
        let (name, after, failures) = (zone.name.clone(), zone.cursor.position(), zone.failures);
        let Some(to) = self.exchange_address(&name, failures) else { return };
        let mut message = self.message(&[], after == 0);
        let reached = if after == 0 {
            message.changes = self.all();
            // Entries that were sent often enough within this zone may still be unknown in the other one.
            message.quarantine = self.quarantine.after(self.last_event, after);
            self.sequence
        } else {
            self.add_changes_after(after, &mut message)
        };
        self.send(now, EXCHANGE_TIMEOUT, Purpose::Exchange(name, reached), to, message, actions);
    }

    /// Returns the address for an exchange with another zone: that of a delegate, or of any host that is not dead if
    /// the last exchange failed.
    fn exchange_address(&mut self, zone: &str, failures: u32) -> Option<SocketAddr> {
        let mut hosts: Vec<String> =
            self.delegates(zone).iter().map(|it| (*it).to_owned()).collect();
        if hosts.is_empty() || failures > 0 {
            let live = |it: &&Row| it.member.zone == zone && it.member.state != State::Dead;
            hosts = self.rows.iter().filter(live).map(|it| it.member.id.clone()).collect();
        }
        if hosts.is_empty() {
            return None;
        }
        let chosen = self.random.random_range(0..hosts.len());
        let index = self.find(&hosts[chosen]).ok()?;
        Some(self.rows[index].member.peer)
    }

    /// Adds the oldest changes after a sequence number and returns the number up to which all are included.
    fn add_changes_after(&self, after: u64, message: &mut Gossip) -> u64 {
        let mut newer: Vec<&Row> =
            self.rows.iter().filter(|it| it.broadcast.sequence() > after).collect();
        newer.sort_by_key(|it| it.broadcast.sequence());
        let whole = newer.len() <= MAX_EXCHANGED;
        newer.truncate(MAX_EXCHANGED);
        let last = newer.last().map_or(after, |it| it.broadcast.sequence());
        let reached = if whole { self.sequence } else { last };
        message.changes = newer.iter().map(|it| it.member.clone()).collect();
        message.quarantine = self.quarantine.after(self.last_event, after);
        reached
    }

    /// Sends messages to hosts that may be alive although they are not known to be: candidates and dead hosts.
    fn contact(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.next_contact {
            return;
        }
        let joining = matches!(self.presence, Presence::Joining | Presence::Stalled);
        self.next_contact = now + if joining { JOIN_CONTACT_PERIOD } else { CONTACT_PERIOD };
        let count = if joining { HELPERS } else { 1 };
        for to in self.contact_targets(joining, count) {
            let message = self.message(&[], true);
            self.send(now, EXCHANGE_TIMEOUT, Purpose::Contact, to, message, actions);
        }
    }

    fn contact_targets(&mut self, joining: bool, count: usize) -> Vec<SocketAddr> {
        let delegate = self.is_delegate();
        // Each host takes its turn with a probability of 2 in the number of responding hosts, so that the number of
        // messages in each period does not grow with the zone.
        let size = self
            .rows
            .iter()
            .filter(|it| it.member.zone == self.zone && is_responding(it.member.state));
        let turn = self.random.random_ratio(2, (size.count() as u32).max(2));
        if !(joining || delegate || turn) {
            return Vec::new();
        }
        let own_peer = self.own().peer;
        let in_reach = |zone: &str| joining || delegate || zone == self.zone;
        let dead =
            self.rows.iter().filter(|it| it.member.id != self.id).filter(|it| {
                (joining || it.member.state == State::Dead) && in_reach(&it.member.zone)
            });
        let listed =
            self.candidates.iter().filter(|it| in_reach(&it.zone) && !self.is_known_live(it));
        let mut found: Vec<SocketAddr> = dead.map(|it| it.member.peer).collect();
        found.extend(listed.map(|it| it.peer));
        found.retain(|it| *it != own_peer);
        found.sort_unstable();
        found.dedup();
        let (chosen, _) = found.partial_shuffle(&mut self.random, count);
        let mut chosen = chosen.to_vec();
        chosen.extend(self.conflict.as_ref().map(|it| it.member.peer));
        chosen
    }

    fn is_known_live(&self, candidate: &Candidate) -> bool {
        let same = |it: &&Row| it.member.id == candidate.id || it.member.peer == candidate.peer;
        self.rows.iter().filter(same).any(|it| it.member.state != State::Dead)
    }

    /// Requests the platform's list of hosts at the delegates of the zone, and at hosts that are joining.
    fn request_list(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.next_list {
            return;
        }
        let joining = matches!(self.presence, Presence::Joining | Presence::Stalled);
        if !joining && !self.is_delegate() {
            self.next_list = now + LIST_PERIOD;
            return;
        }
        self.next_list = now + if self.listed { LIST_PERIOD } else { LIST_RETRY_PERIOD };
        actions.push(Action::ListHosts);
    }

    fn set_candidates(&mut self, hosts: Vec<platform::Host>) {
        self.listed = true;
        let other = |it: &platform::Host| it.id != self.id;
        let candidate = |it: platform::Host| Candidate { id: it.id, zone: it.zone, peer: it.peer };
        self.candidates =
            hosts.into_iter().filter(other).take(MAX_CANDIDATES).map(candidate).collect();
    }

    fn set_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        let own = self.own_index();
        self.rows[own].revision = self.revision;
    }

    fn announce(&mut self, now: Time, state: State) {
        let own = self.own_index();
        if self.rows[own].member.state < state {
            self.rows[own].member.state = state;
            self.raise_version(now);
            self.urgent = true;
        }
    }

    fn raise_version(&mut self, now: Time) {
        let own = self.own_index();
        let version = self.rows[own].member.version.saturating_add(1);
        self.rows[own].member.version = version;
        self.record_change(now, own);
    }

    fn receive(&mut self, now: Time, number: u64, message: Gossip, actions: &mut Vec<Action>) {
        let from = message.from.id.clone();
        let (full, current) = (message.full, self.is_current(&message.from));
        let mut outdated = Vec::new();
        if let Ok(index) = self.find(&from)
            && message.from.precedence() < self.rows[index].member.precedence()
        {
            outdated.push(from);
        }
        if current {
            outdated.extend(self.outdated(&message.changes));
            self.merge_message(now, message, actions);
        }
        let answer = self.message(&outdated, full && current);
        actions.push(Action::Answer(number, answer));
    }

    /// Returns the hosts for which this host stores a newer statement than a message contains.
    fn outdated(&self, changes: &[Member]) -> Vec<String> {
        let newer = |it: &&Member| {
            let known = self.find(&it.id).map(|found| &self.rows[found].member);
            known.is_ok_and(|known| it.precedence() < known.precedence())
        };
        let found = changes.iter().filter(newer).take(Broadcast::MAX_CHANGES);
        found.map(|it| it.id.clone()).collect()
    }

    /// Returns whether the sender of a message neither has this host's id nor is an older incarnation of a known host.
    fn is_current(&self, from: &Member) -> bool {
        let known = self.find(&from.id).map(|it| self.rows[it].member.incarnation);
        from.id != self.id && known.is_ok_and(|it| from.incarnation >= it) || known.is_err()
    }

    fn merge_message(&mut self, now: Time, message: Gossip, actions: &mut Vec<Action>) {
        let Gossip { from, revision, changes, quarantine, .. } = message;
        let id = from.id.clone();
        self.merge(now, from, true, actions);
        // What a host receives while it joins is already known to most other hosts.
        let urgent = self.presence == Presence::Joined;
        for member in changes.into_iter().take(MAX_ROWS) {
            self.merge(now, member, urgent, actions);
        }
        if let Ok(index) = self.find(&id) {
            let row = &mut self.rows[index];
            row.revision = row.revision.max(revision);
            row.failed_at = None;
        }
        let sequence = self.next_sequence();
        let fresh = self.quarantine.merge(now, sequence, &quarantine);
        if !fresh.is_empty() {
            actions.push(Action::Quarantine(fresh));
        }
    }

    fn merge(&mut self, now: Time, member: Member, urgent: bool, actions: &mut Vec<Action>) {
        if member.id == self.id {
            self.merge_own(now, &member, actions);
            return;
        }
        match self.find(&member.id) {
            Ok(index) => self.update(now, index, member),
            Err(position) => self.insert(now, position, member, urgent),
        }
    }

    fn merge_own(&mut self, now: Time, member: &Member, actions: &mut Vec<Action>) {
        let index = self.own_index();
        if member.incarnation > self.rows[index].member.incarnation {
            self.handle_conflict(now, index, member, actions);
            return;
        }
        let own = &mut self.rows[index].member;
        let outranked = member.precedence() > own.precedence();
        if outranked && own.state != State::Dead {
            own.version = member.version;
            self.raise_version(now);
            self.urgent = true;
        }
    }

    /// Handles a statement with this host's id and a larger incarnation: either another process has replaced this one,
    /// or the wall clock was ahead when the predecessor of this process started.
    fn handle_conflict(
        &mut self,
        now: Time,
        index: usize,
        other: &Member,
        actions: &mut Vec<Action>,
    ) {
        // Only one process can use an address, and this one uses it.
        let same_address = other.peer == self.rows[index].member.peer;
        let joining = self.presence == Presence::Joining;
        if self.presence == Presence::Replaced {
            return;
        }
        if joining || same_address || other.state == State::Dead {
            self.raise_incarnation(now, other.incarnation);
            return;
        }
        if self.conflict.is_none() {
            self.conflict = Some(Conflict { since: now, member: other.clone() });
            self.presence = Presence::Stalled;
            self.next_contact = now;
            actions.push(Action::Stalled);
        }
    }

    fn raise_incarnation(&mut self, now: Time, incarnation: u64) {
        let own = self.own_index();
        self.rows[own].member.incarnation = incarnation.saturating_add(1);
        self.conflict = None;
        self.record_change(now, own);
        self.urgent = true;
    }

    fn update(&mut self, now: Time, index: usize, member: Member) {
        let row = &mut self.rows[index];
        if member.precedence() <= row.member.precedence() {
            let settled = matches!(row.member.state, State::Leaving | State::Dead);
            if settled && member.precedence() < row.member.precedence() {
                // Another host still stores an older statement.
                self.rows[index].broadcast.renew();
            }
            return;
        }
        if member.incarnation > row.member.incarnation {
            row.revision = 0;
        }
        let newer =
            (member.incarnation, member.version) > (row.member.incarnation, row.member.version);
        let changed =
            member.state != row.member.state || member.incarnation != row.member.incarnation;
        row.member = member;
        row.failed_at = None;
        self.urgent |= changed;
        self.record_change(now, index);
        if newer {
            self.record_zone_activity(now, index);
        }
    }

    fn insert(&mut self, now: Time, position: usize, member: Member, urgent: bool) {
        // An unknown dead host may have been removed here after its retention time.
        if member.state == State::Dead || self.rows.len() >= MAX_ROWS || !is_valid(&member) {
            return;
        }
        let broadcast = Broadcast::new(self.next_sequence());
        let row =
            Row { member, changed: now, broadcast, revision: 0, failed_at: None, repeated: false };
        self.rows.insert(position, row);
        self.changes += 1;
        self.record_zone_activity(now, position);
        self.urgent |= urgent;
    }

    fn record_zone_activity(&mut self, now: Time, index: usize) {
        let member = &self.rows[index].member;
        if member.zone == self.zone || !is_responding(member.state) {
            return;
        }
        match self.zones.binary_search_by(|it| it.name.cmp(&member.zone)) {
            Ok(found) => self.zones[found].last_seen = now,
            Err(position) => {
                let name = member.zone.clone();
                let zone = Zone { name, last_seen: now, cursor: Cursor::default(), failures: 0 };
                self.zones.insert(position, zone);
            }
        }
    }

    fn handle_answer(
        &mut self,
        now: Time,
        number: u64,
        message: Option<Gossip>,
        actions: &mut Vec<Action>,
    ) {
        let purpose = self.take_call(number).map(|it| it.purpose);
        let Some(message) = message else {
            if let Some(purpose) = purpose {
                self.handle_failure(now, purpose, actions);
            }
            return;
        };
        let (from, incarnation) = (message.from.id.clone(), message.from.incarnation);
        if self.is_current(&message.from) {
            let whole = message.full;
            self.merge_message(now, message, actions);
            if whole {
                self.join(actions);
            }
        } else {
            // The sender has been replaced, so only its statement about this host is merged.
            self.check_replaced(&message.from, actions);
            let own = message.changes.into_iter().find(|it| it.id == self.id);
            if let Some(own) = own {
                self.merge(now, own, true, actions);
            }
        }
        let Some(purpose) = purpose else { return };
        match purpose {
            // Another process uses the address.
            Purpose::Probe(id, probed) if id != from || incarnation < probed => {
                self.suspect(now, &id, probed);
            }
            Purpose::ProxyProbe(asked, target) => {
                actions.push(Action::AnswerProbe(asked, self.confirms(target, &from)));
            }
            Purpose::Exchange(zone, reached) => self.complete_exchange(&zone, reached),
            Purpose::Probe(..) | Purpose::IndirectProbe(..) | Purpose::Contact | Purpose::Push => {}
        }
    }

    fn check_replaced(&mut self, from: &Member, actions: &mut Vec<Action>) {
        let larger = from.id == self.id && from.incarnation > self.own().incarnation;
        if larger && self.presence != Presence::Replaced {
            self.conflict = None;
            self.presence = Presence::Replaced;
            actions.push(Action::Replaced);
        }
    }

    /// Returns whether an answer from a host confirms that every host stored with the address and not dead is alive.
    fn confirms(&self, target: SocketAddr, from: &str) -> bool {
        let live = |it: &&Row| it.member.peer == target && it.member.state != State::Dead;
        self.rows.iter().filter(live).all(|it| it.member.id == from)
    }

    fn complete_exchange(&mut self, zone: &str, reached: u64) {
        if let Ok(found) = self.zones.binary_search_by(|it| it.name.as_str().cmp(zone)) {
            self.zones[found].cursor.advance(reached);
            self.zones[found].failures = 0;
        }
    }

    fn handle_failure(&mut self, now: Time, purpose: Purpose, actions: &mut Vec<Action>) {
        match purpose {
            Purpose::Probe(id, incarnation) => self.probe_indirectly(now, id, incarnation, actions),
            Purpose::IndirectProbe(id, incarnation) => self.indirect_failed(now, &id, incarnation),
            Purpose::ProxyProbe(asked, _) => actions.push(Action::AnswerProbe(asked, false)),
            Purpose::Exchange(zone, _) => {
                if let Ok(found) = self.zones.binary_search_by(|it| it.name.cmp(&zone)) {
                    self.zones[found].failures += 1;
                }
            }
            Purpose::Contact | Purpose::Push => {}
        }
    }

    fn probe_indirectly(
        &mut self,
        now: Time,
        id: String,
        incarnation: u64,
        actions: &mut Vec<Action>,
    ) {
        let Ok(index) = self.find(&id) else { return };
        let (target, current) = (self.rows[index].member.peer, self.rows[index].member.incarnation);
        if current != incarnation {
            return;
        }
        let helpers =
            self.pick(HELPERS, |it| it.member.state == State::Alive && it.member.id != id);
        if helpers.is_empty() {
            self.suspect(now, &id, incarnation);
        }
        for helper in helpers {
            let via = self.rows[helper].member.peer;
            let purpose = Purpose::IndirectProbe(id.clone(), incarnation);
            let number = self.call(now + HELPER_TIMEOUT, purpose);
            actions.push(Action::RequestProbe(number, via, target));
        }
    }

    fn probe_answered(&mut self, now: Time, number: u64, alive: bool, actions: &mut Vec<Action>) {
        let Some(call) = self.take_call(number) else { return };
        if alive {
            self.calls.retain(|it| it.purpose != call.purpose);
        } else {
            self.handle_failure(now, call.purpose, actions);
        }
    }

    fn indirect_failed(&mut self, now: Time, id: &str, incarnation: u64) {
        let purpose = Purpose::IndirectProbe(id.to_owned(), incarnation);
        if !self.calls.iter().any(|it| it.purpose == purpose) {
            self.suspect(now, id, incarnation);
        }
    }

    fn suspect(&mut self, now: Time, id: &str, incarnation: u64) {
        let Ok(index) = self.find(id) else { return };
        let row = &mut self.rows[index];
        match row.member.state {
            State::Alive if row.member.incarnation == incarnation => {
                self.set_state(now, index, State::Suspect);
                self.rows[index].failed_at = Some(now);
            }
            State::Leaving | State::Suspect if row.failed_at.is_none() => row.failed_at = Some(now),
            State::Alive | State::Leaving | State::Suspect | State::Dead => {}
        }
    }

    fn proxy_probe(
        &mut self,
        now: Time,
        number: u64,
        target: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let message = self.message(&[], false);
        let purpose = Purpose::ProxyProbe(number, target);
        self.send(now, PROBE_TIMEOUT, purpose, target, message, actions);
    }

    fn set_state(&mut self, now: Time, index: usize, state: State) {
        self.rows[index].member.state = state;
        self.rows[index].failed_at = None;
        self.urgent = true;
        self.record_change(now, index);
    }

    fn record_change(&mut self, now: Time, index: usize) {
        let sequence = self.next_sequence();
        self.changes += 1;
        self.rows[index].changed = now;
        self.rows[index].repeated = false;
        self.rows[index].broadcast = Broadcast::new(sequence);
    }

    /// Returns the host if its state must be sent to it so that it can refute it.
    fn to_refute(&self, index: usize) -> Vec<String> {
        let member = &self.rows[index].member;
        if is_responding(member.state) { Vec::new() } else { vec![member.id.clone()] }
    }

    /// Builds a message with either all members, or the given hosts and the changes that were sent least often.
    fn message(&mut self, first: &[String], full: bool) -> Gossip {
        let own = self.own_index();
        let limit = Broadcast::limit(self.rows.len());
        let mut changes = if full { self.all() } else { Vec::new() };
        if !full {
            let first: Vec<usize> = first.iter().filter_map(|it| self.find(it).ok()).collect();
            changes.extend(first.iter().map(|it| self.rows[*it].member.clone()));
            let waits = |it: &usize| self.rows[*it].broadcast.is_pending(limit);
            let mut waiting: Vec<usize> = (0..self.rows.len()).filter(waits).collect();
            waiting.retain(|it| *it != own && !first.contains(it));
            waiting.sort_by_key(|it| self.rows[*it].broadcast.order());
            for index in waiting.into_iter().take(Broadcast::MAX_CHANGES) {
                self.rows[index].broadcast.record_send();
                changes.push(self.rows[index].member.clone());
            }
        }
        let quarantine = self.quarantine.take(self.last_event, limit);
        let from = self.rows[own].member.clone();
        Gossip { from, revision: self.revision, changes, quarantine, full }
    }

    fn all(&self) -> Vec<Member> {
        self.rows.iter().map(|it| it.member.clone()).collect()
    }

    fn send(
        &mut self,
        now: Time,
        timeout: Span,
        purpose: Purpose,
        to: SocketAddr,
        message: Gossip,
        actions: &mut Vec<Action>,
    ) {
        let number = self.call(now + timeout, purpose);
        actions.push(Action::Send(number, to, message));
    }

    fn call(&mut self, deadline: Time, purpose: Purpose) -> u64 {
        let number = self.next_call;
        self.next_call += 1;
        self.calls.push(Call { number, deadline, purpose });
        number
    }

    fn take_call(&mut self, number: u64) -> Option<Call> {
        let found = self.calls.binary_search_by_key(&number, |it| it.number).ok()?;
        Some(self.calls.remove(found))
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|it| it.member.id.as_str().cmp(id))
    }

    /// Returns the index of this host's row, which is never removed.
    fn own_index(&self) -> usize {
        self.find(&self.id).unwrap_or(0)
    }

    fn is_zone_present(&self, zone: &str) -> bool {
        zone_of(&self.zones, zone)
            .is_none_or(|it| self.last_event.since(it.last_seen) < ZONE_TIMEOUT)
    }

    fn delegates(&self, zone: &str) -> Vec<&str> {
        let of_zone = |it: &&Row| it.member.zone == zone && it.member.state != State::Dead;
        let hosts = || self.rows.iter().filter(of_zone).map(|it| &it.member);
        let able = hosts().filter(|it| can_take_roles(it.state)).map(|it| it.id.as_str());
        let found = rendezvous::owners("delegate", able, DELEGATES);
        if !found.is_empty() {
            return found;
        }
        rendezvous::owners("delegate", hosts().map(|it| it.id.as_str()), DELEGATES)
    }

    fn is_delegate(&self) -> bool {
        self.delegates(&self.zone).contains(&self.id.as_str())
    }
}

fn zone_of<'a>(zones: &'a [Zone], name: &str) -> Option<&'a Zone> {
    let found = zones.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
    Some(&zones[found])
}

fn is_responding(state: State) -> bool {
    match state {
        State::Alive | State::Leaving => true,
        State::Suspect | State::Dead => false,
    }
}

/// Longest accepted name of a host, zone or region, in bytes.
const MAX_NAME_BYTES: usize = 128;

fn is_valid(member: &Member) -> bool {
    [&member.id, &member.zone, &member.region].iter().all(|it| it.len() <= MAX_NAME_BYTES)
}
