//! The operator's configuration.

use serde_json::{Value, json};

/// Name of the host in requests.
pub const HOST: &str = "laundry.example";

/// Time for which a route keeps a request, in milliseconds.
pub const TIMEOUT_MS: u64 = 10_000;

/// A tenant's key.
pub fn key(tenant: &str) -> String {
    format!("key-of-{tenant}-4xkq81")
}

/// A route whose streams may be resumed. `services` holds its services with their weights.
pub fn stream_route(prefix: &str, services: &[(&str, u32)]) -> Value {
    let mut route = json!({
        "Name": format!("r-{prefix}"),
        "Host": HOST,
        "PathPrefix": format!("/{prefix}/"),
        "RouteKind": "streaming",
        "TimeoutMs": TIMEOUT_MS,
        "TargetLatencyMs": 500,
        "TargetGapMs": 400,
        "Priority": 1,
        "MaxAttempts": 2,
        "Public": false,
        "Sticky": true,
        "Resumable": true,
    });
    match services {
        [(service, _)] => route["Service"] = (*service).into(),
        _ => {
            let split =
                services.iter().map(|(it, weight)| json!({"Service": it, "Weight": weight}));
            route["TrafficSplit"] = split.collect();
        }
    }
    route
}

/// A route of a plain service.
pub fn plain_route(prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "Name": format!("r-{prefix}"),
        "Host": HOST,
        "PathPrefix": format!("/{prefix}/"),
        "RouteKind": kind,
        "TimeoutMs": 2_000,
        "TargetLatencyMs": 300,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2,
        "Public": false,
        "Sticky": false,
        "Resumable": false,
    })
}

/// A configuration.
pub fn configuration(version: u64, routes: &[Value], services: &[&str], tenants: &[&str]) -> Value {
    let services: Vec<_> = services
        .iter()
        .map(|it| {
            json!({
                "Name": it, "HealthPath": "/healthz", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
            })
        })
        .collect();
    let tenants: Vec<_> = tenants
        .iter()
        .map(|it| json!({ "Name": it, "ApiKeys": [key(it)], "Priority": 1 }))
        .collect();
    json!({
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000,
        },
        "Tenants": tenants,
    })
}
