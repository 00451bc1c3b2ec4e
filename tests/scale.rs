//! Tests of the autoscaler against a simulated zone, with arbitrary demand, reclaims, crashes, late answers and missing
//! reports.

use std::collections::BTreeMap;

use almondrack::{
    platform::{State, Upstream},
    scale::{Action, ClassAttainment, Demand, Policy, Scaler, Settings, UpstreamLoad},
    time::{Span, Time},
};
use expect_test::expect;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEED: u64 = 42;
/// Time in which a simulated upstream starts, in seconds.
const START_S: u64 = 20;
/// Time in which a simulated upstream stops, in seconds.
const STOP_S: u64 = 3;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// This number of seconds passes.
    Pass(u8),
    /// Sets the number of requests that run or wait at the same time.
    SetDemand(u8),
    /// Drops the demand reports of the dispatcher for this number of seconds.
    DropReports(u8),
    /// Sets whether cheap upstreams are available.
    CheapAvailable(bool),
    /// The platform reclaims all cheap upstreams within five seconds.
    Reclaim,
    /// The upstream with this index, modulo their number, crashes.
    Crash(u8),
    /// Delays the answers to starts by this number of seconds.
    DelayAnswers(u8),
    /// Changes the record: minimum, maximum, and maximum share of cheap upstreams in tenths.
    SetPolicy(u8, u8, u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        let any = u8::arbitrary(g);
        match u8::arbitrary(g) % 24 {
            0..=11 => Event::Pass(any % 90),
            12..=15 => Event::SetDemand(any % 60),
            16 => Event::DropReports(any % 60),
            17..=18 => Event::CheapAvailable(bool::arbitrary(g)),
            19 => Event::Reclaim,
            20 => Event::Crash(any),
            21 => Event::DelayAnswers(any % 30),
            _ => Event::SetPolicy(any % 3, any % 10, u8::arbitrary(g) % 11),
        }
    }
}

#[derive(Debug)]
struct SimulatedUpstream {
    upstream: Upstream,
    ready_at: u64,
    gone_at: Option<u64>,
    /// End of each running request.
    ends: Vec<u64>,
    drained_at: Option<u64>,
}

#[derive(Debug)]
struct SimulatedZone {
    now: u64,
    scaler: Scaler,
    settings: Settings,
    policy: Policy,
    upstreams: Vec<SimulatedUpstream>,
    /// Upstreams on which the dispatcher grants nothing more.
    leaving: Vec<String>,
    /// Number of requests that run or wait.
    demand_level: u8,
    /// Demand reports are dropped until this time.
    silent_until: u64,
    cheap_available: bool,
    answer_delay: u64,
    /// Outstanding answers to starts: time of arrival, whether cheap, upstream.
    answers: Vec<(u64, bool, String)>,
    /// Number of the last upstream started.
    last_number: u64,
    counts: BTreeMap<&'static str, u64>,
    faults: Vec<String>,
}

fn policy(min: u32, max: u32, cheap_per_mille: u32) -> Policy {
    Policy { pool: "p".to_owned(), slots: 4, min, max, cheap_per_mille, models: Vec::new() }
}

impl SimulatedZone {
    fn new(policy: Policy) -> SimulatedZone {
        let settings = Settings { drain_timeout: Span::from_ms(300_000), ..Settings::default() };
        let mut scaler = Scaler::new(settings);
        scaler.configure(vec![policy.clone()]);
        SimulatedZone {
            now: 1_000,
            scaler,
            settings,
            policy,
            upstreams: Vec::new(),
            leaving: Vec::new(),
            demand_level: 0,
            silent_until: 0,
            cheap_available: true,
            answer_delay: 0,
            answers: Vec::new(),
            last_number: 0,
            counts: BTreeMap::new(),
            faults: Vec::new(),
        }
    }

