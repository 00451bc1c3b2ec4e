//! Membership: which hosts are alive, by probes, suspicions and incarnations.
//!
//! Within a zone each host probes random others and suspects those that neither answer it nor a helper. A suspect can
//! refute that by raising its version; otherwise it is dead after a timeout. Two delegates of each zone exchange what
//! they know with the delegates of the other zones. The core does no I/O; `gossip` runs it.

use std::net::SocketAddr;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};
use serde::{Deserialize, Serialize};

use crate::{
    dissemination::{Broadcast, Cursor, Quarantine},
    platform, rendezvous,
    time::{Span, Time},
    wire::Gossip,
};

/// What is believed of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// Answers heartbeats and takes roles.
    Alive,
    /// Answers heartbeats, finishes its requests and takes no role.
    Leaving,
    /// Has not answered and is given time to refute that.
    Suspect,
    /// Has not answered for the whole timeout, or has left.
    Dead,
}

/// One process of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host id.
    pub id: String,
    /// Region of the host.
    pub region: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Administration address.
    pub admin: SocketAddr,
    /// Start of the process in wall-clock milliseconds; a restarted host has a larger one.
    pub incarnation: u64,
    /// Raised by the host itself to refute a suspicion.
    pub version: u64,
    /// What is believed of the host.
    pub state: State,
}

impl Member {
    /// Order of two statements about the same host: the larger one holds.
    pub fn precedence(&self) -> (u64, u64, State) {
        (self.incarnation, self.version, self.state)
    }
}

/// The hosts as this host sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// Sorted by id; dead hosts and zones that have fallen silent are absent.
    pub members: Vec<Member>,
}

impl View {
    /// Member by id.
    pub fn get(&self, id: &str) -> Option<&Member> {
        let found = self.members.binary_search_by(|it| it.id.as_str().cmp(id)).ok()?;
        Some(&self.members[found])
    }

    /// Hosts of a zone that can take roles. A suspect keeps its roles until it is held to be dead.
    pub fn eligible<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a str> {
        self.members.iter().filter_map(move |it| {
            (it.zone == zone && takes_roles(it.state)).then_some(it.id.as_str())
        })
    }
}

fn takes_roles(state: State) -> bool {
    match state {
        State::Alive | State::Suspect => true,
        State::Leaving | State::Dead => false,
    }
}

/// Newest configuration revision that a live host has in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Newest {
    /// Revision of the configuration.
    pub revision: u64,
    /// Host that has it in force.
    pub host: String,
    /// Address of that host for peers.
    pub peer: SocketAddr,
}

/// How this host stands to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// Looks for others; takes no roles.
    Joining,
    /// Has heard from another host, or has looked long enough and goes on alone.
    Joined,
    /// Was stopped for longer than the suspicion timeout, or another process has its id; keeps no roles until it has
    /// heard from others and the other process is dead.
    Stalled,
    /// Another process has taken the host id with a larger incarnation. Final.
    Replaced,
}

/// Time between two ticks of the core, in milliseconds.
pub const TICK_MS: u64 = 50;

const PROBE_PERIOD: Span = Span::from_ms(200);
const PROBE_TIMEOUT: Span = Span::from_ms(250);
const HELPER_TIMEOUT: Span = Span::from_ms(350);
const HELPERS: usize = 3;

/// Time from a suspicion to death at the host that raised it, if it is not refuted.
pub const SUSPICION_TIMEOUT: Span = Span::from_ms(1_000);

/// Time from a suspicion to death at a host that only heard of it.
const HEARSAY_TIMEOUT: Span = Span::from_ms(1_400);

/// Time from a suspicion until it is told again.
const RETELL_TIMEOUT: Span = Span::from_ms(800);

/// Gap between events after which this host itself was too slow to judge others.
const LATE: Span = Span::from_ms(4 * TICK_MS);

const PUSH_FANOUT: usize = 3;
const EXCHANGE_PERIOD: Span = Span::from_ms(500);
const EXCHANGE_TIMEOUT: Span = Span::from_ms(1_000);
const DELEGATES: usize = 2;
const BEAT_PERIOD: Span = Span::from_ms(5_000);

