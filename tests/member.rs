//! Membership cores on a simulated network, whose views are compared with the hosts that really run.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
};

use almondrack::{
    member::{Action, Event, Member, Membership, Presence, State, TICK_MS},
    platform,
    time::{Span, Time},
    wire::Gossip,
};
use expect_test::expect;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

/// Delay of the platform's list of hosts, in seconds.
const LIST_LAG_S: u64 = 20;

/// Longest time until a failed host must be absent, so that its dispatchers are taken over, in milliseconds.
const TAKEOVER_MS: u64 = 3_000;

#[derive(Debug, Clone)]
enum Packet {
    Request { from: Origin, message: Gossip },
    Answer { to: Origin, message: Option<Gossip> },
    Probe { from: Origin, target: SocketAddr },
    ProbeAnswer { to: Origin, alive: bool },
}

/// Process and number of a call, to which its answer is sent.
#[derive(Debug, Clone, Copy)]
struct Origin {
    host: usize,
    process: u64,
    number: u64,
}

struct Host {
    name: String,
    zone: usize,
    /// `None` while the host is dead.
    core: Option<Membership>,
    incarnation: u64,
    frozen: bool,
    leaving: bool,
    /// Packets that arrived while the host was frozen.
    buffered: Vec<Packet>,
    /// Number of starts; answers to an earlier process are discarded.
    process: u64,
    /// Received calls that the core has not answered yet.
    pending: BTreeMap<u64, Origin>,
    next_pending: u64,
    stalls: u32,
    last_presence: Presence,
    quarantined: Vec<u64>,
    /// Largest incarnation of each host that this host's view has contained.
    largest: BTreeMap<String, u64>,
}

/// A network of hosts in simulated time.
struct Net {
    now: Time,
    wall_ms: u64,
    hosts: Vec<Host>,
    /// Arrival times and numbers of the packets in flight.
    flight: BinaryHeap<Reverse<(Time, u64)>>,
    /// Packets in flight by number, with sender and receiver.
    packets: BTreeMap<u64, (usize, usize, Packet)>,
    next_packet: u64,
    /// Pairs of a sender and a receiver between which packets are lost.
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    duplicates: f64,
    max_delay_ms: u64,
    /// History of the platform's list: which hosts were live from each time on.
    lists: Vec<(Time, Vec<bool>)>,
    platform_up: bool,
    bytes: u64,
    messages: u64,
    random: SmallRng,
    /// Dead processes that were absent from a host's view: the host, the dead host and its incarnation.
    absent: BTreeSet<(usize, usize, u64)>,
    /// Dead processes that were in a view again after they had been absent from it.
    resurrections: u32,
    /// Decreases of an incarnation in a view.
    reversals: u32,
    deaths: u32,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + host as u16))
}

fn host_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1_000
}

impl Net {
    fn new(zones: usize, hosts_per_zone: usize, seed: u64) -> Net {
        let mut net = Net {
            now: Time(1_000_000_000),
            wall_ms: 1_700_000_000_000,
            hosts: Vec::new(),
            flight: BinaryHeap::new(),
            packets: BTreeMap::new(),
            next_packet: 0,
            cut: BTreeSet::new(),
            loss: 0.0,
            duplicates: 0.0,
            max_delay_ms: 3,
            lists: Vec::new(),
            platform_up: true,
            bytes: 0,
            messages: 0,
            random: SmallRng::seed_from_u64(seed),
            absent: BTreeSet::new(),
            resurrections: 0,
            reversals: 0,
            deaths: 0,
        };
        for index in 0..zones * hosts_per_zone {
            net.add(&format!("host-{index:03}"), index % zones);
            net.start(index, net.wall_ms);
        }
        net.record_list();
        net
    }

    /// Returns a network in which all views are complete.
    fn settled(zones: usize, hosts_per_zone: usize, seed: u64) -> Net {
        let mut net = Net::new(zones, hosts_per_zone, seed);
        net.run_s(20);
        assert_eq!(net.wrong_views(), Vec::<String>::new());
        net
    }

