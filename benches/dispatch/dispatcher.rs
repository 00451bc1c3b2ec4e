//! Simulation in which the dispatcher decides.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use almondrack::{
    dispatch::{
        Action, AttemptKey, Class, ClassKey, CustomerKey, Dispatcher, Ending, Event, RouteKey,
        Ticket, TicketKey, Upstream, UpstreamKey,
    },
    time::Time,
};

use crate::load::{BOUNDS_MS, Outcome, Request, Run, SLOTS, TARGETS_MS, UPSTREAMS};

/// One-way latency between the dispatcher and an upstream, in seconds.
const HOP_S: f64 = 0.002;

/// Interval of progress reports of an attempt, in seconds.
const PROGRESS_S: f64 = 1.0;

/// Floor of each class, in thousandths.
const FLOOR_PER_MILLE: u32 = 20;

/// KV memory of an upstream, in tokens.
const KV_TOKENS: u64 = 100_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    FirstToken(AttemptKey),
    Progress(AttemptKey),
    Done(AttemptKey),
    Stopped(AttemptKey),
    Alarm,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    request: usize,
    upstream: usize,
    start: f64,
    first_token: Option<f64>,
}

#[derive(Debug)]
struct Model<'a> {
    requests: &'a [Request],
    dispatcher: Dispatcher,
    steps: BinaryHeap<Reverse<(Time, u64, Step)>>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// Index of the request and start of the queue time in seconds, by ticket number.
    tickets: Vec<(usize, f64)>,
    run: Run,
    now: Time,
    sequence: u64,
    alarm: Option<Time>,
}

/// Simulates the requests under the dispatcher.
pub(crate) fn run(requests: &[Request]) -> Run {
    let mut model = Model {
        requests,
        dispatcher: Dispatcher::default(),
        steps: BinaryHeap::new(),
        attempts: BTreeMap::new(),
        tickets: Vec::new(),
        run: Run { outcomes: vec![Outcome::default(); requests.len()], ..Run::default() },
        now: Time(0),
        sequence: 0,
        alarm: None,
    };
    model.configure();
    for (index, request) in requests.iter().enumerate() {
        model.plan(request.at, Step::Arrive(index));
    }
    while let Some(Reverse((at, _, step))) = model.steps.pop() {
        model.advance(at);
        model.step(step);
    }
    model.run
}

impl Model<'_> {
    fn configure(&mut self) {
        for (tier, target) in TARGETS_MS.iter().enumerate() {
            let class = Class {
                tier: tier as u8 + 1,
                first_token_ms: *target,
                floor_per_mille: FLOOR_PER_MILLE,
                max_wait_ms: BOUNDS_MS[tier],
            };
            self.handle(Event::Class(ClassKey(tier as u32), class));
        }
        for upstream in 0..UPSTREAMS as u32 {
            let spec =
                Upstream { slots: SLOTS as u32, kv_tokens: KV_TOKENS, cheap: false, leaving: None };
            self.handle(Event::Upstream(UpstreamKey(upstream), spec));
        }
    }

    fn plan(&mut self, at: f64, step: Step) {
        self.sequence += 1;
        self.steps.push(Reverse((Time((at * 1e6) as u64), self.sequence, step)));
    }

    fn seconds(&self) -> f64 {
        self.now.0 as f64 / 1e6
    }

    fn advance(&mut self, to: Time) {
        if self.dispatcher.queued() > 0 && self.seconds() < crate::load::RUN_S {
            let span = to.since(self.now).0 as f64 / 1e6;
            self.run.busy += span * self.dispatcher.busy() as f64;
            self.run.available += span * (UPSTREAMS * SLOTS) as f64;
        }
        self.now = to.max(self.now);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(request) => self.submit(request, false),
            Step::FirstToken(key) => self.first_token(key),
            Step::Progress(key) => self.progress(key),
            Step::Done(key) => self.done(key),
            Step::Stopped(key) => self.stopped(key),
            Step::Alarm => {
                self.alarm = None;
                self.handle(Event::Tick);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(action);
        }
        let alarm = self.dispatcher.next_alarm();
        if let Some(at) = alarm
            && self.alarm.is_none_or(|planned| at < planned)
        {
            self.alarm = alarm;
            self.sequence += 1;
            self.steps.push(Reverse((at, self.sequence, Step::Alarm)));
        }
    }

    fn act(&mut self, action: Action) {
        let now = self.seconds();
        match action {
            Action::Grant { ticket, attempt, upstream } => {
                let (request, since) = self.tickets[ticket.0 as usize];
                let upstream = upstream.0 as usize;
                let start = now + HOP_S;
                let spec = self.requests[request];
                let outcome = &mut self.run.outcomes[request];
                outcome.wait = outcome.wait.max(now - since);
                let state = Attempt { request, upstream, start, first_token: None };
                self.attempts.insert(attempt, state);
                self.plan(start + spec.prefill_s(upstream), Step::FirstToken(attempt));
                self.plan(start + PROGRESS_S, Step::Progress(attempt));
                self.plan(start + spec.service_s(upstream) + HOP_S, Step::Done(attempt));
            }
            Action::Refuse { ticket, .. } => {
                let (request, since) = self.tickets[ticket.0 as usize];
                let outcome = &mut self.run.outcomes[request];
                outcome.wait = outcome.wait.max(now - since);
            }
            Action::Preempt(attempt) => self.plan(now + 2.0 * HOP_S, Step::Stopped(attempt)),
            Action::Quarantine(..) => {}
        }
    }

    fn submit(&mut self, index: usize, retry: bool) {
        let request = self.requests[index];
        let key = TicketKey(self.tickets.len() as u64);
        self.tickets.push((index, self.seconds()));
        let ticket = Ticket {
            key,
            customer: CustomerKey(request.customer as u32),
            class: ClassKey(request.tier as u32),
            route: RouteKey(request.tier as u32),
            prompt_tokens: request.prompt,
            max_tokens: 0,
            accepted: Time((request.at * 1e6) as u64),
            repeatable: true,
            retry,
            prefix: 0,
            fingerprint: index as u64 + 1,
            avoid: Vec::new(),
        };
        self.handle(Event::Submit(ticket));
    }

    fn first_token(&mut self, key: AttemptKey) {
        let now = self.seconds();
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        attempt.first_token = Some(now);
        let us = ((now - attempt.start) * 1e6) as u64;
        self.handle(Event::FirstToken(key, us));
    }

    fn progress(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key).copied() else { return };
        let tokens = self.tokens(&attempt);
        self.plan(self.seconds() + PROGRESS_S, Step::Progress(key));
        self.handle(Event::Tokens(key, tokens));
    }

    fn done(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.remove(&key) else { return };
        let now = self.seconds();
        let outcome = &mut self.run.outcomes[attempt.request];
        outcome.first_token = attempt.first_token;
        outcome.done = now;
        let output = self.requests[attempt.request].output;
        self.handle(Event::Tokens(key, output));
        self.handle(Event::Ended(key, Ending::Done));
    }

    fn stopped(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.remove(&key) else { return };
        let tokens = self.tokens(&attempt);
        self.run.outcomes[attempt.request].stopped += tokens;
        self.handle(Event::Tokens(key, tokens));
        self.handle(Event::Ended(key, Ending::Preempted));
        self.submit(attempt.request, true);
    }

    fn tokens(&self, attempt: &Attempt) -> u32 {
        let after = (self.seconds() - attempt.start).max(0.0);
        self.requests[attempt.request].tokens_after(attempt.upstream, after)
    }
}
