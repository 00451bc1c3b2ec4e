//! Evidence about requests and prompt parts that crash upstreams, as one host knows it from its own attempts and from
//! other hosts.
//!
//! An upstream that crashes takes all its requests along, of which at most one is the cause. Content that crashes every
//! upstream does so at about the same point of the answer, so that an answer which has come twice as far clears its
//! content, and a whole answer always does. Content is quarantined after several crashes without such an answer in between
//! that no other content explains. Unless other requests were answered between these crashes, the upstreams themselves may
//! be the cause, and the content is tried again soon.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    rendezvous,
    serving::messages,
    suspicion::{Charge, CrashKey, Merge, Progress, Rules, Suspects},
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

/// Answers of a pool that are kept.
const MAX_ANSWERS: usize = 16;

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

/// Number of values of a progress.
const LEVELS: usize = Progress::WHOLE.index() + 1;

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
    /// When an answer last cleared it, and of charges up to which progress.
    cleared: Option<(Time, Progress)>,
    changed_at: Time,
}

/// An answer that went on.
#[derive(Debug)]
struct Answer {
    at: Time,
    /// Contents of its request.
    contents: Vec<Content>,
}

/// Evidence of one host.
#[derive(Debug)]
pub struct Evidence {
    host: u64,
    suspects: Suspects<Content>,
    /// Sorted by content. Contains all suspects.
    states: Vec<State>,
    /// When content was last answered far enough to clear charges of each progress. Sorted by content.
    answered: Vec<(Content, [Time; LEVELS])>,
    /// When the last answers of each pool went on and to what, oldest first. Sorted by the hash of the pool's name.
    pools: Vec<(u64, VecDeque<Answer>)>,
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
        let is_suspect = |it: &Content| self.is_suspect(now, *it);
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

    /// Records that an upstream of a pool crashed during an attempt. `progress` tells how far its answer had come, `None`
    /// if it had not begun.
    pub fn record_crash(
        &mut self,
        now: Time,
        pool: u64,
        (incarnation, progress): (u64, Option<Progress>),
        contents: &[Content],
    ) {
        // Quarantined content explains the crash.
        let is_quarantined = |it: &&Content| self.state(**it).is_some_and(|it| it.is_quarantined);
        let mut charged: Vec<_> = contents.iter().filter(is_quarantined).copied().collect();
        if charged.is_empty() {
            charged = contents.to_vec();
        }
        let charge = Charge { crash: CrashKey(incarnation), at: now, progress };
        charged.retain(|it| is_likely(*it, progress));
        for content in charged {
            self.charge(now, (pool, content), charge);
        }
    }

