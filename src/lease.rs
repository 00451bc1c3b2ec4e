//! Leases: when this host is certainly the only holder of a role.
//!
//! The core does no input or output. It takes clock readings and the store's answers, and says which call is due. The
//! task round it makes the calls and publishes what is held.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::sleep,
};

use crate::{
    platform::{self, Failure},
    rendezvous,
    time::{Span, Time, wall_ms},
};

/// Part of the time to the next call by which the task delays it at random, in thousandths.
const JITTER_PER_MILLE: u64 = 100;

/// Longest sleep of the task between looks at the clock, in milliseconds.
const MAX_SLEEP_MS: u64 = 1_000;

/// Hosts that ask for one lease; with all of them the store's load would grow with the number of hosts.
const CANDIDATES: usize = 3;

/// The few hosts that ask for a lease.
pub fn candidates<'a>(name: &str, hosts: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    rendezvous::owners(name, hosts, CANDIDATES)
}

/// Whether a host is among the few that ask for a lease.
pub fn is_candidate<'a>(name: &str, host: &str, hosts: impl IntoIterator<Item = &'a str>) -> bool {
    candidates(name, hosts).contains(&host)
}

/// Lengths of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time for which the store keeps the lease after a renewal.
    pub ttl: Span,
    /// Difference between the clocks of two hosts over a term that is allowed for.
    pub clock_margin: Span,
    /// Longest time from an order's first byte to its effect.
    pub order_timeout: Span,
}

impl Timing {
    /// A clock margin of a tenth of the time to live and a fifth for an order.
    pub const fn new(ttl: Span) -> Timing {
        Timing { ttl, clock_margin: Span(ttl.0 / 10), order_timeout: Span(ttl.0 / 5) }
    }

    /// Time that a new holder waits before its first order.
    ///
    /// It counts from the answer, so it also covers a store that gave the lease away too early.
    pub const fn takeover_delay(self) -> Span {
        Span(self.ttl.0 + self.clock_margin.0 + self.order_timeout.0)
    }

    const fn renewal_period(self) -> Span {
        Span(self.ttl.0 / 3)
    }
}

/// A reading of both clocks of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clock {
    /// Decides how long a lease lasts.
    pub boot: Time,
    /// Wall clock in milliseconds since the Unix epoch, used only for deadlines that leave the host.
    pub wall_ms: u64,
}

impl Clock {
    /// Reads both clocks.
    pub fn now() -> Clock {
        Clock { boot: Time::now(), wall_ms: wall_ms() }
    }

    fn offset_ms(self) -> i64 {
        self.wall_ms as i64 - (self.boot.0 / 1_000) as i64
    }
}

/// A lease as its holder may count on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Fencing number.
    pub number: u64,
    /// When the last order of any former holder has ended.
    pub from: Time,
    /// When the lease may be given to another host. Computed from a time before the renewal was sent.
    pub until: Time,
    /// Lowest difference of the wall clock from the boot clock that was seen in this term.
    offset_ms: i64,
    order_timeout: Span,
}

/// Permission to send one order now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Fencing number.
    pub number: u64,
    /// Time within which the order must have been answered.
    pub remaining: Span,
    /// The same as wall-clock time in milliseconds since the Unix epoch, for the receiver.
    pub deadline_ms: u64,
}

impl Term {
    /// The permission to send an order if the holder is certain at this reading.
    pub fn permit(&self, clock: Clock) -> Option<Permit> {
        let held = self.from <= clock.boot && clock.boot < self.until;
        held.then(|| self.issue(clock))
    }

    fn issue(&self, clock: Clock) -> Permit {
        let remaining = self.until.since(clock.boot).min(self.order_timeout);
        let end = clock.boot + remaining;
        // After a forward step of the wall clock the deadline must not move with it.
        let offset_ms = self.offset_ms.min(clock.offset_ms());
        let deadline_ms = ((end.0 / 1_000) as i64 + offset_ms).max(0) as u64;
        Permit { number: self.number, remaining, deadline_ms }
    }
}

/// An attempt to acquire or renew the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Read before the call was sent.
    sent: Time,
}

/// A call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Acquire or renew the lease.
    Acquire(Attempt),
    /// Give the lease up.
    Release,
}

/// A candidate for one lease, or its holder.
#[derive(Debug)]
pub struct Core {
    timing: Timing,
    /// Whether the host asks for the lease while it does not hold it.
    candidate: bool,
    term: Option<Term>,
    /// Lowest number that is believed of a new term. Above every number seen before.
    min_number: u64,
    /// Whether the store may hold a lease for this host that the host does not count on.
    release: bool,
    /// When the next call is due.
    due: Time,
    /// Calls in a row without a clear answer.
    failures: u32,
}