/// Time without a sign of life after which a zone is absent from the view.
pub const ZONE_TIMEOUT: Span = Span::from_ms(20_000);

const FIRST_FULL_PERIOD: Span = Span::from_ms(2_000);
const FULL_PERIOD: Span = Span::from_ms(60_000);
const JOIN_PERIOD: Span = Span::from_ms(200);
const JOIN_TIMEOUT: Span = Span::from_ms(5_000);

/// Time in which a larger incarnation of this host must answer, or it is taken to be dead.
const CONTEST_TIMEOUT: Span = Span::from_ms(10_000);

const RETRY_PERIOD: Span = Span::from_ms(1_000);
const LIST_PERIOD: Span = Span::from_ms(30_000);
const LIST_RETRY: Span = Span::from_ms(3_000);

/// Time for which a dead host is remembered.
pub const DEAD_RETENTION: Span = Span::from_ms(600_000);

/// Time for which the hosts of a silent zone are remembered. Shorter than `DEAD_RETENTION`, so that a zone that comes
/// back still knows of its dead when the others could name them as alive.
pub const ABSENT_RETENTION: Span = Span::from_ms(300_000);

/// Most hosts that are remembered.
pub const MAX_ROWS: usize = 4_096;

/// Most hosts of the platform's list that are kept as candidates.
const MAX_CANDIDATES: usize = 4_096;

/// Most changes pushed to another zone in one message.
const MAX_PUSHED: usize = 32;

/// What happens to the core.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passes; every `TICK_MS`.
    Tick,
    /// A peer's message, to be answered with `Action::Answer` under the same number.
    Received(u64, Gossip),
    /// A peer asks to probe an address, to be answered with `Action::AnswerProbe` under the same number.
    ProbeRequested(u64, SocketAddr),
    /// The answer to `Action::Send`; `None` if there is none.
    Answered(u64, Option<Gossip>),
    /// The answer to `Action::RequestProbe`.
    ProbeAnswered(u64, bool),
    /// The platform's list of hosts.
    HostsListed(Vec<platform::Host>),
    /// This host's configuration revision.
    Revision(u64),
    /// Fingerprints that this host has quarantined, with the time left in milliseconds.
    Quarantined(Vec<(u64, u64)>),
    /// This host announces that it is leaving.
    Leave,
    /// This host announces that its process ends.
    Depart,
}

/// What the core asks for.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a message to a peer and hand the answer back as `Event::Answered`.
    Send(u64, SocketAddr, Gossip),
    /// Ask a helper at the first address to probe the second.
    RequestProbe(u64, SocketAddr, SocketAddr),
    /// Answer a received message.
    Answer(u64, Gossip),
    /// Answer a request to probe.
    AnswerProbe(u64, bool),
    /// Read the platform's list of hosts.
    ListHosts,
    /// Fingerprints newly quarantined elsewhere, with the time left in milliseconds.
    Quarantine(Vec<(u64, u64)>),
    /// This host was away; its tasks drop their roles.
    Stalled,
    /// This host has heard from others and may take roles.
    Joined,
    /// Another process has taken this host id.
    Replaced,
}

#[derive(Debug)]
struct Row {
    member: Member,
    /// When `member` last changed on this host.
    changed: Time,
    broadcast: Broadcast,
    /// Configuration revision that the host itself named.
    revision: u64,
    /// When this host itself found that the other one does not answer.
    doubted: Option<Time>,
    /// Whether a suspicion was told again before its end.
    retold: bool,
}

#[derive(Debug)]
struct Zone {
    name: String,
    /// Last sign of life of any of its hosts.
    heard: Time,
    cursor: Cursor,
    /// Exchanges that failed since the last one that did not.
    failures: u32,
}

#[derive(Debug, Clone)]
struct Candidate {
    /// Empty if only the address is known.
    id: String,
    zone: String,
    peer: SocketAddr,
}

/// A larger incarnation of this host that is not known to be dead.
#[derive(Debug)]
struct Contest {
    since: Time,
    rival: Member,
}

#[derive(Debug)]
struct Call {
    number: u64,
    deadline: Time,
    purpose: Purpose,
}

