//! Task that runs this host's customer limiters, and the handle through which entry hosts call them.
//!
//! Within a zone, rendezvous hashing assigns each customer to the limiter of one host.

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

/// Interval at which permits of lost hosts are released and the zone's share is updated.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a call to a limiter.
const ADMIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Calls to the limiter before the request is refused.
const ADMIT_ATTEMPTS: u32 = 8;

/// Delay before the next call to a limiter that did not answer.
const ADMIT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Share of a zone that may use the whole of every limit, in thousandths.
const FULL_SHARE_PER_MILLE: usize = 1_000;

/// Inputs of the task.
#[derive(Debug)]
pub struct Options {
    /// Availability zone of this host.
    pub zone: String,
    /// Configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Hosts of the fleet, as the membership of this host lists them.
    pub view: watch::Receiver<Arc<View>>,
    /// Calls from entry hosts.
    pub calls: mpsc::Receiver<LimitCall>,
}

/// Spawns the limiter task. It ends when [`Options::calls`] is closed.
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

/// Identity of a request in flight: key of its host and request number at that host.
type RequestId = (HostKey, u64);

#[derive(Debug)]
struct Task {
    options: Options,
    limiter: Limiter,
    /// Customer keys, sorted by customer name.
    customers: Vec<(String, CustomerKey)>,
    /// Host keys, sorted by host id and incarnation.
    hosts: Vec<((String, u64), HostKey)>,
    /// Permits, sorted by request.
    permits: Vec<(RequestId, Permit)>,
}

impl Task {
    async fn run(mut self) {
        let mut interval = tokio::time::interval(REFRESH_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                call = self.options.calls.recv() => match call {
                    Some(LimitCall::Admit(request, answer)) => self.admit(request, answer),
                    Some(LimitCall::Settle(request)) => self.settle(&request),
                    None => return,
                },
                _ = interval.tick() => self.refresh(),
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
                // The request is already admitted: the answer to an earlier call was lost.
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

    /// Releases the permits of hosts that left the fleet or restarted, and updates the zone's share.
    fn refresh(&mut self) {
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

/// Returns the limits in a customer's record.
fn limits_of(customer: &Customer) -> Limits {
    Limits {
        requests_per_second: customer.requests_per_second,
        tokens_per_minute: customer.tokens_per_minute,
        concurrency: customer.concurrency,
    }
}

/// Returns whether a customer has any limit. Requests of other customers need no admission.
pub fn is_limited(customer: &Customer) -> bool {
    limits_of(customer) != Limits::default()
}

/// Returns the zone's share of every limit in thousandths: the fraction of the reachable hosts that are in the zone.
///
/// A partitioned zone reaches only its own hosts and applies whole limits. With `n` zones partitioned from each other a
/// customer therefore gets at most `n` times its limits.
fn share_per_mille(view: &View, zone: &str) -> u32 {
    let own = view.eligible(zone).count();
    let all = view.members.len().max(1);
    (own * FULL_SHARE_PER_MILLE).div_ceil(all).clamp(1, FULL_SHARE_PER_MILLE) as u32
}

/// Returns the peer address of the host that runs a customer's limiter in a zone.
fn limiter_address(view: &View, zone: &str, customer: &str) -> Option<SocketAddr> {
    let role = format!("limit/{zone}/{customer}");
    let host = rendezvous::owner(&role, view.eligible(zone))?;
    view.get(host).map(|it| it.peer)
}

/// Handle that obtains admissions for the requests of this host.
#[derive(Debug, Clone)]
pub struct Admissions {
    zone: Arc<str>,
    host: Arc<str>,
    incarnation: u64,
    peers: Peers,
    view: watch::Receiver<Arc<View>>,
    changes: mpsc::UnboundedSender<Change>,
}

#[derive(Debug)]
enum Change {
    /// A limiter at this address admitted the request.
    Begin(Admission, SocketAddr),
    End(Admission),
}

/// Admission of a request. Dropping it settles the request at the limiter.
#[derive(Debug)]
pub struct AdmissionGuard {
    request: Admission,
    changes: mpsc::UnboundedSender<Change>,
}

impl AdmissionGuard {
    /// Sets the number of tokens that the request has used so far.
    pub fn set_tokens(&mut self, tokens: u64) {
        self.request.tokens = tokens;
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let _ = self.changes.send(Change::End(self.request.clone()));
    }
}

impl Admissions {
    /// Spawns the task that settles requests and restores requests in flight at a limiter that takes over.
    pub fn spawn(
        zone: &str,
        host: &str,
        incarnation: u64,
        peers: Peers,
        view: watch::Receiver<Arc<View>>,
    ) -> Admissions {
        let (sender, changes) = mpsc::unbounded_channel();
        let admissions = Admissions {
            zone: zone.into(),
            host: host.into(),
            incarnation,
            peers: peers.clone(),
            view: view.clone(),
            changes: sender,
        };
        tokio::spawn(track_admissions(zone.into(), peers, view, changes));
        admissions
    }

    /// Requests an admission from the customer's limiter. `tokens` is the estimated use.
    ///
    /// # Errors
    /// Returns the limit that is exhausted, or `NoDispatcher` if the limiter does not answer after all retries.
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
            let limiter = limiter_address(&self.view.borrow(), &self.zone, customer);
            if let Some(address) = limiter
                && let Some(answer) = call_limiter(&self.peers, address, request.clone()).await
            {
                answer?;
                let _ = self.changes.send(Change::Begin(request.clone(), address));
                return Ok(AdmissionGuard { request, changes: self.changes.clone() });
            }
            tokio::time::sleep(ADMIT_RETRY_DELAY).await;
        }
        Err(Error::new(Kind::NoDispatcher, "the limiter of the customer does not answer"))
    }
}

async fn call_limiter(
    peers: &Peers,
    address: SocketAddr,
    request: Admission,
) -> Option<Result<(), Error>> {
    let client = peers.client(address).await.ok()?;
    client.admit(peer::within(ADMIT_TIMEOUT), request).await.ok()
}

/// Settles requests that ended, and restores the others at the new limiter when their customer's limiter moves.
async fn track_admissions(
    zone: Arc<str>,
    peers: Peers,
    mut view: watch::Receiver<Arc<View>>,
    mut changes: mpsc::UnboundedReceiver<Change>,
) {
    let mut in_flight: Vec<(Admission, SocketAddr)> = Vec::new();
    loop {
        tokio::select! {
            change = changes.recv() => match change {
                Some(Change::Begin(request, address)) => in_flight.push((request, address)),
                Some(Change::End(request)) => {
                    let found = in_flight.iter().position(|it| it.0.request == request.request);
                    if let Some(found) = found {
                        let (_, address) = in_flight.swap_remove(found);
                        tokio::spawn(settle(peers.clone(), address, request));
                    }
                }
                None => return,
            },
            Ok(()) = view.changed() => {
                let view = view.borrow_and_update().clone();
                for (request, address) in &mut in_flight {
                    let Some(limiter) = limiter_address(&view, &zone, &request.customer) else {
                        continue
                    };
                    if limiter == *address {
                        continue;
                    }
                    *address = limiter;
                    let request = Admission { restore: true, ..request.clone() };
                    let peers = peers.clone();
                    tokio::spawn(async move { call_limiter(&peers, limiter, request).await });
                }
            }
        }
    }
}

async fn settle(peers: Peers, address: SocketAddr, request: Admission) {
    let Ok(client) = peers.client(address).await else { return };
    let _ = client.settle(peer::within(ADMIT_TIMEOUT), request).await;
}
