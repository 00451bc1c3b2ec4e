//! Runs a request from its acceptance to its response: queue tickets, attempts, retries and the resumption of streams.

use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    error::{Error, Kind, Run},
    metrics::Metrics,
    rendezvous,
    serving::{
        attempt_history::{self, RetryRules},
        backoff, buffer_memory,
        buffered::{self, LargeResponse},
        connection_cache, contact,
        crash_evidence::Content,
        dialect::{Departure, Dialect, Echo, Prompt, RouterHeaders, Verdict},
        dispatcher::{AttemptGuard, Dispatcher},
        fleet_state::Verification,
        hedge,
        key::TicketKey,
        outbound_connection::{self, Path},
        placement::{Grant, Ticket},
        rate_limit,
        relay::{Cut, Relay, Resume},
        request_metrics, retry_budget,
        stream_origin::{Origin, StreamKey, Unknown},
        stream_records::Records,
        table::{self, Customer, RetryPolicy, Route},
        upstream_response,
        usage::Meter,
    },
    time::{Span, Time},
    upstream,
    wire::Ending,
    witness::Witness,
};

/// Hop-by-hop and framing headers of a response, which are not forwarded to callers.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Time before the deadline that is left to pass on an answer.
const ANSWER_TIME: Span = Span::from_ms(20);

/// Least time between two log lines on the same subject.
const MIN_LOG_INTERVAL: Span = Span::from_ms(1_000);

/// An accepted request with its route.
#[derive(Debug, Clone)]
pub struct RoutedRequest {
    /// Id that the caller gave to this request; a caller's retry has another one.
    pub id: HeaderValue,
    /// Method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub path: String,
    /// The caller's headers that are forwarded to the upstream.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Id of the caller's request that brought the first event of that stream, if stated.
    pub resumes: Option<HeaderValue>,
    /// Description of the prompt, if the request is for an engine.
    pub prompt: Option<Prompt>,
    /// What in the request may crash upstreams.
    pub contents: Vec<Content>,
    /// Priority; tier 0 is served first.
    pub tier: u8,
    /// Customer of the request's key; `None` if the request has no valid key.
    pub customer: Option<Arc<Customer>>,
    /// Route that matched the host name and path.
    pub route: Arc<Route>,
    /// Time at which the request was accepted.
    pub accepted_at: Time,
    /// The earlier of the caller's deadline and the end of the route's timeout.
    pub deadline: Time,
    /// Time that the caller stated it waits; the route's timeout if it stated none.
    pub caller_timeout: Span,
}

/// Response for the caller.
#[derive(Debug)]
pub struct CallerResponse {
    /// Status of the upstream's response.
    pub status: StatusCode,
    /// Headers of the upstream's response without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Body, complete or still being received.
    pub body: Body,
}

/// Body of a caller's response.
#[derive(Debug)]
pub enum Body {
    /// A complete body.
    Complete(buffered::Complete),
    /// Events that are forwarded as they arrive.
    Stream(Box<Relay>),
    /// A body too large to buffer, which is forwarded as it arrives.
    Large(Box<LargeResponse>),
}

/// Runs requests against upstreams. Clones share all state.
pub struct Exchange<D> {
    shared: Rc<Shared<D>>,
}

impl<D> Clone for Exchange<D> {
    fn clone(&self) -> Exchange<D> {
        Exchange { shared: self.shared.clone() }
    }
}

/// What an exchange works with.
#[derive(Debug)]
pub struct Parts<D> {
    /// Reads and writes the headers of upstreams.
    pub dialect: Rc<D>,
    /// Selects the upstream of each attempt.
    pub dispatcher: Dispatcher,
    /// Knows which version began each stream.
    pub records: Records,
    /// How far the list of upstreams is verified.
    pub upstreams_verified: watch::Receiver<Verification>,
    /// Connections to upstreams.
    pub connections: connection_cache::Cache,
    /// Limits retries.
    pub retry_budget: retry_budget::Budget,
    /// Counts requests by customer.
    pub meter: Meter,
    /// Memory for responses that are not passed on yet.
    pub buffer_memory: buffer_memory::Memory,
    /// Metrics of the host.
    pub metrics: Metrics,
    /// Decides about copies of slow requests.
    pub hedger: RefCell<hedge::Hedger>,
    /// Whether the host is stopping.
    pub draining: watch::Receiver<bool>,
}

struct Shared<D> {
    parts: Parts<D>,
    tickets: Cell<u64>,
    contacts: RefCell<contact::Log>,
    /// When a `Retry-After` that is no time was last logged.
    invalid_backoff_logged: Cell<Time>,
    /// When a copy of a request was last logged.
    hedge_logged: Cell<Time>,
}

/// An attempt in flight.
#[derive(Debug, Clone)]
struct Sent {
    grant: Grant,
    at: Time,
}

impl<D> std::ops::Deref for Shared<D> {
    type Target = Parts<D>;

    fn deref(&self) -> &Parts<D> {
        &self.parts
    }
}

/// Returns what in a request may crash upstreams: each part of the prompt that other requests may share, and the request
/// as a whole.
pub fn contents(
    customer: Option<&str>,
    path: &str,
    body: &[u8],
    prompt: Option<&Prompt>,
) -> Vec<Content> {
    let parts = prompt.map_or(&[][..], |it| &it.parts);
    let ids: Vec<_> = parts.iter().flat_map(|it| it.id.to_be_bytes()).collect();
    let customer = customer.unwrap_or_default().as_bytes();
    let hash = rendezvous::hash(&[customer, path.as_bytes(), body, &ids]);
    let mut contents: Vec<_> =
        prompt.iter().flat_map(|it| it.shared_parts()).map(Content::Part).collect();
    contents.push(Content::Request(hash));
    contents.sort_unstable();
    contents.dedup();
    contents
}

