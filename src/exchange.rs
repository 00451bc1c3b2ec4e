//! One request from its acceptance to its answer: tickets, attempts and retries.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    account::Account,
    attempt::{self, Answering, Attempt, Granted, Loss, Sent},
    attempts::{Attempts, Guard, Start, Stop},
    claim::{self, Claim},
    credential::Digest,
    dispatch_client::{self, Owner},
    error::{Error, Kind, Run},
    ledger::Served,
    limits::AdmissionGuard,
    metrics::{Metrics, Outcome},
    platform,
    record::{Class, Protocol},
    relay::{Relay, Source, Times},
    request::{self, Overrides},
    tally::Ended,
    time::{Span, Time, wall_ms},
    upstream::{self, Failure, Reuse},
    wire::{Decision, Ending, Grant, Progress, Running, Ticket, TicketId},
    witness::{self, Witness},
};

/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 3;

/// Time without any dispatcher after which a request is refused.
const NO_DISPATCHER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time to claim an idempotency key before the request is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a dispatcher that did not take a ticket is asked again.
const DISPATCHER_PAUSE: Duration = Duration::from_millis(25);

/// Largest whole answer that is kept until it is complete, in bytes.
const MAX_WHOLE_BYTES: usize = 8 << 20;

/// Answer headers that pass to the caller.
const ANSWER_HEADERS: [header::HeaderName; 7] = [
    header::CACHE_CONTROL,
    header::CONTENT_LANGUAGE,
    header::CONTENT_TYPE,
    header::ETAG,
    header::LAST_MODIFIED,
    header::LOCATION,
    header::RETRY_AFTER,
];

/// A request that was accepted from a caller.
#[derive(Debug, Clone)]
pub struct Job {
    /// Request id, unique among all hosts.
    pub id: String,
    /// Customer, empty on open routes.
    pub customer: String,
    /// Weight of the customer in fair queueing.
    pub weight: u32,
    /// Class of the request.
    pub class: Class,
    /// Name of the route.
    pub route: String,
    /// Name of the pool.
    pub pool: String,
    /// What the pool's upstreams speak.
    pub protocol: Protocol,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Digest of the caller's key.
    pub key: Option<Digest>,
    /// Method for the upstream.
    pub method: Method,
    /// Path and query for the upstream.
    pub path: String,
    /// Headers for the upstream.
    pub headers: HeaderMap,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Largest output in tokens, zero if not stated.
    pub max_tokens: u32,
    /// Hash of the start of the prompt, zero if unknown.
    pub prefix: u64,
    /// Hash of customer, route and body.
    pub fingerprint: u64,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Fields of the body that the router sets itself.
    pub overrides: Overrides,
    /// Model that the caller named, empty for plain services.
    pub model: String,
    /// When the request was accepted.
    pub accepted: Instant,
    /// When the request must have ended.
    pub deadline: Instant,
}

/// An answer for the caller.
#[derive(Debug)]
pub struct Reply {
    /// Status of the upstream's answer.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body for the caller.
    pub body: Body,
    /// Statement about the run.
    pub run: Run,
}

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// The whole answer.
    Whole(Bytes),
    /// An answer that is passed on as it comes.
    Stream(Box<Stream>),
}

/// A streamed answer.
#[derive(Debug)]
pub struct Stream {
    relay: Relay,
    /// Events that were received before the answer's head was sent.
    first: Option<Bytes>,
    account: Account,
}

/// Runs requests; one for each worker.
#[derive(Debug)]
pub struct Exchange {
    /// Availability zone of this host.
    pub zone: Arc<str>,
    /// Id of this host.
    pub host: Arc<str>,
    /// Incarnation of this host.
    pub incarnation: u64,
    /// Dispatchers.
    pub dispatchers: dispatch_client::Client,
    /// Attempts in progress.
    pub attempts: Attempts,
    /// The platform, for claims of idempotency keys.
    pub platform: platform::Client,
    /// Connections to upstreams.
    pub upstreams: upstream::Client,
    /// Longest silence of an upstream.
    pub idle_timeout: Duration,
    /// Counters.
    pub metrics: Metrics,
    /// Takes what is billed.
    pub served: mpsc::Sender<Served>,
    /// Takes each request that ended.
    pub ended: mpsc::Sender<Ended>,
    /// Numbers of requests and tickets.
    pub numbers: Arc<AtomicU64>,
}

/// What a request has been through.
#[derive(Debug)]
struct Course {
    /// `No` until bytes of any attempt may have left.
    run: Run,
    zone: Option<String>,
    avoid: Vec<String>,
    attempts: u32,
    retry: bool,
}