    fn add(&mut self, name: &str, zone: usize) {
        self.hosts.push(Host {
            name: name.to_owned(),
            zone,
            core: None,
            incarnation: 0,
            frozen: false,
            leaving: false,
            buffered: Vec::new(),
            process: 0,
            pending: BTreeMap::new(),
            next_pending: 0,
            stalls: 0,
            last_presence: Presence::Joining,
            quarantined: Vec::new(),
            largest: BTreeMap::new(),
        });
    }

    fn start(&mut self, host: usize, incarnation: u64) {
        let seed = self.random.random();
        let it = &mut self.hosts[host];
        it.incarnation = incarnation;
        it.frozen = false;
        it.leaving = false;
        it.buffered.clear();
        it.pending.clear();
        it.process += 1;
        let own = Member {
            id: it.name.clone(),
            region: "region-1".to_owned(),
            zone: format!("zone-{}", it.zone),
            peer: address(host),
            admin: address(host),
            incarnation,
            version: 0,
            state: State::Alive,
        };
        it.core = Some(Membership::new(self.now, own, &[], seed));
        it.last_presence = Presence::Joining;
        it.largest.clear();
    }

    fn kill(&mut self, host: usize) {
        self.hosts[host].core = None;
        self.hosts[host].buffered.clear();
    }

    fn restart(&mut self, host: usize, wall_step_ms: i64) {
        self.kill(host);
        self.wall_ms += 1;
        self.start(host, self.wall_ms.saturating_add_signed(wall_step_ms));
    }

    fn freeze(&mut self, host: usize) {
        self.hosts[host].frozen = self.hosts[host].core.is_some();
    }

    fn wake(&mut self, host: usize) {
        self.hosts[host].frozen = false;
        for packet in std::mem::take(&mut self.hosts[host].buffered) {
            self.deliver(host, packet);
        }
    }

    fn cut_zones(&mut self, from: usize, to: usize, both: bool) {
        for a in 0..self.hosts.len() {
            for b in 0..self.hosts.len() {
                if self.hosts[a].zone == from && self.hosts[b].zone == to {
                    self.cut.insert((a, b));
                    if both {
                        self.cut.insert((b, a));
                    }
                }
            }
        }
    }

    fn leave(&mut self, host: usize) {
        self.hosts[host].leaving |= !self.hosts[host].frozen;
        self.event(host, Event::Leave);
    }

    fn run_s(&mut self, seconds: u64) {
        self.run_ms(seconds * 1_000);
    }

    fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            let end = self.now + Span::from_ms(TICK_MS);
            while let Some(Reverse((at, number))) = self.flight.peek().copied() {
                if at > end {
                    break;
                }
                self.flight.pop();
                self.now = at.max(self.now);
                if let Some((_, to, packet)) = self.packets.remove(&number) {
                    self.deliver(to, packet);
                }
            }
            self.now = end;
            self.wall_ms += TICK_MS;
            for host in 0..self.hosts.len() {
                self.event(host, Event::Tick);
            }
            self.record_list();
            self.record_deaths();
            self.record_reversals();
        }
    }

    fn record_list(&mut self) {
        let live: Vec<bool> = self.hosts.iter().map(|it| it.core.is_some()).collect();
        if self.lists.last().is_none_or(|(_, it)| *it != live) {
            self.lists.push((self.now, live));
        }
    }

    fn listed(&self) -> Vec<platform::Host> {
        let until = self.now - Span::from_ms(LIST_LAG_S * 1_000);
        let known = self.lists.iter().rev().find(|(at, _)| *at <= until).unwrap_or(&self.lists[0]);
        let live = (0..known.1.len()).filter(|it| known.1[*it]);
        live.map(|it| platform::Host {
            id: self.hosts[it].name.clone(),
            region: "region-1".to_owned(),
            zone: format!("zone-{}", self.hosts[it].zone),
            peer: address(it),
            admin: address(it),
            leaving: false,
        })
        .collect()
    }

    fn event(&mut self, host: usize, event: Event) {
        let it = &mut self.hosts[host];
        let Some(core) = it.core.as_mut().filter(|_| !it.frozen) else { return };
        let mut actions = Vec::new();
        core.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(host, action);
        }
    }

    fn perform(&mut self, host: usize, action: Action) {
        match action {
            Action::Send(number, to, message) => {
                let from = self.origin(host, number);
                self.send(host, host_of(to), Packet::Request { from, message });
            }
            Action::RequestProbe(number, via, target) => {
                let from = self.origin(host, number);
                self.send(host, host_of(via), Packet::Probe { from, target });
            }
            Action::Answer(pending, message) => {
                if let Some(to) = self.hosts[host].pending.remove(&pending) {
                    let message = Some(message);
                    self.send(host, to.host, Packet::Answer { to, message });
                }
            }
            Action::AnswerProbe(pending, alive) => {
                if let Some(to) = self.hosts[host].pending.remove(&pending) {
                    self.send(host, to.host, Packet::ProbeAnswer { to, alive });
                }
            }
            Action::ListHosts => {
                if self.platform_up {
                    let hosts = self.listed();
                    self.event(host, Event::HostsListed(hosts));
                }
            }
            Action::Stalled => {
                self.hosts[host].stalls += 1;
                self.hosts[host].last_presence = Presence::Stalled;
            }
            Action::Joined => self.hosts[host].last_presence = Presence::Joined,
            Action::Replaced => self.hosts[host].last_presence = Presence::Replaced,
            Action::Quarantine(entries) => {
                self.hosts[host].quarantined.extend(entries.iter().map(|it| it.0));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        if let Packet::Request { message, .. } | Packet::Answer { message: Some(message), .. } =
            &packet
        {
            self.bytes += message.encoded_len();
        }
        self.messages += 1;
        if self.cut.contains(&(from, to)) || self.random.random_bool(self.loss) {
            return;
        }
        if self.random.random_bool(self.duplicates) {
            let late = self.random.random_range(0..30_000);
            self.schedule(from, to, packet.clone(), late);
        }
        let delay = self.random.random_range(1..=self.max_delay_ms);
        self.schedule(from, to, packet, delay);
    }

    fn schedule(&mut self, from: usize, to: usize, packet: Packet, delay_ms: u64) {
        let number = self.next_packet;
        self.next_packet += 1;
        self.flight.push(Reverse((self.now + Span::from_ms(delay_ms), number)));
        self.packets.insert(number, (from, to, packet));
    }

    fn deliver(&mut self, to: usize, packet: Packet) {
        if self.hosts.get(to).is_none_or(|it| it.core.is_none()) {
            if let Packet::Request { from, .. } = packet {
                self.send(to, from.host, Packet::Answer { to: from, message: None });
            }
            return;
        }
        if self.hosts[to].frozen {
            self.hosts[to].buffered.push(packet);
            return;
        }
        let process = self.hosts[to].process;
        let event = match packet {
            Packet::Request { from, message } => Event::Received(self.accept(to, from), message),
            Packet::Probe { from, target } => Event::ProbeRequested(self.accept(to, from), target),
            Packet::Answer { to: origin, .. } | Packet::ProbeAnswer { to: origin, .. }
                if origin.process != process =>
            {
                return;
            }
            Packet::Answer { to, message } => Event::Answered(to.number, message),
            Packet::ProbeAnswer { to, alive } => Event::ProbeAnswered(to.number, alive),
        };
        self.event(to, event);
    }

    fn origin(&self, host: usize, number: u64) -> Origin {
        Origin { host, process: self.hosts[host].process, number }
    }

    fn accept(&mut self, host: usize, from: Origin) -> u64 {
        let it = &mut self.hosts[host];
        it.next_pending += 1;
        it.pending.insert(it.next_pending, from);
        it.next_pending
    }

    /// Returns the view that each live host should have: id, incarnation and whether the host leaves.
    fn expected_view(&self) -> Vec<(String, u64, bool)> {
        let live = self.hosts.iter().filter(|it| it.core.is_some());
        live.map(|it| (it.name.clone(), it.core_incarnation(), it.leaving)).collect()
    }

    /// Returns every difference between a live host's view and the expected one.
    fn wrong_views(&self) -> Vec<String> {
        let expected_view = self.expected_view();
        let mut wrong = Vec::new();
        for host in self.hosts.iter().filter(|it| !it.frozen) {
            let Some(core) = &host.core else { continue };
            let seen: Vec<_> = core
                .view()
                .members
                .iter()
                .map(|it| (it.id.clone(), it.incarnation, it.state == State::Leaving))
                .collect();
            if seen != expected_view {
                let missing = expected_view.iter().filter(|it| !seen.contains(it));
                let surplus = seen.iter().filter(|it| !expected_view.contains(it));
                wrong.push(format!(
                    "{}: missing {:?}, surplus {:?}",
                    host.name,
                    missing.collect::<Vec<_>>(),
                    surplus.collect::<Vec<_>>()
                ));
            }
        }
        wrong
    }

    /// Returns the number of other live hosts of a host's zone whose view contains it with the given incarnation.
    fn seen_by(&self, host: usize, incarnation: u64) -> usize {
        let (name, zone) = (&self.hosts[host].name, self.hosts[host].zone);
        let others = self.hosts.iter().filter(|it| it.zone == zone && it.name != *name);
        let sees = |it: &&Host| {
            let core = it.core.as_ref();
            core.is_some_and(|it| {
                it.view().get(name).is_some_and(|it| it.incarnation == incarnation)
            })
        };
        others.filter(sees).count()
    }

    /// Returns the time until a host is absent from the views of all live hosts of its zone, in milliseconds.
    fn gone_after_ms(&mut self, host: usize) -> u64 {
        let incarnation = self.hosts[host].core_incarnation();
        let start = self.now;
        while self.seen_by(host, incarnation) > 0 && self.now.since(start) < Span::from_ms(60_000) {
            self.run_ms(TICK_MS);
        }
        self.now.since(start).as_ms()
    }

    fn record_reversals(&mut self) {
        for host in &mut self.hosts {
            let Some(core) = &host.core else { continue };
            for member in core.view().members {
                let largest = host.largest.entry(member.id).or_default();
                self.reversals += u32::from(member.incarnation < *largest);
                *largest = member.incarnation.max(*largest);
            }
        }
    }

    fn record_deaths(&mut self) {
        for dead in 0..self.hosts.len() {
            if self.hosts[dead].core.is_some() {
                continue;
            }
            let incarnation = self.hosts[dead].incarnation;
            for observer in 0..self.hosts.len() {
                let it = &self.hosts[observer];
                let Some(core) = &it.core else { continue };
                let seen = core.view().get(&self.hosts[dead].name).is_some();
                let key = (observer, dead, incarnation);
                if !seen {
                    self.deaths += u32::from(self.absent.insert(key));
                } else if self.absent.contains(&key) {
                    self.resurrections += 1;
                }
            }
        }
    }
}

impl Host {
    /// Returns the incarnation that the process uses, which may be larger than the one with which it started.
    fn core_incarnation(&self) -> u64 {
        self.core.as_ref().map_or(self.incarnation, |it| it.own().incarnation)
    }
}

#[test]
fn hosts_find_each_other_from_the_list() {
    for (zones, hosts) in [(1, 1), (1, 2), (1, 8), (3, 2), (2, 16), (6, 4)] {
        let mut net = Net::new(zones, hosts, 1);
        net.run_s(6);
        assert_eq!(net.wrong_views(), Vec::<String>::new(), "{zones} zones of {hosts}");
    }
}

#[test]
fn a_dead_or_frozen_host_is_gone_in_time() {
    let mut worst = String::new();
    for size in [2, 3, 8, 65] {
        let mut longest = [0, 0];
        for seed in 0..if size == 65 { 6 } else { 20 } {
            let mut net = Net::settled(1, size, seed);
            net.kill(0);
            longest[0] = longest[0].max(net.gone_after_ms(0));
            let mut net = Net::settled(1, size, seed);
            net.freeze(0);
            longest[1] = longest[1].max(net.gone_after_ms(0));
        }
        assert!(longest.iter().all(|it| *it <= TAKEOVER_MS), "{size} hosts: {longest:?} ms");
        worst += &format!("{size} hosts: killed {} ms, frozen {} ms\n", longest[0], longest[1]);
    }
    expect![[r#"
        2 hosts: killed 1200 ms, frozen 1400 ms
        3 hosts: killed 1400 ms, frozen 2050 ms
        8 hosts: killed 1600 ms, frozen 2250 ms
        65 hosts: killed 1900 ms, frozen 2550 ms
    "#]]
    .assert_eq(&worst);
}

#[test]
fn a_restarted_host_replaces_its_predecessor() {
    for wall_step_ms in [0, -3_600_000] {
        let mut net = Net::settled(2, 4, 3);
        net.duplicates = 0.2;
        let before = net.hosts[0].core_incarnation();
        net.restart(0, wall_step_ms);
        net.run_s(2);
        assert!(net.hosts[0].core_incarnation() > before, "clock step {wall_step_ms}");
        assert_eq!(net.seen_by(0, before), 0, "clock step {wall_step_ms}");
        assert_eq!(net.seen_by(0, net.hosts[0].core_incarnation()), 3);
        net.run_s(40);
        assert_eq!(net.wrong_views(), Vec::<String>::new(), "clock step {wall_step_ms}");
    }
}

#[test]
fn a_process_learns_that_it_was_replaced() {
    let mut net = Net::settled(1, 4, 3);
    let incarnation = net.wall_ms;
    net.add("host-000", 0);
    net.start(4, incarnation);
    net.run_s(1);
    assert_eq!(net.hosts[0].stalls, 1);
    net.run_s(15);
    assert_eq!(net.hosts[0].last_presence, Presence::Replaced);
    assert_eq!(net.hosts[4].last_presence, Presence::Joined);
    for host in 1..5 {
        let view = net.hosts[host].core.as_ref().unwrap().view();
        assert_eq!(view.get("host-000").unwrap().incarnation, incarnation);
    }
}

#[test]
fn a_host_that_wakes_knows_that_it_was_away() {
    for seconds in [2, 10, 120, 700] {
        let mut net = Net::settled(2, 4, 5);
        let incarnation = net.hosts[0].core_incarnation();
        net.freeze(0);
        net.run_s(seconds);
        assert_eq!(
            net.seen_by(0, incarnation),
            if seconds > 2 { 0 } else { net.seen_by(0, incarnation) }
        );
        net.wake(0);
        net.event(0, Event::Tick);
        assert_eq!((net.hosts[0].stalls, net.hosts[0].last_presence), (1, Presence::Stalled));
        net.run_s(6);
        assert_eq!(net.hosts[0].last_presence, Presence::Joined);
        net.run_s(60);
        assert_eq!(net.wrong_views(), Vec::<String>::new(), "frozen for {seconds} s");
    }
}

#[test]
fn a_leaving_host_is_seen_to_leave_and_to_end() {
    let mut net = Net::settled(2, 4, 6);
    net.leave(0);
    net.run_s(8);
    assert_eq!(net.wrong_views(), Vec::<String>::new());
    net.freeze(0);
    let silent = net.gone_after_ms(0);
    net.wake(0);
    net.run_s(10);
    assert_eq!(net.wrong_views(), Vec::<String>::new());
    net.event(0, Event::Depart);
    net.event(0, Event::Tick);
    net.kill(0);
    let departed = net.gone_after_ms(0);
    assert!(silent <= TAKEOVER_MS && departed <= 200, "{silent} ms, {departed} ms");
}

#[test]
fn a_zone_that_is_cut_off_goes_on_alone_and_comes_back() {
    for (both, seconds) in [(true, 40), (false, 40), (true, 320)] {
        let mut net = Net::settled(3, 4, 7);
        net.platform_up = false;
        net.cut_zones(0, 1, both);
        net.cut_zones(0, 2, both);
        net.run_s(seconds);
        net.kill(3);
        net.kill(4);
        net.restart(6, 0);
        net.run_s(5);
        for host in net.hosts.iter().filter(|it| it.core.is_some()) {
            let view = host.core.as_ref().unwrap().view();
            let own = format!("zone-{}", host.zone);
            let (live, seen) = ([3, 3, 4][host.zone], view.eligible(&own).count());
            // The restarted host finds no other host while the platform is unavailable.
            assert!(seen == live || host.zone == 0, "{} sees {seen} of {live}", host.name);
        }
        if both {
            let alone = net.hosts[9].core.as_ref().unwrap().view();
            assert!(alone.members.iter().all(|it| it.zone == "zone-0"), "{alone:?}");
        }
        net.cut.clear();
        net.platform_up = true;
        net.run_s(75);
        assert_eq!(net.wrong_views(), Vec::<String>::new(), "{both} {seconds}");
    }
}

#[test]
fn loss_of_messages_kills_nobody() {
    let mut wrong = Vec::new();
    for seed in 8..14 {
        let mut net = Net::settled(1, 33, seed);
        net.loss = 0.05;
        for _ in 0..40_000 / TICK_MS {
            net.run_ms(TICK_MS);
            wrong.extend(net.wrong_views().into_iter().map(|it| format!("seed {seed}: {it}")));
        }
    }
    assert_eq!(wrong, Vec::<String>::new());
}

#[test]
fn old_messages_do_not_bring_back_the_dead() {
    for seed in 0..6 {
        let mut net = Net::settled(2, 6, seed);
        net.duplicates = 0.3;
        net.run_s(10);
        for host in 0..5 {
            net.kill(host);
            net.run_s(8);
        }
        net.run_s(60);
        assert_eq!((net.deaths, net.resurrections), (45, 0), "seed {seed}");
        assert_eq!(net.wrong_views(), Vec::<String>::new());
    }
}

#[test]
fn revisions_and_quarantine_reach_every_zone() {
    let mut net = Net::settled(3, 6, 9);
    net.event(0, Event::Revision(77));
    net.event(0, Event::Quarantined(vec![(5, 60_000)]));
    net.run_s(12);
    let count = |net: &Net| net.hosts.iter().filter(|it| it.quarantined == [5]).count();
    assert_eq!(count(&net), 17);
    let newest = net.hosts.iter().filter_map(|it| it.core.as_ref()?.newest());
    let received = newest.filter(|it| it.revision == 77 && it.host == "host-000").count();
    assert!(received >= 6, "{received} hosts have the revision");

    net.event(1, Event::Quarantined((0..10_000).map(|it| (it, 60_000)).collect()));
    net.run_s(60);
    assert!(net.hosts.iter().all(|it| it.quarantined.len() <= 258));
}

/// One step of a random history.
#[derive(Debug, Clone)]
enum Step {
    Kill(usize),
    Restart { host: usize, wall_step_ms: i64 },
    Freeze(usize),
    Wake(usize),
    Leave(usize),
    CutHosts { from: usize, to: usize, both: bool },
    CutZones { from: usize, to: usize, both: bool },
    Heal,
    Platform(bool),
    Loss(u8),
    Duplicates(u8),
    Delay(u8),
    Run(u8),
}

const ZONES: usize = 3;
const HOSTS_PER_ZONE: usize = 3;

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let pick = |g: &mut Gen, count: usize| usize::arbitrary(g) % count;
        let host = pick(g, ZONES * HOSTS_PER_ZONE);
        let both = bool::arbitrary(g);
        match u8::arbitrary(g) % 20 {
            0 | 1 => Step::Kill(host),
            2 => Step::Restart { host, wall_step_ms: 0 },
            3 => Step::Restart { host, wall_step_ms: -60_000 },
            4 => Step::Restart { host, wall_step_ms: 60_000 },
            5 | 6 => Step::Freeze(host),
            7 | 8 => Step::Wake(host),
            9 => Step::Leave(host),
            10 => Step::CutHosts { from: host, to: pick(g, ZONES * HOSTS_PER_ZONE), both },
            11 => Step::CutZones { from: pick(g, ZONES), to: pick(g, ZONES), both },
            12 => Step::Heal,
            13 => Step::Platform(both),
            14 => Step::Loss(u8::arbitrary(g) % 30),
            15 => Step::Duplicates(u8::arbitrary(g) % 30),
            16 => Step::Delay(u8::arbitrary(g)),
            _ => Step::Run(u8::arbitrary(g) % 40),
        }
    }
}

fn apply(net: &mut Net, step: &Step) {
    match *step {
        Step::Kill(host) => net.kill(host),
        Step::Restart { host, wall_step_ms } => net.restart(host, wall_step_ms),
        Step::Freeze(host) => net.freeze(host),
        Step::Wake(host) => net.wake(host),
        Step::Leave(host) => net.leave(host),
        Step::CutHosts { from, to, both } => {
            net.cut.insert((from, to));
            if both {
                net.cut.insert((to, from));
            }
        }
        Step::CutZones { from, to, both } => net.cut_zones(from, to, both),
        Step::Heal => net.cut.clear(),
        Step::Platform(up) => net.platform_up = up,
        Step::Loss(percent) => net.loss = f64::from(percent) / 100.0,
        Step::Duplicates(percent) => net.duplicates = f64::from(percent) / 100.0,
        Step::Delay(ms) => net.max_delay_ms = u64::from(ms).max(1),
        Step::Run(seconds) => net.run_s(seconds.into()),
    }
}

/// Returns whether, after a history and once the network works again, the views of all live hosts contain exactly the
/// live hosts.
fn converges(steps: Vec<Step>) -> TestResult {
    let mut net = Net::settled(ZONES, HOSTS_PER_ZONE, steps.len() as u64);
    for step in &steps {
        apply(&mut net, step);
    }
    (net.loss, net.duplicates, net.max_delay_ms, net.platform_up) = (0.0, 0.0, 3, true);
    net.cut.clear();
    for host in 0..net.hosts.len() {
        net.wake(host);
    }
    net.run_s(100);
    let wrong = net.wrong_views();
    if wrong.is_empty() && net.reversals == 0 {
        return TestResult::passed();
    }
    TestResult::error(format!("{} reversals\n{}", net.reversals, wrong.join("\n")))
}

#[test]
fn views_converge_after_any_history() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 11))
        .tests(150)
        .quickcheck(converges as fn(Vec<Step>) -> TestResult);
}

