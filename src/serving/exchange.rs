//! One request from its acceptance to its answer: tickets, attempts, retries and resumption.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    error::{Error, Kind, Run},
    serving::{
        attempt_history::{AttemptFailure, AttemptHistory, RetryRules},
        buffer_memory::BufferMemory,
        buffered::{self, LargeResponse},
        connection_cache::ConnectionCache,
        dialect::{Dialect, Prompt, RouterHeaders, Verdict},
        dispatcher::{AttemptGuard, Dispatcher},
        key::TicketKey,
        outbound_connection::{self, OutboundConnection},
        placement::{Grant, Ticket},
        relay::{Relay, Resume},
        retry_budget::RetryBudget,
        table::{Customer, RetryPolicy, Route},
        upstream_response::UpstreamResponse,
        usage::Meter,
    },
    time::{Span, Time},
    wire::Ending,
};

/// Headers of an upstream's answer that concern its connection only.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request that was accepted from a caller.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// Id that the caller gave this try.
    pub id: HeaderValue,
    /// Method for the upstream.
    pub method: Method,
    /// Path and query for the upstream, as the caller sent them.
    pub path: String,
    /// The caller's headers that pass to the upstream.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Last event of the stream that the caller has, if it resumes one.
    pub last_event_id: Option<u64>,
    /// The prompt, if the request is for an engine.
    pub prompt: Option<Prompt>,
    /// Place in the order of requests, zero first.
    pub tier: u8,
    /// Customer of the caller's key, if the request has one.
    pub customer: Option<Arc<Customer>>,
    /// Route of the request.
    pub route: Arc<Route>,
    /// When the request was accepted.
    pub accepted_at: Time,
    /// When the caller leaves or the route's time is up, whatever comes first.
    pub deadline: Time,
    /// How long the caller said that it waits.
    pub caller_timeout: Span,
}

/// An answer for the caller.
#[derive(Debug)]
pub struct CallerResponse {
    /// Status of the upstream's answer.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body for the caller.
    pub body: Body,
}

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// The whole answer.
    Complete(Bytes),
    /// Events that are passed on as they come.
    Stream(Box<Relay>),
    /// A large answer that is passed on as it comes.
    Large(Box<LargeResponse>),
}

/// Runs requests; clones share everything.
pub struct Exchange<D> {
    shared: Rc<Shared<D>>,
}

impl<D> Clone for Exchange<D> {
    fn clone(&self) -> Exchange<D> {
        Exchange { shared: self.shared.clone() }
    }
}

struct Shared<D> {
    dialect: Rc<D>,
    dispatcher: Dispatcher,
    links: ConnectionCache,
    budget: RetryBudget,
    meter: Meter,
    room: BufferMemory,
    tickets: Cell<u64>,
}

impl RoutedRequest {
    /// The id as it stands in log lines.
    fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }
}

impl<D: Dialect> Exchange<D> {
    /// An exchange over the given parts.
    pub fn new(
        dialect: Rc<D>,
        dispatcher: Dispatcher,
        links: ConnectionCache,
        budget: RetryBudget,
        meter: Meter,
        room: BufferMemory,
    ) -> Exchange<D> {
        let tickets = Cell::new(0);
        let shared = Shared { dialect, dispatcher, links, budget, meter, room, tickets };
        Exchange { shared: Rc::new(shared) }
    }

    /// Runs a request until its answer begins, or is whole if it is not a stream.
    ///
    /// # Errors
    /// Why the request has no answer, and whether it ran.
    pub async fn run(&self, job: RoutedRequest) -> Result<CallerResponse, Error> {
        let job = Rc::new(job);
        let pool = self.pool(&job);
        self.shared.budget.record_request(&pool);
        let mut course = AttemptHistory::default();
        // An upstream's failure, which is passed on if no other upstream does better.
        let mut failure = None;
        loop {
            let begun = match self.begin(&job, &pool, &mut course, None).await {
                Ok(begun) => begun,
                Err(error) => return failure.ok_or(error),
            };
            match self.answer(&job, &pool, &mut course, begun).await {
                Ok(answer) if answer.status.is_server_error() => {
                    if !self.may_repeat(&job, &pool, &course, true) {
                        return Ok(answer);
                    }
                    failure = Some(answer);
                }
                Ok(answer) => return Ok(answer),
                Err(loss) => {
                    course.record_failure(loss);
                    if !self.may_repeat(&job, &pool, &course, true) {
                        return failure.ok_or(give_up(loss, &course));
                    }
                }
            }
        }
    }

