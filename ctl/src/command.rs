//! The commands.

use almondrack::burn::Report;
use futures::future::join_all;
use http::Method;
use serde_json::{Value, json};

use crate::{
    apply::{self, check_kind, check_name},
    check,
    client::{Call, Client},
    explain,
    failure::Failure,
    flags::{
        Almondrackctl, AlmondrackctlCmd, Apply, Delete, Get, Issue, KeyCmd, ReportCmd, Rotate,
        Usage, number,
    },
    table::table,
};

/// Overlap of a rotation unless the operator says otherwise, in milliseconds.
const DEFAULT_OVERLAP_MS: u64 = 3_600_000;

/// Roles of keys.
const ROLES: [&str; 3] = ["caller", "operator", "auditor"];

/// Carries out a command and returns what it prints.
pub(crate) async fn execute(flags: &Almondrackctl, client: &Client) -> Result<String, Failure> {
    let json = flags.json;
    match &flags.subcommand {
        AlmondrackctlCmd::Apply(it) => apply(client, it, json).await,
        AlmondrackctlCmd::Check(it) => check::execute(it, Some(client), json).await,
        AlmondrackctlCmd::Get(it) => get(client, it, json).await,
        AlmondrackctlCmd::Delete(it) => delete(client, it, json).await,
        AlmondrackctlCmd::Key(it) => match &it.subcommand {
            KeyCmd::Issue(it) => issue(client, it, json).await,
            KeyCmd::Rotate(it) => rotate(client, it, json).await,
            KeyCmd::Withdraw(it) => withdraw(client, &it.name, json).await,
        },
        AlmondrackctlCmd::Status(_) => status(client, json).await,
        AlmondrackctlCmd::Report(it) => match &it.subcommand {
            ReportCmd::Burn(_) => burn(client, json).await,
            ReportCmd::Usage(it) => usage(client, it, json).await,
        },
        AlmondrackctlCmd::Upstreams(_) => upstreams(client, json).await,
        AlmondrackctlCmd::Drain(it) => drain(client, &it.host, json).await,
        AlmondrackctlCmd::Explain(it) => explain::execute(&it.id, &it.path),
    }
}

/// JSON if it was asked for, or else text.
fn shown(value: &Value, json: bool, text: impl FnOnce() -> String) -> String {
    if json { format!("{value:#}\n") } else { text() }
}

async fn apply(client: &Client, flags: &Apply, json: bool) -> Result<String, Failure> {
    let body = apply::body(flags)?;
    let applied = client.call(&Call::post("/v1/apply", &body)).await?.json();
    Ok(shown(&applied, json, || apply::difference(&applied)))
}

async fn get(client: &Client, flags: &Get, json: bool) -> Result<String, Failure> {
    check_kind(&flags.kind)?;
    let kind = &flags.kind;
    if let Some(name) = &flags.name {
        check_name("name", name)?;
        let answer = client.call(&Call::get(format!("/v1/records/{kind}/{name}"))).await?;
        let record = answer.json();
        let revision = answer.revision.unwrap_or(0);
        let value = json!({ "revision": revision, "record": record });
        return Ok(shown(&value, json, || format!("{record:#}\nrevision: {revision}\n")));
    }
    let value = client.call(&Call::get(format!("/v1/records?kind={kind}"))).await?.json();
    Ok(shown(&value, json, || {
        let row = |it: &Value| {
            let in_force = if it["in_force"] == true { "yes" } else { "no" };
            vec![text(&it["name"]), text(&it["revision"]), text(&it["schema"]), in_force.to_owned()]
        };
        table(&["NAME", "REVISION", "SCHEMA", "IN FORCE"], &rows(&value["records"], row))
    }))
}

async fn delete(client: &Client, flags: &Delete, json: bool) -> Result<String, Failure> {
    check_kind(&flags.kind)?;
    check_name("name", &flags.name)?;
    let path = format!("/v1/records/{}/{}", flags.kind, flags.name);
    let if_match = match number("if-revision", flags.if_revision.as_deref())? {
        Some(revision) => Some(revision),
        None => client.call(&Call::get(path.clone())).await?.revision,
    };
    let call = Call { method: Method::DELETE, if_match, ..Call::get(path) };
    let value = client.call(&call).await?.json();
    Ok(shown(&value, json, || format!("deleted {}/{}\n", flags.kind, flags.name)))
}

async fn issue(client: &Client, flags: &Issue, json: bool) -> Result<String, Failure> {
    check_name("name", &flags.name)?;
    let role = flags.role.as_deref().unwrap_or("caller");
    if !ROLES.contains(&role) {
        let accepted = ROLES.join(", ");
        return Err(Failure::Usage(format!("--role: found {role:?}; accepted: {accepted}")));
    }
    match (role, &flags.customer) {
        ("caller", Some(customer)) => check_name("--customer", customer)?,
        ("caller", None) => {
            let message = "a caller's key needs --customer NAME".to_owned();
            return Err(Failure::Usage(message));
        }
        (_, Some(_)) => {
            let message = format!("--customer does not go with --role {role}; accepted: caller");
            return Err(Failure::Usage(message));
        }
        (_, None) => {}
    }
    let expires = number("expires-ms", flags.expires_ms.as_deref())?;
    let body = json!({
        "name": flags.name, "role": role, "customer": flags.customer, "expires_ms": expires,
    });
    let value = client.call(&Call::post("/v1/keys", &body)).await?.json();
    Ok(shown(&value, json, || key_text(&value)))
}