    fn time(&self) -> Time {
        Time(self.now * 1_000_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Pass(seconds) => (0..seconds).for_each(|_| self.advance_second()),
            Event::SetDemand(demand_level) => self.demand_level = demand_level,
            Event::DropReports(seconds) => self.silent_until = self.now + u64::from(seconds),
            Event::CheapAvailable(cheap) => self.cheap_available = cheap,
            Event::Reclaim => {
                for it in self.upstreams.iter_mut().filter(|it| it.upstream.cheap) {
                    it.upstream.reclaim_ms = Some(5_000);
                    it.gone_at = Some(it.gone_at.unwrap_or(self.now + 5).min(self.now + 5));
                }
            }
            Event::Crash(which) => {
                if !self.upstreams.is_empty() {
                    let which = usize::from(which) % self.upstreams.len();
                    self.upstreams.remove(which);
                }
            }
            Event::DelayAnswers(seconds) => self.answer_delay = u64::from(seconds),
            Event::SetPolicy(min, max, cheap) => {
                let (min, max) = (u32::from(min), u32::from(max.max(min)));
                self.policy = policy(min, max, u32::from(cheap) * 100);
                self.scaler.configure(vec![self.policy.clone()]);
            }
        }
    }

    fn advance_second(&mut self) {
        self.now += 1;
        let now = self.now;
        self.upstreams.retain(|it| it.gone_at.is_none_or(|gone| gone > now));
        for it in &mut self.upstreams {
            it.ends.retain(|end| *end > now);
            if it.upstream.state == State::Starting && it.ready_at <= now {
                it.upstream.state = State::Running;
            }
        }
        let queued = self.dispatch();
        if self.silent_until <= now {
            self.report(queued);
        }
        let time = self.time();
        for (_, cheap, name) in self.answers.extract_if(.., |it| it.0 <= now) {
            self.scaler.start_accepted("p", cheap, &name);
        }
        let upstreams: Vec<_> = self.upstreams.iter().map(|it| it.upstream.clone()).collect();
        let mut actions = Vec::new();
        self.scaler.step(time, &upstreams, &mut actions);
        for action in actions {
            self.apply(action);
        }
        self.check();
    }

    /// Fills the free slots and returns the number of requests that wait.
    fn dispatch(&mut self) -> u32 {
        let running: usize = self.upstreams.iter().map(|it| it.ends.len()).sum();
        let mut wanted = usize::from(self.demand_level).saturating_sub(running);
        let now = self.now;
        for it in &mut self.upstreams {
            let free = it.upstream.state == State::Running
                && it.upstream.reclaim_ms.is_none()
                && !self.leaving.contains(&it.upstream.id);
            while free && wanted > 0 && it.ends.len() < 4 {
                it.ends.push(now + 3 + (now * 7 + wanted as u64 * 5) % 9);
                wanted -= 1;
            }
        }
        wanted as u32
    }

    fn report(&mut self, queued: u32) {
        let load = |it: &SimulatedUpstream| UpstreamLoad {
            upstream: it.upstream.id.clone(),
            running: it.ends.len() as u32,
            leaving: self.leaving.contains(&it.upstream.id),
        };
        let running = self.upstreams.iter().map(|it| it.ends.len() as u32).sum();
        let demand = Demand {
            pool: "p".to_owned(),
            queued,
            running,
            longest_wait_ms: 0,
            classes: vec![ClassAttainment {
                target_per_mille: 950,
                in_time_per_mille: 990,
                queued,
            }],
            upstreams: self.upstreams.iter().map(load).collect(),
        };
        self.leaving = self.scaler.record_demand(self.time(), demand);
    }

    fn apply(&mut self, action: Action) {
        let name = match &action {
            Action::Start { .. } => "start",
            Action::Drain { .. } => "drain",
            Action::Stop { .. } => "stop",
            Action::Load { .. } | Action::Unload { .. } => "load",
        };
        *self.counts.entry(name).or_default() += 1;
        match action {
            Action::Start { cheap: true, .. } if !self.cheap_available => {
                *self.counts.entry("unavailable").or_default() += 1;
                self.scaler.start_refused(self.time(), "p", true);
            }
            Action::Start { cheap, .. } => self.start(cheap),
            Action::Drain { upstream } => {
                let now = self.now;
                if let Some(it) = self.upstream_mut(&upstream) {
                    it.drained_at = Some(now);
                }
            }
            Action::Stop { upstream } => self.stop(&upstream),
            Action::Load { .. } | Action::Unload { .. } => {}
        }
    }

