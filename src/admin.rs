//! Administration interface: configuration, keys, status, reports and health over HTTP.

use std::{
    fmt, io,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    sync::Arc,
    thread,
};

use futures::future::BoxFuture;
use http::{HeaderMap, Method, StatusCode, header};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::sync::{oneshot, watch};
use xitca_web::{
    App, WebContext,
    body::{BodyExt as _, ResponseBody},
    handler::handler_service,
    http::WebResponse,
};

use crate::{
    audit,
    change::Set,
    config::{Snapshot, reads},
    content::{Content, PREFIX, Stored},
    credential::{Digest, bearer},
    error::{Error, Kind},
    member::View,
    operate::{Condition, Effect, Issue, Operations, Problem, Rotate},
    platform::Client,
    record::Role,
    schema::is_name,
    time::wall_ms,
    watcher,
};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Entries of the audit that are listed unless the caller asks for another number.
const AUDIT_ENTRIES: u32 = 100;

/// Name under which changes with the bootstrap key are recorded.
const BOOTSTRAP: &str = "bootstrap";

/// Adds a member to the answer of `/v1/status`.
#[derive(Clone)]
pub struct Section {
    /// Name of the member.
    pub name: &'static str,
    /// Computes its value. Must not block.
    pub value: Arc<dyn Fn() -> Value + Send + Sync>,
}

impl fmt::Debug for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Section").field("name", &self.name).finish_non_exhaustive()
    }
}

/// Query of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Query {
    /// Names and values in the order of the request.
    pub pairs: Vec<(String, String)>,
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Revision for the `ETag` header.
    pub revision: Option<u64>,
    /// Body.
    pub body: String,
}

/// A further path of the interface.
#[derive(Clone)]
pub struct Page {
    /// Method of the requests.
    pub method: Method,
    /// Path of the requests.
    pub path: &'static str,
    /// `Operator`, or `Auditor` for what both may do.
    pub role: Role,
    /// Answers a request.
    pub answer: Arc<dyn Fn(Query) -> BoxFuture<'static, Result<Reply, Error>> + Send + Sync>,
}

impl fmt::Debug for Page {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Page").field("path", &self.path).finish_non_exhaustive()
    }
}

/// What the interface needs.
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Id of this host.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Platform with the store.
    pub platform: Client,
    /// Configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Entries behind the configuration in force.
    pub content: watch::Receiver<Arc<Content>>,
    /// How the configuration is kept up to date.
    pub watcher: watch::Receiver<watcher::Status>,
    /// Hosts as this host sees them.
    pub view: watch::Receiver<Arc<View>>,
    /// Whether the host takes requests.
    pub ready: watch::Receiver<bool>,
    /// Digest of a first operator key, valid while no operator key is in force.
    pub bootstrap_digest: Option<Digest>,
    /// Further members of the status.
    pub sections: Vec<Section>,
    /// Further paths.
    pub pages: Vec<Page>,
    /// Computes the text of `/metrics`. Must not block.
    pub metrics: Arc<dyn Fn() -> String + Send + Sync>,
}

impl fmt::Debug for Options {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Options").field("listen", &self.listen).finish_non_exhaustive()
    }
}

/// Handle to the running interface; it stops when the handle is dropped.
pub struct Admin {
    address: SocketAddr,
    /// The server stops when this is dropped.
    _stop: oneshot::Sender<()>,
}

impl fmt::Debug for Admin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Admin").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Admin {
    /// Address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Binds the address and answers requests on a thread of its own. Must be called within a runtime.
///
/// # Errors
/// The address cannot be bound.
pub fn bind(options: Options) -> io::Result<Admin> {
    let listener = TcpListener::bind(options.listen)?;
    let address = listener.local_addr()?;
    let mut server = App::new()
        .with_state(Api::new(options))
        .at("/", handler_service(handle))
        .at("/{*path}", handler_service(handle))
        .serve()
        .disable_signal()
        .worker_threads(1)
        .listen(listener)?
        .run();
    let handle = server.handle()?;
    let (stop, stopped) = oneshot::channel();
    // The server owns a runtime, which must not be dropped within another one.
    thread::Builder::new().name("administration".to_owned()).spawn(move || server.wait())?;
    tokio::spawn(async move {
        let _ = stopped.await;
        handle.stop(false);
    });
    Ok(Admin { address, _stop: stop })
}

