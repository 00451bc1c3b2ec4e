//! What callers and upstreams saw of a run, and the checks over it.

use serde_json::Value;

use stand_ins::cluster::{Answer, Cluster, expected_text, streamed_text};

/// A request with its marker and what its caller got.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) marker: String,
    pub(crate) tokens: usize,
    pub(crate) answer: Result<Answer, String>,
}

impl Call {
    /// Whether the caller got its own whole answer.
    pub(crate) fn is_whole(&self) -> bool {
        let Ok(answer) = &self.answer else { return false };
        let expected = (expected_text(&self.marker, self.tokens), true);
        answer.whole && answer.status == 200 && streamed_text(&answer.body) == expected
    }

    /// Kind of the refusal, empty for answers.
    pub(crate) fn kind(&self) -> String {
        self.answer.as_ref().map(Answer::kind).unwrap_or_default()
    }
}

/// One run of a request on an engine.
#[derive(Debug, Clone)]
pub(crate) struct Execution {
    pub(crate) engine: usize,
    pub(crate) marker: String,
    pub(crate) received_ms: u64,
    pub(crate) started_ms: Option<u64>,
    pub(crate) ended_ms: Option<u64>,
    pub(crate) end: String,
}

/// Reads the histories of all engines.
pub(crate) async fn executions(cluster: &Cluster) -> Vec<Execution> {
    let mut out = Vec::new();
    for (engine, process) in cluster.engines.iter().enumerate() {
        let history = cluster.read(process.control, "/test/history").await;
        for it in history.as_array().into_iter().flatten() {
            out.push(Execution {
                engine,
                marker: it["marker"].as_str().unwrap_or_default().to_owned(),
                received_ms: it["received_ms"].as_u64().unwrap_or_default(),
                started_ms: it["started_ms"].as_u64(),
                ended_ms: it["ended_ms"].as_u64(),
                end: it["end"].as_str().unwrap_or_default().to_owned(),
            });
        }
    }
    out
}

/// Most requests that an engine held at one time.
pub(crate) fn peak(executions: &[Execution], engine: usize) -> usize {
    let own = || executions.iter().filter(|it| it.engine == engine);
    let mut changes: Vec<(u64, i32)> = own().map(|it| (it.received_ms, 1)).collect();
    changes.extend(own().filter_map(|it| Some((it.ended_ms?, -1))));
    // At one time the ends come first, as an end is what allows the next request.
    changes.sort_unstable();
    let mut held = 0_i32;
    let mut most = 0_i32;
    for (_, change) in changes {
        held += change;
        most = most.max(held);
    }
    most as usize
}

/// Checks that every answer is truthful about its run and that nothing ran to its end twice.
pub(crate) fn assert_truthful(calls: &[Call], executions: &[Execution]) {
    for call in calls {
        let runs: Vec<_> = executions.iter().filter(|it| it.marker == call.marker).collect();
        let done = runs.iter().filter(|it| it.end == "done").count();
        assert!(done <= 1, "{} ran to its end {done} times", call.marker);
        let Ok(answer) = &call.answer else { continue };
        match answer.header("almondrack-run") {
            "no" => assert!(runs.is_empty(), "{} said not run: {runs:?}", call.marker),
            "yes" | "unknown" => {}
            other => panic!("{}: almondrack-run is '{other}'", call.marker),
        }
        if answer.status == 200 && answer.whole {
            assert!(call.is_whole(), "{} got another answer: {}", call.marker, answer.body);
        }
    }
}

/// Executions of the plain services with their bodies.
pub(crate) async fn orders(cluster: &Cluster) -> Vec<String> {
    let mut bodies = Vec::new();
    for service in &cluster.services {
        let history = cluster.read(service.address, "/test/history").await;
        let history: Vec<Value> = history.as_array().cloned().unwrap_or_default();
        bodies.extend(history.iter().filter_map(|it| it["body"].as_str().map(str::to_owned)));
    }
    bodies
}
