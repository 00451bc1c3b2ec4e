//! The lease core against a store that delays calls, loses answers and its state, and on hosts whose clocks jump.

use almondrack::{
    lease::{Call, Clock, Core, Permit, Timing},
    platform::{Failure, Lease},
    time::{Span, Time},
};
use expect_test::expect;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const TTL_MS: u64 = 3_000;
const HOSTS: usize = 3;
const SEED: u64 = 41;
const TIMING: Timing = Timing::new(Span::from_ms(TTL_MS));

/// One step of a random history.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Time advances by this many steps of 50 ms.
    Advance(u8),
    /// A host does not run for twice this many steps.
    Pause(usize, u8),
    /// The error of a host's wall clock becomes this many seconds, then the host sends an order if it has a permit.
    Step(usize, i8),
    /// The next call of a host reaches the store after this many steps, its answer after as many again.
    Delay(usize, u8),
    /// The next answer to a host is lost after the call took effect.
    Lose(usize),
    /// The next call of a host never reaches the store.
    Drop(usize),
    /// The next call of a host reaches the store a second time, this many steps after it was sent.
    Duplicate(usize, u8),
    /// The store loses the holder of the lease.
    Forget,
    /// A host resigns.
    Resign(usize),
    /// A host with a permit sends an order that arrives after twice this many steps.
    Order(usize, u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        let host = usize::arbitrary(g) % HOSTS;
        let steps = u8::arbitrary(g) % 100;
        match u8::arbitrary(g) % 48 {
            0..=27 => Event::Advance(steps % 25),
            28..=30 => Event::Pause(host, steps),
            31 => Event::Step(host, i8::arbitrary(g)),
            32..=33 => Event::Delay(host, steps),
            34..=35 => Event::Lose(host),
            36 => Event::Drop(host),
            37 => Event::Duplicate(host, steps),
            38 => Event::Forget,
            39 => Event::Resign(host),
            _ => Event::Order(host, steps),
        }
    }
}

#[derive(Debug, Default)]
struct Store {
    holder: Option<(usize, u64)>,
    number: u64,
}

impl Store {
    fn acquire(&mut self, host: usize, now: u64) -> Lease {
        match self.holder {
            Some((holder, end)) if end > now && holder != host => Lease::Taken {
                holder: holder.to_string(),
                number: self.number,
                remaining_ms: end - now,
            },
            Some((holder, end)) if end > now && holder == host => {
                self.holder = Some((host, now + TTL_MS));
                Lease::Held { number: self.number }
            }
            _ => {
                self.number += 1;
                self.holder = Some((host, now + TTL_MS));
                Lease::Held { number: self.number }
            }
        }
    }

    fn release(&mut self, host: usize) {
        if self.holder.is_some_and(|(holder, _)| holder == host) {
            self.holder = None;
        }
    }
}

#[derive(Debug)]
struct Host {
    core: Core,
    /// Microseconds of the boot clock per simulated millisecond.
    rate: u64,
    /// Offset of the boot clock, in milliseconds.
    boot_offset: u64,
    /// Error of the wall clock, in milliseconds.
    wall_error: i64,
    /// Number of the last term of this host.
    term: u64,
    paused_until: u64,
    /// Calls in flight.
    calls: Vec<Flight>,
    /// Whether the host waits for the answer to a call.
    waiting: bool,
    /// Delay of the next call and of its answer, in milliseconds.
    delay: u64,
    lose: bool,
    drop: bool,
    duplicate: Option<u64>,
}

/// A call in flight.
#[derive(Debug, Clone)]
struct Flight {
    /// When the call reaches the store.
    arrives: u64,
    /// When the host gets the answer or the timeout.
    answered: u64,
    call: Call,
    /// Answer of the store, once the call has reached it.
    answer: Option<Lease>,
    /// Whether the host still waits for this call.
    awaited: bool,
}

#[derive(Debug)]
struct World {
    now: u64,
    store: Store,
    hosts: Vec<Host>,
    /// Orders in flight: arrival, number, deadline.
    orders: Vec<(u64, u64, u64)>,
    /// Highest number of an order that took effect.
    accepted: u64,
    sent: u64,
    terms: u64,
    violations: Vec<String>,
}

impl World {
    fn new() -> World {
        let host = |index: usize| Host {
            core: Core::new(TIMING),
            rate: 995 + 5 * index as u64,
            boot_offset: 1_000 + 7_777 * index as u64,
            wall_error: 0,
            term: 0,
            paused_until: 0,
            calls: Vec::new(),
            waiting: false,
            delay: 0,
            lose: false,
            drop: false,
            duplicate: None,
        };
        World {
            now: 1_000_000,
            store: Store::default(),
            hosts: (0..HOSTS).map(host).collect(),
            orders: Vec::new(),
            accepted: 0,
            sent: 0,
            terms: 0,
            violations: Vec::new(),
        }
    }

    fn clock(&self, host: usize) -> Clock {
        let it = &self.hosts[host];
        let boot = Time((it.boot_offset * 1_000) + self.now * it.rate);
        Clock { boot, wall_ms: (self.now as i64 + it.wall_error) as u64 }
    }

