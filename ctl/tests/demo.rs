//! The commands against the hosts of a demo.

use std::{ffi::OsString, fs, path::PathBuf, time::Duration};

use expect_test::expect;
use http::{Method, Request, header};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::{Value, json};
use stand_ins::demo::{self, Demo};

/// Time for a change to be in force on every host.
const IN_FORCE: Duration = Duration::from_secs(17);

/// Time for the numbers of a minute to be in the store, from any point in it.
const REPORTED: Duration = Duration::from_secs(120);

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(100);

struct Shown {
    code: u8,
    out: String,
    err: String,
}

impl Shown {
    fn done(self) -> String {
        assert_eq!(self.code, 0, "{}", self.err);
        self.out
    }

    fn json(self) -> Value {
        serde_json::from_str(&self.done()).unwrap()
    }
}

/// Runs a command line with the key of the demo's operator.
async fn ctl(demo: &Demo, line: &str) -> Shown {
    ctl_as(demo, &demo.operator, line).await
}

async fn ctl_as(demo: &Demo, key: &str, line: &str) -> Shown {
    let admins: Vec<_> = demo.admins().iter().map(ToString::to_string).collect();
    let look_up = |name: &str| match name {
        "ALMONDRACK_ADMIN" => Some(admins.join(",")),
        "ALMONDRACK_KEY" => Some(key.to_owned()),
        _ => None,
    };
    let arguments: Vec<OsString> = line.split_whitespace().map(OsString::from).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = almondrackctl::run(arguments, &look_up, &mut out, &mut err).await;
    let text = |it| String::from_utf8(it).unwrap();
    Shown { code, out: text(out), err: text(err) }
}

/// Writes the files of a set of records.
fn records(name: &str, records: &[Value]) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    for record in records {
        let file = format!("{}-{}.json", record["kind"], record["name"]).replace('"', "");
        fs::write(path.join(file), record.to_string()).unwrap();
    }
    path.display().to_string()
}

fn bakery() -> [Value; 3] {
    [
        json!({ "kind": "customer", "schema": 2, "name": "bakery" }),
        json!({
            "kind": "class", "schema": 2, "name": "ovens", "tier": 2, "first_token_ms": 1000,
            "token_gap_ms": 100, "max_wait_ms": 5000,
        }),
        json!({
            "kind": "route", "schema": 2, "name": "bakery", "target": { "model": "bread" },
            "pool": "engines", "class": "ovens", "customers": ["bakery"],
        }),
    ]
}

/// Sends a request as a stock HTTP client does; the status.
async fn ask(demo: &Demo, host: usize, key: &str) -> u16 {
    let body = json!({
        "model": "bread", "max_tokens": 5, "messages": [{ "role": "user", "content": "marker:loaf" }],
    });
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}/v1/chat/completions", demo.callers()[host]))
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .body(Full::<bytes::Bytes>::from(body.to_string()))
        .unwrap();
    let answer = Client::builder(TokioExecutor::new()).build_http().request(request).await.unwrap();
    let status = answer.status().as_u16();
    let _ = answer.into_body().collect().await.unwrap();
    status
}

/// A text without the revisions of the store, which counts every write of the demo.
fn hidden(text: &str) -> String {
    let mut words = text.split("revision ");
    let mut out = words.next().unwrap_or_default().to_owned();
    for rest in words {
        out.push_str("revision N");
        out.push_str(rest.trim_start_matches(|it: char| it.is_ascii_digit()));
    }
    out
}

