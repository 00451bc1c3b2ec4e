//! The port to the platform against the stand-in, against arbitrary bytes, and its cores against oracles.

use std::net::SocketAddr;

use almondrack::{
    circuit::{
        Backoff, CallBudget, CallPermit, Circuit, FAILURE_THRESHOLD, Health, MAX_BACKOFF, Outcome,
        Rate,
    },
    confirm::{Create, Swap},
    platform::{Cause, Client, Failure, Fenced, Order, Write},
    time::{Span, Time},
};
use bytes::Bytes;
use expect_test::expect;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use hyper_util::rt::TokioExecutor;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use serde_json::{Value, json};
use stand_ins::{
    platform::{self, Faults, Options},
    server::Server,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start(faults: Faults) -> (Server, Client) {
    let server = platform::spawn(Options { faults, ..Options::new(local()) }).unwrap();
    let client = Client::open(server.address(), "h1");
    (server, client)
}

/// Calls a test path of the stand-in; a body makes it a `POST`.
async fn test_call(server: &Server, path: &str, body: Option<Value>) -> Value {
    let client = hyper_util::client::legacy::Client::builder(TokioExecutor::new()).build_http();
    let method = if body.is_some() { "POST" } else { "GET" };
    let body = body.map_or_else(Bytes::new, |it| it.to_string().into());
    let uri = format!("http://{}{path}", server.address());
    let request = Request::builder().method(method).uri(uri).body(Full::new(body)).unwrap();
    let answer = client.request(request).await.unwrap();
    let bytes = answer.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&bytes).unwrap_or(Value::Null)
}

async fn set(server: &Server, faults: Value) {
    test_call(server, "/test/faults", Some(faults)).await;
}

/// Number of received calls that a condition holds for.
async fn calls(server: &Server, condition: impl Fn(&Value) -> bool) -> usize {
    let history = test_call(server, "/test/history", None).await;
    history.as_array().unwrap().iter().filter(|it| condition(it)).count()
}

fn effects(key: &str) -> impl Fn(&Value) -> bool {
    let path = format!("/v1/kv/{key}");
    move |it| it["path"] == path && it["effect"] == true
}

#[tokio::test]
async fn a_lost_answer_is_read_back() {
    let (server, client) = start(Faults { lose_next: 1, ..Faults::default() });
    let one = Bytes::from_static(b"one");
    assert_eq!(client.create(Cause::Claim, "a", one.clone()).await, Ok(Create::Created(1)));
    set(&server, json!({ "lose_next": 1 })).await;
    let two = Bytes::from_static(b"two");
    assert_eq!(client.swap(Cause::Config, "a", two.clone(), 1).await, Ok(Swap::Written(2)));
    assert_eq!(calls(&server, effects("a")).await, 2);

    let Ok(Create::Exists(value)) = client.create(Cause::Claim, "a", one.clone()).await else {
        panic!("created twice");
    };
    assert_eq!((value.version, &value.bytes), (2, &two));
    let Ok(Swap::Conflict(Some(value))) = client.swap(Cause::Config, "a", one.clone(), 1).await
    else {
        panic!("an old version was replaced");
    };
    assert_eq!(value.version, 2);
    // Another writer's equal bytes are no proof of an own replacement.
    let conflict = client.swap(Cause::Config, "a", two, 1).await;
    assert!(matches!(conflict, Ok(Swap::Conflict(Some(_)))));
    assert_eq!(client.swap(Cause::Config, "b", one, 7).await, Ok(Swap::Conflict(None)));
}