async fn rotate(client: &Client, flags: &Rotate, json: bool) -> Result<String, Failure> {
    check_name("name", &flags.name)?;
    let overlap = number("overlap-ms", flags.overlap_ms.as_deref())?.unwrap_or(DEFAULT_OVERLAP_MS);
    let path = format!("/v1/keys/{}/rotate", flags.name);
    let call = Call::post(path, &json!({ "overlap_ms": overlap }));
    let value = client.call(&call).await?.json();
    Ok(shown(&value, json, || {
        let end = format!("old key {} ends at {} ms", text(&value["old"]), value["old_expires_ms"]);
        format!("{}{end}\n", key_text(&value))
    }))
}

fn key_text(value: &Value) -> String {
    let (name, secret) = (text(&value["name"]), text(&value["secret"]));
    format!("key: {name}\nsecret: {secret}\nThe secret cannot be shown again.\n")
}

async fn withdraw(client: &Client, name: &str, json: bool) -> Result<String, Failure> {
    check_name("name", name)?;
    let call = Call::post(format!("/v1/keys/{name}/withdraw"), &json!({}));
    let value = client.call(&call).await?.json();
    Ok(shown(&value, json, || format!("withdrawn {name} at revision {}\n", value["revision"])))
}

/// Members that one host sees, and the status of each.
async fn all_hosts(client: &Client) -> Result<Vec<Value>, Failure> {
    let own = client.call(&Call::get("/v1/status")).await?.json();
    let members = own["members"].as_array().cloned().unwrap_or_default();
    client.note(format!("the status of {} hosts", members.len()));
    let ask = |member: Value| async move {
        let call = Call::get("/v1/status");
        let status = match text(&member["admin"]).parse() {
            Ok(address) => client.call_at(address, &call).await.map(|it| it.json()),
            Err(_) => Err(Failure::Unreachable("the host's address is unknown".to_owned())),
        };
        let mut host = json!({
            "host": member["id"], "zone": member["zone"], "state": member["state"],
            "admin": member["admin"],
        });
        match status {
            Ok(status) => host["status"] = status,
            Err(failure) => host["error"] = json!(failure.to_string()),
        }
        host
    };
    Ok(join_all(members.into_iter().map(ask)).await)
}

async fn status(client: &Client, json: bool) -> Result<String, Failure> {
    let hosts = all_hosts(client).await?;
    let value = json!({ "hosts": hosts });
    Ok(shown(&value, json, || status_text(&value["hosts"])))
}

fn status_text(hosts: &Value) -> String {
    let host_row = |it: &Value| {
        let status = &it["status"];
        let ready = match &status["ready"] {
            Value::Bool(true) => "yes",
            Value::Bool(false) => "no",
            _ => "?",
        };
        let leases = leases(it).into_iter().map(|(name, number)| format!("{name} {number}"));
        let leases: Vec<_> = leases.collect();
        vec![
            text(&it["host"]),
            text(&it["zone"]),
            text(&it["state"]).to_lowercase(),
            ready.to_owned(),
            text(&status["revision"]),
            leases.join(", "),
        ]
    };
    let head = ["HOST", "ZONE", "STATE", "READY", "REVISION", "LEASES (FENCING NUMBER)"];
    let mut out = table(&head, &rows(hosts, host_row));
    let pools = pools(hosts);
    if !pools.is_empty() {
        out.push('\n');
        out.push_str(&table(&["ZONE", "POOL", "TARGET"], &pools));
    }
    out.push('\n');
    let degraded = degraded(hosts);
    if degraded.is_empty() {
        out.push_str("degraded: nothing\n");
    }
    for line in degraded {
        out.push_str(&format!("degraded: {line}\n"));
    }
    out
}

fn leases(host: &Value) -> Vec<(String, u64)> {
    let held = |section: &str, name: String| {
        host["status"][section]["number"].as_u64().map(|number| (name, number))
    };
    let zone = text(&host["zone"]);
    let controller = held("controller", format!("controller/{zone}"));
    controller.into_iter().chain(held("reporter", "reporter".to_owned())).collect()
}

fn pools(hosts: &Value) -> Vec<Vec<String>> {
    let mut pools = Vec::new();
    for host in hosts.as_array().into_iter().flatten() {
        let controller = &host["status"]["controller"];
        if controller["number"].is_null() {
            continue;
        }
        for target in controller["targets"].as_array().into_iter().flatten() {
            pools.push(vec![text(&host["zone"]), text(&target[0]), text(&target[1])]);
        }
    }
    pools.sort();
    pools
}

