//! Task that asks other hosts for permits to send to rate-limited upstreams, and grants them permits.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use tokio::{
    sync::{mpsc, watch},
    task,
};

use crate::{
    metrics::Metrics,
    serving::{
        cold,
        dispatcher::{Dispatcher, PermitAnswer},
        key::{TicketKey, UpstreamKey},
        messages,
        peers::{Peers, PermitCall},
        rate_limit::{Ask, Decision, Limit, Limiter, Rate},
        roster::Roster,
        tier::TIERS,
    },
    time::{Span, Time},
};

/// Time for which a host that did not answer is not asked again.
const BACKOFF: Span = Span::from_ms(1_000);

/// Retry delay after which a host that no limiter answers asks again.
const UNANSWERED_DELAY: Span = Span::from_ms(100);

/// Bit of the tier in a request that is about the pace of a cold upstream. Hosts of earlier versions take such a tier for the
/// least urgent one.
const COLD_BIT: u8 = 0x80;

/// What the dispatcher wants of the limiters of an upstream.
#[derive(Debug, Clone, Copy)]
pub enum Message {
    /// A permit for the ticket.
    Ask(TicketKey, UpstreamKey, Ask),
    /// Tell them that the limit ended.
    Report(Ask),
}

/// Dependencies of the task.
pub struct Options {
    /// Id of this host.
    pub host: String,
    /// Registered hosts.
    pub roster: watch::Receiver<Rc<Roster>>,
    /// When this host last verified its state of the fleet.
    pub verified_at: watch::Receiver<Option<Time>>,
    /// Messages of this host's dispatcher.
    pub messages: mpsc::UnboundedReceiver<Message>,
    /// Requests of other hosts.
    pub calls: mpsc::Receiver<PermitCall>,
    /// Receives the answers.
    pub dispatcher: Dispatcher,
    /// Metrics of this host.
    pub metrics: Metrics,
}

/// Spawns the task on the current thread.
pub fn spawn(options: Options) {
    let Options { host, roster, verified_at, mut messages, mut calls, dispatcher, metrics } =
        options;
    let task = Rc::new(Task {
        host,
        roster,
        verified_at,
        dispatcher,
        metrics,
        limiter: RefCell::default(),
        peers: Peers::default(),
        skipped: RefCell::default(),
    });
    task::spawn_local(async move {
        loop {
            tokio::select! {
                Some(message) = messages.recv() => {
                    task::spawn_local(task.clone().handle(message));
                }
                Some((request, reply)) = calls.recv() => {
                    // The requesting host may have timed out.
                    let _ = reply.send(task.respond(request));
                }
                else => return,
            }
        }
    });
}

struct Task {
    host: String,
    roster: watch::Receiver<Rc<Roster>>,
    verified_at: watch::Receiver<Option<Time>>,
    dispatcher: Dispatcher,
    metrics: Metrics,
    limiter: RefCell<Limiter>,
    peers: Peers,
    /// Hosts that did not answer, each with the time until which it is not asked.
    skipped: RefCell<Vec<(SocketAddr, Time)>>,
}

impl Task {
    async fn handle(self: Rc<Task>, message: Message) {
        match message {
            Message::Ask(ticket, upstream, ask) => {
                let asked_at = Time::now();
                let response = self.call(request(asked_at, ask, false)).await;
                let outcome = match response {
                    Some(response) if response.granted => "granted",
                    Some(_) => "denied",
                    None => "unanswered",
                };
                match ask.is_cold {
                    true => self.metrics.cold_permit_asked(outcome),
                    false => self.metrics.permit_asked(outcome),
                }
                let answer = match response {
                    Some(response) => {
                        let answer = answer((ticket, upstream, asked_at), response);
                        // The pace of a cold upstream is no limit that it names.
                        let limit = if ask.is_cold { Limit::default() } else { answer.limit };
                        PermitAnswer { limit, ..answer }
                    }
                    None => {
                        log::info!(
                            "no host answers about the limit of an upstream; it gets no request for now"
                        );
                        let decision = Decision::Denied(UNANSWERED_DELAY);
                        let limit = if ask.is_cold { Limit::default() } else { ask.limit };
                        PermitAnswer { ticket, upstream, asked_at, decision, limit }
                    }
                };
                self.dispatcher.permit_answered(answer);
            }
            // Without an answer the other hosts learn of it from their own requests.
            Message::Report(ask) => {
                self.call(request(Time::now(), ask, true)).await;
            }
        }
    }