    fn upstream_mut(&mut self, id: &str) -> Option<&mut SimulatedUpstream> {
        self.upstreams.iter_mut().find(|it| it.upstream.id == id)
    }

    fn start(&mut self, cheap: bool) {
        self.last_number += 1;
        let id = format!("u{:05}", self.last_number);
        self.answers.push((self.now + self.answer_delay, cheap, id.clone()));
        self.upstreams.push(SimulatedUpstream {
            upstream: Upstream {
                id,
                pool: "p".to_owned(),
                address: ([127, 0, 0, 1], 1).into(),
                state: State::Starting,
                cheap,
                cost_per_hour: if cheap { 1.0 } else { 3.0 },
                reclaim_ms: None,
            },
            ready_at: self.now + START_S,
            gone_at: None,
            ends: Vec::new(),
            drained_at: None,
        });
    }

    fn stop(&mut self, id: &str) {
        let now = self.now;
        let timeout = self.settings.drain_timeout.as_ms() / 1_000;
        let Some(it) = self.upstream_mut(id) else { return };
        let fault = match it.drained_at {
            None => Some(format!("{id} stopped without a drain")),
            Some(at) if !it.ends.is_empty() && now - at < timeout => {
                Some(format!("{id} stopped with {} running", it.ends.len()))
            }
            Some(_) => None,
        };
        it.upstream.state = State::Leaving;
        it.gone_at = Some(now + STOP_S);
        self.faults.extend(fault);
    }

    fn check(&mut self) {
        let kept = self
            .upstreams
            .iter()
            .filter(|it| it.upstream.state != State::Leaving && it.upstream.reclaim_ms.is_none());
        let kept: Vec<_> = kept.collect();
        let total = kept.len() as u32;
        let started_now = kept.iter().any(|it| it.ready_at == self.now + START_S);
        if started_now && total > self.policy.max {
            self.faults.push(format!("{total} upstreams, at most {}", self.policy.max));
        }
        let drained_now = kept.iter().any(|it| it.drained_at == Some(self.now));
        let left = kept.iter().filter(|it| it.drained_at.is_none()).count() as u32;
        if drained_now && left < self.policy.min {
            self.faults.push(format!("{left} upstreams, at least {}", self.policy.min));
        }
    }

    fn orders(&self) -> u64 {
        ["start", "drain", "stop"].iter().filter_map(|it| self.counts.get(it)).sum()
    }
}

fn run(events: &[Event]) -> SimulatedZone {
    let mut zone = SimulatedZone::new(policy(1, 8, 500));
    for event in events {
        zone.handle(*event);
    }
    zone
}

#[test]
fn stops_only_what_is_drained_and_stays_within_bounds() {
    fn holds(events: Vec<Event>) -> bool {
        let zone = run(&events);
        if let Some(fault) = zone.faults.first() {
            eprintln!("fault: {fault}");
        }
        zone.faults.is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, SEED))
        .tests(400)
        .quickcheck(holds as fn(Vec<Event>) -> bool);
}

