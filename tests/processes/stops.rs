//! Planned stops of hosts and crashes of engines while streams run.

use std::time::Duration;

use serde_json::json;
use stand_ins::cluster::{Answer, Cluster, Options, expected_text, streamed_text};

/// Streams in play.
const STREAMS: usize = 24;

/// Tokens of one stream; at the engine's pace it lasts beyond the HTTP library's own limit of 30 s.
const TOKENS: usize = 320;

/// Pause between tokens of the slow engines, in microseconds.
const GAP_US: &str = "100000";

fn slow_engines() -> Options {
    let slow = vec!["--gap-us", GAP_US];
    Options {
        hosts: vec!["a", "a"],
        engines: vec![("a", slow.clone()), ("a", slow)],
        services: vec!["a"],
        slots: 64,
        ..Options::default()
    }
}

fn assert_whole(answer: &Answer, marker: &str, tokens: usize) {
    assert_eq!(answer.status, 200, "{marker}: {}", answer.body);
    assert!(answer.whole, "{marker}: the answer is cut");
    let expected = (expected_text(marker, tokens), true);
    assert_eq!(streamed_text(&answer.body), expected, "{marker}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_stream() {
    let mut cluster = Cluster::spawn(slow_engines()).await;
    let prompts: Vec<_> = (0..STREAMS).map(|it| format!("marker:s{it} tokens:{TOKENS}")).collect();
    let streams = prompts.iter().map(|prompt| cluster.chat(0, "acme", prompt, true));
    let streams = futures::future::join_all(streams);
    let stop = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        cluster.hosts[0].signal("TERM");
        tokio::time::sleep(Duration::from_secs(2)).await;
        cluster.chat(0, "acme", "marker:late tokens:1", true).await
    };
    let (answers, late) = tokio::join!(streams, stop);
    for (index, answer) in answers.into_iter().enumerate() {
        assert_whole(&answer.expect("an answer"), &format!("s{index}"), TOKENS);
    }
    let late = late.expect("a stopping host still answers");
    assert_eq!((late.status.as_u16(), late.kind().as_str()), (503, "draining"));
    assert_eq!(late.header("almondrack-run"), "no");
    assert_eq!(cluster.hosts[0].exit_code().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_engine_cuts_only_its_own_streams() {
    let mut cluster = Cluster::spawn(slow_engines()).await;
    let mut victim = cluster.engines.remove(0);
    let prompts: Vec<_> = (0..STREAMS).map(|it| format!("marker:k{it} tokens:50")).collect();
    let streams = prompts.iter().map(|prompt| cluster.chat(1, "bolt", prompt, true));
    let kill = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        victim.kill();
    };
    let (answers, ()) = tokio::join!(futures::future::join_all(streams), kill);
    let mut cut = 0;
    for (index, answer) in answers.into_iter().enumerate() {
        let answer = answer.expect("an answer");
        let marker = format!("k{index}");
        if answer.whole {
            assert_whole(&answer, &marker, 50);
            continue;
        }
        cut += 1;
        let (text, done) = streamed_text(&answer.body);
        assert!(!done, "{marker}: a cut stream has no end marker");
        assert!(expected_text(&marker, 50).starts_with(&text), "{marker}: {text}");
    }
    assert!(cut > 0 && cut < STREAMS, "{cut} of {STREAMS} streams ran on the killed engine");
    let next = cluster.chat(1, "bolt", "marker:next tokens:3", true).await.expect("an answer");
    assert_whole(&next, "next", 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn half_an_unframed_answer_of_a_killed_service_is_not_complete() {
    for status in [200, 404] {
        let cluster = Cluster::spawn(slow_engines()).await;
        let service = &cluster.services[0];
        let unframed = json!({ "unframed": true, "status": status });
        cluster.control(service.address, "/test/faults", &unframed).await;
        let whole = cluster.plain(0, "bolt", "two aprons").await.expect("an answer");
        assert_eq!((whole.status.as_u16(), &whole.json()["body"]), (status, &json!("two aprons")));

        cluster.control(service.address, "/test/faults", &json!({ "stalls": true })).await;
        let kill = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            service.signal("KILL");
        };
        let (half, ()) = tokio::join!(cluster.plain(0, "bolt", "ten aprons"), kill);
        let half = half.expect("an answer");
        assert_eq!((half.status.as_u16(), half.kind().as_str()), (502, "upstream_cut"));
        assert_eq!(half.header("almondrack-run"), "unknown");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_is_resumed_at_its_offset() {
    // Each connection is cut after ten events; the engine goes on meanwhile.
    let engine = vec!["--linger-ms", "5000", "--faults", r#"{"cut_after_tokens":10}"#];
    let options = Options {
        hosts: vec!["a"],
        engines: vec![("a", engine)],
        services: vec!["a"],
        ..Options::default()
    };
    let cluster = Cluster::spawn(options).await;
    let answer = cluster.chat(0, "acme", "marker:cut tokens:25", true).await.expect("an answer");
    assert_whole(&answer, "cut", 25);
}