impl Core {
    /// A candidate that holds nothing.
    pub fn new(timing: Timing) -> Core {
        Core {
            timing,
            candidate: true,
            term: None,
            min_number: 0,
            release: false,
            due: Time(0),
            failures: 0,
        }
    }

    /// What the host may count on; it still has to compare it with the clock.
    pub fn term(&self) -> Option<Term> {
        self.term
    }

    /// When `poll` is worth calling next.
    pub fn due(&self) -> Time {
        let end = self.term.map_or(self.due, |it| it.until);
        self.due.min(end)
    }

    /// Sets whether the host asks for the lease while it does not hold it.
    pub fn set_candidate(&mut self, candidate: bool) {
        self.candidate = candidate;
    }

    /// Gives the lease up and asks for it again after a whole time to live.
    pub fn resign(&mut self, clock: Clock) {
        self.end_term();
        self.release = true;
        self.due = clock.boot;
    }

    /// The call that is due, if any.
    pub fn poll(&mut self, clock: Clock) -> Option<Call> {
        self.check_clocks(clock);
        if clock.boot < self.due {
            return None;
        }
        if self.release {
            return Some(Call::Release);
        }
        let wanted = self.candidate || self.term.is_some();
        self.due = clock.boot + self.timing.renewal_period();
        wanted.then_some(Call::Acquire(Attempt { sent: clock.boot }))
    }

    /// Takes the answer to an attempt.
    pub fn handle_acquire(
        &mut self,
        attempt: Attempt,
        answer: &Result<platform::Lease, Failure>,
        clock: Clock,
    ) {
        self.check_clocks(clock);
        match answer {
            Ok(platform::Lease::Held { number }) => self.held(attempt, *number, clock),
            Ok(platform::Lease::Taken { number, remaining_ms, .. }) => {
                self.end_term();
                self.min_number = self.min_number.max(number.saturating_add(1));
                self.failures = 0;
                let remaining = Span::from_ms((*remaining_ms).min(self.timing.ttl.as_ms()));
                self.due = clock.boot + remaining + Span(self.timing.clock_margin.0 / 2);
            }
            Err(_) => self.back_off(clock),
        }
    }

    /// Takes the answer to a release.
    pub fn handle_release(&mut self, answer: &Result<(), Failure>, clock: Clock) {
        match answer {
            Ok(()) => {
                self.release = false;
                self.failures = 0;
                self.due = clock.boot + self.timing.ttl;
            }
            Err(_) => self.back_off(clock),
        }
    }

    fn held(&mut self, attempt: Attempt, number: u64, clock: Clock) {
        let until = attempt.sent + self.timing.ttl - self.timing.clock_margin;
        if clock.boot >= until {
            // The answer came too late to be of use; the next attempt may be quicker.
            self.back_off(clock);
            return;
        }
        self.failures = 0;
        self.due = attempt.sent + self.timing.renewal_period();
        match &mut self.term {
            Some(term) if term.number == number => {
                term.until = term.until.max(until);
            }
            _ if number < self.min_number => {
                // The store renewed a term that is over for this host.
                self.end_term();
                self.release = true;
                self.due = clock.boot;
            }
            _ => {
                self.end_term();
                self.min_number = number;
                self.term = Some(Term {
                    number,
                    from: clock.boot + self.timing.takeover_delay(),
                    until,
                    offset_ms: clock.offset_ms(),
                    order_timeout: self.timing.order_timeout,
                });
            }
        }
    }

    /// Ends a term that has passed, or in which the wall clock went forward.
    fn check_clocks(&mut self, clock: Clock) {
        let Some(term) = &mut self.term else { return };
        if clock.boot >= term.until {
            self.end_term();
            return;
        }
        let step = clock.offset_ms() - term.offset_ms;
        term.offset_ms = term.offset_ms.min(clock.offset_ms());
        if step > self.timing.clock_margin.as_ms() as i64 {
            self.resign(clock);
        }
    }

    fn end_term(&mut self) {
        if let Some(term) = self.term.take() {
            self.min_number = self.min_number.max(term.number.saturating_add(1));
        }
    }

    fn back_off(&mut self, clock: Clock) {
        let pause = (self.timing.ttl.0 / 20) << self.failures.min(3);
        self.failures += 1;
        self.due = clock.boot + Span(pause);
    }
}