async fn handle(context: &WebContext<'_, Api>) -> WebResponse {
    let reply = match receive(context).await {
        Ok(request) => context.state().answer(request).await,
        Err(problem) => Err(problem),
    };
    respond(reply.unwrap_or_else(|it| it.into()))
}

struct Request {
    method: Method,
    path: String,
    query: Query,
    headers: HeaderMap,
    body: Vec<u8>,
}

async fn receive(context: &WebContext<'_, Api>) -> Result<Request, Problem> {
    let head = context.req();
    let query = Query::parse(head.uri().query().unwrap_or_default());
    let mut body = Vec::new();
    let mut stream = std::mem::take(&mut *context.body_borrow_mut());
    while let Some(data) = Pin::new(&mut stream).data().await {
        let cut = |_| Problem::new(Kind::BadRequest, "the body ended early");
        body.extend_from_slice(data.map_err(cut)?.as_ref());
        if body.len() > MAX_BODY_BYTES {
            let message = format!("the body has more than {MAX_BODY_BYTES} bytes");
            return Err(Problem::new(Kind::BodyTooLarge, message));
        }
    }
    Ok(Request {
        method: head.method().clone(),
        path: head.uri().path().to_owned(),
        query,
        headers: head.headers().clone(),
        body,
    })
}

fn respond(reply: Reply) -> WebResponse {
    let Reply { status, content_type, revision, body } = reply;
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    let tag = revision.and_then(|it| format!("\"{it}\"").parse().ok());
    if let Some(tag) = tag {
        headers.insert(header::ETAG, tag);
    }
    response
}

impl Reply {
    /// A JSON answer with status 200.
    pub fn json(value: &impl Serialize) -> Reply {
        let body = serde_json::to_string(value).unwrap_or_default();
        Reply { status: StatusCode::OK, content_type: "application/json", revision: None, body }
    }

    /// A plain text with a status.
    pub fn text(status: StatusCode, body: String) -> Reply {
        Reply { status, content_type: "text/plain; charset=utf-8", revision: None, body }
    }

    fn with_status(self, status: StatusCode) -> Reply {
        Reply { status, ..self }
    }

    fn with_revision(self, revision: u64) -> Reply {
        Reply { revision: Some(revision), ..self }
    }
}

impl From<Problem> for Reply {
    fn from(problem: Problem) -> Reply {
        let answer = problem.error.kind.answer();
        let mut error = json!({
            "kind": answer.name,
            "message": problem.error.message,
            "effect": problem.effect,
            "retry": answer.later && problem.effect != Effect::Partial,
        });
        if !problem.faults.is_empty() {
            error["faults"] = json!(problem.faults);
        }
        if !problem.written.is_empty() {
            error["written"] = json!(problem.written);
        }
        if let Some(revision) = problem.revision {
            error["revision"] = json!(revision);
        }
        let status = StatusCode::from_u16(answer.status);
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let revision = problem.revision.filter(|it| *it > 0);
        Reply { revision, ..Reply::json(&json!({ "error": error })).with_status(status) }
    }
}

impl Query {
    fn parse(text: &str) -> Query {
        let pairs = text.split('&').filter(|it| !it.is_empty()).map(|it| {
            let (name, value) = it.split_once('=').unwrap_or((it, ""));
            (name.to_owned(), value.to_owned())
        });
        Query { pairs: pairs.collect() }
    }

    /// First value of a name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.pairs.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    /// Refuses names other than these.
    ///
    /// # Errors
    /// `BadRequest`.
    pub fn only(&self, names: &[&str]) -> Result<(), Error> {
        let unknown = self.pairs.iter().find(|it| !names.contains(&it.0.as_str()));
        unknown.map_or(Ok(()), |it| {
            let accepted = if names.is_empty() { "none".to_owned() } else { names.join(", ") };
            let message = format!("query parameter {:?} is unknown; accepted: {accepted}", it.0);
            Err(Error::new(Kind::BadRequest, message))
        })
    }
}

/// Who sends a request.
struct Caller {
    name: String,
    role: Role,
}

#[derive(Clone)]
struct Api {
    operations: Operations,
    zone: String,
    watcher: watch::Receiver<watcher::Status>,
    view: watch::Receiver<Arc<View>>,
    ready: watch::Receiver<bool>,
    bootstrap: Option<Digest>,
    sections: Vec<Section>,
    pages: Vec<Page>,
    metrics: Arc<dyn Fn() -> String + Send + Sync>,
}

