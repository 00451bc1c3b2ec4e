//! Questions between hosts.

use std::time::Duration;

use almondrack::serving::{
    messages::{KeyChange, PrefixState, PrefixUpdate, SyncRequest, SyncResponse},
    peers::{self, Peers},
};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    task::LocalSet,
    time::{Instant, sleep},
};

/// Time that the largest value of the store takes over the slowest link: 1 MB at 10 Mbit/s.
const LARGEST_ANSWER: Duration = Duration::from_millis(840);

fn question() -> SyncRequest {
    SyncRequest {
        host: "asking".to_owned(),
        is_hub: false,
        revisions: vec![1; 3],
        loads: Vec::new(),
        placed: Vec::new(),
        placed_after: 0,
        counts: Vec::new(),
    }
}

fn configuration() -> SyncResponse {
    let line =
        KeyChange { key: "configuration".to_owned(), revision: 2, value: Some(vec![7; 1 << 20]) };
    let update = PrefixUpdate { is_listing: false, changes: vec![line], revision: 2 };
    let knowledge = PrefixState { age_us: Some(0), update: Some(update) };
    SyncResponse { prefixes: vec![knowledge], ..SyncResponse::default() }
}

/// Asks a host that takes a time for its answer.
async fn ask(time: Duration) -> Option<SyncResponse> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let (calls, mut mailbox) = mpsc::channel::<peers::Call>(8);
    tokio::spawn(peers::serve(listener, calls));
    tokio::spawn(async move {
        while let Some((_, answer)) = mailbox.recv().await {
            sleep(time).await;
            // The asking host may have given up, which the test sees.
            let _ = answer.send(configuration());
        }
    });
    Peers::default().sync(address, question()).await
}

#[tokio::test]
async fn a_configuration_that_takes_long_over_a_slow_link_arrives() {
    let answer = LocalSet::new().run_until(ask(LARGEST_ANSWER)).await;
    // The answer itself is too long to print.
    assert!(answer == Some(configuration()), "no answer, or another one");
}

#[tokio::test]
async fn a_silent_host_is_passed_over_in_time() {
    let start = Instant::now();
    let answer = LocalSet::new().run_until(ask(Duration::from_secs(60))).await;
    assert_eq!(answer, None);
    // Long before the configuration's bound of 2 s has passed.
    assert!(start.elapsed() < Duration::from_millis(1_800), "{:?}", start.elapsed());
}
