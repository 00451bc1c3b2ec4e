//! Evidence about requests and prompt parts that crash upstreams, as one host knows it from its own attempts and from
//! other hosts.
//!
//! An upstream that crashes takes all its requests along, of which at most one is the cause. Content that crashes every
//! upstream never gets past the begin of an answer, so that each answer clears all content of its request. Content is
//! quarantined after several crashes without an answer in between that no other content explains. Unless other requests
//! were answered between these crashes, the upstreams themselves may be the cause, and the content is tried again soon.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    rendezvous,
    serving::messages,
    suspicion::{Charge, CrashKey, Rules, Suspects},
    time::{Span, Time},
};

/// Separate crashes without an answer in between after which content is quarantined.
const QUARANTINE_CRASHES: usize = 3;

/// Separate crashes that confirm a quarantine whether or not answers had begun.
const PROOF_CRASHES: usize = 6;

/// Crashes of upstreams that had begun to answer a request with the content, without which fewer separate ones do not
/// confirm a quarantine.
const PROOF_BEGUN: usize = 2;

/// Crashes, whether separate or not, after which two separate ones are enough.
const BURST_CRASHES: usize = 5;

/// Separate crashes from which content is sent again only by new requests, and away from other requests.
const SUSPECT_CRASHES: usize = 2;

/// Answers to other requests of the pool between the first and the last crash that confirm a quarantine. If nothing is
/// answered, the upstreams may be the cause.
const CONTRAST_ANSWERS: usize = 5;

/// Answers of a pool whose times are kept.
const MAX_ANSWER_TIMES: usize = 16;

/// Time after the last crash at which content is tried again whose quarantine is not confirmed.
const UNCONFIRMED_TRIAL_DELAY: Span = Span::from_ms(1_000);

/// Crashes within this time may have a common cause, such as a power failure.
const MIN_CRASH_INTERVAL: Span = Span::from_ms(200);

/// Time for which a charge counts and content is quarantined.
const CHARGE_LIFETIME: Span = Span::from_ms(600_000);

/// Time after the last crash at which quarantined content is tried again. Doubles with each further crash.
const TRIAL_DELAY: Span = Span::from_ms(30_000);

/// Maximum number of doublings of `TRIAL_DELAY`.
const MAX_DOUBLINGS: usize = 4;

/// Turns of hosts at trying quarantined content again.
const TRIAL_TURNS: u64 = 1_000;

/// Time over which these turns are spread, as a multiple of the delay before a trial.
const TRIAL_SPREAD: u64 = 4;

/// The same for content whose quarantine is not confirmed, as the delay is short beside the time that news takes.
const UNCONFIRMED_TRIAL_SPREAD: u64 = 8;

/// Age from which a charge counts. By then other hosts have reported answers to the content, and requests that are more
/// likely the cause of the crash.
const SETTLE_TIME: Span = Span::from_ms(400);

/// Most suspects that are kept.
const MAX_SUSPECTS: usize = 1_024;

/// Most contents whose last answer is kept.
const MAX_ANSWERED: usize = 2_048;

/// Time for which the last answer to content, and of a charged upstream, is kept. News of a crash arrives sooner.
const ANSWERED_LIFETIME: Span = Span::from_ms(20_000);

/// Time for which a change is sent to other hosts.
const NEWS_LIFETIME: Span = Span::from_ms(1_500);

/// Most suspicions in a message.
const MAX_NEWS: usize = 128;

/// Something in a request that may crash upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Content {
    /// A part of a prompt that other requests may share.
    Part(u64),
    /// The hash of a whole request.
    Request(u64),
}

impl std::fmt::Display for Content {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Content::Part(id) => write!(f, "part {id:x}"),
            Content::Request(hash) => write!(f, "request with hash {hash:016x}"),
        }
    }
}

/// Decision about a request by its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent anywhere.
    Clear,
    /// It may be sent, best away from other requests.
    Suspect,
    /// It must not be sent.
    Quarantined(Reason),
}

