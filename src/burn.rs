//! Service-level burn per class and customer, joined over hosts.
//!
//! The error budget of a class is the share of requests that may miss its targets. The burn rate of a window is the
//! share that missed them there, divided by the budget: at 1 the budget is spent exactly.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::{
    aggregate::{Bucket, HOUR},
    error::Kind,
    record::Class,
    tally::{self, Counts, Line, MINUTE_MS},
};

/// Time for the numbers of a minute to reach the store, in milliseconds.
const LAG_MS: u64 = 15_000;

/// Windows of a report by name, in minutes. Those over an hour start on a whole hour.
pub const WINDOWS: [(&str, u64); 4] =
    [("5m", 5), ("1h", HOUR), ("6h", 6 * HOUR), ("24h", 24 * HOUR)];

/// Position of the window in which the error budget counts.
const BUDGET: usize = 3;

/// Position of the window by which customers are ordered.
const ORDER: usize = 1;

/// Minutes in the series of a class.
const SERIES: u64 = HOUR;

/// Numbers of one window.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figures {
    /// Name of the window.
    pub window: String,
    /// Requests that ended.
    pub requests: u64,
    /// Whole answers within the targets.
    pub in_time: u64,
    /// Whole answers outside the targets, and callers who left after the target.
    pub late: u64,
    /// Requests that missed the objective; late ones among them.
    pub missed: u64,
    /// Share of the counted requests that were in time; absent without any.
    pub attainment: Option<f64>,
    /// Burn rate of the error budget; absent without requests or without a budget.
    pub burn: Option<f64>,
    /// Tokens that reached callers.
    pub tokens: u64,
    /// Share of whole answers that came from upstreams that the platform may reclaim; absent if not known of any.
    pub cheap: Option<f64>,
    /// Refused and failed requests by kind.
    pub refused: Vec<(Kind, u64)>,
}

/// Burn of a class, or of a customer in it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Name of the class.
    pub class: String,
    /// Customer, `(open)` on open routes; absent for the whole class.
    pub customer: Option<String>,
    /// Share of requests that must be in time, in thousandths; absent if there is no such class any more.
    pub objective_per_mille: Option<u32>,
    /// Share of the error budget of the longest window that is spent; absent without requests or without a budget.
    pub budget_spent: Option<f64>,
    /// Figures of each window, shortest first.
    pub windows: Vec<Figures>,
}

/// Cost of the listed upstreams against service in one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spending {
    /// Name of the window.
    pub window: String,
    /// Price per hour times listed time, in currency units.
    pub cost: f64,
    /// Part of it for upstreams that the platform may reclaim.
    pub cheap_cost: f64,
    /// Cost of a thousand requests in time; absent without any.
    pub per_thousand_in_time: Option<f64>,
    /// Cost of a million delivered tokens; absent without any.
    pub per_million_tokens: Option<f64>,
    /// Share of whole answers that came from cheap upstreams; absent if not known of any.
    pub cheap_share: Option<f64>,
}

/// Requests of a class in one minute.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Minute since the Unix epoch.
    pub minute: u64,
    /// Requests that count towards the objective.
    pub counted: u64,
    /// Those of them that missed it.
    pub missed: u64,
}

/// Minutes of a class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// Name of the class.
    pub class: String,
    /// Oldest first; minutes without requests are absent.
    pub points: Vec<Point>,
}

/// Service-level burn at a point in time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// End of every window, wall-clock milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Records of the store that could not be read; their numbers are missing.
    pub unreadable: u64,
    /// Classes by name.
    pub classes: Vec<Row>,
    /// Customers per class, the worst served first.
    pub customers: Vec<Row>,
    /// Each window, shortest first.
    pub spending: Vec<Spending>,
    /// Burn over time of each class.
    pub series: Vec<Series>,
}

/// Windows of minutes up to an end.
#[derive(Debug, Clone, Copy)]
struct Clock {
    /// First minute that no window has.
    end: u64,
}

impl Clock {
    fn new(now_ms: u64) -> Clock {
        Clock { end: now_ms.saturating_sub(LAG_MS) / MINUTE_MS }
    }

    /// First minute of a window.
    fn start(self, minutes: u64) -> u64 {
        let start = self.end.saturating_sub(minutes);
        if minutes > HOUR { start / HOUR * HOUR } else { start }
    }

    fn contains(self, minutes: u64, bucket: &Bucket) -> bool {
        bucket.start >= self.start(minutes) && bucket.start < self.end
    }
}

/// First minute that a report at a point in time needs.
pub fn first_minute(now_ms: u64) -> u64 {
    Clock::new(now_ms).start(WINDOWS[BUDGET].1)
}

