//! Leases, which let at most one host at a time act in a role.
//!
//! [`Core`] does no I/O: it takes clock readings and the store's answers and returns the call that is due. The task
//! behind [`Lease`] makes the calls and publishes the current term.

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

/// Largest random delay of a call, in thousandths of the time until the call is due.
const JITTER_PER_MILLE: u64 = 100;

/// Longest time that the task sleeps before it reads the clocks again, in milliseconds.
const MAX_SLEEP_MS: u64 = 1_000;

/// Number of hosts that try to acquire a lease. If all hosts tried, the load on the store would grow with their number.
const CANDIDATES: usize = 3;

/// Returns the hosts that try to acquire a lease, best first.
pub fn candidates<'a>(name: &str, hosts: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    rendezvous::owners(name, hosts, CANDIDATES)
}

/// Returns whether a host is among the [`candidates`] for a lease.
pub fn is_candidate<'a>(name: &str, host: &str, hosts: impl IntoIterator<Item = &'a str>) -> bool {
    candidates(name, hosts).contains(&host)
}

/// Durations that govern a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time for which the store reserves the lease for its holder after a renewal.
    pub ttl: Span,
    /// Largest tolerated drift between the clocks of two hosts over one term.
    pub clock_margin: Span,
    /// Longest time from sending the first byte of an order until the order takes effect.
    pub order_timeout: Span,
}

impl Timing {
    /// Derives a clock margin of a tenth of the time to live and an order timeout of a fifth of it.
    pub const fn new(ttl: Span) -> Timing {
        Timing { ttl, clock_margin: Span(ttl.0 / 10), order_timeout: Span(ttl.0 / 5) }
    }

    /// Returns the time that a new holder waits before its first order.
    ///
    /// The wait starts when the store's answer arrives. It suffices even if the store granted the lease before the end
    /// of the former holder's term.
    pub const fn takeover_delay(self) -> Span {
        Span(self.ttl.0 + self.clock_margin.0 + self.order_timeout.0)
    }

    const fn renewal_period(self) -> Span {
        Span(self.ttl.0 / 3)
    }
}

/// A simultaneous reading of a host's two clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clock {
    /// Boot-time clock, which decides when a term starts and ends.
    pub boot: Time,
    /// Wall clock in milliseconds since the Unix epoch, used only for deadlines sent to other machines.
    pub wall_ms: u64,
}

impl Clock {
    /// Reads the boot-time clock and the wall clock of this host.
    pub fn now() -> Clock {
        Clock { boot: Time::now(), wall_ms: wall_ms() }
    }

    fn offset_ms(self) -> i64 {
        self.wall_ms as i64 - (self.boot.0 / 1_000) as i64
    }
}

/// A term of leadership: the time in which the holder of a lease may rely on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Fencing number, larger in each later term.
    pub number: u64,
    /// Start of the term, by which the orders of all former holders have taken effect or expired.
    pub from: Time,
    /// End of the term, after which the store may grant the lease to another host. Counted from a clock reading taken
    /// before the last renewal was sent.
    pub until: Time,
    /// Lowest offset of the wall clock from the boot-time clock observed in this term.
    offset_ms: i64,
    order_timeout: Span,
}

/// Permission to send one order immediately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Fencing number of the term, sent with the order.
    pub number: u64,
    /// Time within which the order must be answered.
    pub remaining: Span,
    /// Deadline of the order for its receiver, as wall-clock time in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
}

impl Term {
    /// Returns the permission to send an order, or `None` outside the term.
    pub fn permit(&self, clock: Clock) -> Option<Permit> {
        let held = self.from <= clock.boot && clock.boot < self.until;
        held.then(|| self.issue(clock))
    }

    fn issue(&self, clock: Clock) -> Permit {
        let remaining = self.until.since(clock.boot).min(self.order_timeout);
        let end = clock.boot + remaining;
        // If the wall clock jumps forward, the deadline must stay where it is.
        let offset_ms = self.offset_ms.min(clock.offset_ms());
        let deadline_ms = ((end.0 / 1_000) as i64 + offset_ms).max(0) as u64;
        Permit { number: self.number, remaining, deadline_ms }
    }
}

/// An attempt to acquire or renew the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Clock reading taken before the call was sent.
    sent: Time,
}