#[derive(Debug, Clone, PartialEq)]
enum Purpose {
    /// A probe of a host and its incarnation.
    Probe(String, u64),
    /// A helper's probe of a host and its incarnation.
    Help(String, u64),
    /// A probe of an address on behalf of the numbered request.
    Favour(u64, SocketAddr),
    /// An exchange with a zone that carries changes up to a sequence number.
    Exchange(String, u64),
    /// A first contact.
    Contact,
    /// Urgent changes; the answer does not matter.
    Push,
}

/// The membership as this host knows it.
#[derive(Debug)]
pub struct Membership {
    id: String,
    zone: String,
    /// Sorted by id; holds this host too.
    rows: Vec<Row>,
    /// Zones other than this host's, sorted by name.
    zones: Vec<Zone>,
    candidates: Vec<Candidate>,
    /// Sorted by number, as numbers only grow.
    calls: Vec<Call>,
    /// Hosts still to be probed in this round.
    round: Vec<String>,
    /// Whether the last probe went to a host that does not answer.
    recheck: bool,
    quarantine: Quarantine,
    presence: Presence,
    contested: Option<Contest>,
    /// Whether the platform's list was read since the start.
    listed: bool,
    /// Whether a change waits to be pushed.
    urgent: bool,
    sequence: u64,
    /// Changes of rows so far.
    changes: u64,
    next_call: u64,
    last_event: Time,
    joining_since: Time,
    next_probe: Time,
    next_exchange: Time,
    next_beat: Time,
    next_full: Time,
    /// Time between whole answers; short after a start, when many hosts may be starting.
    full_period: Span,
    next_resync: Time,
    next_contact: Time,
    next_list: Time,
    revision: u64,
    /// Position in the rotation over the other zones.
    rotation: usize,
    random: SmallRng,
}

impl Membership {
    /// Membership of a host that knows only itself and some addresses of peers.
    pub fn new(now: Time, own: Member, seeds: &[SocketAddr], seed: u64) -> Membership {
        let unnamed = |peer: &SocketAddr| Candidate {
            id: String::new(),
            zone: own.zone.clone(),
            peer: *peer,
        };
        let candidates = seeds.iter().map(unnamed).collect();
        let mut random = SmallRng::seed_from_u64(seed);
        let phase = Span(random.random_range(0..PROBE_PERIOD.0));
        let full_phase = Span(random.random_range(0..FULL_PERIOD.0));
        let row = Row {
            member: own.clone(),
            changed: now,
            broadcast: Broadcast::new(1),
            revision: 0,
            doubted: None,
            retold: false,
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
            contested: None,
            listed: false,
            urgent: false,
            sequence: 1,
            changes: 0,
            next_call: 1,
            last_event: now,
            joining_since: now,
            next_probe: now + phase,
            next_exchange: now + phase,
            next_beat: now + BEAT_PERIOD,
            next_full: now + FIRST_FULL_PERIOD + phase,
            full_period: FIRST_FULL_PERIOD,
            next_resync: now + full_phase,
            next_contact: now,
            next_list: now,
            revision: 0,
            rotation: 0,
            random,
        }
    }

    /// This host.
    pub fn own(&self) -> &Member {
        &self.rows[self.own_index()].member
    }

    /// How this host stands to the others.
    pub fn presence(&self) -> Presence {
        self.presence
    }

    /// The hosts that are not dead, except those of zones that have fallen silent.
    pub fn view(&self) -> View {
        let shown = |it: &&Row| it.member.state != State::Dead && self.present(&it.member.zone);
        View { members: self.rows.iter().filter(shown).map(|it| it.member.clone()).collect() }
    }

    /// Differs between two calls if the view may differ.
    pub fn view_number(&self) -> (u64, usize) {
        (self.changes, self.zones.iter().filter(|it| self.present(&it.name)).count())
    }

    /// The newest configuration revision among the hosts that are not dead.
    pub fn newest(&self) -> Option<Newest> {
        let live = self.rows.iter().filter(|it| it.member.state != State::Dead);
        let row = live.max_by_key(|it| it.revision)?;
        Some(Newest { revision: row.revision, host: row.member.id.clone(), peer: row.member.peer })
    }