impl Report {
    /// Computes a report from everything in the store. `classes` give the objectives in force.
    pub fn new(buckets: &[Bucket], unreadable: u64, classes: &[Class], now_ms: u64) -> Report {
        let clock = Clock::new(now_ms);
        let sums = WINDOWS.map(|(_, minutes)| sum(clock, minutes, buckets));
        let objective = |name: &str| {
            classes.iter().find(|it| it.name == name).map(|it| it.attainment_per_mille)
        };
        let mut classes = Vec::new();
        let mut customers = Vec::new();
        // The longest window has every line of the shorter ones.
        for line in &sums[BUDGET] {
            let last: Option<&Row> = classes.last();
            let class = &line.class;
            if last.is_none_or(|it| it.class != *class) {
                let counts =
                    sums.each_ref().map(|it| total(it.iter().filter(|it| it.class == *class)));
                classes.push(Row::new(class, None, objective(class), &counts));
            }
            let counts = sums.each_ref().map(|it| find(it, line));
            let customer = if line.customer.is_empty() { "(open)" } else { &line.customer };
            customers.push(Row::new(class, Some(customer), objective(class), &counts));
        }
        customers.sort_by_key(Row::order);
        let totals = sums.each_ref().map(|it| total(it.iter()));
        Report {
            until_ms: clock.end * MINUTE_MS,
            unreadable,
            series: classes.iter().map(|it| Series::new(&it.class, clock, buckets)).collect(),
            classes,
            customers,
            spending: (0..WINDOWS.len())
                .map(|it| Spending::new(it, clock, &totals[it], buckets))
                .collect(),
        }
    }

    /// The report as plain text tables.
    pub fn to_table(&self) -> String {
        let mut out = format!("until {} ms\n\n", self.until_ms);
        out.push_str("CLASSES\n");
        out.push_str(&rows(&self.classes));
        out.push_str("\nCUSTOMERS, THE WORST SERVED FIRST\n");
        out.push_str(&rows(&self.customers));
        out.push_str("\nCOST AGAINST SERVICE\n");
        out.push_str(&spending(&self.spending));
        let refused = self.refused();
        if !refused.is_empty() {
            out.push_str("\nREFUSED AND FAILED IN 24H\n");
            for (class, kind, count) in refused {
                out.push_str(&format!("{class}  {kind}  {count}\n"));
            }
        }
        if self.unreadable > 0 {
            out.push_str(&format!("\n{} records could not be read\n", self.unreadable));
        }
        out
    }

    /// Refused and failed requests of the longest window by class and kind.
    pub(crate) fn refused(&self) -> Vec<(&str, &'static str, u64)> {
        let mut lines = Vec::new();
        for row in &self.classes {
            for (kind, count) in &row.windows[BUDGET].refused {
                lines.push((row.class.as_str(), kind.answer().name, *count));
            }
        }
        lines
    }
}

impl Row {
    fn new(
        class: &str,
        customer: Option<&str>,
        objective: Option<u32>,
        counts: &[Counts; WINDOWS.len()],
    ) -> Row {
        let figures = |it: usize| Figures::new(WINDOWS[it].0, objective, &counts[it]);
        let windows: Vec<_> = (0..WINDOWS.len()).map(figures).collect();
        Row {
            class: class.to_owned(),
            customer: customer.map(str::to_owned),
            objective_per_mille: objective,
            budget_spent: windows[BUDGET].burn,
            windows,
        }
    }

    /// Rows with a larger burn come first, then those with more missed requests.
    fn order(&self) -> (Reverse<u64>, Reverse<u64>, Reverse<u64>, String, Option<String>) {
        let thousandths = |it: usize| match &self.windows[it] {
            // A class without a budget burns without bound.
            Figures { burn: None, missed: 1.., .. } => u64::MAX,
            figures => (figures.burn.unwrap_or(0.0) * 1e3) as u64,
        };
        (
            Reverse(thousandths(ORDER)),
            Reverse(thousandths(BUDGET)),
            Reverse(self.windows[BUDGET].missed),
            self.class.clone(),
            self.customer.clone(),
        )
    }
}

impl Figures {
    fn new(window: &str, objective: Option<u32>, counts: &Counts) -> Figures {
        let counted = counts.counted();
        let missed = share(counts.missed(), counted);
        let budget =
            objective.map(|it| 1.0 - f64::from(it.min(1_000)) / 1e3).filter(|it| *it > 0.0);
        let burn = missed.zip(budget).map(|(missed, budget)| missed / budget);
        Figures {
            window: window.to_owned(),
            requests: counts.requests(),
            in_time: counts.in_time,
            late: counts.late + counts.left_late,
            missed: counts.missed(),
            attainment: share(counts.in_time, counted).map(rounded),
            burn: burn.map(rounded),
            tokens: counts.tokens,
            cheap: share(counts.cheap, counts.placed).map(rounded),
            refused: counts.refused.clone(),
        }
    }
}

