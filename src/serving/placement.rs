//! Choice of an upstream for a request, from what this host sent, heard and was told.
//!
//! Every host chooses by itself. The load pattern it answers: many prompts that share their beginnings, some of them
//! long, on engines that read one prompt after the other, so that a badly placed prompt delays all that follow it.

use std::{cell::Cell, cmp::Reverse, collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc};

use crate::{
    error::Kind,
    rendezvous,
    serving::{
        demand::PoolDemand,
        dialect::Prompt,
        key::{AttemptKey, TicketKey, UpstreamKey},
        messages,
        registry::Entry,
        tier::TIERS,
        upstream_state::{UpstreamState, prefill},
    },
    time::{Span, Time},
    wire::Ending,
};

/// Delay that is put up with before a request goes to an upstream in another availability zone, whose bytes cost.
const ZONE_PENALTY: Span = Span::from_ms(10);

/// Weight of the time to read a prompt against the time to wait for others: reading delays all that come later, here and
/// wherever the same parts are wanted again.
const READING_WEIGHT: u64 = 8;

/// Upstreams of a large pool that a request looks at.
const MAX_SHARE: usize = 24;

/// Fewest engines that are divided between tight streams and others.
const MIN_SPLIT: usize = 3;

/// Delay that is put up with before a request goes to an engine that is kept for others.
const CROSSING_PENALTY: Span = Span::from_ms(150);

/// Delay that is put up with before a request goes to an upstream that another host shuns.
const HEARSAY_PENALTY: Span = Span::from_ms(300);

/// Delay stated when no upstream serves, which is about the time in which one returns.
const NO_UPSTREAM_DELAY: Span = Span::from_ms(500);

/// A request that asks for an upstream.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// Number of the ticket.
    pub key: TicketKey,
    /// Pool that is to run the request.
    pub pool: Arc<str>,
    /// Place in the order of requests, zero first.
    pub tier: u8,
    /// Name of the route.
    pub route: Arc<str>,
    /// Longest gap between events that is still on time, in milliseconds.
    pub max_gap_ms: Option<u64>,
    /// The prompt, if the request is for an engine.
    pub prompt: Option<Prompt>,
    /// When the first byte should be there.
    pub target: Time,
    /// When the answer is of no more use.
    pub deadline: Time,
    /// Upstreams on which earlier attempts of the request ended.
    pub tried: Vec<UpstreamKey>,
}

/// Permission to send a request to an upstream.
#[derive(Debug, Clone)]
pub struct Grant {
    /// Number of the attempt.
    pub attempt: AttemptKey,
    /// Where the request goes.
    pub upstream: UpstreamKey,
    /// Instance that must run it.
    pub instance: Arc<str>,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Time to the first byte as it was estimated.
    pub expected_first_byte: Span,
    /// When the upstream was last heard of, on any of its connections.
    pub last_activity: Rc<Cell<Time>>,
}

/// Output of the core.
#[derive(Debug)]
pub enum Action {
    /// The ticket may be sent.
    Grant(TicketKey, Grant),
    /// The ticket is given up, with the delay after which a repeat may succeed.
    Refuse(TicketKey, Kind, Option<Span>),
}

#[derive(Debug)]
struct Running {
    upstream: UpstreamKey,
    tier: usize,
    /// Tokens of its prompt that the engine has yet to read, zero after the first event.
    pending: u64,
    /// Expected time to the first byte.
    expected: Span,
    started: Time,
    answered: bool,
}

/// An upstream with what speaks for and against it.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: UpstreamKey,
    /// Time to the first byte.
    expected: Span,
    /// Time by which upstreams are compared.
    cost: Span,
    /// Orders upstreams of the same cost alike on all hosts.
    rank: Reverse<u64>,
}

/// State of the choice.
#[derive(Debug)]
pub struct Placement {
    host: Arc<str>,
    zone: Arc<str>,
    /// Sorted by key.
    sites: Vec<(UpstreamKey, UpstreamState)>,
    running: BTreeMap<AttemptKey, Running>,
    attempts: u64,
    upstreams: u32,
    /// Demand by pool, sorted by name.
    mixes: Vec<(Arc<str>, PoolDemand)>,
    /// Parts of prompts that were sent since they were last taken.
    placed: Vec<messages::PlacedPart>,
}

