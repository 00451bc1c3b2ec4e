//! Status pages for the load balancer and the operators.

use std::sync::Arc;

use almondrack::{
    error::Kind,
    metrics::{Metrics, Outcome},
    serving::{page, request_metrics},
    time::{Span, Time},
};
use expect_test::expect;
use http::StatusCode;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task::LocalSet,
};

#[tokio::test]
async fn a_status_page_shows_the_current_content() {
    let read = async {
        let content = || (StatusCode::SERVICE_UNAVAILABLE, "not ready".to_owned());
        let page = page::Page::bind(([127, 0, 0, 1], 0).into(), Arc::new(content)).await;
        let page = page.expect("a port is free");
        let mut stream = TcpStream::connect(page.address).await.expect("the page is served");
        let request = b"GET /any/path HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        stream.write_all(request).await.expect("the page reads");
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("the page answers");
        text
    };
    let text = LocalSet::new().run_until(read).await;
    assert!(text.starts_with("HTTP/1.1 503") && text.ends_with("not ready"), "{text}");
}

#[test]
fn each_request_is_counted_by_its_end() {
    let metrics = Metrics::open().expect("the names differ");
    let now = Time::now();
    let request = |tier| {
        let mut request = request_metrics::Recorder::start(metrics.clone(), now);
        request.classify(tier, now + Span::from_ms(500));
        request
    };
    let mut served = request(1);
    served.first_byte(now + Span::from_ms(100));
    served.end(Outcome::Whole);
    let mut late = request(1);
    late.first_byte(now + Span::from_ms(900));
    late.end(Outcome::Whole);
    let mut failed = request(2);
    failed.first_byte(now);
    failed.end(Outcome::Errored);
    let mut refused = request_metrics::Recorder::start(metrics.clone(), now);
    refused.end(Outcome::Failed(Kind::InvalidKey));
    drop(request(3));
    drop((served, late, failed, refused));
    let text = metrics.render();
    let is_request_counter =
        |it: &&str| it.starts_with("almondrack_requests") || it.starts_with("almondrack_in_");
    let lines: Vec<_> = text.lines().filter(is_request_counter).collect();
    expect![[r#"
        almondrack_in_flight 0
        almondrack_in_time_total{class="tier-1"} 1
        almondrack_requests_total{class="none",outcome="invalid_key"} 1
        almondrack_requests_total{class="tier-1",outcome="ok"} 2
        almondrack_requests_total{class="tier-2",outcome="upstream_error"} 1
        almondrack_requests_total{class="tier-3",outcome="abandoned"} 1"#]]
    .assert_eq(&lines.join("\n"));
}