#[tokio::test]
async fn racing_writers_and_lost_answers_lose_no_update() {
    const WRITERS: usize = 4;
    const ROUNDS: usize = 6;
    let (server, _) = start(Faults { lose_answers_per_mille: 300, ..Faults::default() });
    let mut writers = Vec::new();
    for writer in 0..WRITERS {
        let client = Client::open(server.address(), &format!("h{writer}"));
        writers.push(tokio::spawn(async move {
            let mut created = 0;
            for round in 0..ROUNDS {
                let claim = format!("claim/{round}");
                let own = Bytes::from(format!("writer {writer}"));
                let answer = client.create(Cause::Claim, &claim, own).await.unwrap();
                created += usize::from(matches!(answer, Create::Created(_)));
                append(&client, &format!("{writer}-{round} ")).await;
            }
            created
        }));
    }
    let mut created = 0;
    for writer in writers {
        created += writer.await.unwrap();
    }
    assert_eq!(created, ROUNDS);
    let client = Client::open(server.address(), "reader");
    let list = client.get(Cause::Config, "list").await.unwrap().unwrap();
    let text = String::from_utf8(list.bytes.to_vec()).unwrap();
    let mut words: Vec<&str> = text.split_whitespace().collect();
    words.sort_unstable();
    words.dedup();
    assert_eq!(words.len(), WRITERS * ROUNDS);
    assert_eq!(text.split_whitespace().count(), WRITERS * ROUNDS);
}

/// Appends a word to a value by compare-and-swap.
async fn append(client: &Client, word: &str) {
    loop {
        let Ok(value) = client.get(Cause::Lease, "list").await else { continue };
        let (version, text) = match value {
            Some(value) => (value.version, String::from_utf8(value.bytes.to_vec()).unwrap()),
            None => (0, String::new()),
        };
        // A conflict after a lost answer may hide an own write that was built upon.
        if text.contains(word) {
            return;
        }
        let bytes = Bytes::from(text + word);
        if let Ok(Swap::Written(_)) = client.swap(Cause::Lease, "list", bytes, version).await {
            return;
        }
    }
}