/// Why a request is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reason {
    /// Content that crashes upstreams.
    pub content: Content,
    /// Separate crashes without an answer in between.
    pub crashes: usize,
    /// Time since the last crash.
    pub age: Span,
    /// Time after which the content is tried again.
    pub retry_after: Span,
}

/// State of content that is charged or was recently cleared.
#[derive(Debug)]
struct State {
    content: Content,
    /// Hash of the pool's name.
    pool: u64,
    is_quarantined: bool,
    /// Whether other requests were answered between the first and the last crash.
    is_confirmed: bool,
    /// When this host last sent the content to try it again.
    tried_at: Option<Time>,
    /// Time of the first answer to another request of the pool after the last crash, at this host or as other hosts
    /// report it.
    answered_since: Option<Time>,
    /// When an answer last cleared it.
    cleared_at: Option<Time>,
    changed_at: Time,
}

/// Evidence of one host.
#[derive(Debug)]
pub struct Evidence {
    host: u64,
    suspects: Suspects<Content>,
    /// Sorted by content. Contains all suspects.
    states: Vec<State>,
    /// When content was last answered at this host. Sorted by content.
    answered: Vec<(Content, Time)>,
    /// When the last answers of each pool arrived, oldest first. Sorted by the hash of the pool's name.
    pools: Vec<(u64, VecDeque<Time>)>,
    /// Upstreams that answered a request which was sent after they were thought to have crashed: when that request was
    /// sent, and when this host learnt of it. Sorted by the upstream's incarnation.
    survivors: Vec<(CrashKey, Time, Time)>,
}

impl Evidence {
    /// Creates the evidence of a host, given by a hash of its id, without any.
    pub fn new(host: u64) -> Evidence {
        let rules = Rules {
            min_interval: MIN_CRASH_INTERVAL,
            lifetime: CHARGE_LIFETIME,
            max_suspects: MAX_SUSPECTS,
        };
        Evidence {
            host,
            suspects: Suspects::new(rules),
            states: Vec::new(),
            answered: Vec::new(),
            pools: Vec::new(),
            survivors: Vec::new(),
        }
    }

    /// Decides about a request. `is_repeat` tells whether it was sent before.
    ///
    /// Quarantined content is tried again from time to time, with one request.
    pub fn judge(&self, now: Time, contents: &[Content], is_repeat: bool) -> Verdict {
        if self.suspects.is_empty() {
            return Verdict::Clear;
        }
        let is_unconfirmed = |it: &&Content| {
            self.state(**it).is_some_and(|it| it.is_quarantined && !it.is_confirmed)
        };
        let unconfirmed = contents.iter().filter(is_unconfirmed).count();
        let reasons =
            contents.iter().filter_map(|it| self.reason(now, *it, (is_repeat, unconfirmed)));
        if let Some(reason) = reasons.max_by_key(|it| (it.crashes, it.retry_after)) {
            return Verdict::Quarantined(reason);
        }
        let is_suspect = |it: &Content| self.suspects.crashes(now, *it) >= SUSPECT_CRASHES;
        if contents.iter().any(is_suspect) { Verdict::Suspect } else { Verdict::Clear }
    }

    /// Records that a request is sent. If it has quarantined content, it is a trial, and this host's turn is over.
    pub fn record_send(&mut self, now: Time, contents: &[Content]) {
        if self.suspects.is_empty() {
            return;
        }
        for content in contents {
            if let Some(state) = self.state_mut(*content)
                && state.is_quarantined
            {
                log::info!("{content} crashed upstreams and is tried again");
                state.tried_at = Some(now);
            }
        }
    }

