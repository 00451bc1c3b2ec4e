//! Choice of an upstream for a request, from what this host sent, heard and was told.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::{
    error::Kind,
    rate::Rate,
    rendezvous,
    serving::{
        dialect::{Load, Prompt},
        key::{AttemptKey, TicketKey, UpstreamKey},
        news,
        registry::{Entry, State},
    },
    time::{Span, Time},
    wire::Ending,
};

/// Prompt tokens that an engine reads in a millisecond before any measurement.
const FIRST_PREFILL_RATE: f64 = 40.0;

/// Time for which an engine is taken to keep a part of a prompt after its last use.
const PART_LIFETIME: Span = Span::from_ms(20_000);

/// Extra time to an upstream in another availability zone.
const ZONE_PENALTY: Span = Span::from_ms(3);

/// Time of one step of an engine that reads no prompt, in milliseconds.
const STEP_MS: f64 = 5.3;

/// Streams that share a step.
const TYPICAL_BATCH: f64 = 16.0;

/// Fewest engines that are divided between tight streams and others.
const MIN_SPLIT: usize = 3;

/// Delay that is put up with before a request goes to an engine that is kept for others.
const CROSSING_PENALTY: Span = Span::from_ms(150);

/// First time for which an upstream that failed gets no request.
const FIRST_EJECTION: Span = Span::from_ms(500);

/// Longest time for which an upstream that failed gets no request.
const MAX_EJECTION: Span = Span::from_ms(4_000);

/// A request that asks for an upstream.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// Number of the ticket.
    pub key: TicketKey,
    /// Pool that is to run the request.
    pub pool: Arc<str>,
    /// Priority, zero first.
    pub tier: u8,
    /// Name of the route.
    pub route: Arc<str>,
    /// Longest gap between events that is still on time, in milliseconds.
    pub gap_ms: Option<u64>,
    /// The prompt, if the request is for an engine.
    pub prompt: Option<Prompt>,
    /// When the first byte should be there.
    pub target: Time,
    /// When the answer is of no more use.
    pub deadline: Time,
    /// Upstreams on which earlier attempts of the request ended.
    pub avoid: Vec<UpstreamKey>,
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
}

/// Output of the core.
#[derive(Debug)]
pub enum Action {
    /// The ticket may be sent.
    Grant(TicketKey, Grant),
    /// The ticket is given up, with the delay after which a repeat may succeed.
    Refuse(TicketKey, Kind, Option<Span>),
}

/// Failures of an upstream and its way back.
#[derive(Debug, Default)]
struct Health {
    /// Failures since the last answer.
    strikes: u32,
    until: Time,
}

#[derive(Debug)]
struct Site {
    entry: Entry,
    /// Tokens of prompts that this host sent and that have no first event yet.
    pending: u64,
    /// Attempts of this host without an end.
    running: u32,
    load: Option<(Time, Load)>,
    /// Identity of the upstream's life for other hosts.
    tag: u64,
    /// What other hosts have sent there, and when they told.
    foreign: Foreign,
    health: Health,
    /// Parts of prompts that this host sent there, with the last use. Sorted by part.
    parts: Vec<(u64, Time)>,
}

/// Load from other hosts.
#[derive(Debug, Default, Clone, Copy)]
struct Foreign {
    pending: u64,
    running: u32,
    told: Time,
}

impl Foreign {
    /// Tokens that are still to be read, as the engine goes on meanwhile.
    fn pending(&self, now: Time) -> u64 {
        let read = now.since(self.told).0 as f64 / 1_000.0 * FIRST_PREFILL_RATE;
        self.pending.saturating_sub(read as u64)
    }
}

#[derive(Debug)]
struct Running {
    upstream: UpstreamKey,
    /// Tokens that count as pending.
    pending: u64,
    started: Time,
}

/// State of the choice.
#[derive(Debug)]
pub struct Placement {
    zone: Arc<str>,
    /// Sorted by key.
    sites: Vec<(UpstreamKey, Site)>,
    running: BTreeMap<AttemptKey, Running>,
    attempts: u64,
    upstreams: u32,
    /// Demand by pool, sorted by name.
    mixes: Vec<(Arc<str>, Mix)>,
}

impl Placement {
    /// A choice for the hosts of an availability zone.
    pub fn new(zone: Arc<str>) -> Placement {
        Placement {
            zone,
            sites: Vec::new(),
            running: BTreeMap::new(),
            attempts: 0,
            upstreams: 0,
            mixes: Vec::new(),
        }
    }