/// A grant with the dispatcher that gave it.
#[derive(Debug)]
struct Permit {
    ticket: Ticket,
    grant: Grant,
    owner: Owner,
    zone: String,
    /// When the grant came.
    received: Time,
}

/// An attempt that the attempts' task knows.
struct Registered {
    guard: Guard,
    stop: oneshot::Receiver<Stop>,
}

impl Exchange {
    /// Runs a request until its answer begins.
    ///
    /// # Errors
    /// Why the request has no answer, and whether it ran.
    pub async fn run(&self, job: Job, admitted: Option<AdmissionGuard>) -> Result<Reply, Error> {
        let Some(key) = idempotency_key(&job) else { return self.serve(job, admitted).await };
        let held = match self.claim(&job, &key).await? {
            claim::Outcome::Held(held) => held,
            claim::Outcome::Answered(answer) => return Ok(kept(&answer)),
        };
        let result = self.serve(job, admitted).await;
        match &result {
            Err(error) if error.run == Run::No => held.withdraw(&self.platform).await,
            // The claim stands without an answer: a resend must not run.
            Err(_) => {}
            Ok(Reply { status, headers, body: Body::Whole(bytes), .. }) => {
                held.keep(&self.platform, *status, headers, bytes).await;
            }
            Ok(Reply { body: Body::Stream(_), .. }) => {}
        }
        result
    }

    async fn claim(&self, job: &Job, key: &str) -> Result<claim::Outcome, Error> {
        let now = wall_ms();
        let claim = Claim {
            request: job.id.clone(),
            fingerprint: job.fingerprint,
            expires_ms: now + claim::CLAIM_TTL_MS,
            answer: None,
        };
        let claiming = claim::open(&self.platform, &job.customer, key, claim, now);
        let late = || Error::new(Kind::StoreUnavailable, "the platform's store does not answer");
        tokio::time::timeout(CLAIM_TIMEOUT, claiming).await.map_err(|_| late())?
    }

    /// Runs a request that may be sent.
    async fn serve(&self, job: Job, admitted: Option<AdmissionGuard>) -> Result<Reply, Error> {
        let (served, ended) = (self.served.clone(), self.ended.clone());
        let mut account = Account::open(self.metrics.clone(), served, ended, &job, admitted);
        let mut course =
            Course { run: Run::No, zone: None, avoid: Vec::new(), attempts: 0, retry: false };
        loop {
            let permit = match self.permit(&job, &mut course).await {
                Ok(permit) => permit,
                Err(error) => return Err(account.fail(error.with_run(course.run))),
            };
            let upstream = permit.grant.upstream.clone();
            account.placed(&upstream);
            let loss = match self.attempt(&job, permit, &mut account).await {
                Ok(reply) => return Ok(reply),
                Err(loss) => loss,
            };
            if loss.run != Run::No {
                course.run = Run::Unknown;
            }
            let again = loss.run == Run::No || job.repeatable;
            course.attempts += u32::from(loss.kind != Kind::Preempted);
            if !again || !is_transient(loss.kind) || course.attempts >= MAX_ATTEMPTS {
                let error = loss.error(explain(loss.kind));
                return Err(account.fail(error.with_run(course.run)));
            }
            if loss.kind != Kind::Preempted && loss.ending != Ending::Unused {
                course.avoid.push(upstream);
                course.retry = true;
            }
        }
    }

    /// Asks the dispatcher until the request is granted or refused.
    async fn permit(&self, job: &Job, course: &mut Course) -> Result<Permit, Error> {
        let asked = Instant::now();
        loop {
            let now = Instant::now();
            if now >= job.deadline {
                return Err(Error::new(Kind::QueueTimeout, "the request's time is up"));
            }
            let zone = course.zone.clone().unwrap_or_else(|| self.zone.to_string());
            let Some(owner) = self.dispatchers.owner(&zone, &job.pool) else {
                self.wait_for_dispatcher(asked).await?;
                continue;
            };
            let ticket = self.ticket(job, course);
            match self.submit(&owner, &zone, &ticket, job.deadline).await {
                Some(Decision::Granted(grant)) => {
                    let received = Time::now();
                    return Ok(Permit { ticket, grant, owner, zone, received });
                }
                Some(Decision::Refused(error)) => return Err(error),
                Some(Decision::Overflow { zone }) => course.zone = Some(zone),
                Some(Decision::NotDispatcher) | None => self.wait_for_dispatcher(asked).await?,
            }
        }
    }

