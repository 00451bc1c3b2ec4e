//! Stateful property tests of the dispatcher against an oracle of its rules, and snapshot tests of single rules.

use std::collections::{BTreeMap, BTreeSet};

use almondrack::{
    dispatch::{
        Action, Adopted, AttemptKey, Class, ClassKey, CustomerKey, Dispatcher, Ending, Event, Load,
        RouteKey, Ticket, TicketKey, Upstream, UpstreamKey,
    },
    error::Kind,
    time::{Span, Time},
};
use expect_test::expect;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const START: Time = Time(1_000_000_000);

const CLASSES: [(ClassKey, Class); 3] = [
    (ClassKey(1), class(1, 600, 50, 1_000)),
    (ClassKey(2), class(2, 3_000, 50, 4_000)),
    (ClassKey(3), class(3, 30_000, 100, 30_000)),
];

const fn class(tier: u8, first_token_ms: u64, floor_per_mille: u32, max_wait_ms: u64) -> Class {
    Class { tier, first_token_ms, floor_per_mille, max_wait_ms }
}

fn spec(key: ClassKey) -> Class {
    CLASSES.iter().find(|it| it.0 == key).expect("the class is in CLASSES").1
}

/// Returns whether the upstream with this key answers slowly.
fn is_slow(key: UpstreamKey) -> bool {
    key.0 % 4 == 3
}

#[derive(Debug, Clone)]
enum Op {
    Submit { customer: u32, class: u32, sizes: (u32, u32), flags: u8, prefix: u64, body: u64 },
    End { pick: usize, ending: Ending },
    FirstToken { pick: usize },
    Tokens { pick: usize, tokens: u32 },
    Cancel { pick: usize },
    Add { slots: u32, kv_tokens: u64, cheap: bool },
    Leave { pick: usize, notice_ms: u64 },
    Remove { pick: usize },
    Load { pick: usize, running: u32, age_ms: u64 },
    Cache { pick: usize, prefix: u64, kept: bool },
    Adopt { pick: usize, class: u32, flags: u8 },
    Quarantine { body: u64 },
    Weight { customer: u32, weight: u32 },
    Tick,
}

#[derive(Debug, Clone)]
struct TimedOp {
    after_us: u64,
    op: Op,
}

fn below(gen_: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(gen_) % bound
}

impl Arbitrary for TimedOp {
    fn arbitrary(g: &mut Gen) -> TimedOp {
        let pick = below(g, 64) as usize;
        let op = match below(g, 100) {
            0..50 => Op::Submit {
                customer: below(g, 5) as u32,
                class: 1 + below(g, 3) as u32,
                sizes: (below(g, 300) as u32, below(g, 4) as u32 * 100),
                flags: below(g, 16) as u8,
                prefix: below(g, 4),
                body: below(g, 400),
            },
            50..72 => Op::End { pick, ending: ending(g) },
            72..77 => Op::FirstToken { pick },
            77..81 => Op::Tokens { pick, tokens: below(g, 500) as u32 },
            81..83 => Op::Cancel { pick },
            83..86 => Op::Add {
                slots: 1 + below(g, 4) as u32,
                kv_tokens: below(g, 3) * 800,
                cheap: below(g, 3) == 0,
            },
            86 => Op::Leave { pick, notice_ms: below(g, 10_000) },
            87 => Op::Remove { pick },
            88..90 => Op::Load { pick, running: below(g, 9) as u32, age_ms: below(g, 6_000) },
            90..92 => Op::Cache { pick, prefix: below(g, 4), kept: bool::arbitrary(g) },
            92 => Op::Adopt { pick, class: 1 + below(g, 3) as u32, flags: below(g, 2) as u8 },
            93 => Op::Quarantine { body: below(g, 400) },
            94 => Op::Weight { customer: below(g, 5) as u32, weight: 1 + below(g, 9) as u32 },
            _ => Op::Tick,
        };
        let long = below(g, 20) == 0;
        TimedOp { after_us: below(g, if long { 3_000_000 } else { 100_000 }), op }
    }
}

fn ending(g: &mut Gen) -> Ending {
    match below(g, 40) {
        0 => Ending::Cancelled,
        1 => Ending::Refused,
        2 | 3 => Ending::Failed,
        4 => Ending::TimedOut,
        _ => Ending::Done,
    }
}

#[derive(Debug)]
struct RunningAttempt {
    ticket: Ticket,
    upstream: UpstreamKey,
    tokens: u32,
    preempted: bool,
}

#[derive(Debug)]
struct UpstreamState {
    upstream: Upstream,
    /// Whether an attempt failed on the upstream, so that it may be ejected.
    failed: bool,
}

/// The rules of the dispatcher, and the state that is needed to check them.
#[derive(Debug, Default)]
struct Oracle {
    now: Time,
    upstreams: BTreeMap<UpstreamKey, UpstreamState>,
    waiting: BTreeMap<TicketKey, (Ticket, Time)>,
    running: BTreeMap<AttemptKey, RunningAttempt>,
    answered: BTreeSet<TicketKey>,
    quarantined: BTreeMap<u64, Time>,
    /// Number of grants per class that went ahead of a higher tier.
    floor_grants: BTreeMap<ClassKey, u64>,
    grants: u64,
    preempts: u64,
    refusals: BTreeMap<Kind, u64>,
}

