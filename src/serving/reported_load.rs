//! What upstreams report of their own load in answers, and how old news loses weight.
//!
//! Load pattern: hundreds of hosts, each of which hears a small part of the answers of upstreams whose load changes many
//! times a second. A host therefore never knows the present load, only figures of some age and what it sent since.

use crate::time::{Span, Time};

/// Age at which the reported work time counts half against its mean; it changes many times a second.
const WORK_HALF_LIFE: Span = Span::from_ms(100);

/// Age at which reported counts count half against those that hosts exchange. Exchanges take about as long.
const COUNT_HALF_LIFE: Span = Span::from_ms(250);

/// The same for plain services, which take less time for a request.
const SHORT_HALF_LIFE: Span = Span::from_ms(40);

/// Time over which the means are taken.
const MEAN_HALF_LIFE: Span = Span::from_ms(2_000);

/// Age up to which a report is passed on to other hosts; with a later one they know no more than by the mean.
pub const MAX_NEWS_AGE: Span = Span::from_ms(500);

/// Reports that one message between hosts holds.
pub const MAX_NEWS: usize = 256;

/// Own attempts that began or ended of which the time is kept for one upstream.
const MAX_CHANGES: usize = 64;

/// Longest work time that is believed, in percent of the usual one.
const MAX_WORK_PERCENT: u16 = 10_000;

/// Largest count that is believed.
const MAX_COUNT: u16 = 10_000;

/// Load of an upstream as it stated it in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that it runs.
    pub running: u16,
    /// Requests that wait there.
    pub waiting: u16,
    /// Requests that it runs at once at most.
    pub slots: u16,
    /// How long work takes on its machine at this moment, in percent of the usual time; `None` if it does not say.
    pub work_percent: Option<u16>,
}

impl Report {
    /// Creates a report. `None` if a figure cannot be true.
    pub fn new(
        running: u16,
        waiting: u16,
        slots: u16,
        work_percent: Option<u16>,
    ) -> Option<Report> {
        let counts = [running, waiting, slots];
        let is_work = work_percent.is_none_or(|it| (1..=MAX_WORK_PERCENT).contains(&it));
        let is_valid = slots > 0 && is_work && counts.iter().all(|it| *it <= MAX_COUNT);
        is_valid.then_some(Report { running, waiting, slots, work_percent })
    }

    /// Whether it has no free slot.
    pub fn is_full(&self) -> bool {
        self.company() >= f64::from(self.slots)
    }

    /// Returns the requests that run or wait.
    fn company(&self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }
}

/// A report with the time at which it was made, as far as this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dated {
    /// Earliest time at which it can have been made.
    pub at: Time,
    /// The report.
    pub report: Report,
}

/// What a host heard of one upstream. Without a report that states a work time it says nothing.
#[derive(Debug, Default)]
pub struct Heard {
    last: Option<Dated>,
    /// Mean of the work times as a factor; meaningless without `last`.
    mean_work: f64,
    /// Mean of the requests that run or wait there; meaningless without `last`.
    mean_company: f64,
    /// Begins (+1) and ends (-1) of this host's attempts, oldest first, not more than `MAX_CHANGES`.
    changes: Vec<(Time, i32)>,
}

impl Heard {
    /// Records a report that states a work time. Others, and older ones than the last, are ignored. Returns whether it
    /// is news.
    pub fn record(&mut self, dated: Dated) -> bool {
        let Some(percent) = dated.report.work_percent else { return false };
        let work = f64::from(percent) / 100.0;
        let company = dated.report.company();
        match self.last {
            Some(last) if dated.at <= last.at => return false,
            Some(last) => {
                let kept = decay(dated.at.since(last.at), MEAN_HALF_LIFE);
                self.mean_work = work + (self.mean_work - work) * kept;
                self.mean_company = company + (self.mean_company - company) * kept;
            }
            None => (self.mean_work, self.mean_company) = (work, company),
        }
        self.last = Some(dated);
        self.changes.retain(|it| it.0 > dated.at);
        true
    }

