//! Task of the customers' limiters of this host, and the handle with which entry hosts ask the limiter of a customer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot, watch},
    time::MissedTickBehavior,
};

use crate::{
    config::Snapshot,
    dispatch::CustomerKey,
    error::{Error, Kind},
    limit::{HostKey, Limiter, Limits, Permit},
    member::View,
    peer::{self, LimitCall, Peers},
    record::Customer,
    rendezvous,
    time::Time,
    wire::Admission,
};

/// Interval at which permits of lost hosts are ended and shares are reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Time for a limiter to answer.
const ADMIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Times that a limiter is asked before the request is refused.
const ADMIT_ATTEMPTS: u32 = 8;

/// Pause before a limiter that did not answer is asked again.
const ADMIT_PAUSE: Duration = Duration::from_millis(250);

/// Whole of a limit, in thousandths.
const WHOLE_PER_MILLE: usize = 1_000;

/// Inputs of the task.
#[derive(Debug)]
pub struct Options {
    /// Availability zone of this host.
    pub zone: String,
    /// Configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The hosts as this host sees them.
    pub view: watch::Receiver<Arc<View>>,
    /// Calls of entry hosts.
    pub calls: mpsc::Receiver<LimitCall>,
}

/// Spawns the task; it ends when the mailbox is closed.
pub fn spawn(options: Options) {
    let task = Task {
        options,
        limiter: Limiter::default(),
        customers: Vec::new(),
        hosts: Vec::new(),
        permits: Vec::new(),
    };
    tokio::spawn(task.run());
}

/// Identity of a request in flight: host key and number of the request at that host.
type Request = (HostKey, u64);

#[derive(Debug)]
struct Task {
    options: Options,
    limiter: Limiter,
    /// Keys by name, sorted by name.
    customers: Vec<(String, CustomerKey)>,
    /// Keys by host id and incarnation, sorted.
    hosts: Vec<((String, u64), HostKey)>,
    /// Permits by request, sorted.
    permits: Vec<(Request, Permit)>,
}

impl Task {
    async fn run(mut self) {
        let mut interval = tokio::time::interval(REVIEW_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                call = self.options.calls.recv() => match call {
                    Some(LimitCall::Admit(request, answer)) => self.admit(request, answer),
                    Some(LimitCall::Settle(request)) => self.settle(&request),
                    None => return,
                },
                _ = interval.tick() => self.review(),
            }
        }
    }

    fn admit(&mut self, request: Admission, answer: oneshot::Sender<Result<(), Error>>) {
        let now = Time::now();
        let host = self.host(&request);
        let customer = self.customer(&request.customer);
        let id = (host, request.request);
        let at = match self.permits.binary_search_by_key(&id, |it| it.0) {
            Ok(_) => {
                // The answer to an earlier call was lost.
                let _ = answer.send(Ok(()));
                return;
            }
            Err(at) => at,
        };
        let permit = if request.restore {
            Ok(self.limiter.restore(now, host, customer))
        } else {
            let limits = self.limits(&request.customer);
            self.limiter.admit(now, host, customer, &limits, request.tokens)
        };
        let result = match permit {
            Ok(permit) => {
                self.permits.insert(at, (id, permit));
                Ok(())
            }
            Err(refusal) => {
                let error = Error::new(refusal.kind, "the customer's limit is used up");
                Err(error.with_retry_after_ms(refusal.retry_after_ms))
            }
        };
        let _ = answer.send(result);
    }

    fn settle(&mut self, request: &Admission) {
        let id = (self.host(request), request.request);
        let Ok(found) = self.permits.binary_search_by_key(&id, |it| it.0) else { return };
        let (_, permit) = self.permits.remove(found);
        self.limiter.settle(permit, request.tokens);
    }

    fn limits(&self, customer: &str) -> Limits {
        let snapshot = self.options.snapshot.borrow();
        snapshot.customer(customer).map(limits_of).unwrap_or_default()
    }

    fn customer(&mut self, name: &str) -> CustomerKey {
        match self.customers.binary_search_by(|it| it.0.as_str().cmp(name)) {
            Ok(found) => self.customers[found].1,
            Err(at) => {
                let key = CustomerKey(self.customers.len() as u32);
                self.customers.insert(at, (name.to_owned(), key));
                key
            }
        }
    }

    fn host(&mut self, request: &Admission) -> HostKey {
        let id = (request.host.as_str(), request.incarnation);
        match self.hosts.binary_search_by(|it| (it.0.0.as_str(), it.0.1).cmp(&id)) {
            Ok(found) => self.hosts[found].1,
            Err(at) => {
                let key = HostKey(rendezvous::hash(&[
                    request.host.as_bytes(),
                    &request.incarnation.to_le_bytes(),
                ]));
                self.hosts.insert(at, ((request.host.clone(), request.incarnation), key));
                key
            }
        }
    }

    /// Ends the permits of hosts that are gone and sets the zone's share.
    fn review(&mut self) {
        let view = self.options.view.borrow().clone();
        let now = Time::now();
        let mut lost = Vec::new();
        for ((id, incarnation), key) in &self.hosts {
            if view.get(id).is_some_and(|it| it.incarnation == *incarnation) {
                self.limiter.mark_alive(now, *key);
            } else {
                lost.push(*key);
            }
        }
        self.limiter.expire(now);
        for host in lost {
            self.limiter.remove_host(host);
            self.permits.retain(|it| it.0.0 != host);
            self.hosts.retain(|it| it.1 != host);
        }
        self.limiter.set_share(share_per_mille(&view, &self.options.zone));
    }
}

