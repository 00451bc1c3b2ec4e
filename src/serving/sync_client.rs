//! Sync requests of a host: to the hubs of its group, and as a hub to the hubs of other groups.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use tokio::{
    sync::{mpsc, watch},
    time::MissedTickBehavior,
};

use crate::{
    metrics::Metrics,
    serving::{
        dispatcher::{Dispatcher, LocalLoad},
        fleet_state::{GroupRole, Message, Role, SYNC_INTERVAL, Topic},
        follower, messages,
        peers::Peers,
        reported_load::Dated,
        roster::Roster,
        usage::Meter,
    },
    time::{Span, Time},
};

/// Number of sync intervals between two requests of a host in a large fleet.
const LARGE_FLEET_STRIDE: usize = 2;

/// Number of hubs of a group. Members synchronize with them in turns, so that the loss of one
/// causes no delay.
const HUBS: usize = 2;

/// Number of hosts that follow the store for the fleet, in different availability zones if there
/// are enough. One is left when some hosts and a whole zone cannot reach the store.
const FOLLOWERS: usize = 3;

/// Time for which a host is skipped after a request to it failed. Doubles with each further failure
/// in a row.
const BACKOFF: Span = Span::from_ms(1_000);

/// Maximum number of doublings of `BACKOFF`.
const MAX_DOUBLINGS: u32 = 3;

/// Time for which a host whose configuration is not current is skipped as a hub.
const NOT_CURRENT_TIME: Span = Span::from_ms(300);

/// Time for which a host that reports that it does not follow the store is skipped as a follower.
/// It receives several requests within this time.
const NOT_FOLLOWING_TIME: Span = Span::from_ms(1_000);

/// Time for which a host that did not take evidence, or reports of upstreams, gets none.
const NO_REPORT_TIME: Span = Span::from_ms(3_000);

/// A host that is skipped after a failed request or as it is not current.
#[derive(Debug)]
struct Skipped {
    address: SocketAddr,
    until: Time,
    /// Failed requests in a row.
    failures: u32,
}

/// Sends sync requests to other hosts.
pub(super) struct Client {
    pub(super) host: String,
    pub(super) zone: String,
    pub(super) address: SocketAddr,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) peers: Peers,
    /// Connections for evidence, as hosts of earlier versions close them.
    pub(super) report_peers: Peers,
    /// Connections for reports of upstreams, as hosts of earlier versions close them too.
    pub(super) hear_peers: Peers,
    pub(super) roster: watch::Receiver<Rc<Roster>>,
    pub(super) revisions: watch::Receiver<[u64; 3]>,
    /// Revision of the evacuations that this host knows, `None` if it follows none.
    pub(super) evacuations_revision: Rc<Cell<Option<u64>>>,
    pub(super) verified: watch::Receiver<[Option<Time>; 3]>,
    pub(super) meter: Meter,
    pub(super) messages: mpsc::Sender<Message>,
    /// Role of this host, which is derived from the roster at each interval.
    pub(super) role: Rc<watch::Sender<Role>>,
    /// Shared by the sync clients of a host.
    pub(super) tracker: Rc<RefCell<Tracker>>,
    pub(super) metrics: Metrics,
}

/// State about the hosts to which requests were sent.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    skipped: Vec<Skipped>,
    /// Hosts with a request in flight.
    in_flight: Vec<SocketAddr>,
    /// Hosts that reported that they do not follow the store, each with the time until which they
    /// are skipped as followers.
    not_following: Vec<(SocketAddr, Time)>,
    /// Hosts that did not take evidence, each with the time until which they get none.
    not_reporting: Vec<(SocketAddr, Time)>,
    /// Hosts that did not take reports of upstreams, each with the time until which they get none.
    not_hearing: Vec<(SocketAddr, Time)>,
    /// Hub that has received all usage counts of this host so far.
    counts_hub: Option<SocketAddr>,
    /// Position in the placed parts of each host up to which they were received.
    positions: Vec<(SocketAddr, u64)>,
}

