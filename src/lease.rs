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
pub struct Terms {
    /// Time for which the store keeps the lease after a renewal.
    pub ttl: Span,
    /// Difference between the clocks of two hosts over a term that is allowed for.
    pub margin: Span,
    /// Longest time from an order's first byte to its effect.
    pub order: Span,
}

impl Terms {
    /// Terms with a tenth of the time to live as margin and a fifth for an order.
    pub const fn new(ttl: Span) -> Terms {
        Terms { ttl, margin: Span(ttl.0 / 10), order: Span(ttl.0 / 5) }
    }

    /// Time that a new holder waits before its first order.
    ///
    /// It counts from the answer, so it also covers a store that gave the lease away too early.
    pub const fn wait(self) -> Span {
        Span(self.ttl.0 + self.margin.0 + self.order.0)
    }

    const fn renewal(self) -> Span {
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
pub struct Holding {
    /// Fencing number.
    pub number: u64,
    /// When the last order of any former holder has ended.
    pub from: Time,
    /// When the lease may be given to another host. Computed from a time before the renewal was sent.
    pub until: Time,
    /// Lowest difference of the wall clock from the boot clock that was seen in this term.
    offset_ms: i64,
    order: Span,
}

/// Permission to send one order now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Fencing number.
    pub number: u64,
    /// Time within which the order must have been answered.
    pub left: Span,
    /// The same as wall-clock time in milliseconds since the Unix epoch, for the receiver.
    pub deadline_ms: u64,
}

impl Holding {
    /// The permission to send an order if the holder is certain at this reading.
    pub fn certain(&self, clock: Clock) -> Option<Permit> {
        let held = self.from <= clock.boot && clock.boot < self.until;
        held.then(|| self.permit(clock))
    }

    fn permit(&self, clock: Clock) -> Permit {
        let left = self.until.since(clock.boot).min(self.order);
        let end = clock.boot + left;
        // After a forward step of the wall clock the deadline must not move with it.
        let offset_ms = self.offset_ms.min(clock.offset_ms());
        let deadline_ms = ((end.0 / 1_000) as i64 + offset_ms).max(0) as u64;
        Permit { number: self.number, left, deadline_ms }
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
    terms: Terms,
    /// Whether the host asks for the lease while it does not hold it.
    standing: bool,
    holding: Option<Holding>,
    /// Lowest number that is believed of a new term. Above every number seen before.
    floor: u64,
    /// Whether the store may hold a lease for this host that the host does not count on.
    release: bool,
    /// When the next call is due.
    due: Time,
    /// Calls in a row without a clear answer.
    failures: u32,
}

impl Core {
    /// A candidate that holds nothing.
    pub fn new(terms: Terms) -> Core {
        Core {
            terms,
            standing: true,
            holding: None,
            floor: 0,
            release: false,
            due: Time(0),
            failures: 0,
        }
    }

    /// What the host may count on; it still has to compare it with the clock.
    pub fn holding(&self) -> Option<Holding> {
        self.holding
    }

    /// When `poll` is worth calling next.
    pub fn due(&self) -> Time {
        let end = self.holding.map_or(self.due, |it| it.until);
        self.due.min(end)
    }

    /// Sets whether the host asks for the lease while it does not hold it.
    pub fn stand(&mut self, standing: bool) {
        self.standing = standing;
    }

    /// Gives the lease up and asks for it again after a whole time to live.
    pub fn resign(&mut self, clock: Clock) {
        self.end_term();
        self.release = true;
        self.due = clock.boot;
    }

    /// The call that is due, if any.
    pub fn poll(&mut self, clock: Clock) -> Option<Call> {
        self.watch_clocks(clock);
        if clock.boot < self.due {
            return None;
        }
        if self.release {
            return Some(Call::Release);
        }
        let wanted = self.standing || self.holding.is_some();
        self.due = clock.boot + self.terms.renewal();
        wanted.then_some(Call::Acquire(Attempt { sent: clock.boot }))
    }

    /// Takes the answer to an attempt.
    pub fn answered(
        &mut self,
        attempt: Attempt,
        answer: &Result<platform::Lease, Failure>,
        clock: Clock,
    ) {
        self.watch_clocks(clock);
        match answer {
            Ok(platform::Lease::Held { number }) => self.held(attempt, *number, clock),
            Ok(platform::Lease::Taken { number, remaining_ms, .. }) => {
                self.end_term();
                self.floor = self.floor.max(number.saturating_add(1));
                self.failures = 0;
                let remaining = Span::from_ms((*remaining_ms).min(self.terms.ttl.as_ms()));
                self.due = clock.boot + remaining + Span(self.terms.margin.0 / 2);
            }
            Err(_) => self.back_off(clock),
        }
    }

    /// Takes the answer to a release.
    pub fn released(&mut self, answer: &Result<(), Failure>, clock: Clock) {
        match answer {
            Ok(()) => {
                self.release = false;
                self.failures = 0;
                self.due = clock.boot + self.terms.ttl;
            }
            Err(_) => self.back_off(clock),
        }
    }