impl Api {
    fn new(options: Options) -> Api {
        Api {
            operations: Operations {
                platform: options.platform,
                host: options.host,
                snapshot: options.snapshot,
                content: options.content,
            },
            zone: options.zone,
            watcher: options.watcher,
            view: options.view,
            ready: options.ready,
            bootstrap: options.bootstrap_digest,
            sections: options.sections,
            pages: options.pages,
            metrics: options.metrics,
        }
    }

    async fn answer(&self, request: Request) -> Result<Reply, Problem> {
        if request.method == Method::GET
            && let Some(reply) = self.public(&request.path)
        {
            return Ok(reply);
        }
        let caller = self.authenticate(&request.headers)?;
        let path = request.path.clone();
        let segments: Vec<_> = path.trim_start_matches('/').split('/').collect();
        match segments.as_slice() {
            ["v1", "records"] => self.list(&caller, &request),
            ["v1", "records", kind, name] => self.record(&caller, &request, kind, name).await,
            ["v1", "apply"] => self.apply(&caller, &request).await,
            ["v1", "keys"] => self.issue(&caller, &request).await,
            ["v1", "keys", name, "rotate"] => self.rotate(&caller, &request, name).await,
            ["v1", "keys", name, "withdraw"] => self.withdraw(&caller, &request, name).await,
            ["v1", "migrate"] => self.migrate(&caller, &request).await,
            ["v1", "status"] => self.status(&caller, &request),
            ["v1", "audit"] => self.audit(&caller, &request).await,
            _ => self.page(&caller, request).await,
        }
    }

