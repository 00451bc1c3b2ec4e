//! Dispatchers of one pool on several hosts, one after the other.

use std::{sync::Arc, time::Duration};

use almondrack::{
    config::Snapshot,
    fleet::Fleet,
    member::View,
    peer::Peers,
    platform::{State, Upstream},
    pool_dispatcher::{self, Call},
    record::{Class, Pool, Protocol, Record},
    wire::{Decision, Ending, Grant, Progress, Ticket, TicketId},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::timeout,
};

/// Time in which a dispatcher grants a ticket if a slot is free.
const GRANT_TIME: Duration = Duration::from_secs(5);

/// Time in which it does not if none is.
const NO_GRANT_TIME: Duration = Duration::from_millis(500);

/// A dispatcher of a pool with one slot on a host. All have the same incarnation, as those of processes that start in the
/// same millisecond.
fn dispatcher(host: &str) -> mpsc::Sender<Call> {
    let class = Class {
        schema: 1,
        name: "class".to_owned(),
        tier: 1,
        first_token_ms: 10_000,
        token_gap_ms: 1_000,
        attainment_per_mille: 900,
        floor_per_mille: 0,
        max_wait_ms: 60_000,
    };
    let pool = Pool {
        schema: 2,
        name: "p".to_owned(),
        protocol: Protocol::Plain,
        models: Vec::new(),
        slots: 1,
        kv_tokens: 0,
        min_per_zone: 1,
        max_per_zone: 1,
        cheap_per_mille: 0,
        fenced: false,
    };
    let upstream = Upstream {
        id: "u".to_owned(),
        pool: "p".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        state: State::Running,
        cheap: false,
        cost_per_hour: 0.0,
        reclaim_ms: None,
    };
    let fleet = Fleet { known: true, upstreams: vec![upstream] };
    let snapshot = Snapshot::build(1, [Record::Class(class), Record::Pool(pool)]);
    pool_dispatcher::spawn(pool_dispatcher::Options {
        host: host.to_owned(),
        incarnation: 1,
        pool: "p".to_owned(),
        snapshot: watch::channel(Arc::new(snapshot)).1,
        view: watch::channel(Arc::new(View { members: Vec::new() })).1,
        fleet: watch::channel(Arc::new(fleet)).1,
        peers: Peers::spawn(),
        quarantine: mpsc::channel(1).0,
        quarantined: Vec::new(),
        zone: "z".to_owned(),
        first_attempt: 0,
    })
}

async fn submit(dispatcher: &mpsc::Sender<Call>, number: u64) -> oneshot::Receiver<Decision> {
    let ticket = Ticket {
        id: TicketId { host: "entry".to_owned(), incarnation: 1, number },
        pool: "p".to_owned(),
        customer: String::new(),
        weight: 1,
        class: "class".to_owned(),
        route: "route".to_owned(),
        prompt_tokens: 1,
        max_tokens: 1,
        waited_ms: 0,
        repeatable: true,
        prefix: 0,
        fingerprint: number,
        avoid: Vec::new(),
        overflow: false,
        retry: false,
    };
    let (answer, decision) = oneshot::channel();
    dispatcher.send(Call::Submit(Box::new(ticket), answer)).await.expect("the dispatcher runs");
    decision
}

async fn granted(decision: oneshot::Receiver<Decision>) -> Grant {
    match timeout(GRANT_TIME, decision).await {
        Ok(Ok(Decision::Granted(grant))) => grant,
        other => panic!("not granted: {other:?}"),
    }
}

async fn end(dispatcher: &mpsc::Sender<Call>, grant: &Grant) {
    let progress = Progress {
        attempt: grant.attempt,
        dispatcher: grant.dispatcher,
        first_token_us: None,
        tokens: 1,
        ending: Some(Ending::Done),
    };
    dispatcher.send(Call::Progress(vec![progress])).await.expect("the dispatcher runs");
}

#[tokio::test]
async fn the_end_of_a_former_dispatchers_attempt_frees_no_slot() {
    let (former, current) = (dispatcher("a"), dispatcher("b"));
    let old = granted(submit(&former, 1).await).await;
    let own = granted(submit(&current, 2).await).await;
    let mut waiting = submit(&current, 3).await;
    // The former dispatcher was frozen, so that entry hosts report the end of its attempt to the current one.
    end(&current, &old).await;
    let early = timeout(NO_GRANT_TIME, &mut waiting).await;
    assert!(early.is_err(), "{early:?} while the only slot is in use");
    end(&current, &own).await;
    granted(waiting).await;
}