    fn held(&mut self, attempt: Attempt, number: u64, clock: Clock) {
        let until = attempt.sent + self.terms.ttl - self.terms.margin;
        if clock.boot >= until {
            // The answer came too late to be of use; the next attempt may be quicker.
            self.back_off(clock);
            return;
        }
        self.failures = 0;
        self.due = attempt.sent + self.terms.renewal();
        match &mut self.holding {
            Some(holding) if holding.number == number => {
                holding.until = holding.until.max(until);
            }
            _ if number < self.floor => {
                // The store renewed a term that is over for this host.
                self.end_term();
                self.release = true;
                self.due = clock.boot;
            }
            _ => {
                self.end_term();
                self.floor = number;
                self.holding = Some(Holding {
                    number,
                    from: clock.boot + self.terms.wait(),
                    until,
                    offset_ms: clock.offset_ms(),
                    order: self.terms.order,
                });
            }
        }
    }

    /// Ends a term that has passed, or in which the wall clock went forward.
    fn watch_clocks(&mut self, clock: Clock) {
        let Some(holding) = &mut self.holding else { return };
        if clock.boot >= holding.until {
            self.end_term();
            return;
        }
        let step = clock.offset_ms() - holding.offset_ms;
        holding.offset_ms = holding.offset_ms.min(clock.offset_ms());
        if step > self.terms.margin.as_ms() as i64 {
            self.resign(clock);
        }
    }

    fn end_term(&mut self) {
        if let Some(holding) = self.holding.take() {
            self.floor = self.floor.max(holding.number.saturating_add(1));
        }
    }

    fn back_off(&mut self, clock: Clock) {
        let pause = (self.terms.ttl.0 / 20) << self.failures.min(3);
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
    pub terms: Terms,
    /// Whether the host asks for the lease while it does not hold it.
    pub standing: watch::Receiver<bool>,
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
    holding: watch::Receiver<Option<Holding>>,
    commands: mpsc::Sender<Command>,
}

impl Lease {
    /// Name of the lease.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The permission to send an order, if this host is certainly the holder at this moment.
    pub fn certain(&self) -> Option<Permit> {
        self.holding.borrow().and_then(|it| it.certain(Clock::now()))
    }

    /// Changes of what is held. A holding has still to be compared with the clock.
    pub fn watch(&self) -> watch::Receiver<Option<Holding>> {
        self.holding.clone()
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
    let (holding, published) = watch::channel(None);
    let (commands, mailbox) = mpsc::channel(8);
    let name = options.name.clone();
    let task = Task {
        holder: format!("{}-{}", options.host, options.incarnation),
        core: Core::new(options.terms),
        random: SmallRng::from_os_rng(),
        options,
        holding,
    };
    tokio::spawn(task.run(mailbox));
    Lease { name, holding: published, commands }
}

struct Task {
    options: Options,
    holder: String,
    core: Core,
    random: SmallRng,
    holding: watch::Sender<Option<Holding>>,
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
                    self.leave().await;
                    let _ = done.send(());
                    return;
                }
                None => {
                    self.leave().await;
                    return;
                }
            }
        }
    }

    async fn step(&mut self) {
        self.core.stand(*self.options.standing.borrow());
        let call = self.core.poll(Clock::now());
        self.publish();
        match call {
            Some(Call::Acquire(attempt)) => {
                let answer = self.acquire().await;
                self.core.answered(attempt, &answer, Clock::now());
            }
            Some(Call::Release) => {
                let answer = self.options.client.release(&self.options.name, &self.holder).await;
                self.core.released(&answer, Clock::now());
            }
            None => {}
        }
        self.publish();
    }

    async fn acquire(&self) -> Result<platform::Lease, Failure> {
        let Options { client, name, terms, .. } = &self.options;
        let call = client.acquire(name, &self.holder, terms.ttl.as_ms());
        // A lost answer must leave time for another attempt within the term.
        let timeout = Duration::from(Span(terms.ttl.0 / 4));
        let timely = tokio::time::timeout(timeout, call).await;
        timely.unwrap_or_else(|_| Err(Failure::Unknown("timeout".to_owned())))
    }

    async fn leave(&mut self) {
        self.core.resign(Clock::now());
        self.publish();
        let _ = self.options.client.release(&self.options.name, &self.holder).await;
    }

    fn publish(&self) {
        let holding = self.core.holding();
        self.holding.send_if_modified(|it| {
            let changed = *it != holding;
            *it = holding;
            changed
        });
    }

    fn pause(&mut self) -> Duration {
        let left = self.core.due().since(Time::now());
        let jitter = self.random.random_range(0..=JITTER_PER_MILLE);
        let pause = Span(left.0 + left.0 / 1_000 * jitter);
        Duration::from(pause.min(Span::from_ms(MAX_SLEEP_MS))).max(Duration::from_millis(1))
    }
}