impl Placement {
    /// A choice for a host of an availability zone.
    pub fn new(host: Arc<str>, zone: Arc<str>) -> Placement {
        Placement {
            host,
            zone,
            sites: Vec::new(),
            running: BTreeMap::new(),
            attempts: 0,
            upstreams: 0,
            mixes: Vec::new(),
            placed: Vec::new(),
        }
    }

    /// Takes in the entries of all upstreams.
    pub fn set_upstreams(&mut self, entries: &[Entry]) {
        let mut listed: BTreeMap<_, _> = entries.iter().map(|it| (life(it), it)).collect();
        self.sites.retain_mut(|(_, site)| match listed.remove(&life(&site.entry)) {
            Some(entry) => {
                site.entry = entry.clone();
                true
            }
            None => false,
        });
        for entry in listed.into_values() {
            self.upstreams += 1;
            self.sites.push((UpstreamKey(self.upstreams), UpstreamState::new(entry.clone())));
        }
    }

    /// Takes in a ticket.
    pub fn submit(&mut self, now: Time, ticket: &Ticket, actions: &mut Vec<Action>) {
        self.mix_mut(&ticket.pool).observe(now, ticket);
        let Some(best) = self.choose(now, ticket) else {
            actions.push(Action::Refuse(ticket.key, Kind::NoUpstream, Some(NO_UPSTREAM_DELAY)));
            return;
        };
        let grant = self.grant(now, ticket, best);
        actions.push(Action::Grant(ticket.key, grant));
    }

    /// The first byte or event of an attempt came.
    pub fn attempt_answered(&mut self, now: Time, attempt: AttemptKey) {
        let Some(running) = self.running.get_mut(&attempt) else { return };
        let (upstream, tier) = (running.upstream, running.tier);
        let pending = std::mem::take(&mut running.pending);
        let (expected, took) = (running.expected, now.since(running.started));
        let first = !std::mem::replace(&mut running.answered, true);
        let Some(site) = self.site_mut(upstream) else { return };
        site.pending[tier] -= pending;
        site.health.succeed();
        if first {
            site.answering += 1;
            site.pace.observe(now, expected, took);
        }
    }

    /// An attempt ended.
    pub fn attempt_ended(&mut self, now: Time, attempt: AttemptKey, ending: Ending) {
        let Some(running) = self.running.remove(&attempt) else { return };
        let Some(site) = self.site_mut(running.upstream) else { return };
        site.pending[running.tier] -= running.pending;
        site.running -= 1;
        site.answering -= u32::from(running.answered);
        match ending {
            Ending::Done => {
                site.health.succeed();
                if !running.answered {
                    site.pace.observe(now, running.expected, now.since(running.started));
                }
            }
            Ending::Cancelled | Ending::Unused | Ending::Preempted => {}
            Ending::Refused | Ending::Failed | Ending::Invalid | Ending::TimedOut => {
                site.health.fail(now, running.started);
            }
        }
    }

    /// What this host has sent to each upstream and that has not ended.
    pub fn local_loads(&self, now: Time) -> Vec<messages::Load> {
        self.sites.iter().filter_map(|(_, site)| site.load(now)).collect()
    }

    /// Parts of prompts that were sent since the last call.
    pub fn take_placed(&mut self) -> Vec<messages::PlacedPart> {
        std::mem::take(&mut self.placed)
    }

    /// Takes in what all other hosts have sent.
    pub fn set_remote_loads(&mut self, now: Time, loads: &[messages::Load]) {
        for (_, site) in &mut self.sites {
            let load = loads.binary_search_by_key(&site.tag, |it| it.upstream).ok();
            site.set_foreign(now, load.map(|at| loads[at]));
        }
    }