    /// Paths that need no key.
    fn public(&self, path: &str) -> Option<Reply> {
        match path {
            "/healthz" => Some(Reply::text(StatusCode::OK, "ok\n".to_owned())),
            "/readyz" if *self.ready.borrow() => {
                Some(Reply::text(StatusCode::OK, "ready\n".to_owned()))
            }
            "/readyz" => {
                Some(Reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()))
            }
            "/metrics" => {
                let reply = Reply::text(StatusCode::OK, (self.metrics)());
                Some(Reply { content_type: "text/plain; version=0.0.4", ..reply })
            }
            _ => None,
        }
    }

    fn authenticate(&self, headers: &HeaderMap) -> Result<Caller, Problem> {
        let value = headers.get(header::AUTHORIZATION).and_then(|it| it.to_str().ok());
        let missing = || {
            let message = "send the key of an operator or auditor as Authorization: Bearer";
            Problem::new(Kind::MissingKey, message)
        };
        let secret = value.and_then(bearer).ok_or_else(missing)?;
        let snapshot = self.operations.snapshot.borrow().clone();
        let now = wall_ms();
        if self.bootstrap.is_some_and(|it| it.matches(&Digest::of(secret))) {
            let valid = |end: Option<u64>| end.is_none_or(|it| now < it);
            let operated = snapshot
                .keys
                .iter()
                .any(|(_, it)| it.role == Role::Operator && !it.withdrawn && valid(it.expires_ms));
            if operated {
                let message = "the bootstrap key ended when an operator key came into force";
                return Err(Problem::new(Kind::InvalidKey, message));
            }
            return Ok(Caller { name: BOOTSTRAP.to_owned(), role: Role::Operator });
        }
        let key = snapshot.authenticate(secret, now)?;
        Ok(Caller { name: key.name.clone(), role: key.role })
    }

    fn list(&self, caller: &Caller, request: &Request) -> Result<Reply, Problem> {
        #[derive(Serialize)]
        struct Listed<'a> {
            kind: &'a str,
            name: &'a str,
            revision: u64,
            schema: Option<u32>,
            in_force: bool,
            record: Value,
        }
        allow(request, &Method::GET, caller, Role::Auditor)?;
        request.query.only(&["kind"])?;
        let wanted = request.query.get("kind");
        let content = self.operations.content.borrow().clone();
        let listed = |it: Stored<'_>| {
            let (kind, name) = it.key.strip_prefix(PREFIX)?.split_once('/')?;
            if wanted.is_some_and(|wanted| wanted != kind) {
                return None;
            }
            let record =
                serde_json::from_str(it.text).unwrap_or_else(|_| Value::String(it.text.to_owned()));
            let Stored { version: revision, schema, in_force, .. } = it;
            Some(json!(Listed { kind, name, revision, schema, in_force, record }))
        };
        let records: Vec<_> = content.records().filter_map(listed).collect();
        Ok(Reply::json(&json!({ "revision": content.changed(), "records": records })))
    }

    async fn record(
        &self,
        caller: &Caller,
        request: &Request,
        kind: &str,
        name: &str,
    ) -> Result<Reply, Problem> {
        let kinds = ["customer", "key", "class", "route", "pool"];
        if !kinds.contains(&kind) || !is_name(name) {
            let message = format!(
                "found {kind:?}/{name:?}; accepted: a kind of {} and a name of 1 to 64 of a-z 0-9 - . _",
                kinds.join(", ")
            );
            return Err(Problem::new(Kind::NotFound, message));
        }
        let id = format!("{kind}/{name}");
        let write = match request.method {
            Method::GET => false,
            Method::PUT | Method::DELETE => true,
            _ => return Err(method_not_allowed("GET, PUT, DELETE")),
        };
        permit(caller, if write { Role::Operator } else { Role::Auditor })?;
        request.query.only(&[])?;
        if !write {
            let found = self.operations.get(&id).await?;
            let body = found.text;
            let reply = Reply { body, ..Reply::json(&Value::Null) };
            return Ok(reply.with_revision(found.version));
        }
        let condition = condition(&request.headers)?;
        let written = match (&request.method, condition) {
            (&Method::DELETE, Condition::Version(version)) => {
                self.operations.delete(&caller.name, &id, version).await?
            }
            (&Method::DELETE, Condition::Absent) => {
                let message = "send If-Match with the revision of the record to delete";
                return Err(Problem::new(Kind::BadRequest, message));
            }
            (_, condition) => {
                let text = String::from_utf8(request.body.clone())
                    .map_err(|_| Problem::new(Kind::BadRequest, "the body is not UTF-8"))?;
                self.operations.put(&caller.name, &id, text, condition).await?
            }
        };
        let created = condition == Condition::Absent;
        let status = if created { StatusCode::CREATED } else { StatusCode::OK };
        let reply = Reply::json(&written).with_status(status);
        Ok(reply.with_revision(written.revision))
    }

    async fn apply(&self, caller: &Caller, request: &Request) -> Result<Reply, Problem> {
        #[derive(Deserialize)]
        #[serde(deny_unknown_fields)]
        struct Body {
            #[serde(default)]
            records: Vec<Value>,
            #[serde(default)]
            delete: Vec<String>,
            #[serde(default)]
            if_revision: Option<u64>,
            #[serde(default)]
            dry_run: bool,
        }
        allow(request, &Method::POST, caller, Role::Operator)?;
        let body: Body = decode(&request.body)?;
        let records = body.records.iter().map(Value::to_string).collect();
        let set = Set { records, delete: body.delete, if_revision: body.if_revision };
        let applied = self.operations.apply(&caller.name, set, body.dry_run).await?;
        Ok(Reply::json(&applied))
    }

    async fn issue(&self, caller: &Caller, request: &Request) -> Result<Reply, Problem> {
        allow(request, &Method::POST, caller, Role::Operator)?;
        let wanted: Issue = decode(&request.body)?;
        let issued = self.operations.issue(&caller.name, wanted).await?;
        Ok(Reply::json(&issued).with_status(StatusCode::CREATED).with_revision(issued.revision))
    }

    async fn rotate(
        &self,
        caller: &Caller,
        request: &Request,
        name: &str,
    ) -> Result<Reply, Problem> {
        allow(request, &Method::POST, caller, Role::Operator)?;
        let wanted: Rotate = decode(&request.body)?;
        let rotated = self.operations.rotate(&caller.name, name, wanted).await?;
        Ok(Reply::json(&rotated).with_status(StatusCode::CREATED))
    }

    async fn withdraw(
        &self,
        caller: &Caller,
        request: &Request,
        name: &str,
    ) -> Result<Reply, Problem> {
        allow(request, &Method::POST, caller, Role::Operator)?;
        let withdrawn = self.operations.withdraw(&caller.name, name).await?;
        Ok(Reply::json(&withdrawn))
    }

    async fn migrate(&self, caller: &Caller, request: &Request) -> Result<Reply, Problem> {
        #[derive(Deserialize)]
        #[serde(deny_unknown_fields)]
        struct Body {
            #[serde(default)]
            dry_run: bool,
        }
        allow(request, &Method::POST, caller, Role::Operator)?;
        let body: Body = decode(&request.body)?;
        let migrated = self.operations.migrate(&caller.name, body.dry_run).await?;
        Ok(Reply::json(&migrated))
    }

    fn status(&self, caller: &Caller, request: &Request) -> Result<Reply, Problem> {
        allow(request, &Method::GET, caller, Role::Auditor)?;
        request.query.only(&[])?;
        let snapshot = self.operations.snapshot.borrow().clone();
        let mut status = json!({
            "host": self.operations.host,
            "zone": self.zone,
            "ready": *self.ready.borrow(),
            "revision": snapshot.revision,
            "aside": snapshot.aside,
            "configuration": *self.watcher.borrow(),
            "members": self.view.borrow().members,
        });
        for section in &self.sections {
            status[section.name] = (section.value)();
        }
        Ok(Reply::json(&status))
    }

    async fn audit(&self, caller: &Caller, request: &Request) -> Result<Reply, Problem> {
        allow(request, &Method::GET, caller, Role::Auditor)?;
        request.query.only(&["after", "limit"])?;
        let limit = match request.query.get("limit") {
            None => AUDIT_ENTRIES,
            Some(text) => {
                let number = text.parse().ok().filter(|it| (1..=audit::MAX_ENTRIES).contains(it));
                let accepted = format!("1 to {}", audit::MAX_ENTRIES);
                let message = format!("limit: found {text:?}; accepted: {accepted}");
                number.ok_or_else(|| Problem::new(Kind::BadRequest, message))?
            }
        };
        let after = request.query.get("after").unwrap_or_default();
        if !after.is_empty() && !is_name(after) {
            let message = format!("after: found {after:?}; accepted: the id of an entry");
            return Err(Problem::new(Kind::BadRequest, message));
        }
        let entries = audit::list(&self.operations.platform, after, limit).await?;
        Ok(Reply::json(&json!({ "entries": entries })))
    }

    async fn page(&self, caller: &Caller, request: Request) -> Result<Reply, Problem> {
        let mut methods = Vec::new();
        for page in self.pages.iter().filter(|it| it.path == request.path) {
            if page.method == request.method {
                permit(caller, page.role)?;
                return Ok((page.answer)(request.query).await?);
            }
            methods.push(page.method.as_str());
        }
        if methods.is_empty() {
            let message = format!("there is no {:?}", request.path);
            return Err(Problem::new(Kind::UnknownPath, message));
        }
        Err(method_not_allowed(&methods.join(", ")))
    }
}