impl Spending {
    fn new(window: usize, clock: Clock, counts: &Counts, buckets: &[Bucket]) -> Spending {
        let (name, minutes) = WINDOWS[window];
        let (mut cheap, mut other) = (0, 0);
        for cost in buckets.iter().filter(|it| clock.contains(minutes, it)).flat_map(|it| &it.costs)
        {
            cheap += cost.cheap;
            other += cost.other;
        }
        let cost = (cheap + other) as f64 / 1e6;
        let per = |count: u64, unit: f64| (count > 0).then(|| rounded(cost * unit / count as f64));
        Spending {
            window: name.to_owned(),
            cost: rounded(cost),
            cheap_cost: rounded(cheap as f64 / 1e6),
            per_thousand_in_time: per(counts.in_time, 1e3),
            per_million_tokens: per(counts.tokens, 1e6),
            cheap_share: share(counts.cheap, counts.placed).map(rounded),
        }
    }
}

impl Series {
    fn new(class: &str, clock: Clock, buckets: &[Bucket]) -> Series {
        let mut points: Vec<Point> = Vec::new();
        let of_minutes = |it: &&Bucket| it.minutes == 1 && clock.contains(SERIES, it);
        for bucket in buckets.iter().filter(of_minutes) {
            let counts = total(bucket.lines.iter().filter(|it| it.class == class));
            let (counted, missed) = (counts.counted(), counts.missed());
            if counted == 0 {
                continue;
            }
            match points.binary_search_by_key(&bucket.start, |it| it.minute) {
                Ok(found) => {
                    points[found].counted += counted;
                    points[found].missed += missed;
                }
                Err(at) => points.insert(at, Point { minute: bucket.start, counted, missed }),
            }
        }
        Series { class: class.to_owned(), points }
    }
}

/// Lines of a window, sorted by class and customer.
fn sum(clock: Clock, minutes: u64, buckets: &[Bucket]) -> Vec<Line> {
    let mut lines = Vec::new();
    for bucket in buckets.iter().filter(|it| clock.contains(minutes, it)) {
        for line in &bucket.lines {
            tally::add(&mut lines, line.clone(), usize::MAX);
        }
    }
    lines
}

/// Numbers of the same class and customer.
fn find(lines: &[Line], wanted: &Line) -> Counts {
    let key = (&wanted.class, &wanted.customer);
    let found = lines.binary_search_by(|it| (&it.class, &it.customer).cmp(&key));
    found.map(|it| lines[it].counts.clone()).unwrap_or_default()
}

fn total<'a>(lines: impl Iterator<Item = &'a Line>) -> Counts {
    let mut counts = Counts::default();
    lines.for_each(|it| counts.add(&it.counts));
    counts
}

fn share(part: u64, whole: u64) -> Option<f64> {
    (whole > 0).then(|| part as f64 / whole as f64)
}

/// Rounds to a ten-thousandth.
fn rounded(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

fn rows(rows: &[Row]) -> String {
    let head = [
        "CLASS",
        "CUSTOMER",
        "OBJECTIVE",
        "ATTAINED 1H",
        "BURN 5M",
        "BURN 1H",
        "BURN 6H",
        "BUDGET SPENT",
        "REQUESTS",
        "LATE",
        "MISSED",
        "CHEAP",
    ];
    let cells = rows.iter().map(|it| {
        let burn = |window: usize| number(it.windows[window].burn);
        let longest = &it.windows[BUDGET];
        vec![
            it.class.clone(),
            it.customer.clone().unwrap_or("(all)".to_owned()),
            it.objective_per_mille.map_or("-".to_owned(), |it| percent(Some(f64::from(it) / 1e3))),
            percent(it.windows[1].attainment),
            burn(0),
            burn(1),
            burn(2),
            percent(it.budget_spent),
            longest.requests.to_string(),
            longest.late.to_string(),
            longest.missed.to_string(),
            percent(longest.cheap),
        ]
    });
    table(&head, cells.collect())
}

fn spending(rows: &[Spending]) -> String {
    let head = ["WINDOW", "COST", "CHEAP", "PER 1000 IN TIME", "PER 1M TOKENS", "WORK ON CHEAP"];
    let cells = rows.iter().map(|it| {
        vec![
            it.window.clone(),
            number(Some(it.cost)),
            number(Some(it.cheap_cost)),
            number(it.per_thousand_in_time),
            number(it.per_million_tokens),
            percent(it.cheap_share),
        ]
    });
    table(&head, cells.collect())
}

/// A number for people.
pub(crate) fn number(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |it| format!("{it:.2}"))
}

/// A share for people.
pub(crate) fn percent(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |it| format!("{:.1}%", it * 1e2))
}

fn table(head: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut lines = vec![head.iter().map(|it| (*it).to_owned()).collect()];
    lines.extend(rows);
    let width =
        |column: usize| lines.iter().map(|it| it[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<_> = (0..head.len()).map(width).collect();
    let mut out = String::new();
    for line in &lines {
        let cells: Vec<_> =
            widths.iter().zip(line).map(|(width, cell)| format!("{cell:width$}")).collect();
        out.push_str(cells.join("  ").trim_end());
        out.push('\n');
    }
    out
}