    /// Number of hosts that are remembered, dead ones included.
    pub fn remembered(&self) -> usize {
        self.rows.len()
    }

    /// Handles one event. Times must not fall.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.notice_gap(now, actions);
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Received(number, message) => self.receive(now, number, message, actions),
            Event::ProbeRequested(number, target) => self.favour(now, number, target, actions),
            Event::Answered(number, message) => self.answered(now, number, message, actions),
            Event::ProbeAnswered(number, alive) => self.vouched(now, number, alive, actions),
            Event::HostsListed(hosts) => self.list(hosts),
            Event::Revision(revision) => self.set_revision(revision),
            Event::Quarantined(entries) => {
                let sequence = self.next_sequence();
                self.quarantine.merge(now, sequence, &entries);
            }
            Event::Leave => self.announce(now, State::Leaving),
            Event::Depart => self.announce(now, State::Dead),
        }
    }

    // Time in which this host did not run says nothing about the others.
    fn notice_gap(&mut self, now: Time, actions: &mut Vec<Action>) {
        let gap = now.since(self.last_event);
        self.last_event = now;
        if gap <= LATE {
            return;
        }
        for call in &mut self.calls {
            call.deadline = call.deadline + gap;
        }
        for row in &mut self.rows {
            row.changed = row.changed + gap;
            row.doubted = row.doubted.map(|it| it + gap);
        }
        for zone in &mut self.zones {
            zone.heard = zone.heard + gap;
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
            if let Purpose::Favour(asked, _) = call.purpose {
                actions.push(Action::AnswerProbe(asked, false));
            }
        }
        if gap > ABSENT_RETENTION {
            // Statements about others may be older than their retention elsewhere.
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

    /// Turns hosts into candidates.
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
        self.beat(now);
        self.probe(now, actions);
        self.push(now, actions);
        self.exchange(now, actions);
        self.contact(now, actions);
        self.read_list(now, actions);
    }

    fn expire_calls(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expired: Vec<u64> =
            self.calls.iter().filter(|it| it.deadline <= now).map(|it| it.number).collect();
        for number in expired {
            if let Some(call) = self.take_call(number) {
                self.failed(now, call.purpose, actions);
            }
        }
    }

    fn expire_rows(&mut self, now: Time) {
        for index in 0..self.rows.len() {
            let row = &self.rows[index];
            let own_zone = row.member.zone == self.zone && row.member.id != self.id;
            let accused = row.doubted.is_some_and(|it| now.since(it) >= SUSPICION_TIMEOUT);
            let over = match row.member.state {
                State::Suspect => accused || now.since(row.changed) >= HEARSAY_TIMEOUT,
                State::Leaving => accused,
                State::Alive | State::Dead => false,
            };
            // Those who know better answer before it is too late.
            let ends_soon = row.member.state == State::Suspect && !row.retold;
            if own_zone && ends_soon && now.since(row.changed) >= RETELL_TIMEOUT {
                self.rows[index].retold = true;
                self.rows[index].broadcast.renew();
                self.urgent = true;
            }
            if own_zone && over {
                self.set_state(now, index, State::Dead);
            }
        }
        let buried =
            |it: &Row| it.member.state == State::Dead && now.since(it.changed) >= DEAD_RETENTION;
        self.rows.retain(|it| it.member.id == self.id || !buried(it));
        let silent = |it: &&Zone| now.since(it.heard) >= ABSENT_RETENTION;
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
        let over = |it: &Contest| now.since(it.since) >= CONTEST_TIMEOUT;
        if let Some(contest) = self.contested.take_if(|it| over(it)) {
            self.outbid(now, contest.rival.incarnation);
        }
    }

    fn join(&mut self, actions: &mut Vec<Action>) {
        match self.presence {
            Presence::Joining | Presence::Stalled if self.contested.is_none() => {
                self.presence = Presence::Joined;
                actions.push(Action::Joined);
            }
            Presence::Joining | Presence::Stalled | Presence::Joined | Presence::Replaced => {}
        }
    }

    // Other zones tell by the delegate's version that this zone lives.
    fn beat(&mut self, now: Time) {
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + BEAT_PERIOD;
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
        let Some(index) = self.next_probed() else { return };
        let member = &self.rows[index].member;
        let (id, incarnation, to) = (member.id.clone(), member.incarnation, member.peer);
        let full = now >= self.next_full;
        if full {
            // Hosts that started together must not ask together for ever.
            let pause = self.random.random_range(self.full_period.0 / 2..=self.full_period.0);
            self.next_full = now + Span(pause);
            self.full_period = Span(self.full_period.0 * 2).min(FULL_PERIOD);
        }
        let message = self.message(&self.to_refute(index), full);
        self.send(now, PROBE_TIMEOUT, Purpose::Probe(id, incarnation), to, message, actions);
    }

    fn next_probed(&mut self) -> Option<usize> {
        let probed = |it: &Row, own: &str| it.member.id != own && it.member.state != State::Dead;
        self.recheck = !self.recheck;
        if self.recheck {
            let doubted = |it: &Row| it.doubted.is_some() && it.member.state != State::Dead;
            if let Some(index) = self.pick(1, doubted).first() {
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

    fn push(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !std::mem::take(&mut self.urgent) {
            return;
        }
        for index in self.pick(PUSH_FANOUT, |it| answers(it.member.state)) {
            let to = self.rows[index].member.peer;
            let message = self.message(&[], false);
            self.send(now, PROBE_TIMEOUT, Purpose::Push, to, message, actions);
        }
    }

    /// Random hosts of this zone that meet a condition.
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
        if now >= self.next_resync {
            self.next_resync = now + FULL_PERIOD;
            zone.cursor.reset();
        }
        let (name, after, failures) = (zone.name.clone(), zone.cursor.position(), zone.failures);
        let Some(to) = self.contact_of(&name, failures) else { return };
        let mut message = self.message(&[], after == 0);
        let reached = if after == 0 {
            message.changes = self.all();
            // What was sent often within the zone is still news to another one.
            message.quarantine = self.quarantine.after(self.last_event, after);
            self.sequence
        } else {
            self.fill_after(after, &mut message)
        };
        self.send(now, EXCHANGE_TIMEOUT, Purpose::Exchange(name, reached), to, message, actions);
    }

    /// Address to exchange with in another zone: a delegate, or any host while the delegates do not answer.
    fn contact_of(&mut self, zone: &str, failures: u32) -> Option<SocketAddr> {
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

    /// Adds the oldest changes after a sequence number and returns the number reached.
    fn fill_after(&self, after: u64, message: &mut Gossip) -> u64 {
        let mut newer: Vec<&Row> =
            self.rows.iter().filter(|it| it.broadcast.sequence() > after).collect();
        newer.sort_by_key(|it| it.broadcast.sequence());
        let whole = newer.len() <= MAX_PUSHED;
        newer.truncate(MAX_PUSHED);
        let last = newer.last().map_or(after, |it| it.broadcast.sequence());
        let reached = if whole { self.sequence } else { last };
        message.changes = newer.iter().map(|it| it.member.clone()).collect();
        message.quarantine = self.quarantine.after(self.last_event, after);
        reached
    }

    // Hosts that may live although no statement says so: listed by the platform, or held to be dead.
    fn contact(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.next_contact {
            return;
        }
        let joining = matches!(self.presence, Presence::Joining | Presence::Stalled);
        self.next_contact = now + if joining { JOIN_PERIOD } else { RETRY_PERIOD };
        let count = if joining { HELPERS } else { 1 };
        for to in self.unmet(joining, count) {
            let message = self.message(&[], true);
            self.send(now, EXCHANGE_TIMEOUT, Purpose::Contact, to, message, actions);
        }
    }

    fn unmet(&mut self, joining: bool, count: usize) -> Vec<SocketAddr> {
        let delegate = self.is_delegate();
        // About one host of the zone tries in each period, whatever its size.
        let size =
            self.rows.iter().filter(|it| it.member.zone == self.zone && answers(it.member.state));
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
        let listed = self.candidates.iter().filter(|it| in_reach(&it.zone) && !self.is_met(it));
        let mut found: Vec<SocketAddr> = dead.map(|it| it.member.peer).collect();
        found.extend(listed.map(|it| it.peer));
        found.retain(|it| *it != own_peer);
        found.sort_unstable();
        found.dedup();
        let (chosen, _) = found.partial_shuffle(&mut self.random, count);
        let mut chosen = chosen.to_vec();
        chosen.extend(self.contested.as_ref().map(|it| it.rival.peer));
        chosen
    }

    fn is_met(&self, candidate: &Candidate) -> bool {
        let same = |it: &&Row| it.member.id == candidate.id || it.member.peer == candidate.peer;
        self.rows.iter().filter(same).any(|it| it.member.state != State::Dead)
    }

    // Two hosts a zone read the list; a host that knows nobody reads it for itself.
    fn read_list(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.next_list {
            return;
        }
        let joining = matches!(self.presence, Presence::Joining | Presence::Stalled);
        if !joining && !self.is_delegate() {
            self.next_list = now + LIST_PERIOD;
            return;
        }
        self.next_list = now + if self.listed { LIST_PERIOD } else { LIST_RETRY };
        actions.push(Action::ListHosts);
    }

    fn list(&mut self, hosts: Vec<platform::Host>) {
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
        self.touch(now, own);
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
            self.take_in(now, message, actions);
        }
        let answer = self.message(&outdated, full && current);
        actions.push(Action::Answer(number, answer));
    }

    /// Hosts of which this host knows something newer than a message says.
    fn outdated(&self, changes: &[Member]) -> Vec<String> {
        let newer = |it: &&Member| {
            let known = self.find(&it.id).map(|found| &self.rows[found].member);
            known.is_ok_and(|known| it.precedence() < known.precedence())
        };
        let found = changes.iter().filter(newer).take(Broadcast::MAX_CHANGES);
        found.map(|it| it.id.clone()).collect()
    }

    /// Whether a message's sender is not an older incarnation of a known host, nor of this host.
    fn is_current(&self, from: &Member) -> bool {
        let known = self.find(&from.id).map(|it| self.rows[it].member.incarnation);
        from.id != self.id && known.is_ok_and(|it| from.incarnation >= it) || known.is_err()
    }

    fn take_in(&mut self, now: Time, message: Gossip, actions: &mut Vec<Action>) {
        let Gossip { from, revision, changes, quarantine, .. } = message;
        let id = from.id.clone();
        self.merge(now, from, true, actions);
        // What a host hears while it joins is no news to most others.
        let news = self.presence == Presence::Joined;
        for member in changes.into_iter().take(MAX_ROWS) {
            self.merge(now, member, news, actions);
        }
        if let Ok(index) = self.find(&id) {
            let row = &mut self.rows[index];
            row.revision = row.revision.max(revision);
            row.doubted = None;
        }
        let sequence = self.next_sequence();
        let fresh = self.quarantine.merge(now, sequence, &quarantine);
        if !fresh.is_empty() {
            actions.push(Action::Quarantine(fresh));
        }
    }

    fn merge(&mut self, now: Time, member: Member, news: bool, actions: &mut Vec<Action>) {
        if member.id == self.id {
            self.hear_of_self(now, &member, actions);
            return;
        }
        match self.find(&member.id) {
            Ok(index) => self.update(now, index, member),
            Err(position) => self.insert(now, position, member, news),
        }
    }

    fn hear_of_self(&mut self, now: Time, member: &Member, actions: &mut Vec<Action>) {
        let index = self.own_index();
        if member.incarnation > self.rows[index].member.incarnation {
            self.hear_of_other_process(now, index, member, actions);
            return;
        }
        let own = &mut self.rows[index].member;
        let contested = member.precedence() > own.precedence();
        if contested && own.state != State::Dead {
            own.version = member.version;
            self.raise_version(now);
            self.urgent = true;
        }
    }

    // Either this process was replaced, or the clock stood later when its predecessor started.
    fn hear_of_other_process(
        &mut self,
        now: Time,
        index: usize,
        other: &Member,
        actions: &mut Vec<Action>,
    ) {
        // An address has one process, and this one has it.
        let same_address = other.peer == self.rows[index].member.peer;
        let joining = self.presence == Presence::Joining;
        if self.presence == Presence::Replaced {
            return;
        }
        if joining || same_address || other.state == State::Dead {
            self.outbid(now, other.incarnation);
            return;
        }
        if self.contested.is_none() {
            self.contested = Some(Contest { since: now, rival: other.clone() });
            self.presence = Presence::Stalled;
            self.next_contact = now;
            actions.push(Action::Stalled);
        }
    }

    fn outbid(&mut self, now: Time, incarnation: u64) {
        let own = self.own_index();
        self.rows[own].member.incarnation = incarnation.saturating_add(1);
        self.contested = None;
        self.touch(now, own);
        self.urgent = true;
    }

    fn update(&mut self, now: Time, index: usize, member: Member) {
        let row = &mut self.rows[index];
        if member.precedence() <= row.member.precedence() {
            let settled = matches!(row.member.state, State::Leaving | State::Dead);
            if settled && member.precedence() < row.member.precedence() {
                // Somebody still holds an older statement.
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
        row.doubted = None;
        self.urgent |= changed;
        self.touch(now, index);
        if newer {
            self.hear_of_zone(now, index);
        }
    }

    fn insert(&mut self, now: Time, position: usize, member: Member, news: bool) {
        // An unknown dead host may have been forgotten here already.
        if member.state == State::Dead || self.rows.len() >= MAX_ROWS || !is_sound(&member) {
            return;
        }
        let broadcast = Broadcast::new(self.next_sequence());
        let row =
            Row { member, changed: now, broadcast, revision: 0, doubted: None, retold: false };
        self.rows.insert(position, row);
        self.changes += 1;
        self.hear_of_zone(now, position);
        self.urgent |= news;
    }

    fn hear_of_zone(&mut self, now: Time, index: usize) {
        let member = &self.rows[index].member;
        if member.zone == self.zone || !answers(member.state) {
            return;
        }
        match self.zones.binary_search_by(|it| it.name.cmp(&member.zone)) {
            Ok(found) => self.zones[found].heard = now,
            Err(position) => {
                let name = member.zone.clone();
                let zone = Zone { name, heard: now, cursor: Cursor::default(), failures: 0 };
                self.zones.insert(position, zone);
            }
        }
    }

    fn answered(
        &mut self,
        now: Time,
        number: u64,
        message: Option<Gossip>,
        actions: &mut Vec<Action>,
    ) {
        let purpose = self.take_call(number).map(|it| it.purpose);
        let Some(message) = message else {
            if let Some(purpose) = purpose {
                self.failed(now, purpose, actions);
            }
            return;
        };
        let (from, incarnation) = (message.from.id.clone(), message.from.incarnation);
        if self.is_current(&message.from) {
            let whole = message.full;
            self.take_in(now, message, actions);
            if whole {
                self.join(actions);
            }
        } else {
            // The sender was replaced; only what it says of this host counts.
            self.meet_rival(&message.from, actions);
            let own = message.changes.into_iter().find(|it| it.id == self.id);
            if let Some(own) = own {
                self.merge(now, own, true, actions);
            }
        }
        let Some(purpose) = purpose else { return };
        match purpose {
            // Another process has the address.
            Purpose::Probe(id, probed) if id != from || incarnation < probed => {
                self.suspect(now, &id, probed);
            }
            Purpose::Favour(asked, target) => {
                actions.push(Action::AnswerProbe(asked, self.vouches(target, &from)));
            }
            Purpose::Exchange(zone, reached) => self.exchanged(&zone, reached),
            Purpose::Probe(..) | Purpose::Help(..) | Purpose::Contact | Purpose::Push => {}
        }
    }

    fn meet_rival(&mut self, from: &Member, actions: &mut Vec<Action>) {
        let larger = from.id == self.id && from.incarnation > self.own().incarnation;
        if larger && self.presence != Presence::Replaced {
            self.contested = None;
            self.presence = Presence::Replaced;
            actions.push(Action::Replaced);
        }
    }

    /// Whether an answer from a host shows that every live host known at the address answers.
    fn vouches(&self, target: SocketAddr, from: &str) -> bool {
        let live = |it: &&Row| it.member.peer == target && it.member.state != State::Dead;
        self.rows.iter().filter(live).all(|it| it.member.id == from)
    }

    fn exchanged(&mut self, zone: &str, reached: u64) {
        if let Ok(found) = self.zones.binary_search_by(|it| it.name.as_str().cmp(zone)) {
            self.zones[found].cursor.advance(reached);
            self.zones[found].failures = 0;
        }
    }

    fn failed(&mut self, now: Time, purpose: Purpose, actions: &mut Vec<Action>) {
        match purpose {
            Purpose::Probe(id, incarnation) => self.ask_helpers(now, id, incarnation, actions),
            Purpose::Help(id, incarnation) => self.helped(now, &id, incarnation),
            Purpose::Favour(asked, _) => actions.push(Action::AnswerProbe(asked, false)),
            Purpose::Exchange(zone, _) => {
                if let Ok(found) = self.zones.binary_search_by(|it| it.name.cmp(&zone)) {
                    self.zones[found].failures += 1;
                }
            }
            Purpose::Contact | Purpose::Push => {}
        }
    }

    fn ask_helpers(&mut self, now: Time, id: String, incarnation: u64, actions: &mut Vec<Action>) {
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
            let purpose = Purpose::Help(id.clone(), incarnation);
            let number = self.call(now + HELPER_TIMEOUT, purpose);
            actions.push(Action::RequestProbe(number, via, target));
        }
    }

    fn vouched(&mut self, now: Time, number: u64, alive: bool, actions: &mut Vec<Action>) {
        let Some(call) = self.take_call(number) else { return };
        if alive {
            self.calls.retain(|it| it.purpose != call.purpose);
        } else {
            self.failed(now, call.purpose, actions);
        }
    }

    fn helped(&mut self, now: Time, id: &str, incarnation: u64) {
        let purpose = Purpose::Help(id.to_owned(), incarnation);
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
                self.rows[index].doubted = Some(now);
            }
            State::Leaving | State::Suspect if row.doubted.is_none() => row.doubted = Some(now),
            State::Alive | State::Leaving | State::Suspect | State::Dead => {}
        }
    }

    fn favour(&mut self, now: Time, number: u64, target: SocketAddr, actions: &mut Vec<Action>) {
        let message = self.message(&[], false);
        let purpose = Purpose::Favour(number, target);
        self.send(now, PROBE_TIMEOUT, purpose, target, message, actions);
    }

    fn set_state(&mut self, now: Time, index: usize, state: State) {
        self.rows[index].member.state = state;
        self.rows[index].doubted = None;
        self.urgent = true;
        self.touch(now, index);
    }

    fn touch(&mut self, now: Time, index: usize) {
        let sequence = self.next_sequence();
        self.changes += 1;
        self.rows[index].changed = now;
        self.rows[index].retold = false;
        self.rows[index].broadcast = Broadcast::new(sequence);
    }

    /// A host that must hear what is held of it, so that it can refute it.
    fn to_refute(&self, index: usize) -> Vec<String> {
        let member = &self.rows[index].member;
        if answers(member.state) { Vec::new() } else { vec![member.id.clone()] }
    }

    /// A message with the given hosts, and with the changes that have been sent least or all members.
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
                self.rows[index].broadcast.sent();
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

    /// This host's row, which is never removed.
    fn own_index(&self) -> usize {
        self.find(&self.id).unwrap_or(0)
    }

    fn present(&self, zone: &str) -> bool {
        zone_of(&self.zones, zone).is_none_or(|it| self.last_event.since(it.heard) < ZONE_TIMEOUT)
    }

    fn delegates(&self, zone: &str) -> Vec<&str> {
        let of_zone = |it: &&Row| it.member.zone == zone && it.member.state != State::Dead;
        let hosts = || self.rows.iter().filter(of_zone).map(|it| &it.member);
        let able = hosts().filter(|it| takes_roles(it.state)).map(|it| it.id.as_str());
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

fn answers(state: State) -> bool {
    match state {
        State::Alive | State::Leaving => true,
        State::Suspect | State::Dead => false,
    }
}

/// Longest name of a host, zone or region that is taken in, in bytes.
const MAX_NAME_BYTES: usize = 128;

fn is_sound(member: &Member) -> bool {
    [&member.id, &member.zone, &member.region].iter().all(|it| it.len() <= MAX_NAME_BYTES)
}
