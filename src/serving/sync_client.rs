//! Questions of a host to others: what its hub knows, and what hubs of other groups know.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use tokio::{
    sync::{mpsc, watch},
    time::MissedTickBehavior,
};

use crate::{
    serving::{
        dispatcher::{Dispatcher, LocalLoad},
        fleet_state::{INTERVAL, Message, Place, Role, Topic},
        follower::Rank,
        messages::{SyncRequest, SyncResponse},
        peers::Peers,
        roster::Roster,
        usage::Meter,
    },
    time::{Span, Time},
};

/// Questions of a host in a large fleet are sent at each so many intervals.
const LARGE_FLEET_STRIDE: usize = 2;

/// Hosts of a group that the others ask in turns, so that the loss of one delays nothing.
const HUBS: usize = 2;

/// Hosts that follow the store for the fleet, in different availability zones as far as there are any: one is left when the store is
/// out of reach of some hosts and of a zone.
const FOLLOWERS: usize = 3;

/// Time for which a host that did not answer is passed over; twice as long each further time.
const SHUN_TIME: Span = Span::from_ms(1_000);

/// Most doublings of that time.
const MAX_DOUBLINGS: u32 = 3;

/// Time for which a host that does not know the newest configuration is passed over as a hub.
const BEHIND_TIME: Span = Span::from_ms(300);

/// Time for which a host that does not follow the store is passed over as one that does for the fleet; it is asked several times
/// meanwhile.
const UNFOLLOWED_TIME: Span = Span::from_ms(1_000);

/// A host that did not answer, or could not help.
#[derive(Debug)]
struct Shunned {
    address: SocketAddr,
    until: Time,
    /// Questions in a row that it did not answer.
    strikes: u32,
}

/// Asks other hosts.
pub(super) struct SyncClient {
    pub(super) host: String,
    pub(super) zone: String,
    pub(super) address: SocketAddr,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) peers: Peers,
    pub(super) roster: watch::Receiver<Rc<Roster>>,
    pub(super) revisions: watch::Receiver<[u64; 3]>,
    pub(super) proofs: watch::Receiver<[Option<Time>; 3]>,
    pub(super) meter: Meter,
    pub(super) messages: mpsc::Sender<Message>,
    /// What this host is to the others.
    pub(super) role: Rc<watch::Sender<Role>>,
    /// Shared by the askers of a host.
    pub(super) memory: Rc<RefCell<PeerMemory>>,
}

/// What is remembered of the hosts that were asked.
#[derive(Debug, Default)]
pub(super) struct PeerMemory {
    shunned: Vec<Shunned>,
    /// Hosts whose answers are waited for.
    asked: Vec<SocketAddr>,
    /// Hosts that do not follow the store, and until when they are held to be such.
    idle: Vec<(SocketAddr, Time)>,
    /// Who has all of this host's counts so far.
    counted: Option<SocketAddr>,
    /// Positions in the parts of the hosts that were asked.
    positions: Vec<(SocketAddr, u64)>,
}

impl PeerMemory {
    fn is_open(&self, address: SocketAddr) -> bool {
        let now = Time::now();
        self.shunned.iter().all(|it| it.address != address || now >= it.until)
    }

    fn follows(&self, address: SocketAddr) -> bool {
        let now = Time::now();
        self.idle.iter().all(|it| it.0 != address || now >= it.1)
    }

    fn note_follows(&mut self, address: SocketAddr, follows: bool) {
        self.idle.retain(|it| it.0 != address);
        if !follows {
            self.idle.push((address, Time::now() + UNFOLLOWED_TIME));
        }
    }

    /// The host did not answer.
    fn miss(&mut self, address: SocketAddr) {
        let known = self.shunned.iter().find(|it| it.address == address);
        let strikes = known.map_or(0, |it| it.strikes);
        self.shunned.retain(|it| it.address != address);
        let time = Span(SHUN_TIME.0 << strikes.min(MAX_DOUBLINGS));
        let until = Time::now() + time;
        self.shunned.push(Shunned { address, until, strikes: strikes + 1 });
        if self.counted == Some(address) {
            self.counted = None;
        }
    }

    /// The host answered, and is passed over as a hub for a time.
    fn hear(&mut self, address: SocketAddr, avoid: Span) {
        self.shunned.retain(|it| it.address != address);
        if avoid > Span(0) {
            let until = Time::now() + avoid;
            self.shunned.push(Shunned { address, until, strikes: 0 });
        }
    }

    /// Position in a host's parts up to which they are known.
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

impl SyncClient {
    /// Tells the hub of this host's group what this host has sent, and asks what is new.
    ///
    /// A host that hangs, as it is cut off, holds up no question to another one.
    pub(super) async fn run(self, dispatcher: Dispatcher) {
        let client = Rc::new(self);
        let mut interval = tokio::time::interval(INTERVAL);
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
            let sent = dispatcher.local_load().await;
            if client.messages.send(Message::Sent(sent.clone())).await.is_err() {
                return;
            }
            let hubs = client.hubs(&roster, &group);
            let role = client.role_among(&roster, &hubs);
            client.role.send_if_modified(|it| std::mem::replace(it, role) != role);
            let others: Vec<_> = hubs.into_iter().filter(|it| *it != client.address).collect();
            let turn = tick / LARGE_FLEET_STRIDE;
            let next = others.iter().cycle().skip(turn % others.len().max(1)).take(others.len());
            let free = next.copied().find(|it| !client.memory.borrow().asked.contains(it));
            let other = match free {
                None if others.is_empty() && client.is_behind() => client.anyone(&roster),
                hub => hub,
            };
            if let Some(other) = other {
                client.memory.borrow_mut().asked.push(other);
                tokio::task::spawn_local(client.clone().ask(other, sent));
            }
        }
    }