    /// Counts a request that an upstream began to run, once however often it is sent.
    fn begun(&self, job: &RoutedRequest, course: &mut AttemptHistory) {
        if let Some(customer) = &job.customer
            && course.mark_counted()
        {
            self.shared.meter.count(&customer.name);
        }
    }

    /// Places and sends a request until an upstream begins to answer.
    ///
    /// # Errors
    /// Why the request is given up.
    async fn begin(
        &self,
        job: &RoutedRequest,
        pool: &Arc<str>,
        course: &mut AttemptHistory,
        resume_after: Option<&str>,
    ) -> Result<UpstreamResponse, Error> {
        loop {
            let ticket = self.ticket(job, pool, course);
            let left = job.deadline.since(Time::now());
            let placed = timeout(left.into(), self.shared.dispatcher.submit(ticket)).await;
            let late = |_| Error::new(Kind::QueueTimeout, "no upstream was free in time");
            let placed = placed.map_err(late).flatten();
            let (grant, guard) = placed.map_err(|error| error.with_run(course.run_status()))?;
            course.record_send(grant.upstream);
            let sent = Time::now();
            match self.send(job, &grant, guard, resume_after).await {
                Ok(begun) => return Ok(begun),
                Err(loss) => {
                    course.record_failure(loss);
                    let repeats = self.may_repeat(job, pool, course, loss.reached_upstream);
                    log::info!(
                        "request {} got no answer from {}, expected in {} ms: {} after {} ms, run {}, {}",
                        job.id_text(),
                        grant.instance,
                        grant.expected_first_byte.as_ms(),
                        loss.kind.answer().name,
                        Time::now().since(sent).as_ms(),
                        loss.run.as_str(),
                        if repeats { "is sent again" } else { "is given up" },
                    );
                    if !repeats {
                        return Err(give_up(loss, course));
                    }
                }
            }
        }
    }

    /// Whether a request may be sent again. A send that reached an upstream takes from the budget of repeats.
    fn may_repeat(
        &self,
        job: &RoutedRequest,
        pool: &Arc<str>,
        course: &AttemptHistory,
        arrived: bool,
    ) -> bool {
        let rules = RetryRules {
            retry_policy: job.route.retry_policy,
            max_attempts: job.route.max_attempts,
            deadline: job.deadline,
        };
        course.may_retry(Time::now(), rules) && (!arrived || self.shared.budget.try_retry(pool))
    }

    /// Sends a request on a connection to its upstream and waits for the head of the answer.
    async fn send(
        &self,
        job: &RoutedRequest,
        grant: &Grant,
        guard: AttemptGuard,
        resume_after: Option<&str>,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        let repeatable = job.route.retry_policy != RetryPolicy::Never;
        loop {
            let taken = self.shared.links.take(grant.upstream, grant.address, repeatable).await;
            let Ok(mut link) = taken else {
                guard.end(Ending::Refused);
                return Err(AttemptFailure::unsent(Kind::UpstreamConnect));
            };
            let left = job.deadline.since(Time::now());
            if left == Span(0) {
                guard.end(Ending::Unused);
                return Err(AttemptFailure::unsent(Kind::QueueTimeout));
            }
            let request = self.request(job, grant, left, resume_after);
            let used = link.used;
            let response = match timeout(left.into(), link.send(request)).await {
                Ok(Ok(response)) => response,
                Ok(Err(outbound_connection::SendError::Unsent)) if used => continue,
                Ok(Err(outbound_connection::SendError::Unsent)) => {
                    guard.end(Ending::Refused);
                    return Err(AttemptFailure::unsent(Kind::UpstreamConnect));
                }
                Ok(Err(outbound_connection::SendError::Sent(why))) => {
                    log::debug!("request {} lost at {}: {why}", job.id_text(), grant.instance);
                    guard.end(Ending::Failed);
                    return Err(AttemptFailure::sent(Kind::UpstreamCut));
                }
                Err(_) => {
                    guard.end(Ending::TimedOut);
                    return Err(AttemptFailure::sent(Kind::UpstreamTimeout));
                }
            };
            return self.judge(job, grant, response, link, guard).await;
        }
    }

