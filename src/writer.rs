//! Writes to the platform's store whose effect is known: repeated after a failure and read back on doubt.

use std::time::Duration;

use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use crate::platform::{Cause, Client, Failure, Write};

/// Attempts for one write.
const ATTEMPTS: u32 = 4;

/// Pause before the second attempt, in milliseconds; doubled for each further one.
const PAUSE_MS: u64 = 50;

/// Why a write has no known effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Doubt {
    /// Whether the write may have taken effect.
    pub effect: bool,
    /// The last failure.
    pub failure: Failure,
}

/// Writes a key if it stands at a version, zero meaning that it must not exist.
///
/// The condition makes repetitions safe: of all attempts at most one takes effect. A conflict after a lost answer
/// is resolved by the content that stands.
///
/// # Errors
/// `Doubt` if the store does not answer; the write may be repeated.
pub async fn put(
    store: &Client,
    cause: Cause,
    key: &str,
    value: Bytes,
    if_version: u64,
) -> Result<Write, Doubt> {
    let mut attempts = Attempts::new();
    loop {
        let failure = match store.put(cause, key, value.clone(), Some(if_version)).await {
            Ok(Write::Written(version)) => return Ok(Write::Written(version)),
            Ok(Write::Conflict(version)) if !attempts.doubt => return Ok(Write::Conflict(version)),
            Ok(Write::Conflict(version)) => match store.get(cause, key).await {
                Ok(Some(it)) if it.bytes == value => return Ok(Write::Written(it.version)),
                Ok(_) => return Ok(Write::Conflict(version)),
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        attempts.pause(failure).await?;
    }
}

/// Deletes a key if it stands at a version. A key that does not exist counts as deleted.
///
/// # Errors
/// `Doubt` if the store does not answer; the deletion may be repeated.
pub async fn delete(
    store: &Client,
    cause: Cause,
    key: &str,
    if_version: u64,
) -> Result<Write, Doubt> {
    let mut attempts = Attempts::new();
    loop {
        match store.delete(cause, key, Some(if_version)).await {
            Ok(Write::Conflict(0)) => return Ok(Write::Written(if_version)),
            Ok(outcome) => return Ok(outcome),
            Err(failure) => attempts.pause(failure).await?,
        }
    }
}

struct Attempts {
    made: u32,
    /// Whether an attempt may have taken effect.
    doubt: bool,
    rng: SmallRng,
}

impl Attempts {
    fn new() -> Attempts {
        Attempts { made: 0, doubt: false, rng: SmallRng::from_os_rng() }
    }

    /// Waits for the next attempt.
    async fn pause(&mut self, failure: Failure) -> Result<(), Doubt> {
        self.made += 1;
        let (effect, last) = match &failure {
            Failure::Unknown(_) | Failure::Invalid(_) => (true, false),
            // An unavailable platform may have taken the write before it answered.
            Failure::Busy(503) => (true, false),
            Failure::Busy(_) => (false, false),
            Failure::Refused(..) => (false, true),
        };
        self.doubt |= effect;
        if last || self.made >= ATTEMPTS {
            return Err(Doubt { effect: self.doubt, failure });
        }
        let most = PAUSE_MS << self.made;
        let pause = self.rng.random_range(most / 2..=most);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        Ok(())
    }
}