    /// Takes in the entries of all upstreams.
    pub fn list(&mut self, entries: &[Entry]) {
        let same =
            |a: &Entry, b: &Entry| a.id == b.id && a.born == b.born && a.address == b.address;
        self.sites.retain(|(_, site)| entries.iter().any(|it| same(it, &site.entry)));
        for entry in entries {
            match self.sites.iter_mut().find(|(_, site)| same(entry, &site.entry)) {
                Some((_, site)) => site.entry = entry.clone(),
                None => {
                    self.upstreams += 1;
                    self.sites.push((UpstreamKey(self.upstreams), Site::new(entry.clone())));
                }
            }
        }
    }

    /// Takes in a ticket.
    pub fn submit(&mut self, now: Time, ticket: &Ticket, actions: &mut Vec<Action>) {
        self.mix_mut(&ticket.pool).observe(now, ticket);
        let Some(upstream) = self.choose(now, ticket) else {
            actions.push(Action::Refuse(ticket.key, Kind::NoUpstream, Some(FIRST_EJECTION)));
            return;
        };
        self.attempts += 1;
        let attempt = AttemptKey(self.attempts);
        let Some(site) = self.site_mut(upstream) else { return };
        let pending = ticket.prompt.as_ref().map_or(0, |it| site.missing(now, it));
        site.pending += pending;
        site.running += 1;
        if let Some(prompt) = &ticket.prompt {
            site.remember(now, prompt);
        }
        let grant = Grant {
            attempt,
            upstream,
            instance: site.entry.id.clone(),
            address: site.entry.address,
        };
        self.running.insert(attempt, Running { upstream, pending, started: now });
        actions.push(Action::Grant(ticket.key, grant));
    }

    /// The first byte or event of an attempt came.
    pub fn answered(&mut self, attempt: AttemptKey) {
        let Some(running) = self.running.get_mut(&attempt) else { return };
        let (upstream, pending) = (running.upstream, std::mem::take(&mut running.pending));
        if let Some(site) = self.site_mut(upstream) {
            site.pending -= pending;
            site.health.strikes = 0;
        }
    }

    /// An attempt ended.
    pub fn ended(&mut self, now: Time, attempt: AttemptKey, ending: Ending) {
        let Some(running) = self.running.remove(&attempt) else { return };
        let Some(site) = self.site_mut(running.upstream) else { return };
        site.pending -= running.pending;
        site.running -= 1;
        match ending {
            Ending::Done => site.health.strikes = 0,
            Ending::Cancelled | Ending::Unused | Ending::Preempted => {}
            Ending::Refused | Ending::Failed | Ending::Invalid | Ending::TimedOut => {
                site.health.fail(now, running.started);
            }
        }
    }

    /// An upstream reported its load.
    pub fn report(&mut self, now: Time, upstream: UpstreamKey, load: Load) {
        if let Some(site) = self.site_mut(upstream) {
            site.load = Some((now, load));
        }
    }

    /// What this host has sent to each upstream and that has not ended.
    pub fn loads(&self, now: Time) -> Vec<news::Load> {
        let shunned = |site: &Site| site.health.until.since(now).as_ms();
        let busy = self.sites.iter().filter(|(_, it)| it.running > 0 || shunned(it) > 0);
        let loads = busy.map(|(_, site)| news::Load {
            upstream: site.tag,
            pending: site.pending.min(u64::from(u32::MAX)) as u32,
            running: site.running.min(u32::from(u16::MAX)) as u16,
            shunned_ms: shunned(site).min(u64::from(u16::MAX)) as u16,
        });
        loads.collect()
    }

    /// Takes in what all other hosts have sent.
    pub fn set_foreign(&mut self, now: Time, loads: &[news::Load]) {
        for (_, site) in &mut self.sites {
            let load = loads.iter().find(|it| it.upstream == site.tag);
            site.foreign = load.map_or(Foreign::default(), |it| Foreign {
                pending: u64::from(it.pending),
                running: u32::from(it.running),
                told: now,
            });
        }
    }