impl Oracle {
    fn check(&mut self, action: &Action) {
        match action {
            Action::Grant { ticket, attempt, upstream } => {
                self.granted(*ticket, *attempt, *upstream)
            }
            Action::Refuse { ticket, kind, retry_after_ms } => {
                assert_eq!(
                    retry_after_ms.is_some(),
                    kind.answer().later && *kind != Kind::NoUpstream,
                    "a delay is stated where it helps: {kind:?}"
                );
                self.refused(*ticket, *kind);
            }
            Action::Preempt(attempt) => self.preempted(*attempt),
            Action::Quarantine(fingerprint, until) => {
                self.quarantined.insert(*fingerprint, *until);
            }
        }
    }

    fn granted(&mut self, key: TicketKey, attempt: AttemptKey, upstream: UpstreamKey) {
        let (ticket, since) = self.waiting.remove(&key).expect("only waiting tickets are granted");
        let state = self.upstreams.get(&upstream).expect("only known upstreams are used");
        let wait = Span::from_ms(spec(ticket.class).max_wait_ms);
        assert!(self.now.since(since) < wait, "granted beyond the wait bound");
        assert_eq!(state.upstream.leaving, None, "nothing new on a leaving upstream");
        assert!(self.busy(upstream) < state.upstream.slots, "slots overrun on {upstream:?}");
        let kv = self.used(upstream) + u64::from(ticket.prompt_tokens);
        assert!(state.upstream.kv_tokens == 0 || kv <= state.upstream.kv_tokens, "memory overrun");
        assert!(!self.is_quarantined(ticket.fingerprint), "a quarantined request was granted");
        if !ticket.repeatable && state.upstream.cheap {
            let paid = self.upstreams.values().any(|it| self.serves(it) && !it.upstream.cheap);
            assert!(!paid, "a request that may not be repeated runs on a cheap upstream");
        }
        self.grants += 1;
        let tier = spec(ticket.class).tier;
        if self
            .waiting
            .values()
            .any(|(it, _)| spec(it.class).tier < tier && self.fits(it, upstream))
        {
            *self.floor_grants.entry(ticket.class).or_default() += 1;
            let share = u64::from(spec(ticket.class).floor_per_mille) * self.grants / 1_000;
            let passes = self.floor_grants[&ticket.class];
            assert!(passes <= share + 5, "tier {tier} passed a higher one {passes} times");
        }
        let run = RunningAttempt { ticket, upstream, tokens: 0, preempted: false };
        assert!(self.running.insert(attempt, run).is_none(), "attempt number assigned twice");
        assert!(self.answered.insert(key), "second answer to {key:?}");
    }

    fn refused(&mut self, key: TicketKey, kind: Kind) {
        let (ticket, since) = self.waiting.remove(&key).expect("only waiting tickets are refused");
        assert!(self.answered.insert(key), "second answer to {key:?}");
        *self.refusals.entry(kind).or_default() += 1;
        let spec_ = spec(ticket.class);
        match kind {
            Kind::QueueTimeout => {
                assert!(
                    self.now.since(since) >= Span::from_ms(spec_.max_wait_ms),
                    "refused before the maximum queue time"
                );
            }
            Kind::Shed => {
                let lower = self.waiting.values().any(|it| spec(it.0.class).tier > spec_.tier);
                assert!(!lower, "shed while a lower tier waits");
                self.assert_no_lower_preemptible(&ticket, spec_.tier);
            }
            Kind::DeadlineUnmeetable => self.assert_no_lower_preemptible(&ticket, spec_.tier),
            Kind::Quarantined => assert!(self.is_quarantined(ticket.fingerprint)),
            Kind::RetryBudget => assert!(ticket.retry),
            Kind::NoUpstream => {
                let prompt = u64::from(ticket.prompt_tokens);
                let small = |it: &UpstreamState| {
                    it.upstream.kv_tokens != 0 && it.upstream.kv_tokens <= prompt
                };
                assert!(self.upstreams.values().all(small));
            }
            other => panic!("unexpected refusal {other:?}"),
        }
    }

    fn preempted(&mut self, key: AttemptKey) {
        let run = self.running.get(&key).expect("only running attempts are stopped");
        assert!(run.ticket.repeatable, "an attempt that is not repeatable was preempted");
        assert!(!run.preempted, "an attempt was preempted twice");
        let state = self.upstreams.get(&run.upstream);
        if state.is_none_or(|it| it.upstream.leaving.is_none()) {
            let victim = spec(run.ticket.class).tier;
            let class = run.ticket.class;
            let higher = self.waiting.values().filter(|it| spec(it.0.class).tier < victim);
            let higher: Vec<_> = higher.map(|it| it.0.repeatable).collect();
            assert!(!higher.is_empty(), "preempted although no higher tier waits");
            // A slot on a cheap upstream is of no use to a request that is not repeatable.
            let cheap_allowed = higher.into_iter().all(|it| it);
            let lower = CLASSES.iter().filter(|it| it.1.tier > victim);
            let lower = lower.filter(|it| self.preemptible(it.0, cheap_allowed) > 0).count();
            assert_eq!(lower, 0, "stopped tier {victim} while a lower one runs");
            assert!(self.active(class) > 0);
            self.preempts += 1;
        }
        self.running.get_mut(&key).expect("running").preempted = true;
    }