impl RoutedRequest {
    /// Returns the id for log lines, `?` if it is not visible ASCII.
    fn log_id(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    /// Returns the id of the last event that the caller has, `None` if it takes up no stream.
    fn resumed_after(&self) -> Option<u64> {
        self.last_event_id.filter(|it| *it > 0)
    }

    /// Returns the id of the request that began a stream which the caller takes up, for log lines.
    fn log_resumes(&self) -> &str {
        self.resumes.as_ref().map_or("no request", |it| it.to_str().unwrap_or("?"))
    }

    /// Returns the ids of the prompt's shared parts for log lines, `none` without any.
    fn log_parts(&self) -> String {
        let shared = self.prompt.iter().flat_map(Prompt::shared_parts);
        let ids: Vec<_> = shared.map(|it| format!("{it:x}")).collect();
        if ids.is_empty() { "none".to_owned() } else { ids.join(",") }
    }
}

impl<D: Dialect> Exchange<D> {
    /// Creates an exchange from its parts.
    pub fn new(parts: Parts<D>) -> Exchange<D> {
        let shared = Shared {
            parts,
            tickets: Cell::new(0),
            contacts: RefCell::default(),
            invalid_backoff_logged: Cell::new(Time(0)),
            hedge_logged: Cell::new(Time(0)),
        };
        Exchange { shared: Rc::new(shared) }
    }

    /// Runs a request until its response is complete, or until the first event if the response is a stream.
    ///
    /// # Errors
    /// Returns why the request has no response; `run` tells whether an upstream may have run it.
    pub async fn run(&self, request: RoutedRequest) -> Result<CallerResponse, Error> {
        let request = Rc::new(request);
        let origin = self.origin(&request).await?;
        let pool = match &origin {
            Some(origin) => origin.pool.clone(),
            None => select_pool(&request),
        };
        let version = origin.and_then(|it| it.version);
        self.shared.retry_budget.record_request(&pool);
        if may_be_hedged(&request) {
            self.shared.hedger.borrow_mut().record_request(&pool);
        }
        let mut history = attempt_history::History::default();
        // A 5xx response of an upstream, which is returned if no retry gets a better one.
        let mut server_error = None;
        loop {
            let upstream_response = match self
                .send_until_response(&request, &pool, &mut history, (None, &version))
                .await
            {
                Ok(upstream_response) => upstream_response,
                Err(error) => return server_error.ok_or(error),
            };
            let instance = upstream_response.instance.clone();
            match self.caller_response(&request, &pool, &mut history, upstream_response).await {
                Ok(response) if response.status.is_server_error() => {
                    if !self.may_retry(&request, &pool, &history, true) {
                        return Ok(response);
                    }
                    server_error = Some(response);
                }
                Ok(response) => return Ok(response),
                Err(failure) => {
                    history.record_failure(failure);
                    self.count_cut(failure, "head");
                    let retry = self.may_retry(&request, &pool, &history, true);
                    log::info!(
                        "request {} failed at {instance} after the head of the answer: {}, parts {}, {}",
                        request.log_id(),
                        failure.kind.answer().name,
                        request.log_parts(),
                        retry_text(retry),
                    );
                    if !retry {
                        return server_error.ok_or(final_error(failure, &history));
                    }
                }
            }
        }
    }

    /// Counts a request that an upstream has begun to run towards its customer's usage. Counts it once, even if it is
    /// retried.
    fn count_usage(&self, request: &RoutedRequest, history: &mut attempt_history::History) {
        if let Some(customer) = &request.customer
            && history.mark_counted()
        {
            self.shared.meter.count(&customer.name);
        }
    }

    /// Places and sends a request, with retries, until an upstream sends the head of its response.
    ///
    /// # Errors
    /// Returns the error for the caller after the last permitted attempt.
    async fn send_until_response(
        &self,
        request: &RoutedRequest,
        pool: &Arc<str>,
        history: &mut attempt_history::History,
        (resume_after, version): (Option<&str>, &Option<Arc<str>>),
    ) -> Result<upstream_response::Response, Error> {
        loop {
            let mut ticket = self.new_ticket(request, pool, history);
            ticket.version.clone_from(version);
            if version.is_none() && request.route.retry_policy == RetryPolicy::Resume {
                ticket.avoided = self.shared.records.unconfirmed(pool);
            }
            let time_left = request.deadline.since(Time::now());
            let placed = timeout(time_left.into(), self.shared.dispatcher.submit(ticket)).await;
            let late = |_| Error::new(Kind::QueueTimeout, "no upstream was free in time");
            let placed = placed.map_err(late).flatten();
            let (grant, guard) = placed.map_err(|error| history.caller_error(error))?;
            if grant.limit.is_some() {
                self.shared.metrics.limited_send(attempt_label(history, resume_after));
            }
            history.record_send(grant.upstream);
            let sent = Sent { grant, at: Time::now() };
            let answer = match self.hedge_delay(request, pool, history, &sent) {
                Some(delay) => {
                    // Boxed, as the futures of all requests would otherwise have room for two attempts.
                    let sent = (&sent, guard);
                    Box::pin(self.send_hedged(request, pool, history, sent, delay)).await
                }
                None => {
                    let target = (&sent.grant, version.is_some());
                    let answer = self.send(request, target, guard, resume_after).await;
                    self.record_first_byte(request, pool, &sent, &answer);
                    answer.map_err(|it| (sent, it))
                }
            };
            match answer {
                Ok(response) => return Ok(response),
                Err((sent, failure)) => {
                    history.record_failure(failure);
                    let retry = self.may_retry(request, pool, history, failure.reached_upstream);
                    self.report_failure(request, &sent, failure, retry_text(retry));
                    if !retry {
                        return Err(final_error(failure, history));
                    }
                }
            }
        }
    }

