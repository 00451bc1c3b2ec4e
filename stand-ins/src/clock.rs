//! Wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

/// Wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}