    fn assert_no_lower_preemptible(&self, ticket: &Ticket, tier: u8) {
        for (class, _) in CLASSES.iter().filter(|it| it.1.tier > tier) {
            let count = self.preemptible(*class, ticket.repeatable);
            assert_eq!(count, 0, "tier {tier} refused while {class:?} could be stopped");
        }
    }

    /// Counts the attempts of a class that may be preempted: repeatable, beyond the floor, on upstreams that every class
    /// may use.
    fn preemptible(&self, class: ClassKey, cheap_allowed: bool) -> usize {
        let slots = self.upstreams.values().filter(|it| it.upstream.leaving.is_none());
        let slots: u64 = slots.map(|it| u64::from(it.upstream.slots)).sum();
        let floor = (slots * u64::from(spec(class).floor_per_mille)).div_ceil(1_000);
        if self.active(class) as u64 <= floor {
            return 0;
        }
        let mine = self.running.values().filter(|it| it.ticket.class == class && !it.preempted);
        let useful = mine.filter(|it| {
            let state = self.upstreams.get(&it.upstream);
            let useful = state.is_some_and(|state| {
                self.serves(state)
                    && !is_slow(it.upstream)
                    && (cheap_allowed || !state.upstream.cheap)
            });
            it.ticket.repeatable && useful
        });
        useful.count()
    }

    fn active(&self, class: ClassKey) -> usize {
        self.running.values().filter(|it| it.ticket.class == class && !it.preempted).count()
    }

    fn serves(&self, state: &UpstreamState) -> bool {
        state.upstream.leaving.is_none() && !state.failed
    }

    fn busy(&self, upstream: UpstreamKey) -> u32 {
        self.running.values().filter(|it| it.upstream == upstream).count() as u32
    }

    fn used(&self, upstream: UpstreamKey) -> u64 {
        let here = self.running.values().filter(|it| it.upstream == upstream);
        here.map(|it| u64::from(it.ticket.prompt_tokens) + u64::from(it.tokens)).sum()
    }

    /// Returns the maximum memory that estimates can reserve on an upstream, or `None` if an output is not limited.
    fn reserved(&self, upstream: UpstreamKey) -> Option<u64> {
        let here = self.running.values().filter(|it| it.upstream == upstream);
        here.map(|it| Some(size(&it.ticket)?.max(u64::from(it.ticket.prompt_tokens + it.tokens))))
            .sum()
    }

    /// Returns whether a ticket certainly fits a free slot of an upstream that every class may use.
    fn fits(&self, ticket: &Ticket, key: UpstreamKey) -> bool {
        let state = &self.upstreams[&key];
        let open = self.serves(state) && !is_slow(key) && self.busy(key) < state.upstream.slots;
        if !open || (state.upstream.cheap && !ticket.repeatable) {
            return false;
        }
        if state.upstream.kv_tokens == 0 {
            return true;
        }
        let (Some(size), Some(reserved)) = (size(ticket), self.reserved(key)) else { return false };
        size + reserved <= state.upstream.kv_tokens
    }

    fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.quarantined.get(&fingerprint).is_some_and(|end| self.now < *end)
    }

    /// Asserts what must hold between any two events.
    fn check_invariants(&self) {
        for (ticket, since) in self.waiting.values() {
            let bound = Span::from_ms(spec(ticket.class).max_wait_ms);
            assert!(self.now.since(*since) < bound, "{:?} waits beyond its bound", ticket.key);
            let idle = self.upstreams.keys().find(|key| self.fits(ticket, **key));
            assert_eq!(idle, None, "an upstream is idle while {ticket:?} waits");
        }
    }
}

/// Returns the memory of a request, or `None` if its output is not limited.
fn size(ticket: &Ticket) -> Option<u64> {
    (ticket.max_tokens > 0).then(|| u64::from(ticket.prompt_tokens + ticket.max_tokens))
}

#[derive(Debug, Default)]
struct World {
    dispatcher: Dispatcher,
    oracle: Oracle,
    next_upstream: u32,
    next_ticket: u64,
}