    async fn wait_for_dispatcher(&self, asked: Instant) -> Result<(), Error> {
        if asked.elapsed() > NO_DISPATCHER_TIMEOUT {
            return Err(Error::new(Kind::NoDispatcher, "no dispatcher of the pool answers"));
        }
        sleep(DISPATCHER_PAUSE).await;
        Ok(())
    }

    /// Submits a ticket; `None` if the dispatcher was replaced or does not answer.
    async fn submit(
        &self,
        owner: &Owner,
        zone: &str,
        ticket: &Ticket,
        deadline: Instant,
    ) -> Option<Decision> {
        let mut view = self.dispatchers.view.clone();
        let timeout = deadline.saturating_duration_since(Instant::now());
        let submission = self.dispatchers.submit(owner, ticket.clone(), timeout);
        tokio::pin!(submission);
        loop {
            tokio::select! {
                decision = &mut submission => return decision.ok(),
                changed = view.changed() => {
                    let current = dispatch_client::owner(&view.borrow_and_update(), zone, &ticket.pool);
                    if changed.is_err() || current.as_ref() != Some(owner) {
                        return None;
                    }
                }
            }
        }
    }

    fn ticket(&self, job: &Job, course: &Course) -> Ticket {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        Ticket {
            id: TicketId { host: self.host.to_string(), incarnation: self.incarnation, number },
            pool: job.pool.clone(),
            customer: job.customer.clone(),
            weight: job.weight,
            class: job.class.name.clone(),
            route: job.route.clone(),
            prompt_tokens: job.prompt_tokens,
            max_tokens: job.max_tokens,
            waited_ms: job.accepted.elapsed().as_millis() as u64,
            repeatable: job.repeatable,
            prefix: job.prefix,
            fingerprint: job.fingerprint,
            avoid: course.avoid.clone(),
            overflow: course.zone.is_some(),
            retry: course.retry,
        }
    }

    /// Carries out a grant until the answer begins, or is whole if it is not streamed.
    async fn attempt(
        &self,
        job: &Job,
        permit: Permit,
        account: &mut Account,
    ) -> Result<Reply, Loss> {
        let attempt = Attempt::queued().granted(permit.grant.clone());
        let start_by = permit.received + Span::from_ms(permit.grant.start_within_ms);
        let started = self.attempts.begin(start(job, permit)).await;
        let Some((guard, stop)) = started else { return Err(attempt.unused(Kind::NoDispatcher)) };
        let mut registered = Registered { guard, stop };
        let result = self.send(job, attempt, &mut registered, start_by).await;
        let (attempt, answer, sent) = match result {
            Ok(answered) => answered,
            Err(loss) => {
                registered.guard.end(loss.ending, 0);
                return Err(loss);
            }
        };
        if job.stream && is_event_stream(&answer) {
            return self.stream(job, attempt, answer, registered, sent, account).await;
        }
        self.whole(job, attempt, answer, registered, account).await
    }

    async fn send(
        &self,
        job: &Job,
        attempt: Attempt<Granted>,
        registered: &mut Registered,
        start_by: Time,
    ) -> Result<(Attempt<Answering>, Response<Incoming>, Instant), Loss> {
        let Some(request) = outgoing(job, attempt.grant()) else {
            return Err(attempt.unused(Kind::Internal));
        };
        if let Ok(stop) = registered.stop.try_recv() {
            return Err(attempt.unused(stop_kind(Ok(stop))));
        }
        if Time::now() > start_by {
            // The dispatcher no longer counts the attempt.
            return Err(attempt.unused(Kind::NoDispatcher));
        }
        let reuse = if job.repeatable { Reuse::Allowed } else { Reuse::Never };
        let sent = Instant::now();
        let limit = job.deadline.min(sent + self.idle_timeout);
        let attempt_sent: Attempt<Sent>;
        let answer = tokio::select! {
            biased;
            stop = &mut registered.stop => {
                return Err(attempt.sent().lost(stop_kind(stop)));
            }
            answer = timeout_at(limit, self.upstreams.send(request, reuse)) => match answer {
                Ok(Err(Failure::Unsent)) => return Err(attempt.unconnected()),
                Ok(Err(Failure::MaybeSent)) => return Err(attempt.sent().lost(Kind::UpstreamCut)),
                Err(_) => return Err(attempt.sent().lost(Kind::UpstreamTimeout)),
                Ok(Ok(answer)) => {
                    attempt_sent = attempt.sent();
                    answer
                }
            },
        };
        if job.protocol == Protocol::Engine && is_engine_fault(answer.status()) {
            return Err(attempt_sent.lost(Kind::UpstreamInvalid));
        }
        Ok((attempt_sent.answering(), answer, sent))
    }

