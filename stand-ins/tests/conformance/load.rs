//! The callers tell whole answers from all others.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    thread,
};

use expect_test::expect;
use stand_ins::{
    engine,
    load::{self, Burst, Caller, Lengths, Options, Summary},
    service,
};

use crate::common;

fn options(target: SocketAddr) -> Options {
    Options {
        targets: vec![target],
        callers: vec![
            Caller { key: "k1".to_owned(), model: "m1".to_owned(), weight: 3.0 },
            Caller { key: "k2".to_owned(), model: "m2".to_owned(), weight: 1.0 },
        ],
        rate: 200.0,
        prompt: Lengths { median: 20, sigma: 1.0, max: 200 },
        output: Lengths { median: 5, sigma: 1.0, max: 50 },
        streamed_per_mille: 500,
        chat_per_mille: 500,
        ..Options::new()
    }
}

fn counts(summary: &Summary) -> String {
    let groups = summary.models.iter().map(|(name, group)| (name.as_str(), group));
    let all = [("all", &summary.all), ("direct", &summary.direct)].into_iter().chain(groups);
    all.map(|(name, group)| format!("{name} {:?} {}\n", group.outcomes, group.tokens)).collect()
}

fn engine(change: impl FnOnce(&mut engine::Faults)) -> engine::Running {
    let mut options = engine::Options::new(common::local());
    options.gap_us = 0;
    change(&mut options.faults);
    engine::spawn(options).unwrap()
}

#[tokio::test]
async fn whole_answers_are_counted() {
    let engine = engine(|_| ());
    let mut options = options(engine.address());
    options.direct = vec![engine.address()];
    options.bursts = vec![Burst { key: "k2".to_owned(), factor: 4.0, from_s: 0.5, for_s: 0.5 }];
    let summary = load::run(options).await.unwrap();
    expect![[r#"
        all {Whole: 251} 1927
        direct {Whole: 251} 1927
        m1 {Whole: 150} 1118
        m2 {Whole: 101} 809
    "#]]
    .assert_eq(&counts(&summary));
    assert_eq!(summary.all.first_us.len(), summary.direct.first_us.len());
}

#[tokio::test]
async fn cut_answers_are_counted() {
    let engine = engine(|it| it.cut_after_tokens = 5);
    let summary = load::run(options(engine.address())).await.unwrap();
    expect![[r#"
        all {Whole: 138, Cut: 50} 1150
        direct {} 0
        m1 {Whole: 110, Cut: 40} 881
        m2 {Whole: 28, Cut: 10} 269
    "#]]
    .assert_eq(&counts(&summary));
}

#[tokio::test]
async fn plain_calls_are_checked() {
    let service = service::spawn(service::Options::new(common::local())).unwrap();
    let mut options = options(service.address());
    options.plain_per_mille = 1_000;
    let summary = load::run(options.clone()).await.unwrap();
    expect![[r#"
        all {Whole: 188} 0
        direct {} 0
        /plain {Whole: 188} 0
    "#]]
    .assert_eq(&counts(&summary));
    common::call(service.address(), r#"POST /test/faults | {"garbage":true}"#).await;
    options.max_requests = 10;
    let summary = load::run(options).await.unwrap();
    expect![[r#"
        all {Foreign: 10} 0
        direct {} 0
        /plain {Foreign: 10} 0
    "#]]
    .assert_eq(&counts(&summary));
}

#[tokio::test]
async fn an_answer_that_belongs_to_another_is_seen() {
    let listener = TcpListener::bind(common::local()).unwrap();
    let mut options = options(listener.local_addr().unwrap());
    options.streamed_per_mille = 1_000;
    options.max_requests = 1;
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 4_096];
        assert_ne!(stream.read(&mut head).unwrap(), 0);
        let event = r#"{"choices":[{"text":"other-0 ","finish_reason":"stop"}]}"#;
        let answer = format!("HTTP/1.0 200 OK\r\n\r\ndata: {event}\n\ndata: [DONE]\n\n");
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let summary = load::run(options).await.unwrap();
    expect![[r#"
        all {Foreign: 1} 1
        direct {} 0
        m1 {Foreign: 1} 1
    "#]]
    .assert_eq(&counts(&summary));
}

#[tokio::test]
async fn a_target_that_is_gone_is_counted() {
    let listener = TcpListener::bind(common::local()).unwrap();
    let mut options = options(listener.local_addr().unwrap());
    drop(listener);
    options.max_requests = 3;
    let summary = load::run(options).await.unwrap();
    expect![[r#"
        all {Unconnected: 3} 0
        direct {} 0
        m1 {Unconnected: 3} 0
    "#]]
    .assert_eq(&counts(&summary));
}
