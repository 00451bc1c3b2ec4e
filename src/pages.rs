//! Pages of the administration interface beside the configuration: upstreams, usage windows, burn and drain.

use std::sync::Arc;

use futures::future::{BoxFuture, join_all};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::{
    admin::{Page, Query, Reply},
    aggregator,
    burn::{self, Report},
    config::Snapshot,
    error::{Error, Kind},
    member::View,
    page,
    platform::{Cause, Client, Failure},
    record::Role,
    reporter,
    time::wall_ms,
    window::Window,
};

/// Sealed windows that are listed unless the caller names one.
const WINDOWS: u64 = 12;

/// What the pages need.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Port to the platform.
    pub(crate) platform: Client,
    /// Configuration in force.
    pub(crate) snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Hosts that are alive.
    pub(crate) view: watch::Receiver<Arc<View>>,
    /// Id of this host.
    pub(crate) host: String,
    /// Length of a usage window in milliseconds.
    pub(crate) window_ms: u64,
    /// Told to drain the host.
    pub(crate) drain: watch::Sender<bool>,
}

/// The pages.
pub(crate) fn pages(options: &Options) -> Vec<Page> {
    let page = |method, path, role, answer| Page { method, path, role, answer };
    let auditor = |path, answer| page(Method::GET, path, Role::Auditor, answer);
    vec![
        auditor("/v1/upstreams", bind(options, |it, query| Box::pin(upstreams(it, query)))),
        auditor("/v1/report/usage", bind(options, |it, query| Box::pin(usage(it, query)))),
        auditor("/v1/report/burn", bind(options, |it, query| Box::pin(burn_report(it, query)))),
        auditor("/burn", bind(options, |it, query| Box::pin(burn_page(it, query)))),
        page(
            Method::POST,
            "/v1/drain",
            Role::Operator,
            bind(options, |it, query| Box::pin(drain(it, query))),
        ),
    ]
}

type Answer = BoxFuture<'static, Result<Reply, Error>>;

fn bind(
    options: &Options,
    answer: fn(Options, Query) -> Answer,
) -> Arc<dyn Fn(Query) -> Answer + Send + Sync> {
    let options = options.clone();
    Arc::new(move |query| answer(options.clone(), query))
}

fn unavailable(failure: Failure) -> Error {
    Error::new(Kind::StoreUnavailable, failure.to_string())
}

fn zones(view: &View) -> Vec<String> {
    let mut zones: Vec<_> = view.members.iter().map(|it| it.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones
}

/// Upstreams of every zone with a live host, and the zones whose platform does not answer.
async fn listed(options: &Options) -> (Vec<Value>, Vec<String>) {
    let zones = zones(&options.view.borrow());
    let calls = zones.iter().map(|zone| options.platform.upstreams(zone));
    let (mut upstreams, mut unknown) = (Vec::new(), Vec::new());
    for (zone, answer) in zones.iter().zip(join_all(calls).await) {
        let Ok(list) = answer else {
            unknown.push(zone.clone());
            continue;
        };
        for upstream in list {
            let mut value = json!(upstream);
            value["zone"] = json!(zone);
            upstreams.push(value);
        }
    }
    let order = |it: &Value| [it["zone"].to_string(), it["pool"].to_string(), it["id"].to_string()];
    upstreams.sort_by_key(order);
    (upstreams, unknown)
}

async fn upstreams(options: Options, query: Query) -> Result<Reply, Error> {
    query.only(&[])?;
    let (upstreams, unknown) = listed(&options).await;
    Ok(Reply::json(&json!({ "upstreams": upstreams, "unknown": unknown })))
}

async fn usage(options: Options, query: Query) -> Result<Reply, Error> {
    query.only(&["window"])?;
    let newest = wall_ms() / options.window_ms.max(1);
    let windows = match query.get("window") {
        None => sealed(&options, newest).await?,
        Some(text) => {
            let wrong = || {
                let message =
                    format!("window: found {text:?}; accepted: a number of at most {newest}");
                Error::new(Kind::BadRequest, message)
            };
            let number = text.parse().ok().filter(|it| *it <= newest).ok_or_else(wrong)?;
            let found = one_window(&options, number).await?;
            let missing = || Error::new(Kind::NotFound, format!("window {number} is not sealed"));
            vec![found.ok_or_else(missing)?]
        }
    };
    let windows: Vec<_> = windows
        .iter()
        .map(|it| {
            let start = it.window * options.window_ms;
            let end = start + options.window_ms;
            json!({ "window": it.window, "start_ms": start, "end_ms": end, "totals": it.totals })
        })
        .collect();
    Ok(Reply::json(&json!({ "windows": windows })))
}

async fn one_window(options: &Options, number: u64) -> Result<Option<Window>, Error> {
    let key = reporter::window_key(number);
    let value = options.platform.get(Cause::Report, &key).await.map_err(unavailable)?;
    Ok(value.and_then(|it| Window::decode(&it.bytes)))
}

/// The last sealed windows.
async fn sealed(options: &Options, newest: u64) -> Result<Vec<Window>, Error> {
    let after = reporter::window_key(newest.saturating_sub(WINDOWS + 1));
    let limit = WINDOWS as u32 + 1;
    let prefix = reporter::WINDOW_PREFIX;
    let listing = options.platform.list(Cause::Report, prefix, &after, limit).await;
    let entries = listing.map_err(unavailable)?.entries;
    let texts = entries.into_iter().filter_map(|it| it.value);
    Ok(texts.filter_map(|it| Window::decode(it.as_bytes())).collect())
}

async fn report(options: &Options) -> Result<Report, Error> {
    let now_ms = wall_ms();
    let first = burn::first_minute(now_ms);
    let joined = aggregator::read(&options.platform, first).await.map_err(unavailable)?;
    let snapshot = options.snapshot.borrow().clone();
    Ok(Report::new(&joined.buckets, joined.unreadable, &snapshot.classes, now_ms))
}

async fn burn_report(options: Options, query: Query) -> Result<Reply, Error> {
    query.only(&[])?;
    Ok(Reply::json(&report(&options).await?))
}

async fn burn_page(options: Options, query: Query) -> Result<Reply, Error> {
    query.only(&[])?;
    let body = page::render(&report(&options).await?);
    let reply = Reply::text(StatusCode::OK, body);
    Ok(Reply { content_type: "text/html; charset=utf-8", ..reply })
}

async fn drain(options: Options, query: Query) -> Result<Reply, Error> {
    query.only(&["host"])?;
    let host = &options.host;
    if query.get("host") != Some(host) {
        let found = query.get("host").unwrap_or_default();
        let message = format!("host: found {found:?}; accepted: {host}, which is asked here");
        return Err(Error::new(Kind::BadRequest, message));
    }
    options.drain.send_replace(true);
    log::info!("told to drain by an operator");
    Ok(Reply::json(&json!({ "host": host, "draining": true })))
}