    fn choose(&self, now: Time, ticket: &Ticket) -> Option<UpstreamKey> {
        let serving = self.sites.iter().filter(|(key, site)| {
            site.entry.pool == ticket.pool
                && site.entry.state == State::Ready
                && !ticket.avoid.contains(key)
        });
        let healthy = |site: &Site| site.health.until <= now;
        let any_healthy = serving.clone().any(|(_, site)| healthy(site));
        let candidates = serving.filter(|(_, site)| healthy(site) || !any_healthy);
        let affinity = ticket.prompt.as_ref().and_then(affinity);
        let scored = candidates.map(|(key, site)| {
            let rank = match affinity {
                Some(part) => rendezvous::hash(&[&part.to_be_bytes(), site.entry.id.as_bytes()]),
                None => rendezvous::hash(&[
                    &ticket.key.0.to_be_bytes(),
                    site.entry.id.as_bytes(),
                    self.zone.as_bytes(),
                ]),
            };
            (*key, self.expected(now, ticket, site), std::cmp::Reverse(rank))
        });
        let mut scored: Vec<_> = scored.collect();
        let quiet = self.quiet(now, &ticket.pool);
        if let (Some(prompt), false) = (&ticket.prompt, quiet.is_empty()) {
            let tight = self.mix(&ticket.pool).is_some_and(|it| it.is_tight(now, &ticket.route));
            for (key, expected, _) in &mut scored {
                if quiet.contains(key) != tight {
                    let stall = if tight { Span(0) } else { prefill(u64::from(prompt.tokens)) };
                    expected.0 += CROSSING_PENALTY.0 + stall.0 * 2;
                }
            }
        }
        // The holder of a session by rendezvous is taken to keep its parts also if another host sent them there.
        if let (Some(prompt), Some(_)) = (&ticket.prompt, affinity)
            && let Some(first) = scored.iter_mut().min_by_key(|it| it.2)
        {
            let known = self.site(first.0).map_or(0, |it| it.missing(now, prompt));
            let own = prompt.parts.last().map_or(prompt.tokens, |it| it.tokens);
            let saved = known.saturating_sub(u64::from(own));
            first.1 = Span(first.1.0.saturating_sub(prefill(saved).0));
        }
        scored.into_iter().min_by_key(|it| (it.1, it.2)).map(|it| it.0)
    }

    /// Expected time to the first byte.
    fn expected(&self, now: Time, ticket: &Ticket, site: &Site) -> Span {
        let mut expected = if site.entry.zone == self.zone { Span(0) } else { ZONE_PENALTY };
        if let Some(prompt) = &ticket.prompt {
            let tokens = site.pending + site.foreign.pending(now) + site.missing(now, prompt);
            expected.0 += prefill(tokens).0;
            expected.0 += u64::from(site.running + site.foreign.running) * 500;
        } else {
            // Beyond its slots requests wait for each other.
            let running = site.running + site.foreign.running;
            expected.0 += u64::from(running) * 1_000;
            let over = (running + 1).saturating_sub(site.entry.slots);
            expected.0 += u64::from(over) * 20_000;
        }
        expected
    }

    /// Upstreams that are kept for streams with tight gaps. All hosts choose alike from the same list.
    fn quiet(&self, now: Time, pool: &str) -> Vec<UpstreamKey> {
        let share = self.mix(pool).map_or(0.0, |it| it.tight_share(now));
        let serving = self
            .sites
            .iter()
            .filter(|(_, site)| *site.entry.pool == *pool && site.entry.state == State::Ready);
        let mut ranked: Vec<_> = serving
            .map(|(key, site)| (rendezvous::hash(&[b"quiet", site.entry.id.as_bytes()]), *key))
            .collect();
        if share == 0.0 || ranked.len() < MIN_SPLIT {
            return Vec::new();
        }
        ranked.sort_unstable();
        let count = (share * ranked.len() as f64).round() as usize;
        ranked.truncate(count.clamp(1, ranked.len() - 1));
        ranked.into_iter().map(|it| it.1).collect()
    }

    fn mix(&self, pool: &str) -> Option<&Mix> {
        let found = self.mixes.binary_search_by(|it| (*it.0).cmp(pool)).ok()?;
        Some(&self.mixes[found].1)
    }

    fn mix_mut(&mut self, pool: &Arc<str>) -> &mut Mix {
        let at = match self.mixes.binary_search_by(|it| it.0.cmp(pool)) {
            Ok(found) => found,
            Err(at) => {
                self.mixes.insert(at, (pool.clone(), Mix::default()));
                at
            }
        };
        &mut self.mixes[at].1
    }

    fn site(&self, key: UpstreamKey) -> Option<&Site> {
        let found = self.sites.binary_search_by_key(&key, |it| it.0).ok()?;
        Some(&self.sites[found].1)
    }

    fn site_mut(&mut self, key: UpstreamKey) -> Option<&mut Site> {
        let found = self.sites.binary_search_by_key(&key, |it| it.0).ok()?;
        Some(&mut self.sites[found].1)
    }
}