impl World {
    fn open() -> World {
        let mut world = World { dispatcher: Dispatcher::bounded(16), ..World::default() };
        world.oracle.now = START;
        for (key, class) in CLASSES {
            world.handle(Event::Class(key, class));
        }
        for (slots, kv_tokens, cheap) in
            [(2, 0, false), (3, 2_000, false), (2, 0, true), (1, 0, false)]
        {
            world.apply(Op::Add { slots, kv_tokens, cheap });
        }
        world
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.oracle.now, event, &mut actions);
        for action in &actions {
            self.oracle.check(action);
        }
        self.oracle.check_invariants();
        assert_eq!(self.dispatcher.queued(), self.oracle.waiting.len());
        assert_eq!(self.dispatcher.running(), self.oracle.running.len());
    }

    /// Advances time and sends a tick at each alarm of the dispatcher.
    fn wait(&mut self, span: Span) {
        let end = self.oracle.now + span;
        while let Some(alarm) = self.dispatcher.next_alarm()
            && alarm <= end
        {
            assert!(
                alarm > self.oracle.now || self.oracle.now == START,
                "the alarm is not in the past"
            );
            self.oracle.now = alarm.max(self.oracle.now);
            self.handle(Event::Tick);
        }
        self.oracle.now = end;
    }

    fn step(&mut self, step: TimedOp) {
        self.wait(Span(step.after_us));
        self.apply(step.op);
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Submit { customer, class, sizes, flags, prefix, body } => {
                let ticket = Ticket {
                    prefix,
                    fingerprint: body,
                    retry: flags & 14 == 14,
                    ..self.ticket(customer, class, sizes, flags & 1 == 0)
                };
                self.submit(ticket);
            }
            Op::End { pick, ending } => self.end(pick, ending),
            Op::FirstToken { pick } => {
                let Some((attempt, run)) = pick_entry(&self.oracle.running, pick) else { return };
                let us = if is_slow(run.upstream) { 5_000_000 } else { 100_000 };
                self.handle(Event::FirstToken(attempt, us));
            }
            Op::Tokens { pick, tokens } => self.tokens(pick, tokens),
            Op::Cancel { pick } => {
                let Some((key, _)) = pick_entry(&self.oracle.waiting, pick) else { return };
                self.oracle.waiting.remove(&key);
                self.handle(Event::Cancel(key));
            }
            Op::Add { slots, kv_tokens, cheap } => {
                self.next_upstream += 1;
                let upstream = Upstream { slots, kv_tokens, cheap, leaving: None };
                let key = UpstreamKey(self.next_upstream);
                self.oracle.upstreams.insert(key, UpstreamState { upstream, failed: false });
                self.handle(Event::Upstream(key, upstream));
            }
            Op::Leave { pick, notice_ms } => {
                let Some((key, state)) = pick_entry(&self.oracle.upstreams, pick) else { return };
                let leaving = Some(self.oracle.now + Span::from_ms(notice_ms));
                let upstream = Upstream { leaving, ..state.upstream };
                self.oracle.upstreams.get_mut(&key).expect("known").upstream = upstream;
                self.handle(Event::Upstream(key, upstream));
            }
            Op::Remove { pick } => {
                let Some((key, _)) = pick_entry(&self.oracle.upstreams, pick) else { return };
                self.oracle.upstreams.remove(&key);
                self.handle(Event::UpstreamRemoved(key));
            }
            Op::Load { pick, running, age_ms } => {
                let Some((key, _)) = pick_entry(&self.oracle.upstreams, pick) else { return };
                let at = self.oracle.now - Span::from_ms(age_ms);
                let load = Load { running, waiting: running / 2, kv_used: 100, at };
                self.handle(Event::Load(key, load));
            }
            Op::Cache { pick, prefix, kept } => {
                let Some((key, _)) = pick_entry(&self.oracle.upstreams, pick) else { return };
                self.handle(Event::Cache(key, prefix, kept));
            }
            Op::Adopt { pick, class, flags } => self.adopt(pick, class, flags & 1 == 0),
            Op::Quarantine { body } => {
                let until = self.oracle.now + Span::from_ms(5_000);
                let end = self.oracle.quarantined.entry(body).or_insert(until);
                *end = until.max(*end);
                self.handle(Event::Quarantine(body, until));
            }
            Op::Weight { customer, weight } => {
                self.handle(Event::Customer(CustomerKey(customer), weight));
            }
            Op::Tick => self.handle(Event::Tick),
        }
    }

    fn ticket(&mut self, customer: u32, class: u32, sizes: (u32, u32), repeatable: bool) -> Ticket {
        self.next_ticket += 1;
        Ticket {
            key: TicketKey(self.next_ticket),
            customer: CustomerKey(customer),
            class: ClassKey(class),
            route: RouteKey(class),
            prompt_tokens: sizes.0,
            max_tokens: sizes.1,
            accepted: self.oracle.now,
            repeatable,
            retry: false,
            prefix: 0,
            fingerprint: 1_000_000 + self.next_ticket,
            avoid: Vec::new(),
        }
    }

    fn submit(&mut self, ticket: Ticket) {
        self.oracle.waiting.insert(ticket.key, (ticket.clone(), self.oracle.now));
        self.handle(Event::Submit(ticket));
    }

    fn end(&mut self, pick: usize, ending: Ending) {
        let Some((attempt, run)) = pick_entry(&self.oracle.running, pick) else { return };
        let ending = if run.preempted { Ending::Preempted } else { ending };
        let upstream = run.upstream;
        let failed = matches!(ending, Ending::Failed | Ending::Refused | Ending::TimedOut);
        self.oracle.running.remove(&attempt);
        if let Some(state) = self.oracle.upstreams.get_mut(&upstream) {
            state.failed |= failed;
        }
        self.handle(Event::Ended(attempt, ending));
    }

    fn tokens(&mut self, pick: usize, tokens: u32) {
        let Some((attempt, run)) = pick_entry(&self.oracle.running, pick) else { return };
        let cap = if run.ticket.max_tokens == 0 { u32::MAX } else { run.ticket.max_tokens };
        let tokens = run.tokens.max(tokens.min(cap));
        self.oracle.running.get_mut(&attempt).expect("running").tokens = tokens;
        self.handle(Event::Tokens(attempt, tokens));
    }

    fn adopt(&mut self, pick: usize, class: u32, repeatable: bool) {
        let Some((upstream, _)) = pick_entry(&self.oracle.upstreams, pick) else { return };
        let ticket = self.ticket(0, class, (50, 100), repeatable);
        // Some of the numbers are ones that this dispatcher would assign later, the others are the largest ones.
        let number =
            if pick.is_multiple_of(2) { self.next_ticket + 5 } else { u64::MAX - self.next_ticket };
        let attempt = AttemptKey(number);
        let run = RunningAttempt { ticket: ticket.clone(), upstream, tokens: 10, preempted: false };
        if self.oracle.running.contains_key(&attempt) {
            return;
        }
        self.oracle.running.insert(attempt, run);
        self.handle(Event::Adopt(Adopted { attempt, ticket, upstream, tokens: 10 }));
    }

    /// Completes attempts until no ticket waits and nothing runs, and checks that all slots and memory are released.
    fn drain(&mut self) {
        for _ in 0..1_000 {
            self.wait(Span::from_ms(500));
            while !self.oracle.running.is_empty() {
                self.end(0, Ending::Done);
            }
            if self.oracle.waiting.is_empty() && self.oracle.running.is_empty() {
                assert_eq!(self.dispatcher.busy(), 0);
                let reserved = self.dispatcher.upstreams().map(|it| it.kv_reserved).sum::<u64>();
                assert_eq!(reserved, 0);
                return;
            }
        }
        panic!("tickets are left: {:?}", self.oracle.waiting);
    }
}