/// A message with arbitrary contents, which no correct host would send.
#[derive(Debug, Clone)]
struct InvalidMessage(Gossip);

impl Arbitrary for InvalidMessage {
    fn arbitrary(g: &mut Gen) -> InvalidMessage {
        let member = |g: &mut Gen| Member {
            id: format!("host-{:03}", u8::arbitrary(g) % 6)
                .repeat(1 + usize::arbitrary(g) % 30 / 29),
            region: String::arbitrary(g),
            zone: format!("zone-{}", u8::arbitrary(g) % 3),
            peer: address(usize::arbitrary(g) % 8),
            admin: address(0),
            incarnation: *g.choose(&[0, 1, 1_700_000_000_000, u64::MAX]).unwrap(),
            version: *g.choose(&[0, 1, 2, u64::MAX]).unwrap(),
            state: *g.choose(&[State::Alive, State::Leaving, State::Suspect, State::Dead]).unwrap(),
        };
        InvalidMessage(Gossip {
            from: member(g),
            revision: u64::arbitrary(g),
            changes: (0..usize::arbitrary(g) % 20).map(|_| member(g)).collect(),
            quarantine: Vec::arbitrary(g),
            full: bool::arbitrary(g),
        })
    }
}

#[test]
fn odd_messages_do_no_harm() {
    fn holds(messages: Vec<(InvalidMessage, bool, u16)>) -> bool {
        let mut net = Net::new(3, 2, 1);
        net.run_s(2);
        for (InvalidMessage(message), answer, ms) in messages {
            let event = match answer {
                true => Event::Answered(u64::from(ms), Some(message)),
                false => Event::Received(u64::from(ms), message),
            };
            net.event(0, event);
            net.run_ms(u64::from(ms) % 500);
        }
        let core = net.hosts[0].core.as_ref().unwrap();
        let sorted = core.view().members.is_sorted_by(|a, b| a.id < b.id);
        sorted && core.own().id == "host-000"
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 12))
        .tests(300)
        .quickcheck(holds as fn(Vec<(InvalidMessage, bool, u16)>) -> bool);
}