    async fn judge(
        &self,
        job: &RoutedRequest,
        grant: &Grant,
        response: Response<Incoming>,
        link: OutboundConnection,
        guard: AttemptGuard,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        let (head, body) = response.into_parts();
        match self.shared.dialect.verdict(&job.id, &head) {
            Verdict::Valid => {
                let response = Response::from_parts(head, body);
                Ok(UpstreamResponse { response, link, guard, upstream: grant.upstream })
            }
            Verdict::NotRun => {
                guard.end(Ending::Refused);
                let links = self.shared.links.clone();
                tokio::task::spawn_local(buffered::discard_refusal(
                    grant.upstream,
                    body,
                    link,
                    links,
                ));
                Err(AttemptFailure::refused(Kind::Shed))
            }
            Verdict::Misdirected => {
                guard.end(Ending::Refused);
                Err(AttemptFailure::refused(Kind::NoUpstream))
            }
            Verdict::Invalid => {
                guard.end(Ending::Invalid);
                Err(AttemptFailure::sent(Kind::UpstreamInvalid))
            }
        }
    }

    /// Makes the caller's answer of an upstream's.
    async fn answer(
        &self,
        job: &Rc<RoutedRequest>,
        pool: &Arc<str>,
        course: &mut AttemptHistory,
        begun: UpstreamResponse,
    ) -> Result<CallerResponse, AttemptFailure> {
        let status = begun.response.status();
        let headers = answer_headers(begun.response.headers());
        if job.route.stream && status.is_success() {
            let resume = self.clone().resume(job.clone(), pool.clone(), course.clone());
            let links = self.shared.links.clone();
            let space = self.shared.room.reservation();
            let relay = Relay::new(begun, job.last_event_id, links, job.deadline, resume, space);
            let relay = relay.receive_first().await?;
            self.begun(job, course);
            let body = Body::Stream(Box::new(relay));
            return Ok(CallerResponse { status, headers, body });
        }
        self.begun(job, course);
        begun.guard.record_activity();
        let (space, links) = (self.shared.room.reservation(), self.shared.links.clone());
        let body = match LargeResponse::new(begun, space, links, job.deadline).buffer().await? {
            buffered::Buffered::Complete(bytes) => Body::Complete(bytes),
            buffered::Buffered::Large(large) => Body::Large(large),
        };
        course.record_answer();
        Ok(CallerResponse { status, headers, body })
    }

    /// How a stream goes on at another upstream, if its route allows that.
    fn resume(self, job: Rc<RoutedRequest>, pool: Arc<str>, course: AttemptHistory) -> Resume {
        let course = Rc::new(RefCell::new(course));
        Box::new(move |after, loss| {
            let (exchange, job, pool) = (self.clone(), job.clone(), pool.clone());
            let kept = course.clone();
            Box::pin(async move {
                let mut course = kept.take();
                course.record_failure(loss);
                let begun = exchange.go_on(&job, &pool, &mut course, (after, loss)).await;
                kept.replace(course);
                begun
            })
        })
    }