    async fn stream(
        &self,
        job: &Job,
        attempt: Attempt<Answering>,
        answer: Response<Incoming>,
        registered: Registered,
        sent: Instant,
        account: &mut Account,
    ) -> Result<Reply, Loss> {
        let grant = attempt.grant();
        let source = Source {
            client: self.upstreams.clone(),
            address: grant.address.as_str().into(),
            id: upstream_id(job, grant),
            wants_usage: job.overrides.wants_usage,
        };
        let (head, body) = answer.into_parts();
        let times = Times { sent, idle: self.idle_timeout, deadline: job.deadline };
        let Registered { guard, stop } = registered;
        let mut relay = Relay::open(source, body, attempt, guard, stop, times);
        // Until the first event is there the request can still run elsewhere.
        let first = relay.next().await?;
        let mut account = account.hand_on();
        let summary = relay.summary();
        account.answered(summary.first_token.unwrap_or(sent), summary.tokens, summary.usage);
        let stream = Stream { relay, first, account };
        Ok(Reply {
            status: head.status,
            headers: answer_headers(&head.headers),
            body: Body::Stream(Box::new(stream)),
            run: Run::Yes,
        })
    }

    async fn whole(
        &self,
        job: &Job,
        attempt: Attempt<Answering>,
        answer: Response<Incoming>,
        registered: Registered,
        account: &mut Account,
    ) -> Result<Reply, Loss> {
        let Registered { guard, mut stop } = registered;
        let address = attempt.grant().address.clone();
        let is_watched = upstream::ends_with_connection(&answer);
        let witness = is_watched.then(|| Witness::spawn(address.as_str().into(), address.clone()));
        let (head, body) = answer.into_parts();
        let lost = |kind| (kind, attempt::ending(kind));
        let read = async {
            let bytes = collect(body, self.idle_timeout, job.deadline).await.map_err(lost)?;
            if let Some(witness) = &witness {
                let time_left = job.deadline.saturating_duration_since(Instant::now());
                let reconnect = async { witness::reconnect(&address).await.map(drop) };
                witness.confirm_end(Time::now(), time_left, reconnect).await?;
            }
            check_whole(job, head.status, bytes).map_err(lost)
        };
        let checked = tokio::select! {
            biased;
            stop = &mut stop => Err(lost(stop_kind(stop))),
            bytes = read => bytes,
        };
        let bytes = match checked {
            Ok(bytes) => bytes,
            Err((kind, ending)) => {
                guard.end(ending, 0);
                return Err(Loss { ending, ..attempt.lost(kind) });
            }
        };
        let usage = crate::sse::whole_usage(&bytes);
        let tokens = usage.map_or(0, |it| it.completion_tokens as u32);
        guard.end(attempt.done(), tokens);
        account.answered(Instant::now(), tokens, usage);
        if head.status.is_success() {
            account.close(Outcome::Whole);
        } else {
            account.close_unbilled();
        }
        let body = Body::Whole(bytes);
        let headers = answer_headers(&head.headers);
        Ok(Reply { status: head.status, headers, body, run: Run::Yes })
    }
}