impl Tracker {
    fn is_available(&self, address: SocketAddr) -> bool {
        let now = Time::now();
        self.skipped.iter().all(|it| it.address != address || now >= it.until)
    }

    fn follows(&self, address: SocketAddr) -> bool {
        let now = Time::now();
        self.not_following.iter().all(|it| it.0 != address || now >= it.1)
    }

    fn set_follows(&mut self, address: SocketAddr, follows: bool) {
        self.not_following.retain(|it| it.0 != address);
        if !follows {
            self.not_following.push((address, Time::now() + NOT_FOLLOWING_TIME));
        }
    }

    /// Records a failed request.
    fn record_failure(&mut self, address: SocketAddr) {
        let known = self.skipped.iter().find(|it| it.address == address);
        let failures = known.map_or(0, |it| it.failures);
        self.skipped.retain(|it| it.address != address);
        let time = Span(BACKOFF.0 << failures.min(MAX_DOUBLINGS));
        let until = Time::now() + time;
        self.skipped.push(Skipped { address, until, failures: failures + 1 });
        if self.counts_hub == Some(address) {
            self.counts_hub = None;
        }
    }

    /// Records a response. The host is skipped as a hub for `avoid`.
    fn record_response(&mut self, address: SocketAddr, avoid: Span) {
        self.skipped.retain(|it| it.address != address);
        if avoid > Span(0) {
            let until = Time::now() + avoid;
            self.skipped.push(Skipped { address, until, failures: 0 });
        }
    }

    /// Position in a host's placed parts up to which they were received, zero for an unknown host.
    fn position(&self, address: SocketAddr) -> u64 {
        self.positions.iter().find(|it| it.0 == address).map_or(0, |it| it.1)
    }

    fn set_position(&mut self, address: SocketAddr, position: u64) {
        match self.positions.iter_mut().find(|it| it.0 == address) {
            Some(known) => known.1 = position,
            None => self.positions.push((address, position)),
        }
    }
}

