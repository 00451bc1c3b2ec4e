//! Upstreams, prompts and tickets shared by the tests.

use almondrack::{
    serving::{
        dialect::{Prompt, PromptPart},
        key::{AttemptKey, TicketKey},
        placement::{Action, Features, Grant, Placement, Ticket},
        registry::{Entry, State},
    },
    time::{Span, Time},
};

pub(crate) const POOL: &str = "engines";

pub(crate) const FEATURES: Features = Features { reported_load: true, admission: true };

pub(crate) fn at(ms: u64) -> Time {
    Time(1_000_000) + Span::from_ms(ms)
}

pub(crate) fn engine(index: usize) -> Entry {
    Entry {
        id: format!("engine-{index}").as_str().into(),
        pool: POOL.into(),
        address: format!("10.0.0.{}:80", index + 1).parse().expect("the address is valid"),
        zone: "a".into(),
        version: Some("v1".into()),
        slots: 24,
        state: State::Ready,
        warmup_ms: 0,
        spot: false,
        stops_in_ms: None,
        started_ms: 1,
        sequence: 1,
    }
}

pub(crate) fn engines(count: usize) -> Vec<Entry> {
    (0..count).map(engine).collect()
}

/// Placement of a host with the given engines.
pub(crate) fn host(name: &str, engines: &[Entry]) -> Placement {
    let mut placement = Placement::new(name.into(), "a".into());
    placement.set_upstreams(engines);
    placement
}

/// A prompt of shared parts with `tokens` tokens each, and one of `own` tokens that is specific to the request.
pub(crate) fn prompt(shared: &[u64], tokens: u32, own: u32) -> Prompt {
    let mut parts: Vec<_> = shared.iter().map(|it| PromptPart { id: *it, tokens }).collect();
    parts.push(PromptPart { id: u64::MAX, tokens: own });
    let tokens = parts.iter().map(|it| it.tokens).sum();
    Prompt { parts, tokens, max_output: 100, expected_output: None }
}

pub(crate) fn ticket(number: u64, prompt: Prompt) -> Ticket {
    Ticket {
        key: TicketKey(number),
        pool: POOL.into(),
        tier: 4,
        customer: None,
        route: "route".into(),
        max_gap_ms: Some(1_000),
        prompt: Some(prompt),
        target: at(10_000),
        deadline: at(10_000),
        tried: Vec::new(),
        contents: Vec::new(),
        version: None,
        avoided: Vec::new(),
        is_hedge: false,
    }
}

/// Places a request and returns the id of the engine and the key of the attempt.
pub(crate) fn place(host: &mut Placement, now: Time, ticket: &Ticket) -> (String, AttemptKey) {
    let Grant { instance, attempt, .. } = grant(host, now, ticket);
    (instance.to_string(), attempt)
}

pub(crate) fn grant(host: &mut Placement, now: Time, ticket: &Ticket) -> Grant {
    let mut actions = Vec::new();
    host.submit(now, ticket, &mut actions);
    match actions.pop() {
        Some(Action::Grant(key, grant)) if key == ticket.key => grant,
        other => panic!("the request was not placed: {other:?}"),
    }
}
