//! Clients of streams that may be resumed: they take up a stream that broke off, at another host and with a new attempt.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use tokio::{
    sync::watch,
    time::{Instant as Moment, sleep},
};

use crate::{
    client::{self, Answer, Attempt, End, TakeUp},
    operator::TIMEOUT_MS,
    record::Record,
    runner::{EVENT_PAUSE, EVENTS},
};

/// Most take-ups of a stream.
const MAX_TAKE_UPS: usize = 3;

/// Pause before a stream is taken up, unless a refusal names a longer one.
const PAUSE: Duration = Duration::from_millis(60);

/// One try at a stream.
#[derive(Debug, Clone)]
pub struct Try {
    /// Number of the host that was asked.
    pub host: usize,
    /// What came of it.
    pub answer: Answer,
}

/// A stream over all tries of its client.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Id of the first attempt.
    pub id: String,
    /// The first try.
    pub first: Try,
    /// The tries to go on with it.
    pub take_ups: Vec<Try>,
}

impl Stream {
    /// Returns all events that the client got, in the order of arrival.
    pub fn events(&self) -> impl Iterator<Item = &(u64, String)> {
        let tries = std::iter::once(&self.first).chain(&self.take_ups);
        tries.flat_map(|it| &it.answer.events)
    }

    /// Returns the values of a word of the events' data, each once: 1 for the service, 2 for the version.
    pub fn words(&self, word: usize) -> Vec<&str> {
        let mut words: Vec<_> = self.events().filter_map(|it| it.1.split(' ').nth(word)).collect();
        words.sort_unstable();
        words.dedup();
        words
    }
}

/// Streams that have ended; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Streams(Arc<Mutex<Vec<Stream>>>);

impl Streams {
    /// Returns the streams so far.
    pub fn all(&self) -> Vec<Stream> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Addresses of the hosts to which the platform sends new connections; `None` for one out of rotation.
pub type Rotation = watch::Receiver<Vec<Option<SocketAddr>>>;

/// A client that sends one stream after the other.
#[derive(Debug, Clone)]
pub struct Client {
    /// Number of the client, which selects its host.
    pub index: usize,
    /// Hosts in rotation.
    pub rotation: Rotation,
    /// Path of its requests.
    pub path: String,
    /// Tenant whose key it has.
    pub tenant: &'static str,
    /// Takes the streams.
    pub streams: Streams,
    /// Takes what happens.
    pub record: Record,
    /// Pause between two streams.
    pub pause: Duration,
}

impl Client {
    /// Sends streams until a time; the last ones may end later.
    pub async fn run(self, until: Instant) {
        // Spreads the clients evenly over the time of one stream.
        let round = EVENT_PAUSE * EVENTS as u32 + self.pause;
        sleep(round.mul_f64((self.index as f64 * 0.618).fract())).await;
        while Instant::now() < until {
            let stream = self.stream().await;
            self.streams.0.lock().unwrap_or_else(PoisonError::into_inner).push(stream);
            sleep(self.pause).await;
        }
    }

    async fn stream(&self) -> Stream {
        let end = Moment::now() + Duration::from_millis(TIMEOUT_MS);
        let mut host = self.host(self.index, usize::MAX);
        let prompt = client::prompt(rand::random_range(0..64));
        let first = self.attempt(host, &prompt, None, end).await;
        let id = first.0;
        let mut stream =
            Stream { id: id.clone(), first: Try { host, answer: first.1 }, take_ups: Vec::new() };
        let mut last = stream.first.answer.clone();
        let mut after = last.last_event();
        while stream.take_ups.len() < MAX_TAKE_UPS && is_broken(&last) && after > 0 {
            let left = end.saturating_duration_since(Moment::now());
            let pause = last.retry_after.unwrap_or(PAUSE).min(left / 3).max(PAUSE);
            sleep(pause).await;
            if Moment::now() >= end {
                break;
            }
            host = self.host(self.index + 1 + stream.take_ups.len(), host);
            let takes_up = TakeUp { first: id.clone(), after };
            last = self.attempt(host, &prompt, Some(takes_up), end).await.1;
            after = after.max(last.last_event());
            stream.take_ups.push(Try { host, answer: last.clone() });
        }
        stream
    }

    async fn attempt(
        &self,
        host: usize,
        prompt: &str,
        takes_up: Option<TakeUp>,
        end: Moment,
    ) -> (String, Answer) {
        let address = self.rotation.borrow()[host];
        let attempt = Attempt {
            id: client::new_id(),
            path: self.path.clone(),
            prompt: prompt.to_owned(),
            tenant: self.tenant,
            takes_up,
            deadline: end.saturating_duration_since(Moment::now()),
        };
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let answer = client::send(address.unwrap_or(nowhere), &attempt, &self.record).await;
        (attempt.id, answer)
    }

    /// Selects a host in rotation, another than the last one if there is any.
    fn host(&self, start: usize, last: usize) -> usize {
        let rotation = self.rotation.borrow();
        let count = rotation.len();
        let candidates = (0..count).map(|it| (start + it) % count);
        let usable: Vec<_> = candidates.filter(|it| rotation[*it].is_some()).collect();
        let other = usable.iter().find(|it| **it != last);
        other.or(usable.first()).copied().unwrap_or(start % count)
    }
}

/// Whether a client takes its stream up after such an answer: it broke off, or the request has not run.
fn is_broken(answer: &Answer) -> bool {
    match answer.status {
        Some(status) if status.is_success() => answer.end != End::Complete,
        Some(status) => status.is_server_error() || status.as_u16() == 429,
        None => true,
    }
}