#[tokio::test]
async fn an_outage_opens_the_circuit_and_its_end_closes_it() {
    let (server, client) = start(Faults { down: true, ..Faults::default() });
    let mut failures = Vec::new();
    for _ in 0..FAILURE_THRESHOLD + 3 {
        failures.push(client.get(Cause::Config, "a").await.unwrap_err().to_string());
    }
    expect![[r#"
        the platform is unavailable (status 503)
        the platform is unavailable (status 503)
        the platform is unavailable (status 503)
        the platform is unavailable (status 503)
        the platform is unavailable (status 503)
        the call to the platform was not made
        the call to the platform was not made
        the call to the platform was not made"#]]
    .assert_eq(&failures.join("\n"));
    let mut health = client.health();
    health.wait_for(|it| *it == Health::Degraded).await.unwrap();
    // Nobody calls any more; the port finds out by itself.
    set(&server, json!({ "down": false })).await;
    health.wait_for(|it| *it == Health::Good).await.unwrap();
    assert_eq!(client.get(Cause::Config, "a").await, Ok(None));
    let counts = client.counts().borrow()[0];
    assert_eq!((counts.failed, counts.refused), (u64::from(FAILURE_THRESHOLD), 3));
}

#[tokio::test]
async fn a_silent_platform_gives_no_certainty() {
    let (_server, client) = start(Faults { hang: true, ..Faults::default() });
    let write = client.put(Cause::Claim, "a", Bytes::new(), Some(0)).await;
    assert_eq!(write, Err(Failure::Unknown("timeout".to_owned())));
}

#[tokio::test]
async fn a_zone_without_cheap_upstreams_is_no_outage() {
    let (_server, client) =
        start(Faults { no_cheap_zones: vec!["z".to_owned()], ..Faults::default() });
    let order = Fenced {
        id: "1".to_owned(),
        lease: "l".to_owned(),
        number: 1,
        deadline_ms: u64::MAX,
        order: Order::Start { pool: "p".to_owned(), cheap: true },
    };
    for _ in 0..2 * FAILURE_THRESHOLD {
        assert_eq!(client.order("z", &order).await, Err(Failure::Busy(503)));
    }
    assert_eq!(*client.health().borrow(), Health::Good);
}

#[tokio::test]
async fn a_refusal_for_the_rate_empties_the_budget() {
    let (server, client) = start(Faults { reads_per_s: Some(0), ..Faults::default() });
    client.set_zone_hosts(65).await;
    assert_eq!(client.hosts().await, Err(Failure::Busy(429)));
    // The circuit stays closed, and the other causes keep their budgets.
    assert_eq!(client.hosts().await, Err(Failure::Busy(0)));
    assert_eq!(*client.health().borrow(), Health::Good);
    assert_eq!(client.get(Cause::Config, "a").await, Err(Failure::Busy(429)));
    assert_eq!(calls(&server, |it| it["cause"] == "hosts").await, 1);
}

#[tokio::test]
async fn a_large_zone_shares_the_budget() {
    let (server, client) = start(Faults::default());
    client.set_zone_hosts(65).await;
    let mut made = 0;
    for _ in 0..20 {
        made += usize::from(client.hosts().await.is_ok());
    }
    assert_eq!((made, calls(&server, |it| it["cause"] == "hosts").await), (5, 5));
}

#[tokio::test]
async fn nonsense_is_told_from_answers() {
    for call in 0..9 {
        let (_server, client) = start(Faults { garbage: true, ..Faults::default() });
        let failure = any(&client, call).await.unwrap_err();
        assert!(matches!(failure, Failure::Invalid(_)), "call {call}: {failure}");
    }
}

#[tokio::test]
async fn names_that_would_change_the_call_are_refused() {
    let (server, client) = start(Faults::default());
    for key in ["a b", "a?if-version=0", "a#b", "a%2fb", "ü", "a\r\nb", &"a".repeat(1_025)] {
        let refused = |it: &Failure| matches!(it, Failure::Refused(400, _));
        assert!(client.get(Cause::Config, key).await.is_err_and(|it| refused(&it)));
        assert!(client.release(key, "h").await.is_err_and(|it| refused(&it)));
        assert!(client.release("l", key).await.is_err_and(|it| refused(&it)));
        assert!(client.watch(key, 0, 0).await.is_err_and(|it| refused(&it)));
    }
    let large = Bytes::from(vec![0; (1 << 20) + 1]);
    let write = client.put(Cause::Config, "a", large, None).await;
    assert!(matches!(write, Err(Failure::Refused(413, _))));
    assert_eq!(calls(&server, |_| true).await, 0);
}

/// One of the calls, by number.
async fn any(client: &Client, call: usize) -> Result<(), Failure> {
    let order = Fenced {
        id: "1".to_owned(),
        lease: "l".to_owned(),
        number: 1,
        deadline_ms: 1,
        order: Order::Stop { upstream: "u".to_owned() },
    };
    match call {
        0 => client.get(Cause::Config, "a").await.map(drop),
        1 => client.put(Cause::Config, "a", Bytes::new(), None).await.map(drop),
        2 => client.delete(Cause::Config, "a", Some(1)).await.map(drop),
        3 => client.list(Cause::Config, "a", "", 10).await.map(drop),
        4 => client.watch("a", 0, 10).await.map(drop),
        5 => client.acquire("l", "h", 1_000).await.map(drop),
        6 => client.hosts().await.map(drop),
        7 => client.upstreams("z").await.map(drop),
        8 => client.order("z", &order).await.map(drop),
        9 => client.release("l", "h").await,
        _ => client.report("w", "l", 1, Bytes::new()).await,
    }
}

/// Bytes that look like an answer more or less.
#[derive(Debug, Clone)]
struct Raw(Vec<u8>);

impl Arbitrary for Raw {
    fn arbitrary(g: &mut Gen) -> Raw {
        if bool::arbitrary(g) {
            return Raw(Vec::arbitrary(g));
        }
        let status = g.choose(&["200 OK", "409 Conflict", "503 No", "999 ?", "200"]).unwrap();
        let version = g.choose(&["7", "-1", "99999999999999999999", "", "\u{1}"]).unwrap();
        let bodies = [
            "{}",
            "null",
            r#"{"revision":-1,"entries":[]}"#,
            r#"{"revision":1,"entries":[{"key":1}]}"#,
            r#"{"hosts":[{"id":"a","peer":"here"}]}"#,
            r#"{"holder":null,"number":1e400}"#,
            r#"{"upstream":["#,
            "[[[[[[[[[[",
        ];
        let body = g.choose(&bodies).unwrap();
        let length = if bool::arbitrary(g) { body.len() } else { usize::arbitrary(g) };
        let text = format!(
            "HTTP/1.1 {status}\r\nx-version: {version}\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        Raw(text.into_bytes())
    }
}

/// Answers every connection with the same bytes and closes it.
async fn answer_with(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind(local()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let _ = stream.write_all(&bytes).await;
        }
    });
    address
}

#[tokio::test]
async fn a_call_answered_with_a_status_that_ends_no_exchange_may_have_taken_effect() {
    for status in [0, 99, 101, 199, 600, 999] {
        let answer = format!("HTTP/1.1 {status:03} \r\ncontent-length: 2\r\n\r\n{{}}");
        let address = answer_with(answer.into_bytes()).await;
        for call in 0..11 {
            let client = Client::open(address, "h1");
            let failure = any(&client, call).await.unwrap_err();
            assert!(matches!(failure, Failure::Unknown(_)), "{status}, call {call}: {failure}");
        }
    }
}

#[tokio::test]
async fn half_a_value_that_ends_with_its_connection_is_no_value() {
    let answer = "HTTP/1.1 200 OK\r\nx-version: 7\r\n\r\n{\"half\":";
    let client = Client::open(answer_with(answer.into()).await, "h1");
    let value = client.get(Cause::Config, "a").await;
    assert!(matches!(value, Err(Failure::Unknown(_))), "{value:?}");
}

#[test]
fn arbitrary_answers_are_failures_or_answers() {
    fn holds(Raw(bytes): Raw, call: usize) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let client = Client::open(answer_with(bytes).await, "h1");
            let _ = any(&client, call % 11).await;
            // The port still works after it.
            client.counts().borrow().iter().map(|it| it.sent).sum::<u64>() == 1
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 21))
        .tests(1_500)
        .quickcheck(holds as fn(Raw, usize) -> bool);
}