    /// Sends a stream's request again after the last event that the caller has.
    async fn go_on(
        &self,
        job: &RoutedRequest,
        pool: &Arc<str>,
        course: &mut AttemptHistory,
        (after, loss): (Option<u64>, AttemptFailure),
    ) -> Option<UpstreamResponse> {
        let (id, why) = (job.id_text(), loss.kind.answer().name);
        let after = after.map(|it| it.to_string());
        let event = after.as_deref().unwrap_or("none");
        if job.route.retry_policy != RetryPolicy::Resume
            || !self.may_repeat(job, pool, course, true)
        {
            log::info!("stream {id} is cut after event {event}: {why}, not resumed");
            return None;
        }
        match self.begin(job, pool, course, after.as_deref()).await {
            Ok(begun) if begun.response.status().is_success() => {
                log::info!("stream {id} goes on after event {event}: {why}");
                Some(begun)
            }
            Ok(begun) => {
                let status = begun.response.status();
                log::info!("stream {id} is cut after event {event}: answer {status}");
                None
            }
            Err(error) => {
                log::info!("stream {id} is cut after event {event}: {error}");
                None
            }
        }
    }

    /// Pool of a request, drawn by the weights of the route's destinations.
    fn pool(&self, job: &RoutedRequest) -> Arc<str> {
        let shares = &job.route.destinations;
        let total: u64 = shares.iter().map(|it| u64::from(it.weight)).sum();
        let mut drawn = match total {
            0 => 0,
            total => rand::random_range(0..total),
        };
        for share in shares {
            if drawn < u64::from(share.weight) {
                return share.pool.clone();
            }
            drawn -= u64::from(share.weight);
        }
        shares.last().map_or_else(|| "".into(), |it| it.pool.clone())
    }

    fn ticket(&self, job: &RoutedRequest, pool: &Arc<str>, course: &AttemptHistory) -> Ticket {
        let number = self.shared.tickets.get() + 1;
        self.shared.tickets.set(number);
        Ticket {
            key: TicketKey(number),
            pool: pool.clone(),
            tier: job.tier,
            route: job.route.name.clone(),
            max_gap_ms: job.route.max_gap_ms,
            prompt: job.prompt.clone(),
            target: job.accepted_at + Span::from_ms(job.route.target_ms),
            deadline: job.deadline,
            tried: course.tried.clone(),
        }
    }

    fn request(
        &self,
        job: &RoutedRequest,
        grant: &Grant,
        left: Span,
        resume_after: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let mut headers = job.headers.clone();
        let orders = RouterHeaders {
            instance: &grant.instance,
            time_left: job.caller_timeout.min(left),
            customer: job.customer.as_ref().map(|it| &*it.name),
            priority: job.prompt.is_some().then_some(job.tier),
            resume_after,
        };
        self.shared.dialect.add_router_headers(&mut headers, &orders);
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.path.parse::<Uri>().unwrap_or_default();
        *request.headers_mut() = headers;
        request
    }
}

/// The error of a request that is given up after a loss. One that did not run may come back.
fn give_up(loss: AttemptFailure, course: &AttemptHistory) -> Error {
    let error = Error::new(loss.kind, explain(loss.kind)).with_run(course.run_status());
    if course.run_status() != Run::No {
        return error;
    }
    let kind = match loss.kind {
        Kind::UpstreamConnect => Kind::NoUpstream,
        kind => kind,
    };
    Error { kind, ..error }.with_retry_after_ms(NOT_RUN_RETRY_MS)
}

/// Delay that a caller is told whose request did not run, in milliseconds.
const NOT_RUN_RETRY_MS: u64 = 100;

fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    for name in &HOP_BY_HOP {
        out.remove(name);
    }
    out
}

fn explain(kind: Kind) -> &'static str {
    match kind {
        Kind::UpstreamConnect => "the upstream could not be reached",
        Kind::UpstreamCut => "the upstream closed the connection before its whole answer",
        Kind::UpstreamInvalid => "the upstream's answer is not valid",
        Kind::UpstreamTimeout => "the upstream did not answer in time",
        Kind::QueueTimeout => "no upstream was free in time",
        Kind::Shed => "the upstreams are full",
        Kind::NoUpstream => "no upstream can take the request",
        _ => "the request could not be run",
    }
}