/// Asks until every host answers with a status; the number of whole answers.
async fn ask_all(demo: &Demo, key: &str, status: u16) -> u64 {
    let mut whole = 0;
    for host in 0..demo.callers().len() {
        let wait = async {
            loop {
                let found = ask(demo, host, key).await;
                whole += u64::from(found == 200);
                if found == status {
                    return;
                }
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout(IN_FORCE, wait).await.expect("the change is in force");
    }
    whole
}

/// Whole answers in the longest window. A request that the withdrawal of its key met counts as refused.
fn answered(row: &Value) -> u64 {
    let figures = &row["windows"][3];
    ["in_time", "late"].iter().filter_map(|it| figures[it].as_u64()).sum()
}

/// Reads a page of the administration interface; status and body.
async fn read(demo: &Demo, path: &str, key: Option<&String>) -> (u16, String) {
    let mut request = Request::builder().uri(format!("http://{}{path}", demo.admins()[0]));
    if let Some(key) = key {
        request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
    }
    let request = request.body(Full::<bytes::Bytes>::default()).unwrap();
    let answer = Client::builder(TokioExecutor::new()).build_http().request(request).await.unwrap();
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}

/// Commands of the transcript with what they print.
fn transcript() -> Vec<(String, String)> {
    let page = include_str!("../../docs/OPERATIONS.md");
    let block = page.split("<!-- transcript -->\n```console\n").nth(1).unwrap();
    let block = block.split("```").next().unwrap();
    let step = |it: &str| {
        let (command, shown) = it.split_once('\n').unwrap();
        (command.to_owned(), shown.to_owned())
    };
    block
        .split("$ ")
        .skip(1)
        .fold(Vec::<String>::new(), |mut steps, part| {
            // A variable within a command is no prompt.
            match steps.last_mut() {
                Some(last) if !last.ends_with('\n') => last.push_str(&format!("$ {part}")),
                _ => steps.push(part.to_owned()),
            }
            steps
        })
        .iter()
        .map(|it| step(it))
        .collect()
}

/// Whether a text is as the transcript shows it; `…` stands for anything.
fn matches(shown: &str, mut found: &str) -> bool {
    let parts: Vec<_> = shown.trim_end().split('…').collect();
    for (index, part) in parts.iter().enumerate() {
        let Some(at) = found.find(part.trim()) else { return false };
        if index == 0 && at > 0 {
            return false;
        }
        found = &found[at + part.trim().len()..];
    }
    parts.last().is_some_and(|it| it.is_empty()) || found.trim().is_empty()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_transcript_of_the_first_start_holds() {
    let demo = demo::spawn().await.unwrap();
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/");
    let mut secret = String::new();
    for (command, shown) in transcript() {
        if command.starts_with("curl ") {
            ask_all(&demo, &secret, shown.trim().parse().unwrap()).await;
            continue;
        }
        let line = command.strip_prefix("almondrackctl ").unwrap().replace("docs/", root);
        let wait = async {
            loop {
                let found = ctl(&demo, &line).await.done();
                // Only the report has to wait for the end of the minute.
                if matches(&shown, &found) || !line.starts_with("report") {
                    return found;
                }
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        };
        let found = tokio::time::timeout(REPORTED, wait).await.expect(&command);
        assert!(matches(&shown, &found), "{command}\n{found}");
        let issued = found.lines().find_map(|it| it.strip_prefix("secret: "));
        issued.unwrap_or(&secret).to_owned().clone_into(&mut secret);
    }
    assert!(demo.stop().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn records_keys_and_reports() {
    let demo = demo::spawn().await.unwrap();
    let path = records("bakery", &bakery());
    let dry = ctl(&demo, &format!("apply {path} --dry-run")).await.done();
    expect![[r#"
        + create customer/bakery
            schema: 2
        + create class/ovens
            first_token_ms: 1000
            max_wait_ms: 5000
            schema: 2
            tier: 2
            token_gap_ms: 100
        + create route/bakery
            class: "ovens"
            customers: ["bakery"]
            pool: "engines"
            schema: 2
            target: {"model":"bread"}
        dry run at revision N: 3 to change, 0 unchanged, nothing written
    "#]]
    .assert_eq(&hidden(&dry));
    assert_eq!(ctl(&demo, "get customer bakery").await.code, 1, "a dry run writes nothing");
    expect![[r#"
        + create customer/bakery
            schema: 2
        + create class/ovens
            first_token_ms: 1000
            max_wait_ms: 5000
            schema: 2
            tier: 2
            token_gap_ms: 100
        + create route/bakery
            class: "ovens"
            customers: ["bakery"]
            pool: "engines"
            schema: 2
            target: {"model":"bread"}
        3 changed, 0 unchanged
    "#]]
    .assert_eq(&ctl(&demo, &format!("apply {path}")).await.done());
    expect![[r#"
        0 changed, 3 unchanged
    "#]]
    .assert_eq(&ctl(&demo, &format!("apply {path}")).await.done());

    // A set with one fault changes nothing.
    let mut faulty = bakery().to_vec();
    faulty[0]["weight"] = json!(7);
    faulty[1]["tier"] = json!(9);
    let faulty = records("faulty", &faulty);
    let refused = ctl(&demo, &format!("apply {faulty}")).await;
    expect![[r#"
        1 almondrackctl: invalid_record (422)
          class/ovens: tier: found 9; accepted: a whole number from 1 to 8
          nothing was changed
    "#]]
    .assert_eq(&format!("{} {}", refused.code, refused.err));
    let record = ctl(&demo, "--json get customer bakery").await.json();
    assert_ne!(record["record"]["weight"], 7);
    let stale = ctl(&demo, &format!("apply {path} --if-revision 1")).await;
    let conflict = ctl(&demo, "delete customer bakery --if-revision 1").await;
    let used = ctl(&demo, "delete class ovens").await;
    assert_eq!((stale.code, conflict.code, used.code), (0, 4, 1), "{}", used.err);

    let issued = ctl(&demo, "--json key issue till --customer bakery").await.json();
    let secret = issued["secret"].as_str().unwrap().to_owned();
    let again = ctl(&demo, "key issue till --customer bakery").await;
    assert_eq!(again.code, 4, "{}", again.err);
    let mut whole = ask_all(&demo, &secret, 200).await;
    assert_eq!(ctl_as(&demo, &secret, "status").await.code, 1, "a caller is no operator");
    let rotated = ctl(&demo, "--json key rotate till --overlap-ms 0").await.json();
    let second = rotated["secret"].as_str().unwrap().to_owned();
    whole += ask_all(&demo, &second, 200).await;
    whole += ask_all(&demo, &secret, 401).await;
    let withdrawn = ctl(&demo, "key withdraw till.2").await.done();
    expect![[r#"
        withdrawn till.2 at revision N
    "#]]
    .assert_eq(&hidden(&withdrawn));
    whole += ask_all(&demo, &second, 401).await;

    let wait = async {
        loop {
            let report = ctl(&demo, "--json report burn").await.json();
            let rows = report["customers"].as_array().unwrap().clone();
            let bakery = rows.into_iter().find(|it| it["customer"] == "bakery");
            if let Some(row) = bakery.filter(|it| answered(it) >= whole) {
                return row;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    };
    let row = tokio::time::timeout(REPORTED, wait).await.expect("the burn is reported");
    assert_eq!((&row["class"], answered(&row)), (&json!("ovens"), whole));
    let table = ctl(&demo, "report burn").await.done();
    assert!(table.contains("bakery") && table.contains("ovens"), "{table}");
    assert!(demo.stop().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_and_upstreams() {
    let demo = demo::spawn().await.unwrap();
    let status = ctl(&demo, "--json status").await.json();
    let hosts: Vec<_> = status["hosts"].as_array().unwrap().iter().map(|it| &it["host"]).collect();
    assert_eq!(json!(hosts), json!(["host-a1", "host-a2", "host-b1"]));
    let wait = async {
        loop {
            let text = ctl(&demo, "status").await.done();
            if text.contains("controller/zone-a") && text.contains("controller/zone-b") {
                return text;
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    let text = tokio::time::timeout(IN_FORCE, wait).await.expect("both zones have a controller");
    assert!(text.contains("degraded: nothing"), "{text}");
    let upstreams = ctl(&demo, "--json upstreams").await.json();
    assert_eq!(upstreams["upstreams"].as_array().unwrap().len(), 6);
    let table = ctl(&demo, "upstreams").await.done();
    assert_eq!(table.lines().count(), 7, "{table}");
    assert_eq!(ctl(&demo, "report usage").await.code, 0);
    assert_eq!(ctl(&demo, "report usage --window 1").await.code, 1);
    let elsewhere = ctl(&demo, "drain host-c9").await;
    expect![[r#"
        2 almondrackctl: host: found "host-c9"; accepted: host-a1, host-a2, host-b1
    "#]]
    .assert_eq(&format!("{} {}", elsewhere.code, elsewhere.err));
    expect![[r#"
        host-a2 stops after its requests
    "#]]
    .assert_eq(&ctl(&demo, "drain host-a2").await.done());

    let told = tokio::time::timeout(IN_FORCE, demo.drain_asked(1)).await;
    told.expect("the host is told to drain");
    let others = tokio::time::timeout(PAUSE, demo.drain_asked(0)).await;
    assert!(others.is_err(), "no other host is told");

    // The page needs a key, which the query cannot carry.
    let key = &demo.operator;
    for (path, key, status) in [
        ("/burn", Some(key), 200),
        ("/burn", None, 401),
        (&*format!("/burn?key={key}"), None, 401),
        ("/burn", Some(&demo.key), 403),
    ] {
        let (found, body) = read(&demo, path, key).await;
        assert_eq!(found, status, "{path}");
        assert_eq!(body.contains("<svg"), status == 200, "{path}");
    }

    // The first host that answers is asked.
    let line = format!("--admin 127.0.0.1:1 --admin {} get pool", demo.admins()[0]);
    assert_eq!(ctl(&demo, &line).await.code, 0);
    assert!(demo.stop().await);
}