    fn permit(&self, host: usize) -> Option<Permit> {
        self.hosts[host].core.term()?.permit(self.clock(host))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Advance(steps) => (0..steps).for_each(|_| self.advance()),
            Event::Pause(host, steps) => {
                self.hosts[host].paused_until = self.now + 100 * u64::from(steps);
            }
            Event::Step(host, seconds) => {
                self.hosts[host].wall_error = i64::from(seconds) * 1_000;
                self.order(host, 8_000);
            }
            Event::Delay(host, steps) => self.hosts[host].delay = 50 * u64::from(steps),
            Event::Lose(host) => self.hosts[host].lose = true,
            Event::Drop(host) => self.hosts[host].drop = true,
            Event::Duplicate(host, steps) => {
                self.hosts[host].duplicate = Some(50 * u64::from(steps));
            }
            Event::Forget => self.store.holder = None,
            Event::Resign(host) => {
                let clock = self.clock(host);
                self.hosts[host].core.resign(clock);
            }
            Event::Order(host, steps) => self.order(host, 100 * u64::from(steps)),
        }
        self.check();
    }

    fn order(&mut self, host: usize, delay: u64) {
        if let Some(permit) = self.permit(host) {
            self.orders.push((self.now + delay, permit.number, permit.deadline_ms));
            self.sent += 1;
        }
    }

    fn advance(&mut self) {
        self.now += 50;
        for host in 0..HOSTS {
            self.deliver_calls(host);
            if self.hosts[host].paused_until <= self.now {
                self.deliver_answers(host);
                self.poll(host);
            }
        }
        // The receiver of the orders checks deadlines by a correct wall clock, but does not fence by numbers.
        let now = self.now;
        for (_, number, deadline) in self.orders.extract_if(.., |it| it.0 <= now) {
            if now >= deadline {
                continue;
            }
            if number < self.accepted {
                self.violations.push(format!("order of {number} after one of {}", self.accepted));
            }
            self.accepted = self.accepted.max(number);
        }
        self.check();
    }

    /// Delivers calls to the store.
    fn deliver_calls(&mut self, host: usize) {
        let now = self.now;
        for flight in &mut self.hosts[host].calls {
            if flight.arrives > now || flight.answer.is_some() {
                continue;
            }
            flight.answer = Some(match flight.call {
                Call::Acquire(_) => self.store.acquire(host, now),
                Call::Release => {
                    self.store.release(host);
                    Lease::Held { number: 0 }
                }
            });
        }
    }

    /// Delivers answers to a host that runs.
    fn deliver_answers(&mut self, host: usize) {
        let clock = self.clock(host);
        let now = self.now;
        let it = &mut self.hosts[host];
        let due: Vec<_> = it.calls.extract_if(.., |it| it.answered <= now).collect();
        for flight in due.into_iter().filter(|it| it.awaited) {
            it.waiting = false;
            let lost = || Failure::Unknown("lost".to_owned());
            let answer = if it.lose { None } else { flight.answer };
            it.lose = false;
            match flight.call {
                Call::Acquire(attempt) => {
                    it.core.handle_acquire(attempt, &answer.ok_or_else(lost), clock);
                }
                Call::Release => it.core.handle_release(&answer.map(drop).ok_or_else(lost), clock),
            }
            let number = it.core.term().map_or(0, |it| it.number);
            if number > it.term {
                it.term = number;
                self.terms += 1;
                // Time synchronisation corrects the wall clock before a later term.
                it.wall_error = 0;
            }
        }
    }

    fn poll(&mut self, host: usize) {
        if self.hosts[host].waiting {
            return;
        }
        let clock = self.clock(host);
        let now = self.now;
        let it = &mut self.hosts[host];
        let Some(call) = it.core.poll(clock) else { return };
        it.waiting = true;
        let delay = std::mem::take(&mut it.delay);
        let dropped = std::mem::take(&mut it.drop);
        let arrives = if dropped { u64::MAX } else { now + delay };
        // A call without an answer times out after half a time to live.
        let answered = (now + 2 * delay).min(now + TTL_MS / 2);
        it.calls.push(Flight { arrives, answered, call, answer: None, awaited: true });
        if arrives > answered && !dropped {
            it.calls.push(Flight {
                arrives,
                answered: u64::MAX,
                call,
                answer: None,
                awaited: false,
            });
        }
        if let Some(later) = it.duplicate.take() {
            let arrives = now + later;
            it.calls.push(Flight {
                arrives,
                answered: u64::MAX,
                call,
                answer: None,
                awaited: false,
            });
        }
    }

    fn check(&mut self) {
        let certain: Vec<_> = (0..HOSTS).filter(|host| self.permit(*host).is_some()).collect();
        if certain.len() > 1 {
            self.violations.push(format!("certain at {}: {certain:?}", self.now));
        }
    }
}

fn run(script: &[Event]) -> World {
    let mut world = World::new();
    for event in script {
        world.handle(*event);
    }
    world
}

