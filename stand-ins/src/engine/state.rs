//! The state of an engine.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use almondrack::platform::Fenced;
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::{Notify, watch};

use super::{
    Faults, Options,
    batch::{Batch, End, Left, Pace, Progress, Work},
    cache::Cache,
    stream::Stream,
    text::{Ask, Form},
};
use crate::{
    clock::wall_ms,
    owner::Owner,
    patch,
    server::{self, Body},
};

/// Part of the prefill that a cached prefix leaves.
const CACHED_PREFILL: u64 = 10;

/// What an engine is ordered to do.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Order {
    Load { model: String },
    Unload { model: String },
    Role { role: String },
}

/// One request or order.
#[derive(Debug, Clone, Serialize)]
struct Entry {
    id: Arc<str>,
    marker: String,
    head: String,
    body: String,
    received_ms: u64,
    started_ms: Option<u64>,
    ended_ms: Option<u64>,
    tokens: u32,
    end: &'static str,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Load {
    running: usize,
    waiting: usize,
    slots: usize,
    kv_used: u64,
    kv_total: u64,
    age_ms: u64,
}

#[derive(Debug)]
struct Kept {
    stream: Stream,
    /// Readers of the stream at the moment.
    readers: u32,
    ended: Option<Instant>,
}

/// Why a request is not run.
#[derive(Debug)]
pub(super) enum Refusal {
    Invalid(String),
    UnknownModel,
    Loading,
    Duplicate,
}

impl Refusal {
    pub(super) fn answer(self) -> Response<Body> {
        let (status, message) = match self {
            Refusal::Invalid(why) => (StatusCode::BAD_REQUEST, why),
            Refusal::UnknownModel => (StatusCode::NOT_FOUND, "unknown model".to_owned()),
            Refusal::Loading => (StatusCode::SERVICE_UNAVAILABLE, "model is loading".to_owned()),
            Refusal::Duplicate => (StatusCode::CONFLICT, "request id is in use".to_owned()),
        };
        server::json(status, &json!({ "error": { "message": message } }))
    }
}

/// Everything an engine knows.
#[derive(Debug)]
pub(super) struct Engine {
    options: Options,
    batch: Batch,
    cache: Cache,
    history: Vec<Entry>,
    /// Streams that can be read, by their place in the history.
    streams: BTreeMap<usize, Kept>,
    /// Place in the history of the newest stream of each request id.
    ids: BTreeMap<Arc<str>, usize>,
    /// Models and the time from which each is served.
    models: Vec<(String, Instant)>,
    role: String,
    orders: Vec<Fenced<Order>>,
    load: Option<(Load, Instant)>,
    start: Instant,
    /// Wakes the ticker when a stream starts.
    started: Arc<Notify>,
    open: watch::Sender<bool>,
    fatal: watch::Sender<bool>,
}

impl Engine {
    pub(super) fn new(
        options: Options,
        started: Arc<Notify>,
        open: watch::Sender<bool>,
        fatal: watch::Sender<bool>,
    ) -> Engine {
        let start = Instant::now();
        Engine {
            batch: Batch::default(),
            cache: Cache::new(options.cache_prefixes, options.seed),
            history: Vec::new(),
            streams: BTreeMap::new(),
            ids: BTreeMap::new(),
            models: options.models.iter().map(|it| (it.clone(), start)).collect(),
            role: String::new(),
            orders: Vec::new(),
            load: None,
            start,
            started,
            open,
            fatal,
            options,
        }
    }

    fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    fn pace(&self) -> Pace {
        Pace {
            slots: self.options.slots,
            kv_tokens: self.options.kv_tokens,
            gap_us: self.options.gap_us,
            slow: self.options.faults.slow_factor,
        }
    }

    /// Takes a request in.
    pub(super) fn submit(
        &mut self,
        form: Form,
        given: String,
        (head, body): (String, String),
        bytes: &[u8],
    ) -> Result<(Stream, Faults), Refusal> {
        let key = self.history.len();
        let id: Arc<str> =
            if given.is_empty() { format!("req-{key}").into() } else { given.into() };
        let ask =
            Ask::parse(form, bytes, &id).map_err(|error| Refusal::Invalid(error.to_string()))?;
        self.check_model(&ask.model)?;
        if self.is_running(&id) {
            return Err(Refusal::Duplicate);
        }
        self.history.push(Entry {
            id: id.clone(),
            marker: ask.marker.clone(),
            head,
            body,
            received_ms: wall_ms(),
            started_ms: None,
            ended_ms: None,
            tokens: 0,
            end: "running",
        });
        let (progress, receiver) = watch::channel(Progress { produced: 0, end: None });
        let work = self.work(key, &ask, progress);
        self.batch.push(work);
        let stream = Stream { key, id: id.clone(), ask: Arc::new(ask), progress: receiver };
        self.streams.insert(key, Kept { stream: stream.clone(), readers: 1, ended: None });
        self.ids.insert(id, key);
        self.admit();
        Ok((stream, self.options.faults.clone()))
    }