    /// Returns how long to wait for an answer before a copy of the request is due, `None` if none may be sent.
    fn hedge_delay(
        &self,
        request: &RoutedRequest,
        pool: &Arc<str>,
        history: &attempt_history::History,
        sent: &Sent,
    ) -> Option<Span> {
        let mut hedger = self.shared.hedger.borrow_mut();
        let now = Time::now();
        let may_hedge = hedger.is_active()
            && may_be_hedged(request)
            && history.may_hedge(now, retry_rules(request));
        if !may_hedge {
            return None;
        }
        let path = hedge::Path { pool, route: &request.route.name };
        let time_left = request.deadline.since(now);
        hedger.delay(now, path, sent.grant.expected_first_byte, time_left)
    }

    /// Sends a request, and a copy of it to another upstream if there is no answer after `delay`. The first answer counts,
    /// unless it is the upstream's own failure and the other attempt may still get a better one. The other attempt is
    /// cancelled, which closes its connection.
    ///
    /// # Errors
    /// Returns the last failure with its attempt if neither gets an answer.
    async fn send_hedged(
        &self,
        request: &RoutedRequest,
        pool: &Arc<str>,
        history: &mut attempt_history::History,
        (first, guard): (&Sent, AttemptGuard),
        delay: Span,
    ) -> Result<upstream_response::Response, (Sent, attempt_history::Failure)> {
        let mut first_answer = pin!(self.send(request, (&first.grant, false), guard, None));
        let placing = async {
            sleep(delay.into()).await;
            self.place_copy(request, pool, history).await
        };
        let only_answer = tokio::select! {
            biased;
            answer = &mut first_answer => Err(answer),
            placed = placing => match placed {
                Ok(placed) => Ok(placed),
                Err(denial) => {
                    self.shared.metrics.hedge_denied(denial.as_str());
                    Err(first_answer.as_mut().await)
                }
            },
        };
        let (grant, guard) = match only_answer {
            Ok(placed) => placed,
            Err(answer) => {
                self.record_first_byte(request, pool, first, &answer);
                return answer.map_err(|it| (first.clone(), it));
            }
        };
        history.record_send(grant.upstream);
        let copy = Sent { grant, at: Time::now() };
        let recorder = request_metrics::Hedge::start(self.shared.metrics.clone(), copy.at);
        let mut copy_answer = pin!(self.send(request, (&copy.grant, false), guard, None));
        let (is_copy, answer) = tokio::select! {
            biased;
            answer = &mut first_answer => (false, answer),
            answer = &mut copy_answer => (true, answer),
        };
        let (attempt, other) = if is_copy { (&copy, first) } else { (first, &copy) };
        self.record_first_byte(request, pool, attempt, &answer);
        let outcome_of = |is_copy| if is_copy { hedge::Outcome::Won } else { hedge::Outcome::Lost };
        let server_error = match answer {
            Ok(response) if !response.http.status().is_server_error() => {
                history.record_cancelled();
                if is_copy {
                    self.shared.dispatcher.record_overtaken(first.grant.attempt);
                    self.record_gain(request, pool, first);
                }
                self.end_hedge(request, (first, &copy), (pool, recorder), outcome_of(is_copy));
                return Ok(response);
            }
            Ok(response) => Some(response),
            Err(failure) => {
                history.record_failure(failure);
                self.report_failure(request, attempt, failure, "the other attempt goes on");
                None
            }
        };
        let other_answer = async { if is_copy { first_answer.await } else { copy_answer.await } };
        let other_answer = match server_error {
            None => other_answer.await,
            Some(_) => {
                let time_left = request.deadline.since(Time::now() + ANSWER_TIME);
                let late = |_| attempt_history::Failure::sent(Kind::UpstreamTimeout);
                timeout(time_left.into(), other_answer).await.map_err(late).flatten()
            }
        };
        self.record_first_byte(request, pool, other, &other_answer);
        let (outcome, answer) = match (server_error, other_answer) {
            (None, Ok(response)) => (outcome_of(!is_copy), Ok(response)),
            (None, Err(failure)) => (hedge::Outcome::Failed, Err((other.clone(), failure))),
            (Some(_), Ok(response)) if !response.http.status().is_server_error() => {
                history.record_cancelled();
                (outcome_of(!is_copy), Ok(response))
            }
            (Some(response), Ok(_)) => {
                history.record_cancelled();
                (outcome_of(is_copy), Ok(response))
            }
            (Some(response), Err(failure)) => {
                history.record_failure(failure);
                self.report_failure(request, other, failure, "the other attempt has an answer");
                (outcome_of(is_copy), Ok(response))
            }
        };
        self.end_hedge(request, (first, &copy), (pool, recorder), outcome);
        answer
    }