#[tokio::test]
async fn an_endless_answer_is_cut_off() {
    let mut bytes = b"HTTP/1.1 200 OK\r\nx-version: 1\r\ncontent-length: 3000000\r\n\r\n".to_vec();
    bytes.resize(bytes.len() + 3_000_000, b'x');
    let client = Client::open(answer_with(bytes).await, "h1");
    let failure = client.get(Cause::Config, "a").await.unwrap_err();
    expect!["invalid answer from the platform: the answer has more than 1048576 bytes"]
        .assert_eq(&failure.to_string());
}

#[test]
fn a_budget_is_a_bucket_that_fills_with_time() {
    fn holds(period: u16, burst: u8, steps: Vec<(u16, bool)>) -> bool {
        let (period, burst) = (u64::from(period) + 1, u64::from(burst) + 1);
        let rate = Rate { period: Span(period), burst: burst as u32 };
        let mut budget = CallBudget::new(rate);
        let mut now = Time(1 << 40);
        // The level of a bucket that holds `burst` calls, in units of time.
        let mut level = burst * period;
        steps.into_iter().all(|(pause, drain)| {
            now = now + Span(pause.into());
            level = (level + u64::from(pause)).min(burst * period);
            if drain {
                budget.exhaust(now);
                level = 0;
            }
            let expected = level.checked_sub(period).ok_or_else(|| Span(period - level));
            let taken = budget.take(now);
            level = expected.unwrap_or(level);
            taken == expected.map(drop)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 22))
        .tests(2_000)
        .quickcheck(holds as fn(u16, u8, Vec<(u16, bool)>) -> bool);
}

#[derive(Debug, Clone)]
enum Step {
    Enter,
    Settle(usize, u8),
    Wait(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 5 {
            0 | 1 => Step::Enter,
            2 | 3 => Step::Settle(usize::arbitrary(g), *g.choose(&[0, 1, 1, 1, 1, 2, 3]).unwrap()),
            _ => Step::Wait(u16::arbitrary(g) % 3_000),
        }
    }
}

/// What an outsider knows of a circuit.
#[derive(Default)]
struct Oracle {
    degraded: bool,
    failures: u32,
    /// Whether the single trial is out.
    trial: bool,
    /// Passes of the present period.
    current: Vec<CallPermit>,
    old: Vec<CallPermit>,
}

impl Oracle {
    fn change(&mut self, degraded: bool) {
        self.degraded = degraded;
        self.failures = 0;
        self.trial = false;
        self.old.append(&mut self.current);
    }

    fn settle(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Answered | Outcome::Throttled if self.degraded => self.change(false),
            Outcome::Answered | Outcome::Throttled => self.failures = 0,
            Outcome::Failed if self.degraded => self.change(true),
            Outcome::Failed => {
                self.failures += 1;
                if self.failures == FAILURE_THRESHOLD {
                    self.change(true);
                }
            }
            Outcome::Cancelled if self.degraded => self.change(true),
            Outcome::Cancelled => {}
        }
    }
}

