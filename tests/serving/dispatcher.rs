//! Grants that the dispatcher's task delivers.

use std::rc::Rc;

use almondrack::{metrics::Metrics, serving::dispatcher::Dispatcher};
use tokio::{
    sync::{mpsc, watch},
    task::LocalSet,
};

use crate::fixture::{FEATURES, engine, prompt, ticket};

/// Returns the attempts that count as running.
async fn running(dispatcher: &Dispatcher) -> u16 {
    dispatcher.local_load().await.loads.iter().map(|it| it.running).sum()
}

#[tokio::test]
async fn a_grant_whose_caller_has_left_does_not_count_as_running() {
    let play = async {
        let upstreams = watch::channel(Rc::new(vec![engine(0)])).1;
        let limiter = mpsc::unbounded_channel().0;
        let metrics = Metrics::open().expect("the names of the counters are unique");
        let dispatcher =
            Dispatcher::spawn("host".into(), ("a".into(), FEATURES), upstreams, limiter, metrics);
        let mut submission = Box::pin(dispatcher.submit(ticket(1, prompt(&[1], 100, 10))));
        assert!(futures::poll!(submission.as_mut()).is_pending(), "the task has not run yet");
        // The task grants the ticket, and the caller leaves before it looks at the grant.
        assert_eq!(running(&dispatcher).await, 1);
        drop(submission);
        assert_eq!(running(&dispatcher).await, 0, "the grant is lost");
    };
    LocalSet::new().run_until(play).await;
}
