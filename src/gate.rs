//! The task that admits calls to the platform, by budget and circuit.

use std::time::Duration;

use futures::{
    StreamExt as _,
    future::{BoxFuture, FutureExt as _},
    stream::FuturesUnordered,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    circuit::{CallBudget, CallPermit, Circuit, Health, Outcome, Rate},
    platform::Cause,
    time::{Span, Time},
};

/// Longest wait of a call for its budget.
const MAX_WAIT: Span = Span::from_ms(1_000);

/// Time after which a circuit that could admit a call tries by itself.
const IDLE_TRIAL: Span = Span::from_ms(1_000);

/// Requests that may wait at the task.
const QUEUE: usize = 1_024;

/// Budgets of one cause.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Share {
    /// Of one host.
    host: Rate,
    /// Time per call of all hosts of a zone together; zero if the number of callers does not grow with the zone.
    zone_period: Span,
}

/// Budgets by cause.
fn share(cause: Cause) -> Share {
    let (per_s, burst, zone_per_s) = match cause {
        Cause::Config => (20, 100, 0),
        Cause::Watch => (4, 10, 0),
        Cause::Lease => (10, 20, 0),
        Cause::Usage => (5, 20, 20),
        Cause::Claim => (20, 40, 40),
        Cause::Hosts => (1, 5, 5),
        Cause::Upstreams => (5, 10, 0),
        Cause::Order => (20, 50, 0),
        // One host reads, seals and deletes the records of all zones.
        Cause::Report => (20, 50, 0),
    };
    let period = |per_s: u64| Span(1_000_000_u64.checked_div(per_s).unwrap_or(0));
    Share { host: Rate { period: period(per_s), burst }, zone_period: period(zone_per_s) }
}

impl Share {
    /// The rate of one of a zone's hosts.
    fn rate(self, hosts: u64) -> Rate {
        let fair = Span(self.zone_period.0.saturating_mul(hosts));
        Rate { period: self.host.period.max(fair), ..self.host }
    }
}

/// What became of the calls of one cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Calls that were made.
    pub sent: u64,
    /// Calls without a valid answer.
    pub failed: u64,
    /// Calls that the platform refused for their rate.
    pub throttled: u64,
    /// Calls that were not made, for want of budget or because the circuit was open.
    pub refused: u64,
}

/// Calls by cause, in the order of `Cause::ALL`.
pub type Counts = [Count; Cause::ALL.len()];

#[derive(Debug)]
enum Request {
    Enter(Cause, oneshot::Sender<Verdict>),
    Refused(Cause),
    Hosts(u64),
}

#[derive(Debug)]
enum Verdict {
    Go(oneshot::Sender<Outcome>),
    Wait(Span),
    Refuse,
}

/// Handle to the task.
#[derive(Debug, Clone)]
pub(crate) struct Gate {
    requests: mpsc::Sender<Request>,
    health: watch::Receiver<Health>,
    counts: watch::Receiver<Counts>,
}

impl Gate {
    /// Spawns the task. The given function makes a call that shows whether the platform answers.
    pub(crate) fn spawn(trial: impl Fn() -> BoxFuture<'static, Outcome> + Send + 'static) -> Gate {
        let (requests, mailbox) = mpsc::channel(QUEUE);
        let (health_sender, health) = watch::channel(Health::Good);
        let (counts_sender, counts) = watch::channel(Counts::default());
        let budgets = Cause::ALL.map(|it| CallBudget::new(share(it).rate(1)));
        let task = Task {
            circuit: Circuit::default(),
            budgets,
            health: health_sender,
            counts: counts_sender,
            random: SmallRng::from_os_rng(),
            calls: FuturesUnordered::new(),
        };
        tokio::spawn(task.run(mailbox, trial));
        Gate { requests, health, counts }
    }

    pub(crate) fn health(&self) -> watch::Receiver<Health> {
        self.health.clone()
    }

    pub(crate) fn counts(&self) -> watch::Receiver<Counts> {
        self.counts.clone()
    }

    pub(crate) async fn set_hosts(&self, hosts: u64) {
        let _ = self.requests.send(Request::Hosts(hosts)).await;
    }