    /// Takes in parts of prompts that other hosts have sent.
    pub fn record_placed(&mut self, now: Time, placed: &[messages::PlacedPart]) {
        for it in placed {
            if let Some((_, site)) = self.sites.iter_mut().find(|(_, site)| site.tag == it.upstream)
            {
                site.remember(now, it.part);
            }
        }
    }

    fn grant(&mut self, now: Time, ticket: &Ticket, best: Candidate) -> Grant {
        self.attempts += 1;
        let attempt = AttemptKey(self.attempts);
        let tier = usize::from(ticket.tier).min(TIERS - 1);
        let Ok(at) = self.sites.binary_search_by_key(&best.key, |it| it.0) else {
            unreachable!("the candidate was chosen among the sites")
        };
        let site = &mut self.sites[at].1;
        let pending = ticket.prompt.as_ref().map_or(0, |it| site.missing(now, it));
        site.pending[tier] += pending;
        site.running += 1;
        if let Some(prompt) = &ticket.prompt {
            for part in shared(prompt) {
                site.remember(now, part);
                self.placed.push(messages::PlacedPart { part, upstream: site.tag });
            }
        }
        let running = Running {
            upstream: best.key,
            tier,
            pending,
            expected: best.expected,
            started: now,
            answered: false,
        };
        self.running.insert(attempt, running);
        Grant {
            attempt,
            upstream: best.key,
            instance: site.entry.id.clone(),
            address: site.entry.address,
            expected_first_byte: best.expected,
            last_activity: site.heard.clone(),
        }
    }

    /// The upstream that costs least, among those that are not shunned if there are any.
    fn choose(&self, now: Time, ticket: &Ticket) -> Option<Candidate> {
        let serving = self.serving(&ticket.pool).filter(|(key, _)| !ticket.tried.contains(key));
        let any_healthy = serving.clone().any(|(_, site)| !site.is_shunned(now));
        let open = serving.filter(|(_, site)| !any_healthy || !site.is_shunned(now));
        let open = self.considered(now, ticket, open.collect());
        let mix = self.mix(&ticket.pool);
        let quiet = self.quiet(now, &ticket.pool);
        let tight = mix.is_some_and(|it| it.is_tight(now, &ticket.route));
        let candidates = open.into_iter().map(|(key, site)| {
            let mut candidate = self.candidate(now, ticket, *key, site);
            if !quiet.is_empty() && quiet.contains(key) != tight {
                let stall = if tight { Span(0) } else { reading(ticket) };
                candidate.cost.0 += CROSSING_PENALTY.0 + stall.0 * 2;
            }
            candidate
        });
        candidates.min_by_key(|it| (it.cost, it.rank))
    }