/// Demand of the routes that share the engines of a pool.
#[derive(Debug, Default)]
struct Mix {
    /// Sorted by route.
    routes: Vec<(Arc<str>, Demand)>,
}

#[derive(Debug, Default)]
struct Demand {
    gap_ms: Option<u64>,
    /// Time of engines that requests take, in milliseconds per second.
    time: Rate,
    /// Time of engines that their prompts take.
    prefill: Rate,
}

impl Mix {
    fn observe(&mut self, now: Time, ticket: &Ticket) {
        let Some(prompt) = &ticket.prompt else { return };
        let at = match self.routes.binary_search_by(|it| it.0.cmp(&ticket.route)) {
            Ok(found) => found,
            Err(at) => {
                self.routes.insert(at, (ticket.route.clone(), Demand::default()));
                at
            }
        };
        let own = prompt.parts.last().map_or(prompt.tokens, |it| it.tokens);
        let read = f64::from(own) / FIRST_PREFILL_RATE;
        let output = prompt.expected_output.unwrap_or(prompt.max_output / 2);
        let written = f64::from(output) * STEP_MS / TYPICAL_BATCH;
        let demand = &mut self.routes[at].1;
        demand.gap_ms = ticket.gap_ms;
        demand.time.add(now, read + written);
        demand.prefill.add(now, read);
    }

    /// Whether the streams of a route have the tightest gaps, and others read much longer prompts.
    fn is_tight(&self, now: Time, route: &str) -> bool {
        let Ok(found) = self.routes.binary_search_by(|it| (*it.0).cmp(route)) else { return false };
        let Some(gap) = self.routes[found].1.gap_ms else { return false };
        let tightest = self.routes.iter().filter_map(|it| it.1.gap_ms).min();
        let rest = self.routes.iter().filter(|it| it.1.gap_ms != Some(gap));
        let own = self.routes[found].1.prefill.get(now);
        let others: f64 = rest.map(|it| it.1.prefill.get(now)).sum();
        tightest == Some(gap) && others > own
    }

    /// Share of the engines' time that tight streams take.
    fn tight_share(&self, now: Time) -> f64 {
        let total: f64 = self.routes.iter().map(|it| it.1.time.get(now)).sum();
        let tight = self.routes.iter().filter(|it| self.is_tight(now, &it.0));
        let tight: f64 = tight.map(|it| it.1.time.get(now)).sum();
        if total > 0.0 { tight / total } else { 0.0 }
    }
}

/// The part by which requests of one session are kept together: the last one that others share.
fn affinity(prompt: &Prompt) -> Option<u64> {
    let shared = prompt.parts.len().checked_sub(2)?;
    Some(prompt.parts[shared].id)
}

fn prefill(tokens: u64) -> Span {
    Span((tokens as f64 / FIRST_PREFILL_RATE * 1_000.0) as u64)
}

impl Health {
    /// Counts a failure of an attempt. Attempts from before the last ejection tell nothing new.
    fn fail(&mut self, now: Time, started: Time) {
        if started < self.until {
            return;
        }
        let period = Span((FIRST_EJECTION.0 << self.strikes.min(8)).min(MAX_EJECTION.0));
        self.strikes += 1;
        self.until = now + period;
    }
}

impl Site {
    fn new(entry: Entry) -> Site {
        Site {
            pending: 0,
            running: 0,
            load: None,
            tag: rendezvous::hash(&[entry.id.as_bytes(), &entry.born.to_be_bytes()]),
            foreign: Foreign::default(),
            health: Health::default(),
            parts: Vec::new(),
            entry,
        }
    }

    /// Tokens of a prompt that the engine has to read.
    fn missing(&self, now: Time, prompt: &Prompt) -> u64 {
        let kept = prompt.parts.iter().take_while(|part| {
            let found = self.parts.binary_search_by_key(&part.id, |it| it.0);
            found.is_ok_and(|at| now.since(self.parts[at].1) < PART_LIFETIME)
        });
        let kept: u64 = kept.map(|it| u64::from(it.tokens)).sum();
        u64::from(prompt.tokens).saturating_sub(kept)
    }

    fn remember(&mut self, now: Time, prompt: &Prompt) {
        let shared = prompt.parts.len().saturating_sub(1);
        for part in &prompt.parts[..shared] {
            match self.parts.binary_search_by_key(&part.id, |it| it.0) {
                Ok(at) => self.parts[at].1 = now,
                Err(at) => self.parts.insert(at, (part.id, now)),
            }
        }
        if self.parts.len() > 1_024 {
            self.parts.retain(|it| now.since(it.1) < PART_LIFETIME);
        }
    }
}