    /// Selects another upstream for the copy of a request that waits for its answer.
    ///
    /// # Errors
    /// Returns why no copy may be sent.
    async fn place_copy(
        &self,
        request: &RoutedRequest,
        pool: &Arc<str>,
        history: &attempt_history::History,
    ) -> Result<(Grant, AttemptGuard), hedge::Denial> {
        if *self.shared.draining.borrow() {
            return Err(hedge::Denial::Draining);
        }
        self.shared.hedger.borrow_mut().check(pool)?;
        let ticket = Ticket { is_hedge: true, ..self.new_ticket(request, pool, history) };
        let placed = self.shared.dispatcher.submit(ticket).await;
        let (grant, guard) = placed.map_err(|error| match error.kind {
            Kind::Shed => hedge::Denial::Busy,
            Kind::Quarantined => hedge::Denial::Content,
            _ => hedge::Denial::NoUpstream,
        })?;
        // Other requests may have used the share up meanwhile.
        let mut hedger = self.shared.hedger.borrow_mut();
        let allowed = hedger.check(pool).and_then(|()| {
            let is_granted = self.shared.retry_budget.try_retry(pool);
            is_granted.then_some(()).ok_or(hedge::Denial::RetryBudget)
        });
        match allowed {
            Ok(()) => {
                hedger.record_copy(pool);
                Ok((grant, guard))
            }
            Err(denial) => {
                guard.end(Ending::Unused);
                Err(denial)
            }
        }
    }

    /// Records the time to the first byte of an answer. An upstream's own failures may be faster than its answers.
    fn record_first_byte(
        &self,
        request: &RoutedRequest,
        pool: &Arc<str>,
        sent: &Sent,
        answer: &Result<upstream_response::Response, attempt_history::Failure>,
    ) {
        let mut hedger = self.shared.hedger.borrow_mut();
        let is_answered = answer.as_ref().is_ok_and(|it| !it.http.status().is_server_error());
        if is_answered && !request.route.stream && hedger.is_active() {
            let (now, path) = (Time::now(), hedge::Path { pool, route: &request.route.name });
            let expected = sent.grant.expected_first_byte;
            hedger.record_first_byte(now, path, expected, now.since(sent.at));
        }
    }

    /// Records the time that the caller gains as a copy answered before its first attempt, which is cancelled.
    fn record_gain(&self, request: &RoutedRequest, pool: &Arc<str>, first: &Sent) {
        let mut hedger = self.shared.hedger.borrow_mut();
        let (now, path) = (Time::now(), hedge::Path { pool, route: &request.route.name });
        let (expected, elapsed) = (first.grant.expected_first_byte, now.since(first.at));
        let gained = hedger.time_gained(now, path, expected, elapsed);
        self.shared.metrics.hedge_gained(gained.into());
        hedger.record_first_byte(now, path, expected, elapsed);
    }

    /// Records how a request ended that was sent to two upstreams.
    fn end_hedge(
        &self,
        request: &RoutedRequest,
        (first, copy): (&Sent, &Sent),
        (pool, recorder): (&Arc<str>, request_metrics::Hedge),
        outcome: hedge::Outcome,
    ) {
        recorder.end(outcome);
        self.shared.hedger.borrow_mut().record_outcome(pool, outcome);
        let now = Time::now();
        if now.since(self.shared.hedge_logged.get()) >= MIN_LOG_INTERVAL {
            self.shared.hedge_logged.set(now);
            log::info!(
                "request {} was also sent to {}, as {} had not answered after {} ms: {} after {} ms",
                request.log_id(),
                copy.grant.instance,
                first.grant.instance,
                copy.at.since(first.at).as_ms(),
                outcome.as_str(),
                now.since(first.at).as_ms(),
            );
        }
    }

    /// Counts and logs the failure of an attempt without the head of an answer; `next` says what follows.
    fn report_failure(
        &self,
        request: &RoutedRequest,
        sent: &Sent,
        failure: attempt_history::Failure,
        next: &str,
    ) {
        self.count_cut(failure, "none");
        log::info!(
            "request {} failed at {}, first byte expected after {} ms: {} after {} ms, run {}, parts {}, {next}",
            request.log_id(),
            sent.grant.instance,
            sent.grant.expected_first_byte.as_ms(),
            failure.kind.answer().name,
            Time::now().since(sent.at).as_ms(),
            failure.run.as_str(),
            request.log_parts(),
        );
    }

    /// Counts an attempt that the upstream cut; `answer` says how much of the answer had arrived.
    fn count_cut(&self, failure: attempt_history::Failure, answer: &str) {
        if failure.kind == Kind::UpstreamCut {
            self.shared.metrics.attempt_cut(answer);
        }
    }

    /// Whether a request may be retried. An attempt that reached an upstream makes the retry count against the retry
    /// budget.
    fn may_retry(
        &self,
        request: &RoutedRequest,
        pool: &Arc<str>,
        history: &attempt_history::History,
        reached_upstream: bool,
    ) -> bool {
        history.may_retry(Time::now(), retry_rules(request))
            && (!reached_upstream || self.shared.retry_budget.try_retry(pool))
    }

