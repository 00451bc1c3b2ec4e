//! Points in time and spans of the boot-time clock.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point on this host's boot-time clock, in microseconds since boot.
///
/// The clock keeps running while the process is stopped and while the machine is suspended.
/// Values of different hosts cannot be compared.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Time {
    /// Returns the current time of the boot-time clock.
    pub fn now() -> Time {
        let now = clock_gettime(ClockId::Boottime);
        Time(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000)
    }

    /// Returns the span since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// Creates a span from milliseconds.
    pub const fn from_ms(ms: u64) -> Span {
        Span(ms * 1_000)
    }

    /// Returns the span in milliseconds, rounded up.
    pub const fn as_ms(self) -> u64 {
        self.0.div_ceil(1_000)
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Duration {
        Duration::from_micros(span.0)
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for records that other hosts read.
pub fn wall_ms() -> u64 {
    let now = clock_gettime(ClockId::Realtime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}