fn method_not_allowed(accepted: &str) -> Problem {
    Problem::new(Kind::MethodNotAllowed, format!("accepted: {accepted}"))
}

/// Refuses other methods and callers without a role.
fn allow(request: &Request, method: &Method, caller: &Caller, role: Role) -> Result<(), Problem> {
    if request.method != *method {
        return Err(method_not_allowed(method.as_str()));
    }
    permit(caller, role)
}

fn permit(caller: &Caller, role: Role) -> Result<(), Problem> {
    let permitted = match role {
        Role::Operator => caller.role == Role::Operator,
        Role::Auditor => reads(caller.role),
        Role::Caller => true,
    };
    if permitted {
        return Ok(());
    }
    let message = match role {
        Role::Operator => "the key's role may not do this; accepted: operator",
        Role::Auditor | Role::Caller => {
            "the key's role may not do this; accepted: operator, auditor"
        }
    };
    Err(Problem::new(Kind::Forbidden, message))
}

fn condition(headers: &HeaderMap) -> Result<Condition, Problem> {
    let text = |name| headers.get(name).map(|it| it.to_str().unwrap_or_default().trim());
    let wrong = |message: String| Err(Problem::new(Kind::BadRequest, message));
    match (text(header::IF_MATCH), text(header::IF_NONE_MATCH)) {
        (None, Some("*")) => Ok(Condition::Absent),
        (None, Some(other)) => wrong(format!("If-None-Match: found {other:?}; accepted: *")),
        (Some(tag), None) => {
            let version = tag.trim_matches('"').parse().ok().filter(|it| *it > 0);
            let accepted = "the revision of the record from ETag";
            match version {
                Some(version) => Ok(Condition::Version(version)),
                None => wrong(format!("If-Match: found {tag:?}; accepted: {accepted}")),
            }
        }
        (Some(_), Some(_)) => wrong("send either If-Match or If-None-Match".to_owned()),
        (None, None) => wrong(
            "send If-Match with the revision that the change is based on, or If-None-Match: * to \
             create"
                .to_owned(),
        ),
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    let text = if body.is_empty() { b"{}" } else { body };
    let wrong = |error: serde_json::Error| Problem::new(Kind::BadRequest, error.to_string());
    serde_json::from_slice(text).map_err(wrong)
}