    /// Sends a request on a connection to its upstream and waits for the head of the response.
    ///
    /// A cached connection that turns out to be closed before anything was written is replaced by another one. With
    /// `needs_version`, nothing is sent unless the version of the upstream is known.
    async fn send(
        &self,
        request: &RoutedRequest,
        (grant, needs_version): (&Grant, bool),
        guard: AttemptGuard,
        resume_after: Option<&str>,
    ) -> Result<upstream_response::Response, attempt_history::Failure> {
        let retryable = request.route.retry_policy != RetryPolicy::Never;
        loop {
            let taken = self.shared.connections.take(grant.into(), retryable).await;
            let Ok(mut connection) = taken else {
                // Says nothing about the upstream if this host reaches none.
                let ending = if self.shared.connections.dialer().is_cut_off() {
                    Ending::Unused
                } else {
                    self.record_refusal(grant);
                    Ending::Refused
                };
                guard.end(ending);
                return Err(attempt_history::Failure::unsent(Kind::UpstreamConnect));
            };
            let time_left = request.deadline.since(Time::now());
            if time_left == Span(0) {
                guard.end(Ending::Unused);
                return Err(attempt_history::Failure::unsent(Kind::QueueTimeout));
            }
            if grant.send_by.is_some_and(|it| Time::now() >= it) {
                guard.end(Ending::Unused);
                return Err(attempt_history::Failure::unsent(Kind::Shed));
            }
            // The upstream may have said since the grant that it leaves or wants a pause, its zone may be evacuated, or it
            // may have become cold; connecting takes time.
            if grant.leaves.get() || grant.evacuated.get() {
                guard.end(Ending::Unused);
                return Err(attempt_history::Failure::unsent(Kind::NoUpstream));
            }
            // A request that this host forwarded for another one may have been refused meanwhile.
            if let Some(until) = self.shared.connections.dialer().held_until(grant.incarnation) {
                grant.gate.close(Time::now(), until);
            }
            let lacks_permit = grant.send_by.is_none() && Time::now() < grant.cold_until.get();
            if guard.is_held() || lacks_permit {
                guard.end(Ending::Unused);
                return Err(attempt_history::Failure::unsent(Kind::Shed));
            }
            let is_listed = self.is_listed(grant, &connection);
            guard.record_process(self.listed_since(&connection));
            if needs_version && !is_listed {
                log::info!(
                    "request {} is not sent to {}: another process may have taken its place, so that its version is not known",
                    request.log_id(),
                    grant.instance
                );
                self.shared.connections.put(grant.upstream, connection);
                guard.end(Ending::Unused);
                return Err(attempt_history::Failure::unsent(Kind::NoUpstream));
            }
            let upstream_request = self.upstream_request(request, grant, time_left, resume_after);
            let (used, was_cached) = (connection.used, connection.was_cached);
            let sent_at = Time::now();
            let path = connection.path;
            let lost = self.path_lost(path, retryable);
            let sending = tokio::select! {
                biased;
                response = timeout(time_left.into(), connection.send(upstream_request)) => response,
                () = lost => {
                    log::info!(
                        "request {} gets no answer from {} on a path that is lost",
                        request.log_id(),
                        grant.instance
                    );
                    guard.end(Ending::Unused);
                    return Err(attempt_history::Failure::sent(Kind::UpstreamCut));
                }
            };
            let response = match sending {
                Ok(Ok(response)) => response,
                Ok(Err(outbound_connection::SendError::Unsent)) if was_cached => continue,
                Ok(Err(outbound_connection::SendError::Unsolicited)) => {
                    self.shared.metrics.upstream_answered("unsolicited", "unread");
                    self.pause_reuse(grant);
                    if was_cached {
                        continue;
                    }
                    guard.end(Ending::Refused);
                    return Err(attempt_history::Failure::unsent(Kind::UpstreamConnect));
                }
                Ok(Err(outbound_connection::SendError::Unsent)) => {
                    self.record_refusal(grant);
                    guard.end(Ending::Refused);
                    return Err(attempt_history::Failure::unsent(Kind::UpstreamConnect));
                }
                Ok(Err(outbound_connection::SendError::Garbled(why))) => {
                    log::info!(
                        "request {} got bytes from {} that are no answer: {why}",
                        request.log_id(),
                        grant.instance
                    );
                    if used {
                        self.pause_reuse(grant);
                    }
                    guard.end(Ending::Invalid);
                    return Err(attempt_history::Failure::sent(Kind::UpstreamCut));
                }
                Ok(Err(outbound_connection::SendError::Sent(why))) => {
                    log::debug!("request {} failed at {}: {why}", request.log_id(), grant.instance);
                    guard.end(Ending::Failed);
                    return Err(attempt_history::Failure::sent(Kind::UpstreamCut));
                }
                Err(_) => {
                    guard.end(Ending::TimedOut);
                    return Err(attempt_history::Failure::sent(Kind::UpstreamTimeout));
                }
            };
            return self.check_response(
                request,
                (grant, used, is_listed),
                (response, sent_at),
                connection,
                guard,
            );
        }
    }

    /// Waits until the path of a connection is lost and the request can be sent again. Never returns if it may run only once.
    async fn path_lost(&self, path: Path, retryable: bool) {
        self.shared.connections.dialer().path_lost(path).await;
        if !retryable {
            std::future::pending().await
        }
    }

    /// Whether the process behind a connection is known to be the one that the list of upstreams describes.
    fn is_listed(&self, grant: &Grant, connection: &outbound_connection::Connection) -> bool {
        let verification = *self.shared.upstreams_verified.borrow();
        self.shared.contacts.borrow().confirms(grant.upstream, connection.opened_at, verification)
    }

