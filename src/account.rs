//! Account of one request: what it is counted and billed as when it ends.

use std::time::Duration;

use tokio::{sync::mpsc, time::Instant};

use crate::{
    error::Error,
    exchange::Job,
    ledger::Served,
    limits::AdmissionGuard,
    metrics::{Metrics, Outcome},
    record::Class,
    sse::Usage,
    tally::Ended,
};

/// Counts a request once when it ends, also when its future is dropped.
#[derive(Debug)]
pub(crate) struct Account {
    metrics: Metrics,
    served: mpsc::Sender<Served>,
    ended: mpsc::Sender<Ended>,
    class: Class,
    /// Upstream of the last attempt, empty before the first.
    upstream: String,
    accepted: Instant,
    first_token: Option<Instant>,
    tokens: u32,
    /// Counts that the engine stated; they win over the router's own.
    usage: Option<Usage>,
    /// What is billed if anything was delivered.
    bill: Served,
    closed: bool,
    /// Present if the customer has limits; settled with the tokens that were used.
    admitted: Option<AdmissionGuard>,
}

impl Account {
    /// Opens the account of a request.
    pub(crate) fn open(
        metrics: Metrics,
        served: mpsc::Sender<Served>,
        ended: mpsc::Sender<Ended>,
        job: &Job,
        admitted: Option<AdmissionGuard>,
    ) -> Account {
        metrics.in_flight.inc();
        Account {
            metrics,
            served,
            ended,
            class: job.class.clone(),
            upstream: String::new(),
            accepted: job.accepted,
            first_token: None,
            tokens: 0,
            usage: None,
            bill: Served {
                customer: job.customer.clone(),
                route: job.route.clone(),
                model: job.model.clone(),
                prompt_tokens: u64::from(job.prompt_tokens),
                generated_tokens: 0,
                cut: false,
            },
            closed: false,
            admitted,
        }
    }

    /// Notes the upstream of an attempt.
    pub(crate) fn placed(&mut self, upstream: &str) {
        upstream.clone_into(&mut self.upstream);
    }

    /// Notes what has been delivered so far.
    pub(crate) fn answered(&mut self, first_token: Instant, tokens: u32, usage: Option<Usage>) {
        self.first_token = Some(first_token);
        self.tokens = tokens;
        self.usage = usage;
    }

    /// Hands the account on to the stream of the answer.
    pub(crate) fn hand_on(&mut self) -> Account {
        let account = Account {
            metrics: self.metrics.clone(),
            served: self.served.clone(),
            ended: self.ended.clone(),
            class: self.class.clone(),
            upstream: self.upstream.clone(),
            accepted: self.accepted,
            first_token: self.first_token,
            tokens: self.tokens,
            usage: self.usage,
            bill: self.bill.clone(),
            closed: self.closed,
            admitted: self.admitted.take(),
        };
        self.closed = true;
        account
    }

    /// Closes the account of a request without an answer.
    pub(crate) fn fail(&mut self, error: Error) -> Error {
        self.close(Outcome::Failed(error.kind));
        error
    }

    /// Closes the account and bills what was delivered.
    pub(crate) fn close(&mut self, outcome: Outcome) {
        if self.count(outcome) {
            self.bill(outcome);
        }
    }

    /// Closes the account of an answer that is not billed, such as an upstream's refusal.
    pub(crate) fn close_unbilled(&mut self) {
        self.count(Outcome::Whole);
    }

    /// Counts the request. False if it was counted before.
    fn count(&mut self, outcome: Outcome) -> bool {
        if std::mem::replace(&mut self.closed, true) {
            return false;
        }
        if let Some(admitted) = &mut self.admitted {
            admitted.set_tokens(self.bill.prompt_tokens + u64::from(self.tokens));
        }
        self.admitted = None;
        let whole = outcome == Outcome::Whole;
        let elapsed = self.first_token.map(|it| it.saturating_duration_since(self.accepted));
        let target = Duration::from_millis(self.class.first_token_ms);
        let in_time = whole && elapsed.is_some_and(|it| it <= target);
        self.metrics.ended(&self.class.name, outcome, in_time, self.tokens);
        if let Some(elapsed) = elapsed.filter(|_| whole) {
            self.metrics.first_token(&self.class.name, elapsed);
        }
        self.metrics.in_flight.dec();
        let until = self.first_token.unwrap_or_else(Instant::now);
        let late = until.saturating_duration_since(self.accepted) > target;
        self.tell(outcome, in_time, late);
        true
    }

    fn tell(&mut self, outcome: Outcome, in_time: bool, late: bool) {
        let ended = Ended {
            class: self.class.name.clone(),
            customer: self.bill.customer.clone(),
            outcome,
            in_time,
            late,
            tokens: u64::from(self.tokens),
            upstream: std::mem::take(&mut self.upstream),
        };
        send(&self.ended, ended);
    }

    fn bill(&mut self, outcome: Outcome) {
        let whole = outcome == Outcome::Whole;
        if !whole && self.tokens == 0 {
            return;
        }
        let mut bill = self.bill.clone();
        bill.generated_tokens = u64::from(self.tokens);
        if let Some(usage) = self.usage.filter(|_| whole) {
            bill.prompt_tokens = usage.prompt_tokens;
            bill.generated_tokens = usage.completion_tokens;
        }
        bill.cut = !whole;
        send(&self.served, bill);
    }
}

/// Sends a message that must not be lost; one that finds the mailbox full waits for room.
fn send<T: Send + 'static>(mailbox: &mpsc::Sender<T>, message: T) {
    let Err(mpsc::error::TrySendError::Full(message)) = mailbox.try_send(message) else { return };
    let mailbox = mailbox.clone();
    tokio::spawn(async move { mailbox.send(message).await });
}

impl Drop for Account {
    fn drop(&mut self) {
        self.close(Outcome::Abandoned);
    }
}
