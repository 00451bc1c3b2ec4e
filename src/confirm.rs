//! Writes to the store that are read back on doubt and decided by content.

use std::time::Duration;

use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    circuit::Backoff,
    platform::{Cause, Client, Failure, Value, Write},
    time::Span,
};

/// Most times that a write is sent.
const MAX_TRIES: u32 = 6;

/// Time for a write with all its tries, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 10_000;

const FIRST_PAUSE: Span = Span::from_ms(50);
const LONGEST_PAUSE: Span = Span::from_ms(1_000);

/// Outcome of a creation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Create {
    /// The key holds the given bytes since this revision.
    Created(u64),
    /// The key holds other bytes.
    Exists(Value),
}

/// Outcome of a replacement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// The key holds the given bytes since this revision.
    Written(u64),
    /// The key stands at another version with other bytes, or does not exist.
    Conflict(Option<Value>),
}

enum Settled {
    Ours(u64),
    Other(Option<Value>),
}

impl Client {
    /// Creates a key with bytes that no other writer would write, and reads it back if the answer is lost.
    ///
    /// # Errors
    /// `Unknown` if it may have taken effect and could not be read back in time; else the last failure, and then it had
    /// no effect.
    pub async fn create(&self, cause: Cause, key: &str, bytes: Bytes) -> Result<Create, Failure> {
        match self.settle(cause, key, bytes, 0).await? {
            Settled::Ours(version) => Ok(Create::Created(version)),
            Settled::Other(Some(value)) => Ok(Create::Exists(value)),
            Settled::Other(None) => Err(Failure::Unknown("the key was deleted again".to_owned())),
        }
    }

    /// Replaces a key that stands at a version, and reads it back if the answer is lost. A conflict after a lost answer
    /// means that other bytes stand now; the own bytes may have stood before them.
    ///
    /// # Errors
    /// As `create`.
    pub async fn swap(
        &self,
        cause: Cause,
        key: &str,
        bytes: Bytes,
        if_version: u64,
    ) -> Result<Swap, Failure> {
        match self.settle(cause, key, bytes, if_version).await? {
            Settled::Ours(version) => Ok(Swap::Written(version)),
            Settled::Other(value) => Ok(Swap::Conflict(value)),
        }
    }

    async fn settle(
        &self,
        cause: Cause,
        key: &str,
        bytes: Bytes,
        if_version: u64,
    ) -> Result<Settled, Failure> {
        let end = Instant::now() + Duration::from_millis(WRITE_TIMEOUT_MS);
        let mut random = SmallRng::from_os_rng();
        let mut pause = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
        // Whether a write may have taken effect unseen.
        let mut doubt = false;
        let mut failure = Failure::Busy(0);
        for _ in 0..MAX_TRIES {
            match self.put(cause, key, bytes.clone(), Some(if_version)).await {
                Ok(Write::Written(version)) => return Ok(Settled::Ours(version)),
                Ok(Write::Conflict(_)) => {}
                Err(Failure::Unknown(_) | Failure::Invalid(_)) => doubt = true,
                Err(Failure::Busy(status)) => failure = Failure::Busy(status),
                Err(refused @ Failure::Refused(..)) if !doubt => return Err(refused),
                Err(Failure::Refused(..)) => {}
            }
            match self.get(cause, key).await {
                Ok(value) => {
                    let ours = doubt || if_version == 0;
                    if let Some(settled) = judge(value, &bytes, if_version, ours) {
                        return Ok(settled);
                    }
                }
                Err(error) => failure = error,
            }
            let span = Duration::from(pause.next(random.random()));
            if Instant::now() + span >= end {
                break;
            }
            tokio::time::sleep(span).await;
        }
        let unsure = || Failure::Unknown("the write could not be read back".to_owned());
        Err(if doubt { unsure() } else { failure })
    }
}

/// Decides by what stands; `None` if nothing was written since the expected version.
fn judge(value: Option<Value>, bytes: &[u8], if_version: u64, ours: bool) -> Option<Settled> {
    let version = value.as_ref().map_or(0, |it| it.version);
    if version == if_version {
        return None;
    }
    match value {
        Some(value) if ours && value.bytes == bytes => Some(Settled::Ours(value.version)),
        value => Some(Settled::Other(value)),
    }
}