    /// Waits for the budget and returns where to tell how the call ended, or `None` if it must not be made.
    pub(crate) async fn enter(&self, cause: Cause) -> Option<oneshot::Sender<Outcome>> {
        let start = Time::now();
        loop {
            let (answer, verdict) = oneshot::channel();
            self.requests.send(Request::Enter(cause, answer)).await.ok()?;
            match verdict.await.ok()? {
                Verdict::Go(outcome) => return Some(outcome),
                Verdict::Wait(span) if Time::now() + span <= start + MAX_WAIT => {
                    tokio::time::sleep(Duration::from(span)).await;
                }
                Verdict::Wait(_) | Verdict::Refuse => {
                    let _ = self.requests.send(Request::Refused(cause)).await;
                    return None;
                }
            }
        }
    }
}

/// A call in progress: its cause, unless it is the task's own, its pass and how it will end.
type Call = BoxFuture<'static, (Option<Cause>, CallPermit, Outcome)>;

struct Task {
    circuit: Circuit,
    budgets: [CallBudget; Cause::ALL.len()],
    health: watch::Sender<Health>,
    counts: watch::Sender<Counts>,
    random: SmallRng,
    calls: FuturesUnordered<Call>,
}

impl Task {
    async fn run(
        mut self,
        mut mailbox: mpsc::Receiver<Request>,
        trial: impl Fn() -> BoxFuture<'static, Outcome>,
    ) {
        loop {
            let idle = self.circuit.retry_at().map(|it| (it + IDLE_TRIAL).since(Time::now()));
            let wait = Duration::from(idle.unwrap_or_default());
            tokio::select! {
                // How a call ended counts before the caller's next one.
                biased;
                Some((cause, pass, outcome)) = self.calls.next() => {
                    self.settle(cause, pass, outcome);
                }
                request = mailbox.recv() => {
                    let Some(request) = request else { return };
                    self.request(request);
                }
                () = tokio::time::sleep(wait), if idle.is_some() => {
                    if let Some(pass) = self.circuit.acquire(Time::now()) {
                        self.calls.push(trial().map(move |it| (None, pass, it)).boxed());
                    }
                }
            }
        }
    }

    fn request(&mut self, request: Request) {
        match request {
            Request::Enter(cause, answer) => {
                let verdict = self.enter(cause);
                let _ = answer.send(verdict);
            }
            Request::Refused(cause) => self.count(cause, |it| it.refused += 1),
            Request::Hosts(hosts) => {
                for cause in Cause::ALL {
                    self.budgets[cause.index()].set_rate(share(cause).rate(hosts.max(1)));
                }
            }
        }
    }

    fn enter(&mut self, cause: Cause) -> Verdict {
        let now = Time::now();
        if self.circuit.retry_at().is_some_and(|it| now < it) {
            return Verdict::Refuse;
        }
        if let Err(wait) = self.budgets[cause.index()].take(now) {
            return Verdict::Wait(wait);
        }
        let Some(pass) = self.circuit.acquire(now) else { return Verdict::Refuse };
        self.count(cause, |it| it.sent += 1);
        let (sender, outcome) = oneshot::channel();
        let ended =
            move |it: Result<Outcome, _>| (Some(cause), pass, it.unwrap_or(Outcome::Cancelled));
        self.calls.push(outcome.map(ended).boxed());
        Verdict::Go(sender)
    }

    fn settle(&mut self, cause: Option<Cause>, pass: CallPermit, outcome: Outcome) {
        let now = Time::now();
        self.circuit.record(now, pass, outcome, self.random.random());
        if let Some(cause) = cause {
            match outcome {
                Outcome::Failed => self.count(cause, |it| it.failed += 1),
                Outcome::Throttled => {
                    self.budgets[cause.index()].exhaust(now);
                    self.count(cause, |it| it.throttled += 1);
                }
                Outcome::Answered | Outcome::Cancelled => {}
            }
        }
        let health = self.circuit.health();
        let changed = self.health.send_if_modified(|it| std::mem::replace(it, health) != health);
        match (changed, health) {
            (true, Health::Good) => log::info!("the platform answers again"),
            (true, Health::Degraded) => log::warn!("the platform does not answer"),
            (false, _) => {}
        }
    }

    fn count(&self, cause: Cause, change: impl FnOnce(&mut Count)) {
        self.counts.send_modify(|it| change(&mut it[cause.index()]));
    }
}