    /// Upstreams that this host looks at: a share of a large pool, and those that keep parts of the prompt.
    ///
    /// The load pattern it answers: many hosts that all learn a moment late which engine is free would all go there. Shares
    /// differ by session, so that its next request, at whatever host, looks where its parts are.
    fn considered<'a>(
        &self,
        now: Time,
        ticket: &Ticket,
        mut open: Vec<&'a (UpstreamKey, UpstreamState)>,
    ) -> Vec<&'a (UpstreamKey, UpstreamState)> {
        if open.len() <= MAX_SHARE {
            return open;
        }
        // Requests that have parts in common look at the same upstreams from all hosts.
        let session = ticket.prompt.as_ref().and_then(|it| shared(it).last());
        let session = session.map(u64::to_be_bytes);
        let share = session.as_ref().map_or(self.host.as_bytes(), |it| it.as_slice());
        open.sort_by_cached_key(|(_, site)| rendezvous::hash(&[share, site.entry.id.as_bytes()]));
        let (share, rest) = open.split_at(MAX_SHARE);
        let keeps = |site: &UpstreamState| {
            let prompt = ticket.prompt.as_ref();
            prompt.is_some_and(|it| site.keeps_shared(now, it))
        };
        let holders = rest.iter().copied().filter(|(_, site)| keeps(site));
        share.iter().copied().chain(holders).collect()
    }

    fn candidate(
        &self,
        now: Time,
        ticket: &Ticket,
        key: UpstreamKey,
        site: &UpstreamState,
    ) -> Candidate {
        let way = if site.entry.zone == self.zone { Span(0) } else { ZONE_PENALTY };
        let tier = usize::from(ticket.tier).min(TIERS - 1);
        let (wait, read) = match &ticket.prompt {
            Some(prompt) => (site.backlog(now, tier), prefill(site.missing(now, prompt))),
            None => (site.crowd(), Span(0)),
        };
        let slow = |span: Span| Span((span.0 as f64 * site.pace.factor(now)) as u64);
        let expected = Span(way.0 + slow(Span(wait.0 + read.0)).0);
        let mut cost = Span(way.0 + slow(Span(wait.0 + read.0 * READING_WEIGHT)).0);
        if site.is_shunned_elsewhere(now) {
            cost.0 += HEARSAY_PENALTY.0;
        }
        let rank = match ticket.prompt.as_ref().and_then(group) {
            Some(part) => rendezvous::hash(&[&part.to_be_bytes(), site.entry.id.as_bytes()]),
            // Tickets of different hosts have the same numbers.
            None => rendezvous::hash(&[
                self.host.as_bytes(),
                &ticket.key.0.to_be_bytes(),
                site.entry.id.as_bytes(),
            ]),
        };
        Candidate { key, expected, cost, rank: Reverse(rank) }
    }

    fn serving<'a>(
        &'a self,
        pool: &'a str,
    ) -> impl Iterator<Item = &'a (UpstreamKey, UpstreamState)> + Clone + 'a {
        self.sites.iter().filter(move |(_, site)| site.serves(pool))
    }

    /// Upstreams that are kept for streams with tight gaps. All hosts choose alike from the same list.
    fn quiet(&self, now: Time, pool: &str) -> Vec<UpstreamKey> {
        let share = self.mix(pool).map_or(0.0, |it| it.tight_share(now));
        if share == 0.0 {
            return Vec::new();
        }
        let serving = self.serving(pool);
        let mut ranked: Vec<_> = serving
            .map(|(key, site)| (rendezvous::hash(&[b"quiet", site.entry.id.as_bytes()]), *key))
            .collect();
        if ranked.len() < MIN_SPLIT {
            return Vec::new();
        }
        ranked.sort_unstable();
        let count = (share * ranked.len() as f64).round() as usize;
        ranked.truncate(count.clamp(1, ranked.len() - 1));
        ranked.into_iter().map(|it| it.1).collect()
    }

    fn mix(&self, pool: &str) -> Option<&PoolDemand> {
        let found = self.mixes.binary_search_by(|it| (*it.0).cmp(pool)).ok()?;
        Some(&self.mixes[found].1)
    }

    fn mix_mut(&mut self, pool: &Arc<str>) -> &mut PoolDemand {
        let at = match self.mixes.binary_search_by(|it| it.0.cmp(pool)) {
            Ok(found) => found,
            Err(at) => {
                self.mixes.insert(at, (pool.clone(), PoolDemand::default()));
                at
            }
        };
        &mut self.mixes[at].1
    }

    fn site_mut(&mut self, key: UpstreamKey) -> Option<&mut UpstreamState> {
        let found = self.sites.binary_search_by_key(&key, |it| it.0).ok()?;
        Some(&mut self.sites[found].1)
    }
}

/// What tells the lives of upstreams apart.
fn life(entry: &Entry) -> (Arc<str>, u64, SocketAddr) {
    (entry.id.clone(), entry.started_ms, entry.address)
}

/// Parts of a prompt that other requests may have too.
fn shared(prompt: &Prompt) -> impl Iterator<Item = u64> + '_ {
    let count = prompt.parts.len().saturating_sub(1);
    prompt.parts[..count].iter().map(|it| it.id)
}

/// The part by which requests are kept together that have it in common: the first one.
fn group(prompt: &Prompt) -> Option<u64> {
    shared(prompt).next()
}

/// Time to read a whole prompt.
fn reading(ticket: &Ticket) -> Span {
    prefill(ticket.prompt.as_ref().map_or(0, |it| u64::from(it.tokens)))
}