/// What does not work as it should, one line each.
fn degraded(hosts: &Value) -> Vec<String> {
    let hosts: Vec<_> = hosts.as_array().into_iter().flatten().collect();
    let newest = hosts.iter().filter_map(|it| it["status"]["revision"].as_u64()).max().unwrap_or(0);
    let mut lines = Vec::new();
    for host in hosts {
        let id = text(&host["host"]);
        let mut add = |what: &str| lines.push(format!("{id}: {what}"));
        if let Some(error) = host["error"].as_str() {
            add(error);
            continue;
        }
        let status = &host["status"];
        if status["ready"] != true {
            add("not ready");
        }
        let revision = status["revision"].as_u64().unwrap_or(0);
        if revision < newest {
            add(&format!("revision {revision} in force, {newest} elsewhere"));
        }
        if status["configuration"]["store_reachable"] == false {
            add("the store cannot be reached; the last configuration stays in force");
        }
        for section in ["usage", "controller", "reporter", "burn"] {
            if status[section]["degraded"] == true {
                add(&format!("{section}: the platform refuses or does not answer"));
            }
        }
        for aside in status["aside"].as_array().into_iter().flatten() {
            add(&format!("{} is not in force", text(&aside["record"])));
        }
    }
    lines
}

async fn burn(client: &Client, json: bool) -> Result<String, Failure> {
    let answer = client.call(&Call::get("/v1/report/burn")).await?;
    if json {
        return Ok(format!("{:#}\n", answer.json()));
    }
    let report: Result<Report, _> = serde_json::from_str(&answer.body);
    let unreadable = |error| Failure::Refused(format!("the report cannot be read: {error}"));
    Ok(report.map_err(unreadable)?.to_table())
}

async fn usage(client: &Client, flags: &Usage, json: bool) -> Result<String, Failure> {
    let path = match number("window", flags.window.as_deref())? {
        Some(window) => format!("/v1/report/usage?window={window}"),
        None => "/v1/report/usage".to_owned(),
    };
    let value = client.call(&Call::get(path)).await?.json();
    Ok(shown(&value, json, || {
        let mut lines = Vec::new();
        for window in value["windows"].as_array().into_iter().flatten() {
            for line in window["totals"].as_array().into_iter().flatten() {
                let mut cells = vec![text(&window["window"])];
                cells.extend(line.as_array().into_iter().flatten().map(text));
                lines.push(cells);
            }
        }
        let head =
            ["WINDOW", "CUSTOMER", "ROUTE", "MODEL", "REQUESTS", "PROMPT", "GENERATED", "CUT"];
        table(&head, &lines)
    }))
}

async fn upstreams(client: &Client, json: bool) -> Result<String, Failure> {
    let value = client.call(&Call::get("/v1/upstreams")).await?.json();
    Ok(shown(&value, json, || {
        let row = |it: &Value| {
            let cheap = if it["cheap"] == true { "yes" } else { "no" };
            let mut cells: Vec<_> = ["zone", "pool", "id", "address", "state"]
                .iter()
                .map(|name| text(&it[*name]))
                .collect();
            cells.push(cheap.to_owned());
            cells.push(text(&it["cost_per_hour"]));
            cells.push(it["reclaim_ms"].as_u64().map_or("-".to_owned(), |ms| format!("{ms} ms")));
            cells
        };
        let head = ["ZONE", "POOL", "UPSTREAM", "ADDRESS", "STATE", "CHEAP", "COST/H", "RECLAIM"];
        let mut out = table(&head, &rows(&value["upstreams"], row));
        for zone in value["unknown"].as_array().into_iter().flatten() {
            out.push_str(&format!("unknown: {}\n", text(zone)));
        }
        out
    }))
}

async fn drain(client: &Client, host: &str, json: bool) -> Result<String, Failure> {
    let status = client.call(&Call::get("/v1/status")).await?.json();
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let Some(member) = members.iter().find(|it| it["id"] == host) else {
        let ids: Vec<_> = members.iter().map(|it| text(&it["id"])).collect();
        let message = format!("host: found {host:?}; accepted: {}", ids.join(", "));
        return Err(Failure::Usage(message));
    };
    let unknown = |_| Failure::Unreachable("the host's address is unknown".to_owned());
    let address = text(&member["admin"]).parse().map_err(unknown)?;
    let call = Call::post(format!("/v1/drain?host={host}"), &json!({}));
    let value = client.call_at(address, &call).await?.json();
    Ok(shown(&value, json, || format!("{host} stops after its requests\n")))
}

fn rows(list: &Value, row: impl Fn(&Value) -> Vec<String>) -> Vec<Vec<String>> {
    list.as_array().into_iter().flatten().map(row).collect()
}

/// A value as a cell.
fn text(value: &Value) -> String {
    match value {
        Value::String(it) => it.clone(),
        Value::Null => "-".to_owned(),
        Value::Bool(_) | Value::Number(_) | Value::Array(_) | Value::Object(_) => value.to_string(),
    }
}