/// What a lease is asked for.
#[derive(Debug, Clone)]
pub struct Options {
    /// Port to the platform.
    pub client: platform::Client,
    /// Name of the lease.
    pub name: String,
    /// Host id.
    pub host: String,
    /// Incarnation of the host; a restarted host is another holder.
    pub incarnation: u64,
    /// Lengths of the lease.
    pub timing: Timing,
    /// Whether the host asks for the lease while it does not hold it.
    pub candidate: watch::Receiver<bool>,
}

#[derive(Debug)]
enum Command {
    Resign,
    Stop(oneshot::Sender<()>),
}

/// Handle to a candidate for a lease; the task ends with the last handle.
#[derive(Debug, Clone)]
pub struct Lease {
    name: String,
    term: watch::Receiver<Option<Term>>,
    commands: mpsc::Sender<Command>,
}

impl Lease {
    /// Name of the lease.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The permission to send an order, if this host is certainly the holder at this moment.
    pub fn permit(&self) -> Option<Permit> {
        self.term.borrow().and_then(|it| it.permit(Clock::now()))
    }

    /// Changes of what is held. A term has still to be compared with the clock.
    pub fn watch(&self) -> watch::Receiver<Option<Term>> {
        self.term.clone()
    }

    /// Gives the lease up; the host stands for it again after its time to live.
    pub async fn resign(&self) {
        let _ = self.commands.send(Command::Resign).await;
    }

    /// Gives the lease up and ends the task.
    pub async fn stop(self) {
        let (done, stopped) = oneshot::channel();
        if self.commands.send(Command::Stop(done)).await.is_ok() {
            let _ = stopped.await;
        }
    }
}

/// Spawns a candidate for a lease.
pub fn spawn(options: Options) -> Lease {
    let (term, published) = watch::channel(None);
    let (commands, mailbox) = mpsc::channel(8);
    let name = options.name.clone();
    let task = Task {
        holder: format!("{}-{}", options.host, options.incarnation),
        core: Core::new(options.timing),
        random: SmallRng::from_os_rng(),
        options,
        term,
    };
    tokio::spawn(task.run(mailbox));
    Lease { name, term: published, commands }
}

struct Task {
    options: Options,
    holder: String,
    core: Core,
    random: SmallRng,
    term: watch::Sender<Option<Term>>,
}

impl Task {
    async fn run(mut self, mut mailbox: mpsc::Receiver<Command>) {
        loop {
            let command = tokio::select! {
                command = mailbox.recv() => command,
                () = sleep(self.pause()) => {
                    self.step().await;
                    continue;
                }
            };
            match command {
                Some(Command::Resign) => {
                    self.core.resign(Clock::now());
                    self.publish();
                }
                Some(Command::Stop(done)) => {
                    self.give_up().await;
                    let _ = done.send(());
                    return;
                }
                None => {
                    self.give_up().await;
                    return;
                }
            }
        }
    }

    async fn step(&mut self) {
        self.core.set_candidate(*self.options.candidate.borrow());
        let call = self.core.poll(Clock::now());
        self.publish();
        match call {
            Some(Call::Acquire(attempt)) => {
                let answer = self.acquire().await;
                self.core.handle_acquire(attempt, &answer, Clock::now());
            }
            Some(Call::Release) => {
                let answer = self.options.client.release(&self.options.name, &self.holder).await;
                self.core.handle_release(&answer, Clock::now());
            }
            None => {}
        }
        self.publish();
    }

    async fn acquire(&self) -> Result<platform::Lease, Failure> {
        let Options { client, name, timing, .. } = &self.options;
        let call = client.acquire(name, &self.holder, timing.ttl.as_ms());
        // A lost answer must leave time for another attempt within the term.
        let timeout = Duration::from(Span(timing.ttl.0 / 4));
        let timely = tokio::time::timeout(timeout, call).await;
        timely.unwrap_or_else(|_| Err(Failure::Unknown("timeout".to_owned())))
    }

    async fn give_up(&mut self) {
        self.core.resign(Clock::now());
        self.publish();
        let _ = self.options.client.release(&self.options.name, &self.holder).await;
    }

    fn publish(&self) {
        let term = self.core.term();
        self.term.send_if_modified(|it| {
            let changed = *it != term;
            *it = term;
            changed
        });
    }

    fn pause(&mut self) -> Duration {
        let remaining = self.core.due().since(Time::now());
        let jitter = self.random.random_range(0..=JITTER_PER_MILLE);
        let pause = Span(remaining.0 + remaining.0 / 1_000 * jitter);
        Duration::from(pause.min(Span::from_ms(MAX_SLEEP_MS))).max(Duration::from_millis(1))
    }
}