    /// Sends a request to the first limiter of the upstream that answers.
    async fn call(&self, request: messages::PermitRequest) -> Option<messages::PermitResponse> {
        let roster = self.roster.borrow().clone();
        for limiter in roster.limiters(request.upstream) {
            if limiter.id == self.host {
                return Some(self.respond(request));
            }
            let now = Time::now();
            self.skipped.borrow_mut().retain(|it| now < it.1);
            if self.skipped.borrow().iter().any(|it| it.0 == limiter.address) {
                continue;
            }
            match self.peers.permit(limiter.address, request).await {
                Some(response) => return Some(response),
                None => {
                    log::info!(
                        "host {} does not answer about a rate limit; asking another one",
                        limiter.id
                    );
                    self.skipped.borrow_mut().push((limiter.address, Time::now() + BACKOFF));
                }
            }
        }
        None
    }

    /// Decides about a request by this host's part of the limit.
    fn respond(&self, request: messages::PermitRequest) -> messages::PermitResponse {
        let now = Time::now();
        let Some(limit) = limit(now, request.rate, request.age_us) else {
            log::warn!("a host reports a rate limit of {:?}; it gets no permit", request.rate);
            return messages::PermitResponse::default();
        };
        let mut limiter = self.limiter.borrow_mut();
        let decision = if request.is_report {
            limiter.report(now, request.upstream, limit);
            Decision::Denied(Span(0))
        } else {
            let rank = self
                .roster
                .borrow()
                .limiters(request.upstream)
                .iter()
                .position(|it| it.id == self.host);
            let tier = usize::from(request.tier & !COLD_BIT);
            let is_cold = request.tier & COLD_BIT != 0;
            let limit = match limit.rate().filter(|_| is_cold) {
                Some(rate) => {
                    let rate = cold::granted_rate(now, *self.verified_at.borrow(), rate);
                    Limit::new(Some(rate), now)
                }
                None => limit,
            };
            limiter.ask(now, rank, Ask { upstream: request.upstream, limit, tier, is_cold })
        };
        let known = limiter.limit(request.upstream);
        let (granted, retry_after) = match decision {
            Decision::Granted => (true, Span(0)),
            Decision::Denied(delay) => (false, delay),
        };
        messages::PermitResponse {
            granted,
            retry_after_us: retry_after.0,
            rate: known.rate().map(Rate::per_second),
            age_us: known.age(now).0,
        }
    }
}

fn request(now: Time, ask: Ask, is_report: bool) -> messages::PermitRequest {
    messages::PermitRequest {
        upstream: ask.upstream,
        rate: ask.limit.rate().map(Rate::per_second),
        age_us: ask.limit.age(now).0,
        tier: (ask.tier.min(TIERS - 1) as u8) | if ask.is_cold { COLD_BIT } else { 0 },
        is_report,
    }
}

fn answer(
    (ticket, upstream, asked_at): (TicketKey, UpstreamKey, Time),
    response: messages::PermitResponse,
) -> PermitAnswer {
    let decision = match response.granted {
        true => Decision::Granted,
        false => Decision::Denied(Span(response.retry_after_us)),
    };
    let limit = limit(asked_at, response.rate, response.age_us).unwrap_or_default();
    PermitAnswer { ticket, upstream, asked_at, decision, limit }
}

/// Limit that another host knows, `None` if its rate is not valid.
fn limit(now: Time, rate: Option<f64>, age_us: u64) -> Option<Limit> {
    let rate = match rate {
        Some(it) => Some(Rate::new(it)?),
        None => None,
    };
    Some(Limit::new(rate, now - Span(age_us)))
}