    /// Returns the time since which the process behind a connection is known to be the listed one. An upstream that crashed
    /// may have started again under its id before the connection was opened.
    fn listed_since(&self, connection: &outbound_connection::Connection) -> Time {
        let verification = *self.shared.upstreams_verified.borrow();
        let is_shown = contact::Log::is_shown(connection.opened_at, verification);
        if is_shown { Time(0) } else { connection.opened_at }
    }

    /// Records that the upstream refused a connection.
    fn record_refusal(&self, grant: &Grant) {
        self.shared.contacts.borrow_mut().record_refusal(Time::now(), grant.upstream);
    }

    fn check_response(
        &self,
        request: &RoutedRequest,
        (grant, used, is_listed): (&Grant, bool, bool),
        (response, sent_at): (Response<Incoming>, Time),
        connection: outbound_connection::Connection,
        guard: AttemptGuard,
    ) -> Result<upstream_response::Response, attempt_history::Failure> {
        self.shared.connections.dialer().record_response(connection.path);
        let (head, body) = response.into_parts();
        let verdict = self.shared.dialect.verdict(&request.id, &head);
        let echo = self.shared.dialect.echo(&request.id, &head);
        self.shared.metrics.upstream_answered(verdict.as_str(), echo.as_str());
        if echo != Echo::Own || !head.status.is_success() {
            log::info!(
                "request {} got status {} from {} with {} id on a {} connection: {}",
                request.log_id(),
                head.status.as_u16(),
                grant.instance,
                echo.as_str(),
                if used { "used" } else { "new" },
                verdict.as_str(),
            );
        }
        if verdict.speaks_for_upstream() {
            self.record_limit(grant, (&head, sent_at), &guard);
            self.record_departure(grant, &head, &guard);
            self.record_backoff(grant, &head, &guard, connection.path);
            if let Some(report) = self.shared.dialect.reported_load(&head) {
                guard.record_report(report);
            }
        }
        if verdict == Verdict::Foreign && used {
            self.pause_reuse(grant);
        }
        match verdict {
            Verdict::Valid => {
                guard.record_head();
                let mut contacts = self.shared.contacts.borrow_mut();
                contacts.record_answer(grant.upstream, connection.opened_at, sent_at);
                let response = Response::from_parts(head, body);
                let ends_with_connection = upstream::ends_with_connection(&response);
                let is_watched = ends_with_connection && connection.path == Path::Direct;
                Ok(upstream_response::Response {
                    ends_with_connection,
                    witness: is_watched
                        .then(|| Witness::spawn(grant.instance.clone(), grant.address)),
                    http: response,
                    connection,
                    guard,
                    target: grant.into(),
                    instance: grant.instance.clone(),
                    version: grant.version.clone().filter(|_| is_listed),
                })
            }
            Verdict::NotRun => {
                guard.end(Ending::Refused);
                let connections = self.shared.connections.clone();
                tokio::task::spawn_local(buffered::discard_refusal(
                    grant.upstream,
                    body,
                    connection,
                    connections,
                ));
                Err(attempt_history::Failure::refused(Kind::Shed))
            }
            Verdict::Misdirected => {
                guard.end(Ending::Refused);
                Err(attempt_history::Failure::refused(Kind::NoUpstream))
            }
            Verdict::Unmarked => {
                // The upstream's own answer, which says nothing about its health.
                guard.end(Ending::Unused);
                Err(attempt_history::Failure::sent(Kind::UpstreamInvalid))
            }
            Verdict::Foreign | Verdict::Invalid => {
                guard.end(Ending::Invalid);
                Err(attempt_history::Failure::sent(Kind::UpstreamInvalid))
            }
        }
    }

    /// Uses the connections of an upstream only once for some time.
    fn pause_reuse(&self, grant: &Grant) {
        if self.shared.connections.pause_reuse(grant.upstream) {
            log::info!(
                "upstream {} sent an answer that belongs to no request; its connections are not used again for now",
                grant.instance
            );
        }
    }

    /// Records the rate limit that a response of the upstream names. A refusal or failure without one does not end a
    /// limit, as it may come from before the upstream looked at its load.
    fn record_limit(
        &self,
        grant: &Grant,
        (head, sent_at): (&http::response::Parts, Time),
        guard: &AttemptGuard,
    ) {
        match self.shared.dialect.named_limit(head) {
            rate_limit::Named::Nothing if !head.status.is_success() => {}
            rate_limit::Named::Invalid => {
                log::warn!("upstream {} names a limit that is no rate; ignored", grant.instance);
            }
            named => guard.record_limit(sent_at, named),
        }
    }

    /// Records that the upstream leaves if its response says so.
    fn record_departure(&self, grant: &Grant, head: &http::response::Parts, guard: &AttemptGuard) {
        match self.shared.dialect.departure(head) {
            Departure::Unannounced => {}
            Departure::Announced => guard.record_departure(),
            Departure::Invalid => log::warn!(
                "a response of upstream {} says neither that it leaves nor that it stays; ignored",
                grant.instance
            ),
        }
    }