    /// Records that an upstream of a pool crashed before its answer to an attempt went on. `began` tells whether the
    /// answer had begun.
    pub fn record_crash(
        &mut self,
        now: Time,
        pool: u64,
        (incarnation, began): (u64, bool),
        contents: &[Content],
    ) {
        // Quarantined content explains the crash.
        let is_quarantined = |it: &&Content| self.state(**it).is_some_and(|it| it.is_quarantined);
        let mut charged: Vec<_> = contents.iter().filter(is_quarantined).copied().collect();
        if charged.is_empty() {
            charged = contents.to_vec();
        }
        let charge = Charge { crash: CrashKey(incarnation), at: now, began };
        for content in charged {
            self.charge(now, (pool, content), charge);
        }
    }

    /// Records an answer that went on after its begin, and so clears all content of its request.
    pub fn record_answer(&mut self, now: Time, pool: u64, contents: &[Content]) {
        let at = match self.pools.binary_search_by_key(&pool, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                self.pools.insert(at, (pool, VecDeque::new()));
                at
            }
        };
        let times = &mut self.pools[at].1;
        if times.len() >= MAX_ANSWER_TIMES {
            times.pop_front();
        }
        times.push_back(now);
        for content in contents {
            self.clear(now, *content, now);
        }
        self.start_turns(pool, now);
    }

    /// Records that an upstream answered an attempt, which was sent at `sent_at`. If that was after its supposed crash,
    /// only its connections were cut.
    pub fn record_alive(&mut self, now: Time, incarnation: u64, sent_at: Time) {
        if !self.suspects.is_empty() {
            self.withdraw(now, CrashKey(incarnation), sent_at);
        }
    }

    /// Merges what another host knows. `sent_at` is a time at which it had not sent this yet.
    pub fn merge(&mut self, now: Time, sent_at: Time, news: &messages::Evidence) {
        for (incarnation, age_us) in &news.survivors {
            self.withdraw(now, CrashKey(*incarnation), sent_at - Span(*age_us));
        }
        let cleared_at = |it: &messages::Suspicion| Some(sent_at - Span(it.cleared_age_us?));
        for suspicion in &news.suspicions {
            let content = suspicion.content;
            if let Some(at) = cleared_at(suspicion) {
                self.clear(now, content, at);
            }
            for (incarnation, age_us, began) in &suspicion.charges {
                let at = now - Span(*age_us);
                let charge = Charge { crash: CrashKey(*incarnation), at, began: *began };
                self.charge(now, (suspicion.pool, content), charge);
            }
            if suspicion.is_quarantined && !self.suspects.charges(content).is_empty() {
                self.quarantine(now, content, "as another host reports");
                if let Some(state) = self.state_mut(content) {
                    state.is_confirmed |= suspicion.is_confirmed;
                }
            }
        }
        // The charges of all contents are known by now.
        for suspicion in &news.suspicions {
            if let Some(at) = cleared_at(suspicion) {
                self.start_turns(suspicion.pool, at);
            }
        }
    }

    /// Draws conclusions from what is known. Called at short intervals.
    pub fn review(&mut self, now: Time) {
        if !self.states.is_empty() {
            self.remove_expired(now);
            self.check_quarantine(now);
        }
    }

    /// Returns what other hosts may not know yet, and all quarantined content.
    pub fn news(&self, now: Time) -> messages::Evidence {
        let is_news = |it: &&State| it.is_quarantined || now.since(it.changed_at) < NEWS_LIFETIME;
        let mut states: Vec<_> = self.states.iter().filter(is_news).collect();
        states.sort_by_key(|it| {
            let count = self.suspects.charges(it.content).len();
            std::cmp::Reverse((it.is_quarantined, count, it.changed_at))
        });
        states.truncate(MAX_NEWS);
        let suspicion = |it: &State| messages::Suspicion {
            content: it.content,
            pool: it.pool,
            charges: self
                .suspects
                .charges(it.content)
                .iter()
                .map(|charge| (charge.crash.0, now.since(charge.at).0, charge.began))
                .collect(),
            is_quarantined: it.is_quarantined,
            is_confirmed: it.is_confirmed,
            cleared_age_us: it.cleared_at.map(|at| now.since(at).0),
        };
        let survivors = self.survivors.iter().filter(|it| now.since(it.2) < NEWS_LIFETIME);
        messages::Evidence {
            suspicions: states.into_iter().map(suspicion).collect(),
            survivors: survivors.map(|it| (it.0.0, now.since(it.1).0)).take(MAX_NEWS).collect(),
        }
    }

    /// Returns why content must not be sent now, if so. `unconfirmed` is the number of contents of the request whose
    /// quarantine is not confirmed.
    fn reason(
        &self,
        now: Time,
        content: Content,
        (is_repeat, unconfirmed): (bool, usize),
    ) -> Option<Reason> {
        let last = self.suspects.charges(content).last()?.at;
        let state = self.state(content)?;
        let crashes = self.suspects.crashes(now, content);
        if !state.is_quarantined {
            let retry_after = MIN_CRASH_INTERVAL;
            let is_held = is_repeat && crashes >= SUSPECT_CRASHES;
            return is_held.then_some(Reason {
                content,
                crashes,
                age: now.since(last),
                retry_after,
            });
        }
        let doublings = crashes.saturating_sub(QUARANTINE_CRASHES).min(MAX_DOUBLINGS);
        // Of several contents that may be the cause, a request with few of them is tried first.
        let (delay, spread) = match state.is_confirmed {
            true => (TRIAL_DELAY.0 << doublings, TRIAL_SPREAD),
            false => (UNCONFIRMED_TRIAL_DELAY.0 * unconfirmed as u64, UNCONFIRMED_TRIAL_SPREAD),
        };
        let delay = Span(delay);
        // After a time without any answer, turns begin with the first one.
        let since = state.tried_at.max(state.answered_since).map_or(last, |it| it.max(last));
        // Hosts have turns, so that one of them tries and the others hear of the result. A host's turn is the same for all
        // content, as a request is sent only if it is the turn of all its content.
        let turn = match state.tried_at {
            Some(tried_at) if tried_at > last => TRIAL_TURNS,
            _ => rendezvous::hash(&[b"trial", &self.host.to_be_bytes()]) % TRIAL_TURNS,
        };
        let own_turn = since + delay + Span(delay.0 * spread * turn / TRIAL_TURNS);
        let is_trial = now >= own_turn && !is_repeat;
        let retry_after = Span(delay.0.saturating_sub(now.since(since).0)).max(MIN_CRASH_INTERVAL);
        (!is_trial).then_some(Reason { content, crashes, age: now.since(last), retry_after })
    }

    /// Starts the turns at trying quarantined content of a pool with an answer of the pool, unless an earlier one did.
    fn start_turns(&mut self, pool: u64, answered_at: Time) {
        let suspects = &self.suspects;
        let states = self.states.iter_mut().filter(|it| it.pool == pool && it.is_quarantined);
        for state in states {
            let charges = suspects.charges(state.content);
            if charges.last().is_some_and(|it| it.at < answered_at) {
                state.answered_since.get_or_insert(answered_at);
            }
        }
    }

    /// Charges content with a crash. Returns false if that is not new, or an answer speaks against it.
    fn charge(&mut self, now: Time, (pool, content): (u64, Content), charge: Charge) -> bool {
        let survived = self.survivors.binary_search_by_key(&charge.crash, |it| it.0);
        let is_cleared = self.answered_at(content).is_some_and(|it| it >= charge.at)
            || survived.is_ok_and(|at| self.survivors[at].1 >= charge.at);
        if is_cleared || !self.suspects.charge(now, content, charge) {
            return false;
        }
        let is_proven = self.has_proof(now, content) && self.has_contrast(pool, content);
        let state = self.state_or_insert(now, (pool, content));
        state.changed_at = now;
        state.is_confirmed |= is_proven;
        state.answered_since = state.answered_since.filter(|it| *it > charge.at);
        // Entries whose suspects were evicted.
        if self.states.len() > 2 * MAX_SUSPECTS {
            let suspects = &self.suspects;
            self.states.retain(|it| !suspects.charges(it.content).is_empty());
        }
        true
    }

    /// Quarantines all content for which there is enough evidence.
    fn check_quarantine(&mut self, now: Time) {
        let is_new = |it: &Content| self.state(*it).is_some_and(|it| !it.is_quarantined);
        let suspects = self.suspects.iter().filter(|it| it.1.len() >= QUARANTINE_CRASHES);
        // All are judged before any is quarantined, as content that always comes together has the same charges.
        let guilty: Vec<_> = suspects
            .map(|it| it.0)
            .filter(is_new)
            .filter(|it| self.has_evidence(now, *it))
            .collect();
        for content in guilty {
            self.quarantine(now, content, "without an answer in between");
        }
    }

    /// Whether content is charged with enough crashes that no other content explains.
    ///
    /// The cause of crashes is charged with all of them, and so with more than content that was only sometimes there. An
    /// upstream crashes as it begins an answer, so that a request whose answer had not begun is not the likely cause.
    fn has_evidence(&self, now: Time, content: Content) -> bool {
        let charges = self.suspects.charges(content);
        let explains = |(other, its): &(Content, &[Charge]), charge: &Charge| {
            let Some(its_charge) = its.iter().find(|it| it.crash == charge.crash) else {
                return false;
            };
            let is_quarantined = || self.state(*other).is_some_and(|it| it.is_quarantined);
            let began_alone = its_charge.began && !charge.began;
            *other != content && (began_alone || its.len() > charges.len() || is_quarantined())
        };
        let is_explained = |it: &Charge| self.suspects.iter().any(|other| explains(&other, it));
        let is_settled = |it: &Charge| now.since(it.at) >= SETTLE_TIME;
        let rest: Vec<_> =
            charges.iter().filter(|it| is_settled(it) && !is_explained(it)).copied().collect();
        let separate = self.suspects.separate(now, &rest);
        separate >= QUARANTINE_CRASHES || (separate > 1 && rest.len() >= BURST_CRASHES)
    }

    /// Whether the charges are more than bad luck: upstreams had begun to answer requests with the content, or crashed
    /// many times.
    fn has_proof(&self, now: Time, content: Content) -> bool {
        let crashes = self.suspects.crashes(now, content);
        let began = self.suspects.charges(content).iter().filter(|it| it.began).count();
        crashes >= PROOF_CRASHES || (crashes >= QUARANTINE_CRASHES && began >= PROOF_BEGUN)
    }

    /// Whether this host got answers to other requests of the pool between the first and the last charge. Answers to the
    /// content itself would have cleared it.
    fn has_contrast(&self, pool: u64, content: Content) -> bool {
        let charges = self.suspects.charges(content);
        let (Some(first), Some(last)) = (charges.first(), charges.last()) else { return false };
        let Ok(found) = self.pools.binary_search_by_key(&pool, |it| it.0) else { return false };
        let between = self.pools[found].1.iter().filter(|it| first.at < **it && **it < last.at);
        between.count() >= CONTRAST_ANSWERS
    }

    fn quarantine(&mut self, now: Time, content: Content, source: &str) {
        let charges = self.suspects.charges(content);
        let crashes = charges.len();
        let ages = charges.first().zip(charges.last());
        let ages =
            ages.map(|(first, last)| (now.since(first.at).as_ms(), now.since(last.at).as_ms()));
        let Some(state) = self.state_mut(content) else { return };
        if std::mem::replace(&mut state.is_quarantined, true) {
            return;
        }
        state.changed_at = now;
        let (first, last) = ages.unwrap_or_default();
        log::warn!(
            "{content} crashed {crashes} upstreams, the first {first} ms and the last {last} ms ago, {source}; requests \
             with it are refused"
        );
    }

    /// Records an answer to content at a time, which clears it of earlier crashes.
    fn clear(&mut self, now: Time, content: Content, at: Time) {
        // Whole requests are too many to keep.
        if matches!(content, Content::Part(_)) {
            if self.answered.len() >= MAX_ANSWERED {
                self.evict_answered(now);
            }
            match self.answered.binary_search_by_key(&content, |it| it.0) {
                Ok(found) => self.answered[found].1 = self.answered[found].1.max(at),
                Err(position) => self.answered.insert(position, (content, at)),
            }
        }
        if !self.suspects.clear(content, at) {
            return;
        }
        let is_clear = self.suspects.charges(content).is_empty();
        let Some(state) = self.state_mut(content) else { return };
        state.cleared_at = state.cleared_at.max(Some(at));
        state.changed_at = now;
        state.is_confirmed &= !is_clear;
        if is_clear && std::mem::take(&mut state.is_quarantined) {
            log::info!("{content} was answered; requests with it are sent again");
        }
    }

    /// Withdraws all charges with the crash of an upstream that answered a request sent at `sent_at`.
    fn withdraw(&mut self, now: Time, crash: CrashKey, sent_at: Time) {
        let affected = self.suspects.withdraw(crash, sent_at);
        if affected.is_empty() {
            return;
        }
        match self.survivors.binary_search_by_key(&crash, |it| it.0) {
            Ok(at) => self.survivors[at] = (crash, sent_at, now),
            Err(at) => self.survivors.insert(at, (crash, sent_at, now)),
        }
        for content in affected {
            let crashes = self.suspects.crashes(now, content);
            if let Some(state) = self.state_mut(content)
                && crashes < QUARANTINE_CRASHES
                && std::mem::take(&mut state.is_quarantined)
            {
                state.changed_at = now;
                log::info!(
                    "an upstream that {content} was charged with crashing is alive; requests with it are sent again"
                );
            }
        }
    }

    fn remove_expired(&mut self, now: Time) {
        self.suspects.remove_expired(now);
        let suspects = &self.suspects;
        self.states.retain(|it| {
            !suspects.charges(it.content).is_empty() || now.since(it.changed_at) < NEWS_LIFETIME
        });
        self.survivors.retain(|it| now.since(it.2) < ANSWERED_LIFETIME);
    }

    /// Drops old answers; all but the newest half if that is not enough.
    fn evict_answered(&mut self, now: Time) {
        self.answered.retain(|it| now.since(it.1) < ANSWERED_LIFETIME);
        if self.answered.len() >= MAX_ANSWERED {
            let mut times: Vec<_> = self.answered.iter().map(|it| it.1).collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.answered.retain(|it| it.1 > median);
        }
    }

    fn answered_at(&self, content: Content) -> Option<Time> {
        let found = self.answered.binary_search_by_key(&content, |it| it.0).ok()?;
        Some(self.answered[found].1)
    }

    fn state(&self, content: Content) -> Option<&State> {
        let found = self.states.binary_search_by_key(&content, |it| it.content).ok()?;
        Some(&self.states[found])
    }

    fn state_mut(&mut self, content: Content) -> Option<&mut State> {
        let found = self.states.binary_search_by_key(&content, |it| it.content).ok()?;
        Some(&mut self.states[found])
    }

    fn state_or_insert(&mut self, now: Time, (pool, content): (u64, Content)) -> &mut State {
        let at = match self.states.binary_search_by_key(&content, |it| it.content) {
            Ok(found) => found,
            Err(at) => {
                let state = State {
                    content,
                    pool,
                    is_quarantined: false,
                    is_confirmed: false,
                    tried_at: None,
                    answered_since: None,
                    cleared_at: None,
                    changed_at: now,
                };
                self.states.insert(at, state);
                at
            }
        };
        &mut self.states[at]
    }
}
