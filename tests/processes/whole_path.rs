//! Requests of every form through separate processes.

use http::Method;
use stand_ins::cluster::{Cluster, Options, call, expected_text, request, secret, streamed_text};

#[tokio::test(flavor = "multi_thread")]
async fn every_host_serves_every_form() {
    let cluster = Cluster::spawn(Options::default()).await;
    for host in 0..3 {
        let prompt = format!("marker:m{host} tokens:20");
        let streamed = cluster.chat(host, "acme", &prompt, true).await.expect("an answer");
        assert_eq!(streamed.status, 200, "{}", streamed.body);
        assert_eq!(
            streamed_text(&streamed.body),
            (expected_text(&format!("m{host}"), 20), true),
            "the stream is whole and the request's own"
        );
        assert_eq!(streamed.header("almondrack-run"), "yes");
        assert!(!streamed.header("x-request-id").is_empty());

        let whole = cluster.chat(host, "acme", &prompt, false).await.expect("an answer");
        let text = &whole.json()["choices"][0]["message"]["content"];
        assert_eq!(text.as_str(), Some(expected_text(&format!("m{host}"), 20).as_str()));

        let plain = cluster.plain(host, "bolt", "two aprons").await.expect("an answer");
        assert_eq!(plain.status, 200);
        assert_eq!(plain.json()["body"], "two aprons");

        let models = call(request(
            Method::GET,
            cluster.host_address(host, 0),
            "/v1/models",
            &[("authorization", &format!("Bearer {}", secret("acme")))],
            "",
        ));
        let models = models.await.expect("an answer").json();
        let names: Vec<_> = models["data"].as_array().expect("a list").iter().collect();
        assert_eq!(names.len(), 3);
    }
    let mut executions = 0;
    for service in &cluster.services {
        let history = cluster.read(service.address, "/test/history").await;
        let history = history.as_array().expect("a list").clone();
        executions += history.iter().filter(|it| it.to_string().contains("two aprons")).count();
    }
    assert_eq!(executions, 3, "each plain request ran once");
}
