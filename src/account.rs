//! Account of one request: what it is counted and billed as when it ends.

use std::time::Duration;

use tokio::{sync::mpsc, time::Instant};

use crate::{
    error::Error,
    exchange::Job,
    ledger::Served,
    limits::Admitted,
    metrics::{Metrics, Outcome},
    record::Class,
    sse::Usage,
};

/// Counts a request once when it ends, also when its future is dropped.
#[derive(Debug)]
pub(crate) struct Account {
    metrics: Metrics,
    served: mpsc::Sender<Served>,
    class: Class,
    accepted: Instant,
    first_token: Option<Instant>,
    tokens: u32,
    /// Counts that the engine stated; they win over the router's own.
    usage: Option<Usage>,
    /// What is billed if anything was delivered.
    bill: Served,
    closed: bool,
    /// Present if the customer has limits; settled with the tokens that were used.
    admitted: Option<Admitted>,
}

impl Account {
    /// Opens the account of a request.
    pub(crate) fn open(
        metrics: Metrics,
        served: mpsc::Sender<Served>,
        job: &Job,
        admitted: Option<Admitted>,
    ) -> Account {
        metrics.in_flight.inc();
        Account {
            metrics,
            served,
            class: job.class.clone(),
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
            class: self.class.clone(),
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
        true
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
        let Err(mpsc::error::TrySendError::Full(bill)) = self.served.try_send(bill) else { return };
        // A bill that finds the mailbox full waits for room; it must not be lost.
        let served = self.served.clone();
        tokio::spawn(async move { served.send(bill).await });
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.close(Outcome::Abandoned);
    }
}