impl Client {
    /// Sends the loads of this host to the hubs of its group in turns, and receives updates.
    ///
    /// Each request runs in a task of its own, so that a host that does not respond, e.g. as it is
    /// partitioned, does not delay requests to another one.
    pub(super) async fn run(self, dispatcher: Dispatcher) {
        let client = Rc::new(self);
        let mut interval = tokio::time::interval(SYNC_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut tick: usize = 0;
        loop {
            interval.tick().await;
            tick = tick.wrapping_add(1);
            let roster = client.roster.borrow().clone();
            let group = roster.group(&client.zone).to_owned();
            if !group.is_empty() && !tick.is_multiple_of(LARGE_FLEET_STRIDE) {
                continue;
            }
            let load = dispatcher.local_load().await;
            if client.messages.send(Message::LocalLoad(load.clone())).await.is_err() {
                return;
            }
            let hubs = client.hubs(&roster, &group);
            let role = client.role_among(&roster, &hubs);
            let is_new = |it: &mut Role| std::mem::replace(it, role) != role;
            if client.role.send_if_modified(is_new) {
                log::info!("this host is now {role}");
            }
            let others: Vec<_> = hubs.into_iter().filter(|it| *it != client.address).collect();
            let turn = tick / LARGE_FLEET_STRIDE;
            let next = others.iter().cycle().skip(turn % others.len().max(1)).take(others.len());
            let free = next.copied().find(|it| !client.tracker.borrow().in_flight.contains(it));
            let other = match free {
                // A host that starts first may know others as seeds only.
                None if others.is_empty() && (client.is_behind() || roster.is_empty()) => {
                    client.any_host(&roster)
                }
                hub => hub,
            };
            if let Some(other) = other {
                if !load.evidence.is_empty() {
                    tokio::task::spawn_local(client.clone().report(other, load.evidence.clone()));
                }
                if !load.reports.is_empty() {
                    tokio::task::spawn_local(client.clone().pass_on(other, load.reports.clone()));
                }
                client.tracker.borrow_mut().in_flight.push(other);
                tokio::task::spawn_local(client.clone().send_request(other, load));
            }
        }
    }

    /// Selects the hubs of a group among the hosts that are not skipped. In a small fleet these are
    /// the followers of the store.
    fn hubs(&self, roster: &Roster, group: &str) -> Vec<SocketAddr> {
        if !group.is_empty() {
            return self
                .first_available(HUBS, roster.ranked(group).into_iter().map(|it| it.address));
        }
        let follows = |it: &SocketAddr| *it == self.address || self.tracker.borrow().follows(*it);
        self.first_available(
            FOLLOWERS,
            roster.followers().into_iter().map(|it| it.address).filter(follows),
        )
    }

    fn first_available(
        &self,
        count: usize,
        ranked: impl Iterator<Item = SocketAddr>,
    ) -> Vec<SocketAddr> {
        let available =
            |it: &SocketAddr| *it == self.address || self.tracker.borrow().is_available(*it);
        ranked.filter(available).take(count).collect()
    }

    fn role_among(&self, roster: &Roster, hubs: &[SocketAddr]) -> Role {
        // Hosts that cannot reach the store are replaced for as long as that lasts.
        let follows = |it: &SocketAddr| *it == self.address || self.tracker.borrow().follows(*it);
        let followers = roster.followers().into_iter().map(|it| it.address).filter(follows);
        let followers = self.first_available(FOLLOWERS, followers);
        let group = match hubs.iter().position(|it| *it == self.address) {
            Some(0) => GroupRole::PrimaryHub,
            Some(_) => GroupRole::Hub,
            None => GroupRole::Member,
        };
        let follower = match followers.iter().position(|it| *it == self.address) {
            Some(0) => follower::Rank::Primary,
            Some(_) => follower::Rank::Secondary,
            None => follower::Rank::None,
        };
        Role { group, follower }
    }

    fn is_behind(&self) -> bool {
        let verified_at = self.verified.borrow()[Topic::Configuration as usize];
        verified_at.is_none_or(|it| Time::now().since(it) >= Role::MEMBER_MAX_AGE)
    }

    /// Selects a random host, for when neither the store nor a hub is available.
    fn any_host(&self, roster: &Roster) -> Option<SocketAddr> {
        let known = roster.iter().map(|it| it.address).chain(self.seeds.iter().copied());
        let tracker = self.tracker.borrow();
        let free = |it: &SocketAddr| {
            *it != self.address && tracker.is_available(*it) && !tracker.in_flight.contains(it)
        };
        choose_random(&known.filter(free).collect::<Vec<_>>())
    }

    /// Synchronizes with the hubs of the other groups while this host is a hub of its own group.
    ///
    /// Each request runs in a task of its own, so that a hub that does not respond delays no other group, and the other hub
    /// of its group is asked meanwhile.
    pub(super) async fn run_as_hub(self) {
        let client = Rc::new(self);
        let mut interval = tokio::time::interval(SYNC_INTERVAL * LARGE_FLEET_STRIDE as u32);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !client.messages.is_closed() {
            interval.tick().await;
            let roster = client.roster.borrow().clone();
            let group = roster.group(&client.zone).to_owned();
            let role = client.role.borrow().group;
            if group.is_empty() || role == GroupRole::Member {
                continue;
            }
            for other in roster.zones().into_iter().filter(|it| *it != group) {
                let mut hubs = client.hubs(&roster, other);
                if role == GroupRole::Hub {
                    // Each hub of a group asks another one, as members hear from both.
                    hubs.reverse();
                }
                let is_free = |it: &SocketAddr| !client.tracker.borrow().in_flight.contains(it);
                if let Some(hub) = hubs.into_iter().find(is_free) {
                    client.tracker.borrow_mut().in_flight.push(hub);
                    let request = client.clone().send_hub_request(hub, other.to_owned());
                    tokio::task::spawn_local(request);
                }
            }
        }
    }

    /// Sends a request to the hub of another group.
    async fn send_hub_request(self: Rc<Client>, address: SocketAddr, group: String) {
        let request = self.request(address, LocalLoad::default(), true);
        self.exchange(address, request, Some(group)).await;
    }

    /// Reports evidence about crashes to a hub, whose responses pass it on.
    async fn report(self: Rc<Client>, address: SocketAddr, evidence: messages::Evidence) {
        let now = Time::now();
        self.tracker.borrow_mut().not_reporting.retain(|it| now < it.1);
        if self.tracker.borrow().not_reporting.iter().any(|it| it.0 == address) {
            return;
        }
        if self.report_peers.report(address, evidence).await.is_none() {
            log::info!("the host at {address} takes no evidence about crashes");
            let until = Time::now() + NO_REPORT_TIME;
            self.tracker.borrow_mut().not_reporting.push((address, until));
        }
    }

    /// Passes on to a hub what upstreams reported of their load to this host.
    async fn pass_on(self: Rc<Client>, address: SocketAddr, reports: Vec<(u64, Dated)>) {
        let now = Time::now();
        self.tracker.borrow_mut().not_hearing.retain(|it| now < it.1);
        if self.tracker.borrow().not_hearing.iter().any(|it| it.0 == address) {
            return;
        }
        let reports = messages::Prefix::from_reports(now, &reports);
        if self.hear_peers.hear(address, reports).await.is_none() {
            log::info!("the host at {address} takes no reports of upstreams");
            let until = Time::now() + NO_REPORT_TIME;
            self.tracker.borrow_mut().not_hearing.push((address, until));
        }
    }

    /// Sends a request as a member of the group.
    async fn send_request(self: Rc<Client>, address: SocketAddr, load: LocalLoad) {
        let request = self.request(address, load, false);
        self.exchange(address, request, None).await;
    }

    /// Sends a request to a host that is marked as having one in flight, and handles the response.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: messages::Request,
        group: Option<String>,
    ) {
        let sent_at = Time::now();
        let response = self.peers.sync(address, request).await;
        let outcome = if response.is_some() { "answered" } else { "failed" };
        self.metrics.sync_ended(outcome, Time::now().since(sent_at));
        for (content, bytes) in response.iter().flat_map(messages::Response::sizes) {
            self.metrics.synced("received", content, bytes);
        }
        self.tracker.borrow_mut().in_flight.retain(|it| *it != address);
        self.handle_response(address, sent_at, response, group).await;
    }