fn pick_entry<K: Copy + Ord, V>(map: &BTreeMap<K, V>, pick: usize) -> Option<(K, &V)> {
    let at = pick.checked_rem(map.len())?;
    map.iter().nth(at).map(|(key, value)| (*key, value))
}

fn run_history(steps: Vec<TimedOp>) -> bool {
    let mut world = World::open();
    for step in steps {
        world.step(step);
    }
    world.drain();
    true
}

#[test]
fn rules_hold_in_any_history() {
    for seed in [1, 2, 3] {
        let gen_ = Gen::from_size_and_seed(400, seed);
        QuickCheck::new().rng(gen_).tests(60).quickcheck(run_history as fn(Vec<TimedOp>) -> bool);
    }
}

#[test]
fn histories_reach_every_rule() {
    let mut gen_ = Gen::from_size_and_seed(100, 7);
    let mut world = World::open();
    for _ in 0..10_000 {
        world.step(TimedOp::arbitrary(&mut gen_));
    }
    let reached = format!(
        "grants {}\npreempts {}\npasses {:?}\nrefusals {:#?}\n",
        world.oracle.grants,
        world.oracle.preempts,
        world.oracle.floor_grants,
        world.oracle.refusals
    );
    world.drain();
    expect![[r#"
        grants 2318
        preempts 189
        passes {ClassKey(3): 36}
        refusals {
            Shed: 690,
            DeadlineUnmeetable: 172,
            QueueTimeout: 1714,
            Quarantined: 28,
            RetryBudget: 374,
        }
    "#]]
    .assert_eq(&reached);
}

/// Drives a dispatcher step by step and logs its actions.
#[derive(Debug, Default)]
struct Script {
    dispatcher: Dispatcher,
    now: Time,
    log: String,
}

impl Script {
    /// Creates a pool with the three classes and one upstream for each number of slots, keyed from 1.
    fn open(slots: &[u32]) -> Script {
        let mut script = Script { now: START, ..Script::default() };
        for (key, class) in CLASSES {
            script.handle(Event::Class(key, class));
        }
        for (index, slots) in slots.iter().enumerate() {
            script.upstream(index as u32 + 1, *slots, |_| {});
        }
        script
    }

    fn upstream(&mut self, key: u32, slots: u32, change: impl FnOnce(&mut Upstream)) {
        let mut upstream = Upstream { slots, kv_tokens: 0, cheap: false, leaving: None };
        change(&mut upstream);
        self.handle(Event::Upstream(UpstreamKey(key), upstream));
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now + Span::from_ms(ms);
    }

    /// Submits a ticket of customer 1.
    fn submit(&mut self, key: u64, class: u32, change: impl FnOnce(&mut Ticket)) {
        let mut ticket = Ticket {
            key: TicketKey(key),
            customer: CustomerKey(1),
            class: ClassKey(class),
            route: RouteKey(1),
            prompt_tokens: 100,
            max_tokens: 100,
            accepted: self.now,
            repeatable: true,
            retry: false,
            prefix: 0,
            fingerprint: key,
            avoid: Vec::new(),
        };
        change(&mut ticket);
        self.handle(Event::Submit(ticket));
    }

    fn end(&mut self, attempt: u64, ending: Ending) {
        self.handle(Event::Ended(AttemptKey(attempt), ending));
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        let ms = self.now.since(START).as_ms();
        for action in actions {
            let line = match action {
                Action::Grant { ticket, attempt, upstream } => {
                    format!("grant {} as {} on {}", ticket.0, attempt.0, upstream.0)
                }
                Action::Refuse { ticket, kind, retry_after_ms } => {
                    let delay = retry_after_ms.map_or_else(String::new, |it| format!(" {it} ms"));
                    format!("refuse {} {kind:?}{delay}", ticket.0)
                }
                Action::Preempt(attempt) => format!("stop {}", attempt.0),
                Action::Quarantine(fingerprint, until) => {
                    format!("quarantine {fingerprint} for {} ms", until.since(self.now).as_ms())
                }
            };
            self.log.push_str(&format!("{ms}: {line}\n"));
        }
    }
}

#[test]
fn higher_tiers_and_other_customers_go_first() {
    let mut script = Script::open(&[1]);
    for key in 1..=4 {
        script.submit(key, 3, |_| {});
    }
    script.submit(5, 3, |it| it.customer = CustomerKey(2));
    script.submit(6, 2, |_| {});
    script.submit(7, 1, |_| {});
    for attempt in 1..=6 {
        script.wait(10);
        script.end(attempt, Ending::Done);
    }
    expect![[r#"
        0: grant 1 as 1 on 1
        10: grant 7 as 2 on 1
        20: grant 6 as 3 on 1
        30: grant 5 as 4 on 1
        40: grant 2 as 5 on 1
        50: grant 3 as 6 on 1
        60: grant 4 as 7 on 1
    "#]]
    .assert_eq(&script.log);
}

#[test]
fn higher_tier_stops_the_newest_of_the_lowest_before_it_is_late() {
    let mut script = Script::open(&[4]);
    script.submit(1, 2, |_| {});
    for key in 2..=4 {
        script.wait(10);
        script.submit(key, 3, |it| it.repeatable = key != 4);
    }
    script.submit(5, 1, |_| {});
    script.wait(450);
    script.handle(Event::Tick);
    script.end(3, Ending::Preempted);
    expect![[r#"
        0: grant 1 as 1 on 1
        10: grant 2 as 2 on 1
        20: grant 3 as 3 on 1
        30: grant 4 as 4 on 1
        480: stop 3
        480: grant 5 as 5 on 1
    "#]]
    .assert_eq(&script.log);
}

#[test]
fn backlog_that_leaves_no_time_is_refused_at_once() {
    let mut script = Script::open(&[1]);
    for key in 1..=8 {
        script.submit(key, 2, |it| it.repeatable = false);
    }
    script.wait(4_000);
    script.handle(Event::Tick);
    expect![[r#"
        0: grant 1 as 1 on 1
        0: refuse 4 DeadlineUnmeetable 3066 ms
        0: refuse 5 DeadlineUnmeetable 3066 ms
        0: refuse 6 DeadlineUnmeetable 3066 ms
        0: refuse 7 DeadlineUnmeetable 3066 ms
        0: refuse 8 DeadlineUnmeetable 3066 ms
        4000: refuse 2 QueueTimeout 100 ms
        4000: refuse 3 QueueTimeout 100 ms
    "#]]
    .assert_eq(&script.log);
}

#[test]
fn retries_have_a_budget() {
    let mut script = Script::open(&[100]);
    for key in 1..=12 {
        script.submit(key, 1, |it| it.retry = true);
    }
    for attempt in 1..=10 {
        script.end(attempt, Ending::Done);
    }
    script.submit(13, 1, |it| it.retry = true);
    script.submit(14, 1, |it| it.retry = true);
    expect![[r#"
        0: grant 1 as 1 on 1
        0: grant 2 as 2 on 1
        0: grant 3 as 3 on 1
        0: grant 4 as 4 on 1
        0: grant 5 as 5 on 1
        0: grant 6 as 6 on 1
        0: grant 7 as 7 on 1
        0: grant 8 as 8 on 1
        0: grant 9 as 9 on 1
        0: grant 10 as 10 on 1
        0: refuse 11 RetryBudget 1000 ms
        0: refuse 12 RetryBudget 1000 ms
        0: grant 13 as 11 on 1
        0: refuse 14 RetryBudget 1000 ms
    "#]]
    .assert_eq(&script.log);
}

#[test]
fn second_crash_quarantines_and_completion_clears_a_suspect() {
    let mut script = Script::open(&[2, 2]);
    let poison = |it: &mut Ticket| it.fingerprint = 666;
    script.submit(1, 1, |it| it.prefix = 9);
    script.submit(2, 1, poison);
    script.submit(3, 1, |it| {
        it.prefix = 9;
        it.fingerprint = 333;
    });
    script.wait(10);
    // Both upstreams crash, so all three requests become suspects. The second run of the poison request crashes its
    // upstream again.
    for attempt in 1..=3 {
        script.end(attempt, Ending::Failed);
    }
    script.wait(5_000);
    script.submit(4, 1, poison);
    script.submit(5, 1, |it| it.fingerprint = 333);
    script.wait(10);
    script.end(5, Ending::Done);
    script.end(4, Ending::Failed);
    script.submit(6, 1, poison);
    script.submit(7, 1, |it| it.fingerprint = 333);
    script.wait(10);
    // Fingerprint 333 completed after its first crash, so this one counts as its first.
    script.end(6, Ending::Failed);
    script.wait(5_000);
    script.submit(9, 1, |it| it.fingerprint = 333);
    let listed: Vec<_> = script.dispatcher.quarantined(script.now).map(|it| it.0).collect();
    script.log.push_str(&format!("listed {listed:?}\n"));
    script.wait(600_001);
    script.submit(8, 1, poison);
    expect![[r#"
        0: grant 1 as 1 on 1
        0: grant 2 as 2 on 2
        0: grant 3 as 3 on 1
        5010: grant 4 as 4 on 1
        5010: grant 5 as 5 on 2
        5020: quarantine 666 for 600000 ms
        5020: refuse 6 Quarantined
        5020: grant 7 as 6 on 2
        10030: grant 9 as 7 on 1
        listed [666]
        610031: grant 8 as 8 on 2
    "#]]
    .assert_eq(&script.log);
}

#[test]
fn quarantine_clears_other_suspects_of_the_same_crash() {
    let mut script = Script::open(&[2]);
    let poison = |it: &mut Ticket| it.fingerprint = 666;
    let bystander = |it: &mut Ticket| it.fingerprint = 333;
    script.submit(1, 1, poison);
    script.end(1, Ending::Failed);
    script.upstream(2, 2, |_| {});
    script.submit(2, 1, bystander);
    script.submit(3, 1, poison);
    script.wait(10);
    script.end(2, Ending::Failed);
    script.end(3, Ending::Failed);
    script.wait(5_000);
    script.submit(4, 1, bystander);
    script.wait(10);
    script.end(4, Ending::Failed);
    script.wait(5_000);
    script.submit(5, 1, bystander);
    expect![[r#"
        0: grant 1 as 1 on 1
        0: grant 2 as 2 on 2
        0: grant 3 as 3 on 2
        10: quarantine 666 for 600000 ms
        5010: grant 4 as 4 on 1
        10020: grant 5 as 5 on 1
    "#]]
    .assert_eq(&script.log);
}

#[test]
fn leaving_upstream_gets_nothing_and_its_repeatable_work_moves_by_tier() {
    let mut script = Script::open(&[4]);
    script.submit(1, 3, |_| {});
    script.submit(2, 1, |_| {});
    script.submit(3, 2, |it| it.repeatable = false);
    let stop = script.now + Span::from_ms(3_000);
    script.upstream(1, 4, |it| it.leaving = Some(stop));
    script.submit(4, 1, |_| {});
    script.upstream(2, 4, |_| {});
    expect![[r#"
        0: grant 1 as 1 on 1
        0: grant 2 as 2 on 1
        0: grant 3 as 3 on 1
        0: stop 2
        0: stop 1
        0: grant 4 as 4 on 2
    "#]]
    .assert_eq(&script.log);
}

#[test]
fn cheap_upstreams_take_what_may_be_repeated() {
    let mut script = Script::open(&[1]);
    script.upstream(2, 2, |it| it.cheap = true);
    script.submit(1, 1, |_| {});
    script.submit(2, 1, |it| it.repeatable = false);
    script.submit(3, 1, |it| it.repeatable = false);
    script.submit(4, 1, |_| {});
    script.end(2, Ending::Done);
    script.handle(Event::UpstreamRemoved(UpstreamKey(1)));
    script.end(1, Ending::Done);
    script.submit(5, 1, |it| it.repeatable = false);
    expect![[r#"
        0: grant 1 as 1 on 2
        0: grant 2 as 2 on 1
        0: grant 4 as 3 on 2
        0: grant 3 as 4 on 1
        0: grant 5 as 5 on 2
    "#]]
    .assert_eq(&script.log);
}

#[test]
fn prefixes_return_to_their_upstream_within_bounded_load() {
    let mut script = Script::open(&[8, 8]);
    for key in 1..=6 {
        script.submit(key, 1, |it| it.prefix = 7);
    }
    expect![[r#"
        0: grant 1 as 1 on 1
        0: grant 2 as 2 on 1
        0: grant 3 as 3 on 2
        0: grant 4 as 4 on 2
        0: grant 5 as 5 on 2
        0: grant 6 as 6 on 2
    "#]]
    .assert_eq(&script.log);
}

#[test]
fn failing_upstream_is_ejected_for_longer_and_returns_slowly() {
    let mut script = Script::open(&[3]);
    script.submit(1, 3, |_| {});
    script.end(1, Ending::Refused);
    for key in 2..=5 {
        script.submit(key, 3, |it| it.avoid = vec![UpstreamKey(1)]);
    }
    script.wait(1_000);
    script.handle(Event::Tick);
    script.end(2, Ending::Refused);
    script.wait(1_000);
    script.handle(Event::Tick);
    script.wait(1_000);
    script.handle(Event::Tick);
    script.end(3, Ending::Done);
    expect![[r#"
        0: grant 1 as 1 on 1
        1000: grant 2 as 2 on 1
        3000: grant 3 as 3 on 1
        3000: grant 4 as 4 on 1
        3000: grant 5 as 5 on 1
    "#]]
    .assert_eq(&script.log);
}

#[test]
fn straggler_loses_the_tiers_that_it_is_too_slow_for() {
    let mut script = Script::open(&[1, 1, 1]);
    for round in 0..30 {
        for key in 0..3 {
            script.submit(round * 3 + key, 3, |_| {});
        }
        let slow = Event::FirstToken(AttemptKey(round * 3 + 1), 2_000_000);
        script.handle(slow);
        for attempt in round * 3 + 2..=round * 3 + 3 {
            script.handle(Event::FirstToken(AttemptKey(attempt), 100_000));
        }
        for attempt in round * 3 + 1..=round * 3 + 3 {
            script.wait(100);
            script.end(attempt, Ending::Done);
        }
    }
    script.log.clear();
    for status in script.dispatcher.upstreams() {
        script
            .log
            .push_str(&format!("{} is too slow for {}\n", status.key.0, status.missed_targets));
    }
    for key in 1_001..=1_003 {
        script.submit(key, 1, |_| {});
    }
    script.submit(1_004, 3, |_| {});
    expect![[r#"
        1 is too slow for 1
        2 is too slow for 0
        3 is too slow for 0
        9000: grant 1001 as 91 on 2
        9000: grant 1002 as 92 on 3
        9000: grant 1004 as 93 on 1
    "#]]
    .assert_eq(&script.log);
}

#[test]
fn adopted_attempts_count_beyond_the_slots() {
    let mut script = Script::open(&[1]);
    for attempt in [1, u64::MAX] {
        let mut ticket = None;
        Script::default().submit(attempt, 1, |it| ticket = Some(it.clone()));
        let ticket = ticket.expect("submit passes the ticket to the closure");
        let attempt = AttemptKey(attempt);
        let upstream = UpstreamKey(1);
        script.handle(Event::Adopt(Adopted { attempt, ticket, upstream, tokens: 5 }));
    }
    script.submit(1, 3, |_| {});
    script.end(1, Ending::Done);
    script.end(u64::MAX, Ending::Done);
    expect![[r#"
        0: grant 1 as 1 on 1
    "#]]
    .assert_eq(&script.log);
}

#[test]
fn memory_is_reserved_as_learnt_and_too_long_prompts_are_refused() {
    let mut script = Script::open(&[]);
    script.upstream(1, 100, |it| it.kv_tokens = 2_000);
    script.submit(1, 1, |it| it.prompt_tokens = 2_000);
    let plain = |it: &mut Ticket| it.max_tokens = 0;
    for key in 2..=10 {
        script.submit(key, 3, plain);
    }
    for attempt in 1..=9 {
        script.handle(Event::Tokens(AttemptKey(attempt), 30));
        script.end(attempt, Ending::Done);
    }
    script.log.push_str("learnt\n");
    for key in 20..=34 {
        script.submit(key, 3, plain);
    }
    expect![[r#"
        0: refuse 1 NoUpstream
        0: grant 2 as 1 on 1
        0: grant 3 as 2 on 1
        0: grant 4 as 3 on 1
        0: grant 5 as 4 on 1
        0: grant 6 as 5 on 1
        0: grant 7 as 6 on 1
        0: grant 8 as 7 on 1
        0: grant 9 as 8 on 1
        0: grant 10 as 9 on 1
        learnt
        0: grant 20 as 10 on 1
        0: grant 21 as 11 on 1
        0: grant 22 as 12 on 1
        0: grant 23 as 13 on 1
        0: grant 24 as 14 on 1
        0: grant 25 as 15 on 1
        0: grant 26 as 16 on 1
        0: grant 27 as 17 on 1
    "#]]
    .assert_eq(&script.log);
}

/// Each tier alone exceeds the capacity for 80 seconds. Only the last 60 count, because a floor may be suspended until
/// half of the maximum queue time has passed.
#[test]
fn sustained_overload_leaves_each_class_its_floor() {
    let mut script = Script::open(&[8]);
    let mut running: BTreeMap<AttemptKey, Time> = BTreeMap::new();
    let mut waits: BTreeMap<ClassKey, (u64, u64)> = BTreeMap::new();
    let mut tickets = Vec::new();
    for step in 0..8_000 {
        script.wait(10);
        let mut events = vec![Event::Tick];
        let due = running.iter().filter(|it| script.now.since(*it.1) >= Span::from_ms(100));
        events.extend(due.map(|it| Event::Ended(*it.0, Ending::Done)));
        for class in 1..=3 {
            let key = TicketKey(tickets.len() as u64);
            let mut made = None;
            Script { now: script.now, ..Script::default() }.submit(key.0, class, |it| {
                it.customer = CustomerKey(step % 5);
                made = Some(it.clone());
            });
            tickets.push((ClassKey(class), script.now));
            events.extend(made.map(Event::Submit));
        }
        while let Some(event) = events.pop() {
            if let Event::Ended(attempt, _) = event {
                running.remove(&attempt);
            }
            let mut actions = Vec::new();
            script.dispatcher.handle(script.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Grant { ticket, attempt, .. } => {
                        running.insert(attempt, script.now);
                        let (class, since) = tickets[ticket.0 as usize];
                        let (grants, longest) = waits.entry(class).or_default();
                        *grants += u64::from(step >= 2_000);
                        *longest = script.now.since(since).as_ms().max(*longest);
                    }
                    Action::Preempt(attempt) => {
                        events.push(Event::Ended(attempt, Ending::Preempted));
                    }
                    Action::Refuse { .. } | Action::Quarantine(..) => {}
                }
            }
        }
    }
    let total: u64 = waits.values().map(|it| it.0).sum();
    for (class, spec) in CLASSES {
        let (grants, longest) = waits[&class];
        assert!(longest < spec.max_wait_ms, "{class:?} waited for {longest} ms");
        let floor = total * u64::from(spec.floor_per_mille) / 1_000;
        assert!(grants * 10 >= floor * 9, "{class:?} got {grants} of a floor of {floor}");
    }
    expect![[r#"
        {
            ClassKey(
                1,
            ): (
                4136,
                990,
            ),
            ClassKey(
                2,
            ): (
                228,
                3930,
            ),
            ClassKey(
                3,
            ): (
                436,
                29980,
            ),
        }
    "#]]
    .assert_eq(&format!("{waits:#?}\n"));
}