    /// The hubs of a group, as far as they answer.
    fn hubs(&self, roster: &Roster, group: &str) -> Vec<SocketAddr> {
        if !group.is_empty() {
            return self.first_open(HUBS, roster.ranked(group).into_iter().map(|it| it.address));
        }
        let able = |it: &SocketAddr| *it == self.address || self.memory.borrow().follows(*it);
        self.first_open(FOLLOWERS, roster.followers().into_iter().map(|it| it.address).filter(able))
    }

    fn first_open(
        &self,
        count: usize,
        ranked: impl Iterator<Item = SocketAddr>,
    ) -> Vec<SocketAddr> {
        let open = |it: &SocketAddr| *it == self.address || self.memory.borrow().is_open(*it);
        ranked.filter(open).take(count).collect()
    }

    fn role_among(&self, roster: &Roster, hubs: &[SocketAddr]) -> Role {
        // Those that the store turns away are replaced for as long.
        let able = |it: &SocketAddr| *it == self.address || self.memory.borrow().follows(*it);
        let followers = roster.followers().into_iter().map(|it| it.address).filter(able);
        let followers = self.first_open(FOLLOWERS, followers);
        let place = match hubs.iter().position(|it| *it == self.address) {
            Some(0) => Place::First,
            Some(_) => Place::Other,
            None => Place::Member,
        };
        let rank = match followers.iter().position(|it| *it == self.address) {
            Some(0) => Rank::First,
            Some(_) => Rank::Other,
            None => Rank::None,
        };
        Role { place, rank }
    }

    fn is_behind(&self) -> bool {
        let proof = self.proofs.borrow()[Topic::Configuration as usize];
        proof.is_none_or(|it| Time::now().since(it) >= Role::MEMBER_STALE)
    }

    /// Any host, as neither the store nor a hub can be asked.
    fn anyone(&self, roster: &Roster) -> Option<SocketAddr> {
        let known = roster.iter().map(|it| it.address).chain(self.seeds.iter().copied());
        let memory = self.memory.borrow();
        let free = |it: &SocketAddr| {
            *it != self.address && memory.is_open(*it) && !memory.asked.contains(it)
        };
        pick(&known.filter(free).collect::<Vec<_>>())
    }

    /// Asks the hubs of the other groups while this host is a hub of its own.
    pub(super) async fn run_as_hub(self) {
        let mut interval = tokio::time::interval(INTERVAL * LARGE_FLEET_STRIDE as u32);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.messages.is_closed() {
            interval.tick().await;
            let roster = self.roster.borrow().clone();
            let group = roster.group(&self.zone).to_owned();
            if group.is_empty() || self.role.borrow().place == Place::Member {
                continue;
            }
            let others = roster.zones().into_iter().filter(|it| *it != group);
            let hubs = others.filter_map(|it| Some((it, *self.hubs(&roster, it).first()?)));
            // One that hangs holds up none of the others.
            let asked = hubs.map(|(zone, hub)| {
                let question = self.question(hub, LocalLoad::default(), true);
                let peers = self.peers.clone();
                async move { (zone, hub, Time::now(), peers.sync(hub, question).await) }
            });
            for (zone, hub, asked, answer) in futures::future::join_all(asked).await {
                self.take(hub, asked, answer, Some(zone.to_owned())).await;
            }
        }
    }

    /// Asks a host as one of its group.
    async fn ask(self: Rc<SyncClient>, address: SocketAddr, sent: LocalLoad) {
        let question = self.question(address, sent, false);
        let asked = Time::now();
        let answer = self.peers.sync(address, question).await;
        self.memory.borrow_mut().asked.retain(|it| *it != address);
        self.take(address, asked, answer, None).await;
    }

    fn question(&self, address: SocketAddr, sent: LocalLoad, is_hub: bool) -> SyncRequest {
        let counts = match is_hub {
            false => self.meter.take_changed(self.memory.borrow().counted == Some(address)),
            true => Vec::new(),
        };
        SyncRequest {
            host: self.host.clone(),
            is_hub,
            revisions: self.revisions.borrow().to_vec(),
            loads: sent.loads,
            placed: sent.placed,
            placed_after: self.memory.borrow().position(address),
            counts,
        }
    }

    /// Takes in the answer of a host to a question, of the hub of another group if one is named.
    async fn take(
        &self,
        address: SocketAddr,
        asked: Time,
        answer: Option<SyncResponse>,
        group: Option<String>,
    ) {
        let Some(answer) = answer else {
            log::info!("the host at {address} does not answer");
            self.memory.borrow_mut().miss(address);
            return;
        };
        if group.is_none() {
            self.memory.borrow_mut().counted = Some(address);
        }
        self.memory.borrow_mut().note_follows(address, answer.follows_store);
        let avoid = if group.is_some() || answer.is_current { Span(0) } else { BEHIND_TIME };
        self.memory.borrow_mut().hear(address, avoid);
        self.memory.borrow_mut().set_position(address, answer.placed_next);
        let message = Message::Answered(Box::new(answer), asked, group);
        // The mailbox closes only when the host stops.
        let _ = self.messages.send(message).await;
    }
}

fn pick(addresses: &[SocketAddr]) -> Option<SocketAddr> {
    let count = addresses.len();
    (count > 0).then(|| addresses[rand::random_range(0..count)])
}