/// Limits in a customer's record.
fn limits_of(customer: &Customer) -> Limits {
    Limits {
        requests_per_second: customer.requests_per_second,
        tokens_per_minute: customer.tokens_per_minute,
        concurrency: customer.concurrency,
    }
}

/// Whether a customer has any limit.
pub fn is_limited(customer: &Customer) -> bool {
    limits_of(customer) != Limits::default()
}

/// Part of every limit that a zone gives out: that of its hosts among all hosts that can be seen, in thousandths.
///
/// A zone that is cut off sees itself alone and gives out whole limits, so that with `n` zones cut off from each other
/// a customer gets at most `n` times its limits.
fn share_per_mille(view: &View, zone: &str) -> u32 {
    let own = view.eligible(zone).count();
    let all = view.members.len().max(1);
    (own * WHOLE_PER_MILLE).div_ceil(all).clamp(1, WHOLE_PER_MILLE) as u32
}

/// Limiter of a customer in a zone.
fn owner(view: &View, zone: &str, customer: &str) -> Option<SocketAddr> {
    let role = format!("limit/{zone}/{customer}");
    let host = rendezvous::owner(&role, view.eligible(zone))?;
    view.get(host).map(|it| it.peer)
}

/// Handle with which this host's requests are admitted.
#[derive(Debug, Clone)]
pub struct Admissions {
    zone: Arc<str>,
    host: Arc<str>,
    incarnation: u64,
    peers: Peers,
    view: watch::Receiver<Arc<View>>,
    held: mpsc::UnboundedSender<Change>,
}

#[derive(Debug)]
enum Change {
    Begin(Admission, SocketAddr),
    End(Admission),
}

/// An admitted request; it is settled when the handle is dropped.
#[derive(Debug)]
pub struct AdmissionGuard {
    request: Admission,
    held: mpsc::UnboundedSender<Change>,
}

impl AdmissionGuard {
    /// Sets the tokens that the request used so far.
    pub fn set_tokens(&mut self, tokens: u64) {
        self.request.tokens = tokens;
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let _ = self.held.send(Change::End(self.request.clone()));
    }
}

impl Admissions {
    /// Spawns the task that settles requests and reports them to a limiter that takes over.
    pub fn spawn(
        zone: &str,
        host: &str,
        incarnation: u64,
        peers: Peers,
        view: watch::Receiver<Arc<View>>,
    ) -> Admissions {
        let (held, changes) = mpsc::unbounded_channel();
        let admissions = Admissions {
            zone: zone.into(),
            host: host.into(),
            incarnation,
            peers: peers.clone(),
            view: view.clone(),
            held,
        };
        tokio::spawn(hold(zone.into(), peers, view, changes));
        admissions
    }

    /// Asks the customer's limiter to admit a request.
    ///
    /// # Errors
    /// The limit that is used up, or `NoDispatcher` if the limiter does not answer.
    pub async fn admit(
        &self,
        customer: &str,
        request: u64,
        tokens: u64,
    ) -> Result<AdmissionGuard, Error> {
        let request = Admission {
            customer: customer.to_owned(),
            host: self.host.to_string(),
            incarnation: self.incarnation,
            request,
            tokens,
            restore: false,
        };
        for _ in 0..ADMIT_ATTEMPTS {
            let limiter = owner(&self.view.borrow(), &self.zone, customer);
            if let Some(address) = limiter
                && let Some(answer) = ask(&self.peers, address, request.clone()).await
            {
                answer?;
                let _ = self.held.send(Change::Begin(request.clone(), address));
                return Ok(AdmissionGuard { request, held: self.held.clone() });
            }
            tokio::time::sleep(ADMIT_PAUSE).await;
        }
        Err(Error::new(Kind::NoDispatcher, "the limiter of the customer does not answer"))
    }
}

async fn ask(peers: &Peers, address: SocketAddr, request: Admission) -> Option<Result<(), Error>> {
    let client = peers.client(address).await.ok()?;
    client.admit(peer::within(ADMIT_TIMEOUT), request).await.ok()
}

/// Settles requests that ended and restores the others at a limiter that takes over.
async fn hold(
    zone: Arc<str>,
    peers: Peers,
    mut view: watch::Receiver<Arc<View>>,
    mut changes: mpsc::UnboundedReceiver<Change>,
) {
    let mut held: Vec<(Admission, SocketAddr)> = Vec::new();
    loop {
        tokio::select! {
            change = changes.recv() => match change {
                Some(Change::Begin(request, address)) => held.push((request, address)),
                Some(Change::End(request)) => {
                    let found = held.iter().position(|it| it.0.request == request.request);
                    if let Some(found) = found {
                        let (_, address) = held.swap_remove(found);
                        tokio::spawn(settle(peers.clone(), address, request));
                    }
                }
                None => return,
            },
            Ok(()) = view.changed() => {
                let view = view.borrow_and_update().clone();
                for (request, address) in &mut held {
                    let Some(owner) = owner(&view, &zone, &request.customer) else { continue };
                    if owner == *address {
                        continue;
                    }
                    *address = owner;
                    let request = Admission { restore: true, ..request.clone() };
                    let peers = peers.clone();
                    tokio::spawn(async move { ask(&peers, owner, request).await });
                }
            }
        }
    }
}

async fn settle(peers: Peers, address: SocketAddr, request: Admission) {
    let Ok(client) = peers.client(address).await else { return };
    let _ = client.settle(peer::within(ADMIT_TIMEOUT), request).await;
}