/// Hosts whose tasks are connected over loopback.
mod tasks {
    use std::{net::SocketAddr, time::Duration};

    use almondrack::{
        gossip::{self, Directory},
        member::{Member, State, View},
        peer::{self, Mailboxes, Peers},
        platform,
    };
    use tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        task::JoinHandle,
    };

    struct Host {
        directory: Directory,
        revision: watch::Sender<u64>,
        quarantine: mpsc::Sender<Vec<(u64, u64)>>,
        quarantined: mpsc::Receiver<Vec<(u64, u64)>>,
        server: JoinHandle<()>,
    }

    async fn start(name: &str, seeds: &[SocketAddr]) -> (Host, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (members, inbound) = mpsc::channel(64);
        let mailboxes = Mailboxes { members, ..peer::mailboxes(1).0 };
        let server = tokio::spawn(peer::serve(listener, mailboxes));
        let (revision, revision_receiver) = watch::channel(0);
        let (quarantine, quarantine_receiver) = mpsc::channel(8);
        let (quarantined_sender, quarantined) = mpsc::channel(8);
        let own = Member {
            id: name.to_owned(),
            region: "region-1".to_owned(),
            zone: "zone-1".to_owned(),
            peer: address,
            admin: address,
            incarnation: 1,
            version: 0,
            state: State::Alive,
        };
        // Nothing listens at the platform's address.
        let platform = platform::Client::open(SocketAddr::from(([127, 0, 0, 1], 9)), name);
        let directory = gossip::spawn(gossip::Options {
            own,
            seeds: seeds.to_vec(),
            platform,
            peers: Peers::spawn(),
            inbound,
            revision: revision_receiver,
            quarantine: quarantine_receiver,
            quarantined: quarantined_sender,
        });
        (Host { directory, revision, quarantine, quarantined, server }, address)
    }

    async fn wait_for_view(host: &Host, condition: impl Fn(&View) -> bool) {
        let mut view = host.directory.view.clone();
        let seen = view.wait_for(|it| condition(it));
        tokio::time::timeout(Duration::from_secs(60), seen).await.unwrap().unwrap();
    }

    #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
    async fn hosts_join_exchange_and_leave() {
        let (first, address) = start("a", &[]).await;
        let (second, _) = start("b", &[address]).await;
        let (mut third, _) = start("c", &[address]).await;
        for host in [&first, &second, &third] {
            assert!(host.directory.joined().await);
            wait_for_view(host, |it| it.members.len() == 3).await;
        }

        first.revision.send(7).unwrap();
        let mut newest = second.directory.newest.clone();
        let found = newest.wait_for(|it| it.as_ref().is_some_and(|it| it.revision == 7)).await;
        assert_eq!(found.unwrap().as_ref().unwrap().host, "a");

        second.quarantine.send(vec![(42, 60_000)]).await.unwrap();
        let received = third.quarantined.recv().await.unwrap();
        assert_eq!(received[0].0, 42);

        second.directory.leave().await;
        let leaving = |it: &View| it.get("b").is_some_and(|it| it.state == State::Leaving);
        wait_for_view(&third, leaving).await;
        second.directory.depart().await;
        wait_for_view(&third, |it| it.get("b").is_none()).await;

        first.server.abort();
        drop(first);
        drop(second);
        wait_for_view(&third, |it| it.members.len() == 1).await;
    }

    #[test]
    fn sizes_are_those_of_the_encoding() {
        use std::pin::Pin;

        use almondrack::wire::Gossip;
        use tarpc::tokio_serde::{Serializer as _, formats::Bincode};

        let member = |id: &str, address: &str, incarnation| Member {
            id: id.to_owned(),
            region: "region-1".to_owned(),
            zone: "zone-1".to_owned(),
            peer: address.parse().unwrap(),
            admin: "10.0.0.1:80".parse().unwrap(),
            incarnation,
            version: 300,
            state: State::Suspect,
        };
        let messages = [
            Gossip {
                from: member("host-1", "10.0.0.1:7000", 1_700_000_000_000),
                revision: 70_000,
                changes: Vec::new(),
                quarantine: Vec::new(),
                full: true,
            },
            Gossip {
                from: member(&"x".repeat(300), "[::1]:7000", 250),
                revision: 251,
                changes: vec![member("host-2", "10.0.0.1:7000", u64::MAX); 260],
                quarantine: vec![(u64::MAX, 1), (1, 60_000)],
                full: false,
            },
        ];
        for message in messages {
            let mut format = Bincode::<Gossip, Gossip, _>::default();
            let bytes = Pin::new(&mut format).serialize(&message).unwrap();
            assert_eq!(message.encoded_len(), bytes.len() as u64);
        }
    }
}