/// A call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Acquire or renew the lease.
    Acquire(Attempt),
    /// Release the lease.
    Release,
}

/// State of one lease at a host that is a candidate for it or its holder.
#[derive(Debug)]
pub struct Core {
    timing: Timing,
    /// Whether the host tries to acquire the lease while it does not hold it.
    candidate: bool,
    term: Option<Term>,
    /// Lowest number accepted for a new term; above those of all ended terms and of all terms seen at other hosts.
    min_number: u64,
    /// Whether a release is due because the store may still reserve the lease for this host after its term.
    release: bool,
    /// When the next call is due.
    due: Time,
    /// Consecutive calls without a usable answer.
    failures: u32,
}

impl Core {
    /// Creates a candidate that does not hold the lease.
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

    /// Returns the last known term. The caller must still compare it with the clock, as [`Term::permit`] does.
    pub fn term(&self) -> Option<Term> {
        self.term
    }

    /// Returns the time at which `poll` must be called next.
    pub fn due(&self) -> Time {
        let end = self.term.map_or(self.due, |it| it.until);
        self.due.min(end)
    }

    /// Sets whether the host tries to acquire the lease while it does not hold it.
    pub fn set_candidate(&mut self, candidate: bool) {
        self.candidate = candidate;
    }

    /// Ends the term and requests a release. The next attempt to acquire follows a time to live after the release.
    pub fn resign(&mut self, clock: Clock) {
        self.end_term();
        self.release = true;
        self.due = clock.boot;
    }

    /// Returns the call that is due, if any.
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

    /// Handles the answer to an attempt to acquire or renew the lease.
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

    /// Handles the answer to a release.
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
            // The answer arrived after the end of the term that it grants; the next one may arrive in time.
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
                // The store renewed a term that this host has already ended.
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

    /// Ends the term if its time has passed; resigns if the wall clock jumped forward by more than the clock margin.
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

/// Settings of a candidate for a lease.
#[derive(Debug, Clone)]
pub struct Options {
    /// Client of the platform's store.
    pub client: platform::Client,
    /// Name of the lease in the store.
    pub name: String,
    /// Id of this host.
    pub host: String,
    /// Incarnation of this host. The store treats a restarted host as another holder.
    pub incarnation: u64,
    /// Durations of the lease.
    pub timing: Timing,
    /// Whether the host tries to acquire the lease while it does not hold it.
    pub candidate: watch::Receiver<bool>,
}

#[derive(Debug)]
enum Command {
    Resign,
    Stop(oneshot::Sender<()>),
}

/// Handle to the task of a candidate for a lease. The task releases the lease and ends with the last handle.
#[derive(Debug, Clone)]
pub struct Lease {
    name: String,
    term: watch::Receiver<Option<Term>>,
    commands: mpsc::Sender<Command>,
}

impl Lease {
    /// Returns the name of the lease in the store.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the permission to send an order, or `None` unless this host is certainly the only holder now.
    pub fn permit(&self) -> Option<Permit> {
        self.term.borrow().and_then(|it| it.permit(Clock::now()))
    }

    /// Returns a receiver of the current term. Receivers must compare the term with the clock.
    pub fn watch(&self) -> watch::Receiver<Option<Term>> {
        self.term.clone()
    }

    /// Releases the lease; the host is a candidate again a time to live after the release. Returns before the release.
    pub async fn resign(&self) {
        let _ = self.commands.send(Command::Resign).await;
    }

    /// Releases the lease and ends the task. Returns once the call to the store has ended, even if it failed.
    pub async fn stop(self) {
        let (done, stopped) = oneshot::channel();
        if self.commands.send(Command::Stop(done)).await.is_ok() {
            let _ = stopped.await;
        }
    }
}

/// Spawns the task of a candidate for a lease.
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
                    self.release().await;
                    let _ = done.send(());
                    return;
                }
                None => {
                    self.release().await;
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
        // After a lost answer there must be time for another attempt within the term.
        let timeout = Duration::from(Span(timing.ttl.0 / 4));
        let timely = tokio::time::timeout(timeout, call).await;
        timely.unwrap_or_else(|_| Err(Failure::Unknown("timeout".to_owned())))
    }

    async fn release(&mut self) {
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