    fn request(&self, address: SocketAddr, load: LocalLoad, is_hub: bool) -> messages::Request {
        let counts = match is_hub {
            false => self.meter.take_changed(self.tracker.borrow().counts_hub == Some(address)),
            true => Vec::new(),
        };
        let mut revisions = self.revisions.borrow().to_vec();
        revisions.extend(self.evacuations_revision.get());
        messages::Request {
            host: self.host.clone(),
            is_hub,
            revisions,
            loads: load.loads,
            placed: load.placed,
            placed_after: self.tracker.borrow().position(address),
            counts,
        }
    }

    /// Handles the response, or its absence, to a request that was sent at `sent_at`. `group` names
    /// the group if the host is the hub of another one.
    async fn handle_response(
        &self,
        address: SocketAddr,
        sent_at: Time,
        response: Option<messages::Response>,
        group: Option<String>,
    ) {
        let Some(response) = response else {
            log::info!("the host at {address} does not answer");
            self.tracker.borrow_mut().record_failure(address);
            return;
        };
        if group.is_none() {
            self.tracker.borrow_mut().counts_hub = Some(address);
        }
        self.tracker.borrow_mut().set_follows(address, response.follows_store);
        let avoid = if group.is_some() || response.is_current { Span(0) } else { NOT_CURRENT_TIME };
        self.tracker.borrow_mut().record_response(address, avoid);
        self.tracker.borrow_mut().set_position(address, response.placed_next);
        let message = Message::Response(Box::new(response), sent_at, group);
        // The mailbox closes only when the host stops.
        let _ = self.messages.send(message).await;
    }
}

fn choose_random(addresses: &[SocketAddr]) -> Option<SocketAddr> {
    let count = addresses.len();
    (count > 0).then(|| addresses[rand::random_range(0..count)])
}