    fn is_running(&self, id: &str) -> bool {
        let known = self.ids.get(id).and_then(|key| self.streams.get(key));
        known.is_some_and(|it| it.ended.is_none())
    }

    fn check_model(&self, model: &str) -> Result<(), Refusal> {
        if self.models.is_empty() {
            return Ok(());
        }
        match self.models.iter().find(|it| it.0 == model) {
            Some((_, from)) if *from <= Instant::now() => Ok(()),
            Some(_) => Err(Refusal::Loading),
            None => Err(Refusal::UnknownModel),
        }
    }

    fn work(&mut self, key: usize, ask: &Ask, progress: watch::Sender<Progress>) -> Work {
        let gaps = self.options.cache_gap_per_mille;
        let cached = self.cache.hit(&ask.prompt, wall_ms(), gaps);
        let whole_us = u64::from(ask.prompt_tokens) * self.options.prefill_us_per_token;
        Work {
            key,
            priority: ask.priority,
            kv_tokens: u64::from(ask.prompt_tokens) + u64::from(ask.length),
            prefill_us: if cached { whole_us / CACHED_PREFILL } else { whole_us },
            length: ask.length,
            progress,
        }
    }

    /// Starts what fits; a marked prompt crashes the engine.
    fn admit(&mut self) {
        let started = self.batch.admit(self.now_us(), self.pace());
        if !started.is_empty() {
            self.started.notify_one();
        }
        let mut poisoned = false;
        for key in started {
            self.history[key].started_ms = Some(wall_ms());
            let word = &self.options.faults.crash_on;
            let prompt = self.streams.get(&key).map(|it| &it.stream.ask.prompt);
            poisoned |= !word.is_empty() && prompt.is_some_and(|it| it.contains(word.as_str()));
        }
        if poisoned {
            self.crash_on_prompt();
        }
    }

    /// Produces what is due and returns the time until more is, if streams run.
    pub(super) fn advance(&mut self) -> Option<Duration> {
        let left = self.batch.advance(self.now_us(), self.pace());
        for left in left {
            self.note(left);
        }
        self.admit();
        self.forget();
        let next_us = self.batch.next_us()?;
        Some(Duration::from_micros(next_us.saturating_sub(self.now_us())))
    }

    fn note(&mut self, left: Left) {
        let entry = &mut self.history[left.key];
        entry.ended_ms = Some(wall_ms());
        entry.tokens = left.produced;
        entry.end = left.end.as_str();
        if left.end != End::Done {
            self.drop_stream(left.key);
        } else if let Some(kept) = self.streams.get_mut(&left.key) {
            kept.ended = Some(Instant::now());
        }
    }

    fn drop_stream(&mut self, key: usize) {
        let Some(kept) = self.streams.remove(&key) else {
            return;
        };
        if self.ids.get(&kept.stream.id) == Some(&key) {
            self.ids.remove(&kept.stream.id);
        }
    }

    /// Drops streams that ended long ago.
    fn forget(&mut self) {
        let keep = Duration::from_millis(self.options.keep_ms);
        while let Some((key, kept)) = self.streams.first_key_value() {
            if kept.ended.is_none_or(|it| it.elapsed() < keep) {
                return;
            }
            self.drop_stream(*key);
        }
    }

    /// Finds a stream and counts one more reader of it.
    pub(super) fn resume(&mut self, id: &str) -> Option<Stream> {
        let kept = self.streams.get_mut(self.ids.get(id)?)?;
        kept.readers += 1;
        Some(kept.stream.clone())
    }

    /// Cancels a stream; false if it is unknown.
    pub(super) fn cancel(&mut self, id: &str) -> bool {
        let Some(key) = self.ids.get(id).copied() else {
            return false;
        };
        self.end(key);
        true
    }

    fn end(&mut self, key: usize) {
        if let Some(left) = self.batch.cancel(key) {
            self.note(left);
            self.admit();
        }
    }

    /// A reader is gone; the last one's stream ends, after its time.
    pub(super) fn leave(&mut self, key: usize, owner: Owner<Engine>) {
        let Some(kept) = self.streams.get_mut(&key) else {
            return;
        };
        kept.readers -= 1;
        if kept.readers > 0 || kept.ended.is_some() {
            return;
        }
        let linger = Duration::from_millis(self.options.linger_ms);
        if linger.is_zero() {
            return self.end(key);
        }
        tokio::spawn(async move {
            tokio::time::sleep(linger).await;
            owner.tell(move |engine| engine.end_unread(key));
        });
    }