/// Idempotency key of a request that may not be repeated.
fn idempotency_key(job: &Job) -> Option<String> {
    if job.repeatable {
        return None;
    }
    let value = job.headers.get("idempotency-key")?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// The kept answer of an earlier run.
fn kept(answer: &claim::Answer) -> Reply {
    Reply {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        headers: answer.header_map(),
        body: Body::Whole(Bytes::from(answer.body.clone())),
        run: Run::Yes,
    }
}

fn start(job: &Job, permit: Permit) -> Start {
    let Permit { ticket, grant, owner, zone, received: _ } = permit;
    let progress = Progress {
        attempt: grant.attempt,
        dispatcher: grant.dispatcher,
        first_token_us: None,
        tokens: 0,
        ending: None,
    };
    Start {
        running: Running { ticket, grant, progress },
        zone,
        dispatcher: owner.host,
        key: job.key,
    }
}

/// Id under which the upstream knows the attempt.
fn upstream_id(job: &Job, grant: &Grant) -> String {
    format!("{}-{:x}-{:x}", job.id, grant.dispatcher, grant.attempt)
}

fn outgoing(job: &Job, grant: &Grant) -> Option<Request<Full<Bytes>>> {
    let body = match job.protocol {
        Protocol::Engine => request::outgoing_body(&job.body, job.overrides, grant.priority).into(),
        Protocol::Plain => job.body.clone(),
    };
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = format!("http://{}{}", grant.address, job.path).parse().ok()?;
    *request.headers_mut() = job.headers.clone();
    let id = HeaderValue::from_str(&upstream_id(job, grant)).ok()?;
    request.headers_mut().insert("x-request-id", id);
    Some(request)
}

async fn collect(mut body: Incoming, idle: Duration, deadline: Instant) -> Result<Bytes, Kind> {
    let mut out = BytesMut::new();
    loop {
        let limit = deadline.min(Instant::now() + idle);
        let frame = match timeout_at(limit, body.frame()).await {
            Err(_) => return Err(Kind::UpstreamTimeout),
            Ok(None) => return Ok(out.freeze()),
            Ok(Some(Err(_))) => return Err(Kind::UpstreamCut),
            Ok(Some(Ok(frame))) => frame,
        };
        let data = frame.into_data().unwrap_or_default();
        if out.len() + data.len() > MAX_WHOLE_BYTES {
            return Err(Kind::UpstreamInvalid);
        }
        out.extend_from_slice(&data);
    }
}

/// Checks that a whole completion is one; half an answer with a proper end is not.
fn check_whole(job: &Job, status: StatusCode, bytes: Bytes) -> Result<Bytes, Kind> {
    let valid = match job.protocol {
        Protocol::Plain => true,
        Protocol::Engine => {
            !status.is_success() || serde_json::from_slice::<serde::de::IgnoredAny>(&bytes).is_ok()
        }
    };
    if valid { Ok(bytes) } else { Err(Kind::UpstreamInvalid) }
}

/// Whether an engine's status speaks against the engine. Its models are the router's business, so 404 does.
fn is_engine_fault(status: StatusCode) -> bool {
    let refused = [StatusCode::NOT_FOUND, StatusCode::TOO_MANY_REQUESTS, StatusCode::CONFLICT];
    status.is_server_error() || refused.contains(&status)
}

fn is_event_stream(answer: &Response<Incoming>) -> bool {
    let value = answer.headers().get(header::CONTENT_TYPE).and_then(|it| it.to_str().ok());
    value.is_some_and(|it| it.starts_with("text/event-stream"))
}

fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut out = HeaderMap::with_capacity(ANSWER_HEADERS.len() + 4);
    for name in &ANSWER_HEADERS {
        if let Some(value) = headers.get(name) {
            out.insert(name.clone(), value.clone());
        }
    }
    out
}

fn stop_kind(stop: Result<Stop, oneshot::error::RecvError>) -> Kind {
    match stop {
        Ok(Stop::Preempted) => Kind::Preempted,
        Ok(Stop::Withdrawn) => Kind::InvalidKey,
        Err(_) => Kind::Internal,
    }
}

/// Whether another attempt may succeed.
fn is_transient(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::Preempted
            | Kind::NoDispatcher
            | Kind::UpstreamConnect
            | Kind::UpstreamCut
            | Kind::UpstreamInvalid
            | Kind::UpstreamTimeout
    )
}

fn explain(kind: Kind) -> &'static str {
    match kind {
        Kind::UpstreamConnect => "the upstream could not be reached",
        Kind::UpstreamCut => "the upstream closed the connection before its whole answer",
        Kind::UpstreamInvalid => "the upstream's answer is not valid",
        Kind::UpstreamTimeout => "the upstream did not answer in time",
        Kind::InvalidKey => "the key was withdrawn while the request ran",
        Kind::Preempted => "the request was stopped in favour of a higher tier",
        _ => "the request could not be run",
    }
}

impl Stream {
    /// The next chunk, or `None` after the whole answer.
    ///
    /// # Errors
    /// The kind of loss that cut the answer.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Kind> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        let next = self.relay.next().await;
        let summary = self.relay.summary();
        let first_token = summary.first_token.unwrap_or_else(Instant::now);
        self.account.answered(first_token, summary.tokens, summary.usage);
        match next {
            Ok(Some(bytes)) => Ok(Some(bytes)),
            Ok(None) => {
                self.account.close(Outcome::Whole);
                Ok(None)
            }
            Err(loss) => {
                self.account.close(Outcome::Failed(loss.kind));
                Err(loss.kind)
            }
        }
    }
}