    /// Backs off from an upstream whose response to this request asks for it.
    fn record_backoff(
        &self,
        grant: &Grant,
        head: &http::response::Parts,
        guard: &AttemptGuard,
        path: Path,
    ) {
        match self.shared.dialect.named_backoff(head) {
            backoff::Named::Nothing | backoff::Named::For(Span(0)) => {}
            backoff::Named::For(time) => {
                self.shared.metrics.backoff_named("valid");
                let dialer = self.shared.connections.dialer();
                dialer.pass_on_hold(path, grant.incarnation, time);
                if guard.record_backoff(time) {
                    log::info!(
                        "upstream {} takes no requests of this host for {} ms; it gets none, then one at first",
                        grant.instance,
                        time.as_ms()
                    );
                }
            }
            backoff::Named::Invalid => {
                self.shared.metrics.backoff_named("invalid");
                let now = Time::now();
                if now.since(self.shared.invalid_backoff_logged.get()) >= MIN_LOG_INTERVAL {
                    self.shared.invalid_backoff_logged.set(now);
                    log::warn!(
                        "upstream {} refuses requests for a time that cannot be read; ignored",
                        grant.instance
                    );
                }
            }
        }
    }

    /// Turns an upstream's response into the caller's: a stream after its first events, another one when it is complete
    /// or too large to buffer.
    async fn caller_response(
        &self,
        request: &Rc<RoutedRequest>,
        pool: &Arc<str>,
        history: &mut attempt_history::History,
        mut response: upstream_response::Response,
    ) -> Result<CallerResponse, attempt_history::Failure> {
        let status = response.http.status();
        // Headers that stay would keep the read buffer that they were cut from.
        let headers = response_headers(std::mem::take(response.http.headers_mut()));
        if request.route.stream && status.is_success() {
            let (instance, version) = (response.instance.clone(), response.version.clone());
            let resume = self.clone().resume_fn(request.clone(), pool.clone(), history.clone());
            let connections = self.shared.connections.clone();
            let reservation = self.shared.buffer_memory.reservation();
            let relay = Relay::new(
                response,
                request.last_event_id,
                connections,
                request.deadline,
                resume,
                reservation,
            );
            let may_resume = request.route.retry_policy == RetryPolicy::Resume;
            let relay = relay.with_id(request.log_id()).resumable(may_resume);
            let relay = relay.receive_first().await?;
            if let Some(after) = request.resumed_after() {
                log::info!(
                    "stream {} is taken up after event {after} at {instance} of version {}; {} began it",
                    request.log_id(),
                    version.as_deref().unwrap_or("unknown"),
                    request.log_resumes(),
                );
            }
            if request.route.retry_policy == RetryPolicy::Resume {
                let first = request.resumes.as_ref().filter(|_| request.resumed_after().is_some());
                let origin = Origin { pool: pool.clone(), version };
                let id = first.unwrap_or(&request.id);
                self.shared.records.record(id, origin, &request.route);
            }
            self.count_usage(request, history);
            let body = Body::Stream(Box::new(relay));
            return Ok(CallerResponse { status, headers, body });
        }
        self.count_usage(request, history);
        response.guard.record_activity();
        let (reservation, connections) =
            (self.shared.buffer_memory.reservation(), self.shared.connections.clone());
        let body = match LargeResponse::new(response, reservation, connections, request.deadline)
            .buffer()
            .await?
        {
            buffered::Buffered::Complete(body) => Body::Complete(body),
            buffered::Buffered::Large(large) => Body::Large(large),
        };
        history.record_answer();
        Ok(CallerResponse { status, headers, body })
    }

    /// Returns the function that resumes a stream on another upstream, if the route allows it.
    fn resume_fn(
        self,
        request: Rc<RoutedRequest>,
        pool: Arc<str>,
        history: attempt_history::History,
    ) -> Resume {
        let history = Rc::new(RefCell::new(history));
        Box::new(move |cut| {
            let (exchange, request, pool) = (self.clone(), request.clone(), pool.clone());
            let shared_history = history.clone();
            Box::pin(async move {
                let mut history = shared_history.take();
                history.record_failure(cut.failure);
                let response = exchange.resume_stream(&request, &pool, &mut history, cut).await;
                shared_history.replace(history);
                response
            })
        })
    }

    /// Sends a stream's request to another upstream, to resume after the last event that the caller received.
    async fn resume_stream(
        &self,
        request: &RoutedRequest,
        pool: &Arc<str>,
        history: &mut attempt_history::History,
        cut: Cut,
    ) -> Option<upstream_response::Response> {
        let (id, why) = (request.log_id(), cut.failure.kind.answer().name);
        let after = cut.after.map(|it| it.to_string());
        let event = after.as_deref().unwrap_or("none");
        self.count_cut(cut.failure, if cut.events < 2 { "begun" } else { "gone_on" });
        log::info!(
            "stream {id} broken off at {} of version {} after {} events of this attempt, the last event {event}: {why}, parts {}",
            cut.instance,
            cut.version.as_deref().unwrap_or("unknown"),
            cut.events,
            request.log_parts(),
        );
        // A version that is not known may be any.
        if cut.version.is_none()
            || request.route.retry_policy != RetryPolicy::Resume
            || !self.may_retry(request, pool, history, true)
        {
            log::info!("stream {id} cut after event {event}: {why}, not resumed");
            return None;
        }
        let target = (after.as_deref(), &cut.version);
        match self.send_until_response(request, pool, history, target).await {
            Ok(response) if response.http.status().is_success() => {
                log::info!(
                    "stream {id} resumed after event {event} at {} of version {}: {why}",
                    response.instance,
                    response.version.as_deref().unwrap_or("unknown"),
                );
                Some(response)
            }
            Ok(response) => {
                let status = response.http.status();
                log::info!(
                    "stream {id} cut after event {event}: resume attempt returned status {status}"
                );
                None
            }
            Err(error) => {
                log::info!("stream {id} cut after event {event}: resume attempt failed: {error}");
                None
            }
        }
    }

