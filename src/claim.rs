//! Claims of idempotency keys: a request that may not be repeated is written down before anything of it is sent.
//!
//! A resend finds the claim. It gets the kept answer where the first run's answer was small enough to keep, and else an
//! error that does not say "not run". The claim's key is `claim/{digest of customer and idempotency key}`.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    confirm::{Create, Swap},
    credential::Digest,
    error::{Error, Kind, Run},
    platform::{Cause, Client, Failure, Value},
};

/// Prefix of claims in the store.
pub const PREFIX: &str = "claim/";

/// Time for which a claim stands, in milliseconds.
pub const CLAIM_TTL_MS: u64 = 24 * 3_600_000;

/// Largest answer body that is kept, in bytes.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Claims that are read in one pass of the sweep.
const SWEEP_LIMIT: u32 = 200;

/// A claim as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the request that made the claim.
    pub request: String,
    /// Hash of customer, route and body.
    pub fingerprint: u64,
    /// Wall-clock end of the claim, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// The answer, once it is there and if it is kept.
    pub answer: Option<Answer>,
}

/// A kept answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Names and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Body, if it is text.
    pub body: String,
}

/// A claim that this request holds.
#[derive(Debug)]
pub struct Held {
    key: String,
    version: u64,
    claim: Claim,
}

/// What the store says of a request's idempotency key.
#[derive(Debug)]
pub enum Outcome {
    /// The request may run.
    Held(Held),
    /// The request ran, and this was its answer.
    Answered(Answer),
}

/// Key of a claim in the store.
pub fn store_key(customer: &str, idempotency_key: &str) -> String {
    let digest = Digest::of(&format!("{}:{customer}:{idempotency_key}", customer.len()));
    format!("{PREFIX}{}", digest.to_hex())
}

/// What a standing claim means for a request that finds it at a wall-clock time.
///
/// `Ok(None)` means that the claim has expired and can be replaced.
///
/// # Errors
/// `IdempotencyConflict` if the key belongs to another request, or if the first run is not known to have ended.
pub fn judge(claim: &Claim, fingerprint: u64, wall_ms: u64) -> Result<Option<Answer>, Error> {
    if claim.expires_ms <= wall_ms {
        return Ok(None);
    }
    if claim.fingerprint != fingerprint {
        let message = "the idempotency key was used for another request";
        return Err(Error::new(Kind::IdempotencyConflict, message));
    }
    match &claim.answer {
        Some(answer) => Ok(Some(answer.clone())),
        None => {
            let message =
                "a request with this idempotency key was sent and its answer is not known";
            Err(Error::new(Kind::IdempotencyConflict, message).with_run(Run::Unknown))
        }
    }
}

/// Claims an idempotency key.
///
/// # Errors
/// `BadRequest` for a key that is too long, `IdempotencyConflict` as in `judge`, `StoreUnavailable` if the store does not
/// answer. Nothing was sent in any of these cases.
pub async fn open(
    store: &Client,
    customer: &str,
    idempotency_key: &str,
    claim: Claim,
    wall_ms: u64,
) -> Result<Outcome, Error> {
    if idempotency_key.is_empty() || idempotency_key.len() > MAX_KEY_BYTES {
        let message = format!("the idempotency key must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(Error::new(Kind::BadRequest, message));
    }
    let key = store_key(customer, idempotency_key);
    let value = match store.create(Cause::Claim, &key, encode(&claim)).await {
        Ok(Create::Created(version)) => return Ok(Outcome::Held(Held { key, version, claim })),
        Ok(Create::Exists(value)) => value,
        Err(failure) => return Err(unavailable(&failure)),
    };
    let standing = decode(&value)?;
    if let Some(answer) = judge(&standing, claim.fingerprint, wall_ms)? {
        return Ok(Outcome::Answered(answer));
    }
    match store.swap(Cause::Claim, &key, encode(&claim), value.version).await {
        Ok(Swap::Written(version)) => Ok(Outcome::Held(Held { key, version, claim })),
        Ok(Swap::Conflict(_)) => {
            let message = "another request with this idempotency key has just been accepted";
            Err(Error::new(Kind::IdempotencyConflict, message).with_run(Run::Unknown))
        }
        Err(failure) => Err(unavailable(&failure)),
    }
}

impl Held {
    /// Withdraws the claim of a request of which no byte was sent.
    pub async fn withdraw(self, store: &Client) {
        let _ = store.delete(Cause::Claim, &self.key, Some(self.version)).await;
    }

    /// Keeps the answer for resends, if it is small enough.
    pub async fn keep(self, store: &Client, status: StatusCode, headers: &HeaderMap, body: &Bytes) {
        let Some(answer) = answer(status, headers, body) else { return };
        let claim = Claim { answer: Some(answer), ..self.claim };
        let _ = store.swap(Cause::Claim, &self.key, encode(&claim), self.version).await;
    }
}

fn answer(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> Option<Answer> {
    if body.len() > MAX_KEPT_BYTES {
        return None;
    }
    let body = std::str::from_utf8(body).ok()?.to_owned();
    let text = |value: &HeaderValue| value.to_str().ok().map(str::to_owned);
    let headers = headers.iter().filter_map(|(name, value)| Some((name.to_string(), text(value)?)));
    Some(Answer { status: status.as_u16(), headers: headers.collect(), body })
}

impl Answer {
    /// Headers for the caller; those that cannot be read are left out.
    pub fn header_map(&self) -> HeaderMap {
        let parsed = self.headers.iter().filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            Some((name, HeaderValue::from_str(value).ok()?))
        });
        parsed.collect()
    }
}

/// Deletes claims that have expired; returns where the next pass goes on.
///
/// # Errors
/// Any `Failure`; the next pass tries again.
pub async fn sweep(store: &Client, after: &str, wall_ms: u64) -> Result<String, Failure> {
    let page = store.list(Cause::Claim, PREFIX, after, SWEEP_LIMIT).await?;
    for entry in &page.entries {
        let claim = entry.value.as_deref().and_then(|it| serde_json::from_str::<Claim>(it).ok());
        if claim.is_none_or(|it| it.expires_ms <= wall_ms) {
            store.delete(Cause::Claim, &entry.key, Some(entry.version)).await?;
        }
    }
    let last = page.entries.last().filter(|_| page.more);
    Ok(last.map(|it| it.key.clone()).unwrap_or_default())
}

fn encode(claim: &Claim) -> Bytes {
    serde_json::to_vec(claim).map(Bytes::from).unwrap_or_default()
}

fn decode(value: &Value) -> Result<Claim, Error> {
    serde_json::from_slice(&value.bytes).map_err(|_| {
        let message = "the claim of the idempotency key cannot be read";
        Error::new(Kind::IdempotencyConflict, message).with_run(Run::Unknown)
    })
}

fn unavailable(failure: &Failure) -> Error {
    Error::new(Kind::StoreUnavailable, format!("the idempotency key cannot be claimed: {failure}"))
}