    /// Records that an attempt of this host began (+1) or ended (-1).
    pub fn record_change(&mut self, now: Time, change: i32) {
        if self.last.is_none() {
            return;
        }
        if self.changes.len() == MAX_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push((now, change));
    }

    /// Returns the last report.
    pub fn last(&self) -> Option<Dated> {
        self.last
    }

    /// Returns the factor by which work there is expected to take longer than usual: the last figure, and with its age
    /// more and more the mean.
    pub fn work(&self, now: Time) -> f64 {
        let Some(Dated { at, report }) = self.last else { return 1.0 };
        let last = report.work_percent.map_or(1.0, |it| f64::from(it) / 100.0);
        self.mean_work + (last - self.mean_work) * decay(now.since(at), WORK_HALF_LIFE)
    }

    /// Returns the mean of the factors by which work there took longer than usual.
    pub fn mean_work(&self) -> f64 {
        if self.last.is_some() { self.mean_work } else { 1.0 }
    }

    /// Returns the requests that are expected to run or wait at a plain service, where they take so short a time that with
    /// the age of the report their mean counts.
    pub fn short_company(&self, now: Time) -> f64 {
        let Some(Dated { at, report }) = self.last else { return 0.0 };
        let since: i32 = self.changes.iter().map(|it| it.1).sum();
        let reported = report.company() + f64::from(since);
        self.mean_company + (reported - self.mean_company) * decay(now.since(at), SHORT_HALF_LIFE)
    }

    /// Returns the requests that run or wait there: as reported plus what this host began and ended since, and with the
    /// age of the report more and more `counted`, which hosts know from each other. At least `own`.
    pub fn company(&self, now: Time, counted: u32, own: u32) -> u32 {
        let Some(Dated { at, report }) = self.last else { return counted };
        let since: i32 = self.changes.iter().map(|it| it.1).sum();
        let reported = report.company() + f64::from(since);
        let counted = f64::from(counted);
        let expected = counted + (reported - counted) * decay(now.since(at), COUNT_HALF_LIFE);
        (expected.max(0.0).round() as u32).max(own)
    }
}

/// Reports that a host passes on, the newest of each upstream. Sorted by upstream.
#[derive(Debug, Default)]
pub struct News(Vec<(u64, Dated, Source)>);

/// Who heard a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// This host or one that syncs with it.
    Group,
    /// A host of another group.
    Elsewhere,
}

impl News {
    /// Adds reports by incarnation. Those that are older than what is known are ignored.
    pub fn add(&mut self, reports: &[(u64, Dated)], source: Source) {
        for (upstream, dated) in reports {
            match self.0.binary_search_by_key(upstream, |it| it.0) {
                Ok(at) if self.0[at].1.at < dated.at => self.0[at] = (*upstream, *dated, source),
                Ok(_) => {}
                Err(at) => self.0.insert(at, (*upstream, *dated, source)),
            }
        }
    }

    /// Returns the reports that are news for a host of this group, or for the hub of another one; the newest if they are
    /// many.
    pub fn recent(&mut self, now: Time, for_hub: bool) -> Vec<(u64, Dated)> {
        self.0.retain(|it| now.since(it.1.at) < MAX_NEWS_AGE);
        let wanted = self.0.iter().filter(|it| !for_hub || it.2 == Source::Group);
        let mut wanted: Vec<_> = wanted.map(|it| (it.0, it.1)).collect();
        newest(&mut wanted);
        wanted
    }
}

/// Drops the oldest of too many reports.
pub fn newest(reports: &mut Vec<(u64, Dated)>) {
    if reports.len() > MAX_NEWS {
        reports.sort_unstable_by_key(|it| std::cmp::Reverse(it.1.at));
        reports.truncate(MAX_NEWS);
    }
}

fn decay(age: Span, half_life: Span) -> f64 {
    (-(age.0 as f64 / half_life.0 as f64)).exp2()
}