    /// Records an answer of a pool to a request. One for each attempt whose answer goes on.
    pub fn record_answer(&mut self, now: Time, pool: u64, contents: &[Content]) {
        let at = match self.pools.binary_search_by_key(&pool, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                self.pools.insert(at, (pool, VecDeque::new()));
                at
            }
        };
        let answers = &mut self.pools[at].1;
        if answers.len() >= MAX_ANSWERS {
            answers.pop_front();
        }
        answers.push_back(Answer { at: now, contents: contents.to_vec() });
        self.start_turns(pool, now);
    }

    /// Records that an answer went on, and so clears all content of its request of charges with at most the given progress.
    pub fn record_progress(&mut self, now: Time, contents: &[Content], passed: Progress) {
        for content in contents {
            self.clear(now, *content, now, passed);
        }
    }

    /// Records that the process of an upstream lived from one time to another: it answered a request that was sent at the
    /// later one. If its supposed crash lies in between, only its connections were cut. An earlier process may have crashed.
    pub fn record_alive(&mut self, now: Time, incarnation: u64, (since, until): (Time, Time)) {
        if !self.suspects.is_empty() {
            self.withdraw(now, CrashKey(incarnation), (since, until));
        }
    }

    /// Merges what another host knows. `sent_at` is a time at which it had not sent this yet.
    pub fn merge(&mut self, now: Time, sent_at: Time, news: &messages::Evidence) {
        for (incarnation, age_us) in &news.survivors {
            self.withdraw(now, CrashKey(*incarnation), (Time(0), sent_at - Span(*age_us)));
        }
        let cleared = |it: &messages::Suspicion| {
            let (age, number) = messages::unpack_age(it.cleared_age_us?);
            let progress = number.checked_sub(1).map_or(Progress::WHOLE, Progress::from_index);
            Some((sent_at - age, progress))
        };
        for suspicion in &news.suspicions {
            let content = suspicion.content;
            if let Some((at, progress)) = cleared(suspicion) {
                self.clear(now, content, at, progress);
            }
            for (incarnation, packed, began) in &suspicion.charges {
                let (age, number) = messages::unpack_age(*packed);
                let progress = began.then_some(Progress::from_index(number));
                let charge = Charge { crash: CrashKey(*incarnation), at: now - age, progress };
                self.charge(now, (suspicion.pool, content), charge);
            }
            // Answers that this host knows of may have cleared some of the charges.
            if suspicion.is_quarantined && self.is_enough(now, self.suspects.charges(content)) {
                self.quarantine(now, content, "as another host reports");
                if let Some(state) = self.state_mut(content) {
                    state.is_confirmed |= suspicion.is_confirmed;
                }
            }
        }
        // The charges of all contents are known by now.
        for suspicion in &news.suspicions {
            if let Some((at, _)) = cleared(suspicion) {
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
                .map(|charge| {
                    let level = charge.progress.unwrap_or(Progress::HEAD).index();
                    let age = messages::pack_age(now.since(charge.at), level);
                    (charge.crash.0, age, charge.progress.is_some())
                })
                .collect(),
            is_quarantined: it.is_quarantined,
            is_confirmed: it.is_confirmed,
            cleared_age_us: it.cleared.map(|(at, progress)| {
                let is_whole = progress == Progress::WHOLE;
                let number = if is_whole { 0 } else { progress.index() + 1 };
                messages::pack_age(now.since(at), number)
            }),
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
            let is_held = is_repeat && self.is_suspect(now, content);
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
        let progress = charge.progress.unwrap_or(Progress::HEAD);
        let cleared = self.state(content).and_then(|it| it.cleared);
        let is_cleared = self.answered_at(content, progress).is_some_and(|it| it >= charge.at)
            || cleared.is_some_and(|(at, passed)| at >= charge.at && progress <= passed)
            || survived.is_ok_and(|at| self.survivors[at].1 >= charge.at);
        if is_cleared || !self.suspects.charge(now, content, charge, merge(content)) {
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
    /// upstream crashes after it began an answer, mostly at once, so that a request whose answer had not begun is not the
    /// likely cause beside one that just had.
    fn has_evidence(&self, now: Time, content: Content) -> bool {
        let charges = self.suspects.charges(content);
        let explains = |(other, its): &(Content, &[Charge]), charge: &Charge| {
            let Some(its_charge) = its.iter().find(|it| it.crash == charge.crash) else {
                return false;
            };
            let is_quarantined = || self.state(*other).is_some_and(|it| it.is_quarantined);
            let just_began = its_charge.progress.is_some_and(|it| it <= Progress::FIRST);
            let began_alone = just_began && charge.progress.is_none();
            *other != content && (began_alone || its.len() > charges.len() || is_quarantined())
        };
        let is_explained = |it: &Charge| self.suspects.iter().any(|other| explains(&other, it));
        let is_settled = |it: &Charge| now.since(it.at) >= SETTLE_TIME;
        let rest: Vec<_> =
            charges.iter().filter(|it| is_settled(it) && !is_explained(it)).copied().collect();
        // Upstreams also lose answers and live on, so that a part needs more crashes if no answer had begun.
        let begun = rest.iter().filter(|it| it.progress.is_some()).count();
        let is_telling = matches!(content, Content::Request(_))
            || begun >= PROOF_BEGUN
            || rest.len() >= BURST_CRASHES;
        self.is_enough(now, &rest) && is_telling
    }

    /// Whether charges are enough for a quarantine.
    fn is_enough(&self, now: Time, charges: &[Charge]) -> bool {
        let separate = self.suspects.separate(now, charges);
        separate >= QUARANTINE_CRASHES || (separate > 1 && charges.len() >= BURST_CRASHES)
    }

    /// Whether content may be the cause of several crashes. Upstreams also lose answers and live on, so that a part is a
    /// suspect only if an answer had begun.
    fn is_suspect(&self, now: Time, content: Content) -> bool {
        let begun = || self.suspects.charges(content).iter().any(|it| it.progress.is_some());
        self.suspects.crashes(now, content) >= SUSPECT_CRASHES
            && (matches!(content, Content::Request(_)) || begun())
    }

    /// Whether the charges are more than bad luck or lost answers: upstreams had begun to answer requests with the content,
    /// or crashed many times. A whole request is on few upstreams, and may crash them before they answer.
    fn has_proof(&self, now: Time, content: Content) -> bool {
        let crashes = self.suspects.crashes(now, content);
        let is_enough = self.is_enough(now, self.suspects.charges(content));
        let began =
            self.suspects.charges(content).iter().filter(|it| it.progress.is_some()).count();
        let is_telling = matches!(content, Content::Request(_)) || began >= PROOF_BEGUN;
        crashes >= PROOF_CRASHES || (is_enough && is_telling)
    }

    /// Whether this host got answers to requests of the pool without the content between the first and the last charge.
    fn has_contrast(&self, pool: u64, content: Content) -> bool {
        let charges = self.suspects.charges(content);
        let (Some(first), Some(last)) = (charges.first(), charges.last()) else { return false };
        let Ok(found) = self.pools.binary_search_by_key(&pool, |it| it.0) else { return false };
        let is_between = |it: &&Answer| first.at < it.at && it.at < last.at;
        let between = self.pools[found].1.iter().filter(is_between);
        between.filter(|it| !it.contents.contains(&content)).count() >= CONTRAST_ANSWERS
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

    /// Records an answer to content at a time, which clears it of earlier crashes with at most the given progress.
    fn clear(&mut self, now: Time, content: Content, at: Time, passed: Progress) {
        // Whole requests are too many to keep.
        if matches!(content, Content::Part(_)) {
            if self.answered.len() >= MAX_ANSWERED {
                self.evict_answered(now);
            }
            let times = match self.answered.binary_search_by_key(&content, |it| it.0) {
                Ok(found) => &mut self.answered[found].1,
                Err(position) => {
                    self.answered.insert(position, (content, [Time(0); LEVELS]));
                    &mut self.answered[position].1
                }
            };
            times[..=passed.index()].iter_mut().for_each(|it| *it = at.max(*it));
        }
        if !self.suspects.clear(content, at, passed) {
            return;
        }
        let is_clear = self.suspects.charges(content).is_empty();
        let is_enough = self.is_enough(now, self.suspects.charges(content));
        let Some(state) = self.state_mut(content) else { return };
        let is_news = |it: (Time, Progress)| passed >= it.1 || now.since(it.0) >= NEWS_LIFETIME;
        if state.cleared.is_none_or(is_news) {
            state.cleared = Some((at, passed));
        }
        state.changed_at = now;
        state.is_confirmed &= !is_clear;
        if !is_enough && std::mem::take(&mut state.is_quarantined) {
            state.is_confirmed = false;
            log::info!("{content} was answered; requests with it are sent again");
        }
    }

    /// Withdraws all charges with the crash of an upstream whose process lived from one time to another.
    fn withdraw(&mut self, now: Time, crash: CrashKey, (since, until): (Time, Time)) {
        let affected = self.suspects.withdraw(crash, (since, until));
        if affected.is_empty() {
            return;
        }
        match self.survivors.binary_search_by_key(&crash, |it| it.0) {
            Ok(at) => self.survivors[at] = (crash, until, now),
            Err(at) => self.survivors.insert(at, (crash, until, now)),
        }
        for content in affected {
            let is_enough = self.is_enough(now, self.suspects.charges(content));
            if let Some(state) = self.state_mut(content)
                && !is_enough
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
        // Each answer that clears anything clears charges without an event.
        let last = |times: &[Time; LEVELS]| times[Progress::HEAD.index()];
        self.answered.retain(|it| now.since(last(&it.1)) < ANSWERED_LIFETIME);
        if self.answered.len() >= MAX_ANSWERED {
            let mut times: Vec<_> = self.answered.iter().map(|it| last(&it.1)).collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.answered.retain(|it| last(&it.1) > median);
        }
    }

    /// When content was last answered far enough to clear charges with the given progress.
    fn answered_at(&self, content: Content, progress: Progress) -> Option<Time> {
        let found = self.answered.binary_search_by_key(&content, |it| it.0).ok()?;
        Some(self.answered[found].1[progress.index()])
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
                    cleared: None,
                    changed_at: now,
                };
                self.states.insert(at, state);
                at
            }
        };
        &mut self.states[at]
    }
}

/// Whether content is a likely cause of a crash: a part as its answer begins, a whole request at any time. Sound parts of
/// streams that go on are on most upstreams that crash.
fn is_likely(content: Content, progress: Option<Progress>) -> bool {
    match content {
        Content::Part(_) => progress.is_none_or(|it| it <= Progress::FIRST),
        Content::Request(_) => true,
    }
}

/// Several requests with a part may run on an upstream that crashes, and the shortest answer says how far the part had come
/// for certain. Copies of one request are the cause at its furthest.
fn merge(content: Content) -> Merge {
    match content {
        Content::Part(_) => Ord::min,
        Content::Request(_) => Ord::max,
    }
}