#[test]
fn a_circuit_refuses_only_while_degraded_and_always_recovers() {
    fn holds(steps: Vec<Step>) -> TestResult {
        let mut circuit = Circuit::default();
        let mut oracle = Oracle::default();
        let mut now = Time(1 << 40);
        for (place, step) in steps.into_iter().enumerate() {
            match step {
                Step::Wait(ms) => now = now + Span::from_ms(ms.into()),
                Step::Enter => {
                    let pass = circuit.acquire(now);
                    let expected = !oracle.degraded || (!oracle.trial && pass.is_some());
                    if pass.is_some() != expected {
                        return TestResult::error(format!("step {place}: {pass:?}"));
                    }
                    oracle.trial |= oracle.degraded && pass.is_some();
                    oracle.current.extend(pass);
                }
                Step::Settle(which, outcome) => {
                    let outcomes = [
                        Outcome::Answered,
                        Outcome::Failed,
                        Outcome::Throttled,
                        Outcome::Cancelled,
                    ];
                    let outcome = outcomes[usize::from(outcome)];
                    let count = oracle.current.len() + oracle.old.len();
                    if count == 0 {
                        continue;
                    }
                    let which = which % count;
                    if which < oracle.current.len() {
                        let pass = oracle.current.remove(which);
                        circuit.record(now, pass, outcome, which as u64);
                        oracle.settle(outcome);
                    } else {
                        let pass = oracle.old.remove(which - oracle.current.len());
                        circuit.record(now, pass, outcome, 0);
                    }
                }
            }
            if (circuit.health() == Health::Degraded) != oracle.degraded {
                return TestResult::error(format!("step {place}: {:?}", circuit.health()));
            }
        }
        for pass in std::mem::take(&mut oracle.current) {
            circuit.record(now, pass, Outcome::Cancelled, 0);
        }
        now = now + MAX_BACKOFF;
        let Some(pass) = circuit.acquire(now) else { return TestResult::error("stays open") };
        circuit.record(now, pass, Outcome::Answered, 0);
        TestResult::from_bool(circuit.health() == Health::Good)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 23))
        .tests(5_000)
        .quickcheck(holds as fn(Vec<Step>) -> TestResult);
}

#[test]
fn pauses_double_within_their_bounds() {
    let mut backoff = Backoff::new(Span::from_ms(100), Span::from_ms(1_000));
    let mut pauses = Vec::new();
    for random in [0, u64::MAX, 7, 1 << 40, 3, 50_001] {
        pauses.push(backoff.next(random).as_ms());
    }
    for _ in 0..100 {
        assert!((500..=1_000).contains(&backoff.next(u64::MAX - 1).as_ms()));
    }
    expect!["[50, 171, 201, 480, 501, 551]"].assert_eq(&format!("{pauses:?}"));
}

#[tokio::test]
async fn conditional_writes_say_what_stands() {
    let (_server, client) = start(Faults::default());
    let value = || Bytes::from_static(b"x");
    let writes = [
        client.put(Cause::Config, "a", value(), Some(0)).await,
        client.put(Cause::Config, "a", value(), Some(0)).await,
        client.delete(Cause::Config, "b", None).await,
        client.delete(Cause::Config, "a", Some(1)).await,
    ];
    let expected = [Write::Written(1), Write::Conflict(1), Write::Conflict(0), Write::Written(2)];
    assert_eq!(writes, expected.map(Ok));
}
