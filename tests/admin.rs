//! The administration interface over TCP, against the platform's stand-in.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use almondrack::{
    admin::{self, Admin},
    credential::Digest,
    member::View,
    peer::Peers,
    platform::Client,
    watcher::{self, Watcher},
};
use bytes::Bytes;
use expect_test::expect;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{Client as Http, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use stand_ins::{platform, server::Server};
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

const BOOTSTRAP: &str = "first secret";

/// Time for a change to come into force on the only host.
const IN_FORCE: Duration = Duration::from_secs(5);

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// One host's watcher and administration interface.
struct Host {
    watcher: Watcher,
    admin: Admin,
    http: Http<HttpConnector, Full<Bytes>>,
    _view: watch::Sender<Arc<View>>,
    _mailbox: mpsc::Sender<almondrack::peer::ConfigCall>,
}

#[derive(Debug)]
struct Answer {
    status: StatusCode,
    revision: Option<u64>,
    body: Value,
}

impl Answer {
    fn kind(&self) -> &str {
        self.body["error"]["kind"].as_str().unwrap_or("none")
    }

    /// Status and kind of error in one line.
    fn line(&self) -> String {
        format!("{} {}", self.status.as_u16(), self.kind())
    }
}

fn platform() -> Server {
    platform::spawn(platform::Options::new(local())).unwrap()
}

impl Host {
    async fn spawn(id: &str, platform: &Server) -> Host {
        let platform = Client::open(platform.address(), id);
        let (view_sender, view) = watch::channel(Arc::new(View::default()));
        let (mailbox_sender, mailbox) = mpsc::channel(16);
        let mut watcher = watcher::spawn(watcher::Options {
            platform: platform.clone(),
            peers: Peers::spawn(),
            view: view.clone(),
            host: id.to_owned(),
            zone: "z1".to_owned(),
            mailbox,
        });
        let serving = watcher.status.wait_for(|it| it.serving);
        drop(timeout(IN_FORCE, serving).await.unwrap().unwrap());
        let (_, ready) = watch::channel(true);
        let admin = admin::bind(admin::Options {
            listen: local(),
            host: id.to_owned(),
            zone: "z1".to_owned(),
            platform,
            snapshot: watcher.snapshot.clone(),
            content: watcher.content.clone(),
            watcher: watcher.status.clone(),
            view,
            ready,
            bootstrap_digest: Some(Digest::of(BOOTSTRAP)),
            sections: vec![admin::Section {
                name: "pools",
                value: Arc::new(|| json!({ "large": 3 })),
            }],
            pages: vec![admin::Page {
                method: Method::GET,
                path: "/v1/report/burn",
                role: almondrack::record::Role::Auditor,
                answer: Arc::new(|query| {
                    Box::pin(async move {
                        query.only(&["window"])?;
                        Ok(admin::Reply::json(&query.get("window")))
                    })
                }),
            }],
            metrics: Arc::new(|| "up 1\n".to_owned()),
        })
        .unwrap();
        let http = Http::builder(TokioExecutor::new()).build_http();
        Host { watcher, admin, http, _view: view_sender, _mailbox: mailbox_sender }
    }

    async fn send(
        &self,
        secret: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let uri = format!("http://{}{path}", self.admin.address());
        let mut request = Request::builder().method(method).uri(uri);
        if !secret.is_empty() {
            request = request.header("authorization", format!("Bearer {secret}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        let answer = timeout(Duration::from_secs(30), self.http.request(request)).await;
        let (head, body) = answer.unwrap().unwrap().into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        let text = || Value::String(String::from_utf8_lossy(&body).into_owned());
        let tag = head.headers.get("etag").and_then(|it| it.to_str().ok());
        let revision = tag.and_then(|it| it.trim_matches('"').parse().ok());
        let body = serde_json::from_slice(&body).unwrap_or_else(|_| text());
        Answer { status: head.status, revision, body }
    }

    async fn get(&self, path: &str) -> Answer {
        self.send(BOOTSTRAP, "GET", path, &[], "").await
    }

    async fn post(&self, path: &str, body: Value) -> Answer {
        self.send(BOOTSTRAP, "POST", path, &[], &body.to_string()).await
    }

    async fn create(&self, record: &Value) -> Answer {
        let path = record_path(record);
        let none = [("if-none-match", "*")];
        self.send(BOOTSTRAP, "PUT", &path, &none, &record.to_string()).await
    }

    async fn update(&self, record: &Value, revision: u64) -> Answer {
        let path = record_path(record);
        let revision = format!("\"{revision}\"");
        let tag = [("if-match", revision.as_str())];
        self.send(BOOTSTRAP, "PUT", &path, &tag, &record.to_string()).await
    }

    async fn wait_for(&self, revision: u64) {
        let mut snapshot = self.watcher.snapshot.clone();
        let in_force = snapshot.wait_for(|it| it.revision >= revision);
        drop(timeout(IN_FORCE, in_force).await.unwrap().unwrap());
    }

    fn accepts(&self, secret: &str) -> bool {
        let now = almondrack::time::wall_ms();
        self.watcher.snapshot.borrow().authenticate(secret, now).is_ok()
    }
}

fn record_path(record: &Value) -> String {
    let part = |field: &str| record[field].as_str().unwrap().to_owned();
    format!("/v1/records/{}/{}", part("kind"), part("name"))
}

async fn faults(platform: &Server, faults: Value) {
    let http: Http<HttpConnector, Full<Bytes>> = Http::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}/test/faults", platform.address());
    let body = Full::new(Bytes::from(faults.to_string()));
    let request = Request::builder().method("POST").uri(uri).body(body).unwrap();
    assert_eq!(http.request(request).await.unwrap().status(), 200);
}

fn customer(name: &str, weight: u32) -> Value {
    json!({ "schema": 2, "kind": "customer", "name": name, "weight": weight })
}

fn class() -> Value {
    json!({ "schema": 1, "kind": "class", "name": "fast", "priority": "high",
        "first_token_ms": 600, "token_gap_ms": 34, "max_wait_ms": 500 })
}

fn pool() -> Value {
    json!({ "schema": 2, "kind": "pool", "name": "large", "protocol": "engine", "slots": 8,
        "max_per_zone": 4 })
}

fn route(name: &str, model: &str) -> Value {
    json!({ "schema": 2, "kind": "route", "name": name, "target": { "model": model },
        "pool": "large", "class": "fast" })
}

#[tokio::test(flavor = "multi_thread")]
async fn records_are_written_under_their_revision() {
    let platform = platform();
    let host = Host::spawn("h1", &platform).await;
    let created = host.create(&customer("bakery", 1)).await;
    assert_eq!(created.status, 201);
    let revision = created.revision.unwrap();
    assert_eq!(host.create(&customer("bakery", 2)).await.line(), "412 revision_conflict");

    let updated = host.update(&customer("bakery", 2), revision).await;
    assert_eq!(updated.status, 200);
    let stale = host.update(&customer("bakery", 3), revision).await;
    assert_eq!(stale.line(), "412 revision_conflict");
    assert_eq!(stale.revision, updated.revision);

    let read = host.get("/v1/records/customer/bakery").await;
    assert_eq!((read.revision, &read.body["weight"]), (updated.revision, &json!(2)));
    let tag = format!("\"{}\"", updated.revision.unwrap());
    let path = "/v1/records/customer/bakery";
    let deleted = host.send(BOOTSTRAP, "DELETE", path, &[("if-match", &tag)], "").await;
    assert_eq!(deleted.status, 200);
    assert_eq!(host.get(path).await.line(), "404 not_found");
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_say_what_is_accepted() {
    let platform = platform();
    let host = Host::spawn("h1", &platform).await;
    type Case<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], &'a str);
    let cases: [Case<'_>; 12] = [
        ("GET", "/v1/records?sort=name", &[], ""),
        ("POST", "/v1/records/customer/a", &[], ""),
        ("GET", "/v1/records/klass/a", &[], ""),
        ("PUT", "/v1/records/customer/a", &[], "{}"),
        ("PUT", "/v1/records/customer/a", &[("if-match", "x")], "{}"),
        ("PUT", "/v1/records/customer/a", &[("if-none-match", "*")], "{"),
        (
            "PUT",
            "/v1/records/customer/a",
            &[("if-none-match", "*")],
            r#"{"schema":2,"kind":"customer","name":"b","weight":1001}"#,
        ),
        (
            "PUT",
            "/v1/records/route/r",
            &[("if-none-match", "*")],
            r#"{"schema":2,"kind":"route","name":"r","target":{"model":"m"},"pool":"p","class":"c"}"#,
        ),
        ("POST", "/v1/apply", &[], r#"{"record":[]}"#),
        ("POST", "/v1/apply", &[], r#"{"delete":["route"]}"#),
        ("GET", "/v1/audit?limit=0", &[], ""),
        ("GET", "/v2/records", &[], ""),
    ];
    let mut lines = Vec::new();
    for (method, path, headers, body) in cases {
        let answer = host.send(BOOTSTRAP, method, path, headers, body).await;
        let message = answer.body["error"]["message"].as_str().unwrap_or_default().to_owned();
        lines.push(format!("{method} {path}: {}: {message}", answer.line()));
    }
    expect![[r#"
        GET /v1/records?sort=name: 400 bad_request: query parameter "sort" is unknown; accepted: kind
        POST /v1/records/customer/a: 405 method_not_allowed: accepted: GET, PUT, DELETE
        GET /v1/records/klass/a: 404 not_found: found "klass"/"a"; accepted: a kind of customer, key, class, route, pool and a name of 1 to 64 of a-z 0-9 - . _
        PUT /v1/records/customer/a: 400 bad_request: send If-Match with the revision that the change is based on, or If-None-Match: * to create
        PUT /v1/records/customer/a: 400 bad_request: If-Match: found "x"; accepted: the revision of the record from ETag
        PUT /v1/records/customer/a: 422 invalid_record: customer/a: found text that is not a JSON object (EOF while parsing an object at line 1 column 1); accepted: a JSON object with schema, kind and name
        PUT /v1/records/customer/a: 422 invalid_record: customer/a: weight: found 1001; accepted: a whole number from 1 to 1000
        PUT /v1/records/route/r: 422 invalid_record: route/r: pool: found "p"; accepted: the name of a valid pool, else the route is unreachable; route/r: class: found "c"; accepted: the name of a valid class, else the route is unreachable
        POST /v1/apply: 400 bad_request: unknown field `record`, expected one of `records`, `delete`, `if_revision`, `dry_run` at line 1 column 9
        POST /v1/apply: 422 invalid_record: route: found no kind and name; accepted: kind/name, such as route/chat
        GET /v1/audit?limit=0: 400 bad_request: limit: found "0"; accepted: 1 to 1000
        GET /v2/records: 404 unknown_path: there is no "/v2/records""#]].assert_eq(&lines.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn roles_are_held() {
    let platform = platform();
    let host = Host::spawn("h1", &platform).await;
    assert_eq!(host.create(&customer("bakery", 1)).await.status, 201);
    let mut secrets = Vec::new();
    let mut revision = 0;
    for (name, role) in [("caller", "caller"), ("reader", "auditor"), ("writer", "operator")] {
        let customer = (role == "caller").then_some("bakery");
        let wanted = json!({ "name": name, "role": role, "customer": customer });
        let issued = host.post("/v1/keys", wanted).await;
        assert_eq!(issued.status, 201, "{issued:?}");
        revision = issued.revision.unwrap();
        secrets.push(issued.body["secret"].as_str().unwrap().to_owned());
    }
    host.wait_for(revision).await;
    secrets.push("unknown".to_owned());
    secrets.push(BOOTSTRAP.to_owned());
    secrets.push(String::new());
    let mut lines = Vec::new();
    for secret in &secrets {
        let mut line = Vec::new();
        for (method, path) in [
            ("GET", "/v1/status"),
            ("GET", "/v1/audit"),
            ("POST", "/v1/migrate"),
            ("GET", "/healthz"),
        ] {
            line.push(host.send(secret, method, path, &[], "").await.status.as_u16().to_string());
        }
        lines.push(line.join(" "));
    }
    // Caller, auditor, operator, an unknown key, the bootstrap key after its end, no key.
    expect![[r#"
        403 403 403 200
        200 200 403 200
        200 200 200 200
        401 401 401 200
        401 401 401 200
        401 401 401 200"#]]
    .assert_eq(&lines.join("\n"));
    let digests = host.send(&secrets[1], "GET", "/v1/records?kind=key", &[], "").await;
    assert!(secrets[..3].iter().all(|it| !digests.body.to_string().contains(it)));
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_lose_no_update() {
    let platform = platform();
    let hosts = [Host::spawn("h1", &platform).await, Host::spawn("h2", &platform).await];
    let mut revision = hosts[0].create(&customer("bakery", 1)).await.revision.unwrap();
    for round in 0..20 {
        let records = [customer("bakery", 2 + 2 * round), customer("bakery", 3 + 2 * round)];
        let [a, b] = [0, 1].map(|it| hosts[it].update(&records[it], revision));
        let answers = tokio::join!(a, b);
        let (won, lost) = match (answers.0.status.as_u16(), answers.1.status.as_u16()) {
            (200, 412) => (answers.0, answers.1),
            (412, 200) => (answers.1, answers.0),
            other => panic!("round {round}: {other:?}"),
        };
        assert_eq!(lost.body["error"]["effect"], "none");
        revision = won.revision.unwrap();
        let stands = hosts[0].get("/v1/records/customer/bakery").await;
        assert_eq!(stands.revision, Some(revision));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_are_resolved() {
    let platform = platform();
    let host = Host::spawn("h1", &platform).await;
    let mut revision = 0;
    for round in 1..=8 {
        // The intent, the record and the completion of the audit.
        faults(&platform, json!({ "lose_next": 1 + round % 3 })).await;
        let record = customer("bakery", round);
        let answer = match revision {
            0 => host.create(&record).await,
            _ => host.update(&record, revision).await,
        };
        assert!(answer.status.is_success(), "{answer:?}");
        revision = answer.revision.unwrap();
        let read = host.get("/v1/records/customer/bakery").await;
        assert_eq!((read.revision, &read.body["weight"]), (Some(revision), &json!(round)));
    }
    faults(&platform, json!({ "lose_next": 2 })).await;
    let tag = revision.to_string();
    let path = "/v1/records/customer/bakery";
    let deleted = host.send(BOOTSTRAP, "DELETE", path, &[("if-match", &tag)], "").await;
    assert_eq!(deleted.status, 200, "{deleted:?}");
    let audit = host.get("/v1/audit").await;
    let outcomes: Vec<_> =
        audit.body["entries"].as_array().unwrap().iter().map(|it| &it["outcome"]).collect();
    assert_eq!(outcomes, vec!["done"; 9]);
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_refuses_changes_and_keeps_the_configuration() {
    let platform = platform();
    let host = Host::spawn("h1", &platform).await;
    let created = host.create(&customer("bakery", 1)).await;
    host.wait_for(created.revision.unwrap()).await;
    faults(&platform, json!({ "down": true })).await;
    let refused = host.update(&customer("bakery", 2), created.revision.unwrap()).await;
    assert_eq!(refused.line(), "503 store_unavailable");
    assert_eq!(refused.body["error"]["effect"], "none");
    assert_eq!(host.get("/v1/records/customer/bakery").await.body["weight"], 1);
    assert_eq!(host.get("/v1/status").await.body["revision"], json!(created.revision));
    faults(&platform, json!({ "down": false, "garbage": true })).await;
    let refused = host.update(&customer("bakery", 2), created.revision.unwrap()).await;
    assert_eq!(refused.line(), "503 store_unavailable");
    faults(&platform, json!({ "garbage": false })).await;
    let updated = host.update(&customer("bakery", 2), created.revision.unwrap()).await;
    assert_eq!(updated.status, 200);
    host.wait_for(updated.revision.unwrap()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn sets_are_applied_whole() {
    let platform = platform();
    let host = Host::spawn("h1", &platform).await;
    let records = json!([route("chat", "m0"), class(), pool(), customer("bakery", 1)]);
    let dry = host.post("/v1/apply", json!({ "records": records, "dry_run": true })).await;
    assert_eq!((dry.status.as_u16(), &dry.body["written"]), (200, &json!([])));
    assert_eq!(host.get("/v1/records").await.body["records"], json!([]));

    let applied = host.post("/v1/apply", json!({ "records": records })).await;
    let order = |answer: &Answer| -> Vec<String> {
        let written = answer.body["written"].as_array().unwrap();
        written.iter().map(|it| it["record"].as_str().unwrap().to_owned()).collect()
    };
    assert_eq!(order(&applied), ["customer/bakery", "class/fast", "pool/large", "route/chat"]);
    let again = host.post("/v1/apply", json!({ "records": records })).await;
    assert_eq!((order(&again).len(), again.body["unchanged"].as_array().unwrap().len()), (0, 4));

    // A set with one fault changes nothing.
    let broken = json!({ "records": [customer("dairy", 1), route("draft", "m0")] });
    let refused = host.post("/v1/apply", broken).await;
    assert_eq!(refused.line(), "422 invalid_record");
    assert_eq!(refused.body["error"]["faults"][0]["record"], "route/draft");
    let orphaned = host.post("/v1/apply", json!({ "delete": ["pool/large"] })).await;
    assert_eq!(orphaned.body["error"]["faults"][0]["record"], "route/chat");
    assert_eq!(host.get("/v1/records/customer/dairy").await.status, 404);

    // What changed after the revision of the dry run is not overwritten.
    let stale = json!({ "records": [customer("bakery", 7)], "if_revision": 1 });
    assert_eq!(host.post("/v1/apply", stale).await.line(), "412 revision_conflict");

    let diff =
        json!({ "records": [customer("bakery", 9)], "delete": ["route/chat"], "dry_run": true });
    let diff = host.post("/v1/apply", diff).await;
    let steps: Vec<_> =
        diff.body["steps"].as_array().unwrap().iter().map(Value::to_string).collect();
    expect![[r#"{"action":"update","differences":[{"after":#,"before":#,"field":"weight"}],"record":"customer/bakery","version":#}"#]].assert_eq(&steps[0].replace(char::is_numeric, "#"));
    let all = ["route/chat", "pool/large", "class/fast", "customer/bakery"];
    let deleted = host
        .post(
            "/v1/apply",
            json!({ "delete": ["customer/bakery", "class/fast", "pool/large", "route/chat"] }),
        )
        .await;
    assert_eq!(order(&deleted), all);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_set_that_fails_part_way_can_be_applied_again() {
    let platform = platform();
    let host = Host::spawn("h1", &platform).await;
    let records: Vec<_> = (0..40).map(|it| customer(&format!("c{it:02}"), 1)).collect();
    let set = json!({ "records": records });
    faults(&platform, json!({ "writes_per_s": 3 })).await;
    let failed = host.post("/v1/apply", set.clone()).await;
    assert_eq!(failed.line(), "503 store_unavailable");
    assert_eq!(failed.body["error"]["effect"], "partial");
    let written = failed.body["error"]["written"].as_array().unwrap().len();
    assert!((1..40).contains(&written), "{written}");
    faults(&platform, json!({ "writes_per_s": null })).await;
    let done = host.post("/v1/apply", set).await;
    assert_eq!(done.body["unchanged"].as_array().unwrap().len(), written);
    assert_eq!(done.body["written"].as_array().unwrap().len(), 40 - written);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_part_way_is_told_and_resumed() {
    let platform = platform();
    let host = Host::spawn("h1", &platform).await;
    let records: Vec<_> = (0..40).map(|it| customer(&format!("c{it:02}"), 1)).collect();
    let set = json!({ "records": records });
    faults(&platform, json!({ "latency_ms": 50 })).await;
    let outage = async {
        let mut content = host.watcher.content.clone();
        let some = content.wait_for(|it| it.records().count() >= 5);
        drop(timeout(IN_FORCE, some).await.unwrap().unwrap());
        faults(&platform, json!({ "down": true })).await;
    };
    let (failed, ()) = tokio::join!(host.post("/v1/apply", set.clone()), outage);
    assert_eq!(failed.line(), "503 store_unavailable");
    assert_eq!(failed.body["error"]["effect"], "unknown");
    let written = failed.body["error"]["written"].as_array().unwrap().len();
    faults(&platform, json!({ "down": false, "latency_ms": 0 })).await;
    // The port lets calls through again a while after an outage.
    let mut done = host.post("/v1/apply", set.clone()).await;
    while done.line() == "503 store_unavailable" && done.body["error"]["effect"] == "none" {
        sleep(Duration::from_millis(200)).await;
        done = host.post("/v1/apply", set.clone()).await;
    }
    let count = |field: &str| done.body[field].as_array().unwrap().len();
    // The write that was on its way may have taken effect.
    assert!((written..=written + 1).contains(&count("unchanged")), "{done:?}");
    assert_eq!(count("unchanged") + count("written"), 40);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_live_and_end() {
    let platform = platform();
    let host = Host::spawn("h1", &platform).await;
    assert_eq!(host.create(&customer("bakery", 1)).await.status, 201);
    let wanted = json!({ "name": "till", "customer": "bakery" });
    let issued = host.post("/v1/keys", wanted.clone()).await;
    let first = issued.body["secret"].as_str().unwrap().to_owned();
    host.wait_for(issued.revision.unwrap()).await;
    assert!(host.accepts(&first));
    assert_eq!(host.post("/v1/keys", wanted).await.line(), "412 revision_conflict");

    let rotated = host.post("/v1/keys/till/rotate", json!({ "overlap_ms": 700 })).await;
    assert_eq!((rotated.status.as_u16(), &rotated.body["name"]), (201, &json!("till.2")));
    let second = rotated.body["secret"].as_str().unwrap().to_owned();
    host.wait_for(rotated.body["revision"].as_u64().unwrap() + 1).await;
    assert!(host.accepts(&second));
    sleep(Duration::from_millis(800)).await;
    assert!(!host.accepts(&first) && host.accepts(&second));

    let withdrawn = host.post("/v1/keys/till.2/withdraw", json!({})).await;
    assert_eq!(withdrawn.status, 200);
    host.wait_for(withdrawn.body["revision"].as_u64().unwrap()).await;
    assert!(!host.accepts(&second));
    assert_eq!(host.post("/v1/keys/till.2/withdraw", json!({})).await.status, 200);
    let gone = host.post("/v1/keys/till.2/rotate", json!({ "overlap_ms": 0 })).await;
    assert_eq!(gone.line(), "401 invalid_key");

    // No later record makes the secret valid.
    let read = host.get("/v1/records/key/till.2").await;
    let mut record = read.body.clone();
    record["withdrawn"] = json!(false);
    let revived = host.update(&record, read.revision.unwrap()).await;
    assert_eq!(revived.line(), "422 invalid_record");
    record["name"] = json!("copy");
    assert_eq!(host.create(&record).await.line(), "422 invalid_record");

    let audit = host.get("/v1/audit").await;
    let entries = audit.body["entries"].as_array().unwrap();
    let lines: Vec<_> = entries
        .iter()
        .map(|it| format!("{} {} {} {}", it["who"], it["action"], it["records"], it["outcome"]))
        .collect();
    expect![[r#"
        "bootstrap" "put" ["customer/bakery"] "done"
        "bootstrap" "issue" ["key/till"] "done"
        "bootstrap" "rotate" ["key/till.2","key/till"] "done"
        "bootstrap" "withdraw" ["key/till.2"] "done"
        "bootstrap" "withdraw" ["key/till.2"] "done""#]]
    .assert_eq(&lines.join("\n"));
    let after = entries[1]["id"].as_str().unwrap();
    let rest = host.get(&format!("/v1/audit?after={after}&limit=1")).await;
    assert_eq!(rest.body["entries"], json!([entries[2]]));
}

#[tokio::test(flavor = "multi_thread")]
async fn records_move_to_the_newest_schema() {
    let platform = platform();
    let host = Host::spawn("h1", &platform).await;
    assert_eq!(host.create(&class()).await.status, 201);
    let dry = host.post("/v1/migrate", json!({ "dry_run": true })).await;
    assert_eq!(dry.body["migrations"][0]["record"], "class/fast");
    assert_eq!(host.get("/v1/records/class/fast").await.body["schema"], 1);
    let moved = host.post("/v1/migrate", json!({})).await;
    assert_eq!(moved.body["written"].as_array().unwrap().len(), 1);
    let read = host.get("/v1/records/class/fast").await;
    assert_eq!((&read.body["schema"], &read.body["tier"]), (&json!(2), &json!(1)));
    assert_eq!(host.post("/v1/migrate", json!({})).await.body["migrations"], json!([]));
}

#[tokio::test(flavor = "multi_thread")]
async fn status_lists_what_is_set_aside() {
    let platform = platform();
    let host = Host::spawn("h1", &platform).await;
    let store = Client::open(platform.address(), "someone");
    let cause = almondrack::platform::Cause::Config;
    let key = "config/class/odd";
    store.put(cause, key, Bytes::from_static(b"{\"schema\":7}"), None).await.unwrap();
    host.wait_for(1).await;
    let status = host.get("/v1/status").await.body;
    let fault = &status["aside"][0]["faults"][0];
    assert_eq!(
        (&status["aside"][0]["record"], &fault["found"]),
        (&json!("class/odd"), &json!("7"))
    );
    assert_eq!(status["pools"]["large"], 3);
    assert_eq!(status["configuration"]["watching"], true);
    assert_eq!(host.get("/v1/report/burn?window=1h").await.body, "1h");
    assert_eq!(host.get("/v1/report/burn?other=1h").await.line(), "400 bad_request");
    assert_eq!(host.send("", "GET", "/readyz", &[], "").await.status, 200);
    assert_eq!(host.send("", "GET", "/metrics", &[], "").await.body, "up 1\n");
}