#[test]
fn never_two_certain_holders() {
    fn holds(script: Vec<Event>) -> bool {
        let world = run(&script);
        if !world.violations.is_empty() {
            eprintln!("{}", world.violations[0]);
        }
        world.violations.is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(600, SEED))
        .tests(1_500)
        .quickcheck(holds as fn(Vec<Event>) -> bool);
}

#[test]
fn fuzzed_histories_reach_what_they_check() {
    let mut g = Gen::from_size_and_seed(600, SEED);
    let mut terms = 0;
    let mut sent = 0;
    for _ in 0..200 {
        let world = run(&Vec::arbitrary(&mut g));
        terms += world.terms;
        sent += world.sent;
    }
    expect!["2697 terms, 1917 orders"].assert_eq(&format!("{terms} terms, {sent} orders"));
}

/// Returns a reading of both clocks, with a fixed offset between them.
fn at(ms: u64) -> Clock {
    Clock { boot: Time(ms * 1_000), wall_ms: 1_000_000 + ms }
}

fn attempt(core: &mut Core, ms: u64) -> almondrack::lease::Attempt {
    match core.poll(at(ms)) {
        Some(Call::Acquire(attempt)) => attempt,
        call => panic!("no attempt but {call:?}"),
    }
}

fn describe(core: &Core, ms: u64) -> String {
    match core.term() {
        None => "out".to_owned(),
        Some(term) => match term.permit(at(ms)) {
            None => format!("waiting under {}", term.number),
            Some(it) => {
                let left_ms = it.remaining.as_ms();
                format!("certain under {}, order within {left_ms} ms", it.number)
            }
        },
    }
}

/// Acquires or renews the lease every second from `from` to `to`, in milliseconds.
fn renew(core: &mut Core, number: u64, from: u64, to: u64) {
    for ms in (from..=to).step_by(1_000) {
        let attempt = attempt(core, ms);
        core.handle_acquire(attempt, &Ok(Lease::Held { number }), at(ms));
    }
}

#[test]
fn holder_waits_then_lapses_without_renewal() {
    let mut core = Core::new(TIMING);
    renew(&mut core, 7, 10_000, 14_000);
    let lines: Vec<_> = [13_899, 13_900, 16_000, 16_699, 16_700]
        .iter()
        .map(|ms| format!("{ms}: {}", describe(&core, *ms)))
        .collect();
    expect![[r#"
        13899: waiting under 7
        13900: certain under 7, order within 600 ms
        16000: certain under 7, order within 600 ms
        16699: certain under 7, order within 1 ms
        16700: waiting under 7"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn lost_answer_does_not_extend() {
    let mut core = Core::new(TIMING);
    renew(&mut core, 7, 10_000, 14_000);
    let lost = attempt(&mut core, 15_000);
    core.handle_acquire(lost, &Err(Failure::Unknown("lost".to_owned())), at(15_500));
    expect!["out"].assert_eq(&describe_after(&mut core, 16_700));
}

fn describe_after(core: &mut Core, ms: u64) -> String {
    core.poll(at(ms));
    describe(core, ms)
}

#[test]
fn store_is_not_believed_for_a_term_that_passed() {
    let mut core = Core::new(TIMING);
    renew(&mut core, 7, 10_000, 14_000);
    let late = attempt(&mut core, 15_000);
    core.handle_acquire(late, &Ok(Lease::Held { number: 7 }), at(17_800));
    let first = describe(&core, 17_800);
    let again = attempt(&mut core, 18_000);
    core.handle_acquire(again, &Ok(Lease::Held { number: 7 }), at(18_000));
    let second = describe(&core, 18_000);
    let call = core.poll(at(18_001));
    expect!["out, out, Some(Release)"].assert_eq(&format!("{first}, {second}, {call:?}"));
}

#[test]
fn store_is_not_believed_for_a_lower_number() {
    let mut core = Core::new(TIMING);
    let first = attempt(&mut core, 10_000);
    let taken = Lease::Taken { holder: "b".to_owned(), number: 9, remaining_ms: 100 };
    core.handle_acquire(first, &Ok(taken), at(10_000));
    let second = attempt(&mut core, 11_000);
    core.handle_acquire(second, &Ok(Lease::Held { number: 8 }), at(11_000));
    let call = core.poll(at(11_001));
    expect!["out, Some(Release)"].assert_eq(&format!("{}, {call:?}", describe(&core, 11_000)));
}

#[test]
fn forward_step_of_the_wall_clock_does_not_move_deadlines() {
    let mut core = Core::new(TIMING);
    renew(&mut core, 7, 10_000, 14_000);
    let stepped = Clock { wall_ms: 9_000_000, ..at(14_500) };
    let term = core.term().expect("held");
    let permit = term.permit(stepped).expect("certain");
    core.poll(stepped);
    expect!["deadline 1015100, out"].assert_eq(&format!(
        "deadline {}, {}",
        permit.deadline_ms,
        describe(&core, 14_500)
    ));
}