    fn end_unread(&mut self, key: usize) {
        if self.streams.get(&key).is_some_and(|it| it.readers == 0) {
            self.end(key);
        }
    }

    fn crash(&mut self) {
        for left in self.batch.crash() {
            self.note(left);
        }
        self.cache.clear();
        self.open.send_replace(false);
    }

    /// Crashes for a time, or for good if none is set.
    fn crash_on_prompt(&mut self) {
        self.crash();
        let pause = Duration::from_millis(self.options.faults.crash_for_ms);
        if pause.is_zero() {
            self.options.faults.crash = true;
            self.fatal.send_replace(true);
            return;
        }
        let open = self.open.clone();
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            open.send_replace(true);
        });
    }

    /// Takes a new load report.
    pub(super) fn refresh(&mut self) {
        if !self.options.faults.stale_load || self.load.is_none() {
            self.load = Some((self.present_load(), Instant::now()));
        }
    }

    fn present_load(&self) -> Load {
        Load {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            slots: self.options.slots,
            kv_used: self.batch.kv_used(),
            kv_total: self.options.kv_tokens,
            age_ms: 0,
        }
    }

    fn reported_load(&mut self) -> Load {
        if self.options.load_lag_ms == 0 {
            self.refresh();
        }
        match self.load {
            Some((load, at)) => Load { age_ms: at.elapsed().as_millis() as u64, ..load },
            None => self.present_load(),
        }
    }

    /// Answers everything but completions and streams.
    pub(super) fn route(
        &mut self,
        method: &Method,
        path: &str,
        query: &str,
        body: &[u8],
    ) -> Response<Body> {
        match (method.as_str(), path) {
            ("GET", "/health") => server::json(StatusCode::OK, &json!({ "role": self.role })),
            ("GET", "/load") => server::json(StatusCode::OK, &self.reported_load()),
            ("GET", "/cache/events") => self.cache_events(query),
            ("GET", "/v1/models") => self.list_models(),
            ("POST", "/orders") => self.order(body),
            ("POST", "/test/faults") => self.set_faults(body),
            ("GET", "/test/history") => self.show_history(),
            ("GET", "/test/orders") => server::json(StatusCode::OK, &self.orders),
            _ => server::raw(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn show_history(&mut self) -> Response<Body> {
        for (key, kept) in &self.streams {
            self.history[*key].tokens = kept.stream.progress.borrow().produced;
        }
        server::json(StatusCode::OK, &self.history)
    }

    fn cache_events(&self, query: &str) -> Response<Body> {
        let after = server::query(query, "after").and_then(|it| it.parse().ok()).unwrap_or(0);
        let until_ms = wall_ms().saturating_sub(self.options.cache_lag_ms);
        let (next, events) = self.cache.events(after, until_ms);
        server::json(StatusCode::OK, &json!({ "next": next, "events": events }))
    }

    fn list_models(&self) -> Response<Body> {
        let now = Instant::now();
        let loaded = self.models.iter().filter(|it| it.1 <= now);
        let models: Vec<_> = loaded.map(|it| json!({ "id": it.0, "object": "model" })).collect();
        server::json(StatusCode::OK, &json!({ "object": "list", "data": models }))
    }

    fn set_faults(&mut self, body: &[u8]) -> Response<Body> {
        let was = self.options.faults.crash;
        match patch::merge(&self.options.faults, body) {
            Ok(faults) => self.options.faults = faults,
            Err(error) => return server::raw(StatusCode::BAD_REQUEST, error.to_string()),
        }
        match (was, self.options.faults.crash) {
            (false, true) => self.crash(),
            (true, false) => drop(self.open.send_replace(true)),
            (false, false) | (true, true) => (),
        }
        server::raw(StatusCode::OK, "")
    }

    fn order(&mut self, body: &[u8]) -> Response<Body> {
        let order: Fenced<Order> = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return server::raw(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if self.orders.iter().any(|it| it.id == order.id) {
            return server::raw(StatusCode::OK, "");
        }
        if order.deadline_ms < wall_ms() {
            return server::raw(StatusCode::GONE, "");
        }
        let newer = |it: &Fenced<Order>| it.lease == order.lease && it.number > order.number;
        if self.options.fencing && self.orders.iter().any(newer) {
            return server::raw(StatusCode::CONFLICT, "");
        }
        match &order.order {
            Order::Load { model } => {
                let from = Instant::now() + Duration::from_millis(self.options.load_model_ms);
                if !self.models.iter().any(|it| it.0 == *model) {
                    self.models.push((model.clone(), from));
                }
            }
            Order::Unload { model } => self.models.retain(|it| it.0 != *model),
            Order::Role { role } => self.role = role.clone(),
        }
        self.orders.push(order);
        server::raw(StatusCode::OK, "")
    }
}