    /// Returns where the stream began that a request takes up, `None` if it takes up none.
    ///
    /// # Errors
    /// `NoUpstream` if that is not known, or the route does not lead there any more.
    async fn origin(&self, request: &RoutedRequest) -> Result<Option<Origin>, Error> {
        let Some(after) = request.resumed_after() else { return Ok(None) };
        if request.route.retry_policy != RetryPolicy::Resume {
            return Ok(None);
        }
        let route = &request.route;
        let began = Time::now();
        let origin = self.shared.records.find(request.resumes.as_ref(), route.clone()).await;
        let leads_to = |it: &Origin| route.destinations.iter().any(|to| to.pool == it.pool);
        let why = match origin {
            Ok(origin) if origin.version.is_none() => Unknown::Unversioned,
            Ok(origin) if !leads_to(&origin) => Unknown::Moved,
            Ok(origin) => {
                self.shared.metrics.stream_taken_up("known");
                return Ok(Some(origin));
            }
            Err(why) => why,
        };
        self.shared.metrics.stream_taken_up(why.as_str());
        log::info!(
            "stream {} does not go on after event {after}: the version that began it is not known, {} after {} ms; {} began it",
            request.log_id(),
            why.as_str(),
            Time::now().since(began).as_ms(),
            request.log_resumes(),
        );
        let error = Error::new(Kind::NoUpstream, "the version that began the stream is not known");
        Err(error.with_retry_after_ms(UNKNOWN_ORIGIN_RETRY_AFTER_MS))
    }

    fn new_ticket(
        &self,
        request: &RoutedRequest,
        pool: &Arc<str>,
        history: &attempt_history::History,
    ) -> Ticket {
        let number = self.shared.tickets.get() + 1;
        self.shared.tickets.set(number);
        Ticket {
            key: TicketKey(number),
            pool: pool.clone(),
            tier: request.tier,
            customer: request.customer.as_ref().map(|it| it.name.clone()),
            route: request.route.name.clone(),
            max_gap_ms: request.route.max_gap_ms,
            prompt: request.prompt.clone(),
            target: request.accepted_at + Span::from_ms(request.route.target_ms),
            deadline: request.deadline,
            tried: history.tried.clone(),
            contents: request.contents.clone(),
            version: None,
            avoided: Vec::new(),
            is_hedge: false,
        }
    }

    fn upstream_request(
        &self,
        request: &RoutedRequest,
        grant: &Grant,
        time_left: Span,
        resume_after: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let mut headers = request.headers.clone();
        let router_headers = RouterHeaders {
            id: &request.id,
            instance: &grant.instance,
            time_left: request.caller_timeout.min(time_left),
            customer: request.customer.as_ref().map(|it| &*it.name),
            priority: request.prompt.is_some().then_some(request.tier),
            resume_after,
        };
        self.shared.dialect.add_router_headers(&mut headers, &router_headers);
        let mut upstream_request = Request::new(Full::new(request.body.clone()));
        *upstream_request.method_mut() = request.method.clone();
        *upstream_request.uri_mut() = request.path.parse::<Uri>().unwrap_or_default();
        *upstream_request.headers_mut() = headers;
        upstream_request
    }
}

/// Selects the pool of a request by its id, so that other hosts know where a stream began.
fn select_pool(request: &RoutedRequest) -> Arc<str> {
    let key = StreamKey::of(request.id.as_bytes());
    table::select(&request.route.destinations, key).map_or_else(|| "".into(), Arc::clone)
}

/// Whether a request may be sent to a second upstream while the first one has not answered. Streams may not, as both
/// upstreams would run the stream. Whole answers of engines may not, as their time depends on the length of the output.
fn may_be_hedged(request: &RoutedRequest) -> bool {
    let route = &request.route;
    route.retry_policy == RetryPolicy::Always && !route.stream && request.prompt.is_none()
}

fn retry_rules(request: &RoutedRequest) -> RetryRules {
    RetryRules {
        retry_policy: request.route.retry_policy,
        max_attempts: request.route.max_attempts,
        deadline: request.deadline,
    }
}

/// Returns the error for the caller after the last failed attempt. A request that did not run may be retried by the
/// caller.
fn final_error(failure: attempt_history::Failure, history: &attempt_history::History) -> Error {
    let error = Error::new(failure.kind, error_message(failure.kind));
    if history.run_status() != Run::No {
        return history.caller_error(error);
    }
    let kind = match failure.kind {
        Kind::UpstreamConnect => Kind::NoUpstream,
        kind => kind,
    };
    Error { kind, ..error }.with_retry_after_ms(NOT_RUN_RETRY_AFTER_MS)
}

fn retry_text(retry: bool) -> &'static str {
    if retry { "retrying" } else { "not retried" }
}

/// Label of the next attempt in metrics.
fn attempt_label(history: &attempt_history::History, resume_after: Option<&str>) -> &'static str {
    match resume_after {
        Some(_) => "resume",
        None if history.tried.is_empty() => "first",
        None => "retry",
    }
}

/// `Retry-After` of a stream of which it is not known where it began, in milliseconds. Records are written more often.
const UNKNOWN_ORIGIN_RETRY_AFTER_MS: u64 = 400;

/// `Retry-After` of a request that did not run, in milliseconds.
const NOT_RUN_RETRY_AFTER_MS: u64 = 100;

fn response_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers
}

fn error_message(kind: Kind) -> &'static str {
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