#[test]
fn steady_demand_gives_no_orders() {
    fn holds(events: Vec<Event>) -> bool {
        let mut zone = run(&events);
        zone.cheap_available = true;
        zone.answer_delay = 0;
        zone.silent_until = 0;
        (0..2_400).for_each(|_| zone.advance_second());
        let before = zone.orders();
        let demand_level = zone.demand_level;
        for second in 0..1_200 {
            zone.demand_level = demand_level + u8::from(second % 2 == 1);
            zone.advance_second();
        }
        let orders = zone.orders() - before;
        // The higher level may need one more upstream, plus a replacement that restores the share of cheap ones.
        if orders > 4 {
            eprintln!("fault: {orders} orders at {demand_level} requests, {:?}", zone.policy);
        }
        orders <= 4
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(60)
        .quickcheck(holds as fn(Vec<Event>) -> bool);
}

#[test]
fn fuzzed_histories_reach_what_they_check() {
    let mut g = Gen::from_size_and_seed(120, SEED);
    let mut counts = BTreeMap::new();
    for _ in 0..100 {
        for (name, count) in run(&Vec::arbitrary(&mut g)).counts {
            *counts.entry(name).or_insert(0) += count;
        }
    }
    expect![[r#"{"drain": 808, "start": 1516, "stop": 690, "unavailable": 145}"#]]
        .assert_eq(&format!("{counts:?}"));
}

#[test]
fn noise_gives_no_orders() {
    // Two alternating numbers of requests, and the duration of each in seconds.
    let cases = [(9, 11, 90), (4, 11, 20), (0, 24, 50), (16, 19, 120)];
    let mut lines = Vec::new();
    for (low, high, seconds) in cases {
        let mut zone = SimulatedZone::new(policy(1, 8, 500));
        let mut before = 0;
        for round in 0..60 {
            before = if round == 20 { zone.orders() } else { before };
            zone.demand_level = if round % 2 == 0 { low } else { high };
            (0..seconds).for_each(|_| zone.advance_second());
        }
        lines.push(format!("{low} and {high}: {} orders", zone.orders() - before));
    }
    expect![[r#"
        9 and 11: 0 orders
        4 and 11: 0 orders
        0 and 24: 0 orders
        16 and 19: 0 orders"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn upstream_is_not_idle_once_another_dispatcher_uses_it() {
    let mut scaler = Scaler::new(Settings::default());
    scaler.configure(vec![policy(0, 2, 0)]);
    let upstream = Upstream {
        id: "a".to_owned(),
        pool: "p".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        state: State::Running,
        cheap: true,
        cost_per_hour: 1.0,
        reclaim_ms: Some(5_000),
    };
    let report = |running, leaving| Demand {
        pool: "p".to_owned(),
        upstreams: vec![UpstreamLoad { upstream: "a".to_owned(), running, leaving }],
        ..Demand::default()
    };
    let mut actions = Vec::new();
    scaler.step(Time(1), std::slice::from_ref(&upstream), &mut actions);
    scaler.record_demand(Time(2), report(0, true));
    scaler.record_demand(Time(3), report(1, false));
    scaler.step(Time(4), std::slice::from_ref(&upstream), &mut actions);
    let before = actions.len();
    scaler.record_demand(Time(5), report(0, true));
    scaler.step(Time(6), &[upstream], &mut actions);
    expect![[r#"1 before, [Drain { upstream: "a" }, Stop { upstream: "a" }]"#]]
        .assert_eq(&format!("{before} before, {actions:?}"));
}

/// Returns one line per minute with the numbers of ready, cheap ready, starting and draining upstreams.
fn minutes(zone: &mut SimulatedZone, count: u64) -> String {
    let mut lines = Vec::new();
    for minute in 0..count {
        let state =
            |it: &&SimulatedUpstream, state| it.upstream.state == state && it.drained_at.is_none();
        let ready = zone.upstreams.iter().filter(|it| state(it, State::Running));
        let cheap = ready.clone().filter(|it| it.upstream.cheap).count();
        let starting = zone.upstreams.iter().filter(|it| state(it, State::Starting)).count();
        let draining = zone.upstreams.iter().filter(|it| it.drained_at.is_some()).count();
        let ready = ready.count();
        lines.push(format!(
            "{minute}: {ready} ready, {cheap} cheap, {starting} starting, {draining} draining"
        ));
        (0..60).for_each(|_| zone.advance_second());
    }
    lines.join("\n")
}

#[test]
fn burst_and_calm() {
    let mut zone = SimulatedZone::new(policy(1, 8, 500));
    let mut lines = vec![minutes(&mut zone, 2)];
    zone.demand_level = 20;
    lines.push(minutes(&mut zone, 3));
    zone.demand_level = 2;
    lines.push(minutes(&mut zone, 5));
    expect![[r#"
        0: 0 ready, 0 cheap, 0 starting, 0 draining
        1: 1 ready, 0 cheap, 0 starting, 0 draining
        0: 1 ready, 0 cheap, 0 starting, 0 draining
        1: 6 ready, 3 cheap, 0 starting, 0 draining
        2: 6 ready, 3 cheap, 0 starting, 0 draining
        0: 6 ready, 3 cheap, 0 starting, 0 draining
        1: 6 ready, 3 cheap, 0 starting, 0 draining
        2: 3 ready, 1 cheap, 0 starting, 2 draining
        3: 2 ready, 1 cheap, 0 starting, 0 draining
        4: 1 ready, 0 cheap, 0 starting, 0 draining"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn cheap_upstreams_are_unavailable_then_come_back() {
    let mut zone = SimulatedZone::new(policy(4, 8, 500));
    zone.cheap_available = false;
    zone.demand_level = 12;
    let mut lines = vec![minutes(&mut zone, 4)];
    zone.cheap_available = true;
    lines.push(minutes(&mut zone, 14));
    expect![[r#"
        0: 0 ready, 0 cheap, 0 starting, 0 draining
        1: 4 ready, 0 cheap, 0 starting, 0 draining
        2: 4 ready, 0 cheap, 0 starting, 0 draining
        3: 4 ready, 0 cheap, 0 starting, 0 draining
        0: 4 ready, 0 cheap, 0 starting, 0 draining
        1: 4 ready, 0 cheap, 0 starting, 0 draining
        2: 4 ready, 0 cheap, 0 starting, 0 draining
        3: 4 ready, 0 cheap, 0 starting, 0 draining
        4: 4 ready, 1 cheap, 0 starting, 0 draining
        5: 4 ready, 2 cheap, 0 starting, 0 draining
        6: 4 ready, 2 cheap, 0 starting, 0 draining
        7: 4 ready, 2 cheap, 0 starting, 0 draining
        8: 4 ready, 2 cheap, 0 starting, 0 draining
        9: 4 ready, 2 cheap, 0 starting, 0 draining
        10: 4 ready, 2 cheap, 0 starting, 0 draining
        11: 4 ready, 2 cheap, 0 starting, 0 draining
        12: 4 ready, 2 cheap, 0 starting, 0 draining
        13: 4 ready, 2 cheap, 0 starting, 0 draining"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn reclaimed_upstreams_are_replaced_at_once() {
    let mut zone = SimulatedZone::new(policy(4, 8, 500));
    zone.demand_level = 12;
    let mut lines = vec![minutes(&mut zone, 2)];
    zone.handle(Event::Reclaim);
    zone.advance_second();
    lines.push(minutes(&mut zone, 3));
    expect![[r#"
        0: 0 ready, 0 cheap, 0 starting, 0 draining
        1: 4 ready, 2 cheap, 0 starting, 0 draining
        0: 2 ready, 0 cheap, 2 starting, 2 draining
        1: 4 ready, 0 cheap, 1 starting, 0 draining
        2: 4 ready, 1 cheap, 0 starting, 0 draining"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn models_load_at_the_rate_of_the_weight_store() {
    let settings = Settings { loads_per_minute: 6, ..Settings::default() };
    let mut scaler = Scaler::new(settings);
    let models = vec!["m1".to_owned(), "m2".to_owned()];
    scaler.configure(vec![Policy { models, ..policy(2, 2, 0) }]);
    let upstream = |id: &str| Upstream {
        id: id.to_owned(),
        pool: "p".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        state: State::Running,
        cheap: false,
        cost_per_hour: 3.0,
        reclaim_ms: None,
    };
    let upstreams = [upstream("a"), upstream("b")];
    let mut lines = Vec::new();
    for second in 100..160 {
        if second == 140 {
            scaler.configure(vec![Policy { models: vec!["m2".to_owned()], ..policy(2, 2, 0) }]);
        }
        let mut actions = Vec::new();
        scaler.step(Time(second * 1_000_000), &upstreams, &mut actions);
        lines.extend(actions.iter().map(|it| format!("{second}: {it:?}")));
    }
    expect![[r#"
        100: Load { upstream: "a", model: "m1" }
        110: Load { upstream: "a", model: "m2" }
        120: Load { upstream: "b", model: "m1" }
        130: Load { upstream: "b", model: "m2" }
        140: Unload { upstream: "a", model: "m1" }
        140: Unload { upstream: "b", model: "m1" }"#]]
    .assert_eq(&lines.join("\n"));
}
