//! Service-level burn: numbers of many hosts joined once, and the report in its three forms.

use std::collections::BTreeMap;

use almondrack::{
    aggregate::{self, Bucket, Cost, HOUR, Joined, Put},
    burn::Report,
    error::Kind,
    metrics::Outcome,
    page,
    platform::Entry,
    record::Class,
    tally::{
        self, Batch, Counts, Ended, Id, Line, MAX_BATCHES, MAX_LINES, MINUTE_MS, OTHER, Tally,
    },
};
use expect_test::{expect, expect_file};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const ZONE: &str = "zone-a";
const HOSTS: usize = 3;
const WRITERS: usize = 2;

/// First minute of the histories, in the middle of an hour.
const START: u64 = 29_000_010;

/// One step of a history.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A request ends at a host.
    Count { host: usize, class: u8, customer: u8, outcome: u8 },
    /// Time passes.
    Pass { minutes: u64 },
    /// A host hands its closed batches to a writer, which reads the store and decides what to write.
    Plan { host: usize, writer: usize },
    /// The writer's call reaches the store; its answer may be lost.
    Commit { writer: usize, lost: bool },
    /// The oldest hour is folded; the folder may stop before it deletes.
    Fold { stops: bool },
    /// A host is killed and starts again.
    Kill { host: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let pick = |g: &mut Gen, below: usize| usize::arbitrary(g) % below;
        match pick(g, 20) {
            0..8 => Step::Count {
                host: pick(g, HOSTS),
                class: pick(g, 2) as u8,
                customer: pick(g, 4) as u8,
                outcome: pick(g, 6) as u8,
            },
            8..11 => Step::Pass { minutes: [1, 1, 2, 9, 75, 200][pick(g, 6)] },
            11..14 => Step::Plan { host: pick(g, HOSTS), writer: pick(g, WRITERS) },
            14..18 => Step::Commit { writer: pick(g, WRITERS), lost: bool::arbitrary(g) },
            18 => Step::Fold { stops: bool::arbitrary(g) },
            _ => Step::Kill { host: pick(g, HOSTS) },
        }
    }
}

/// A call on its way to the store.
struct Pending {
    put: Option<Put>,
    ids: Vec<Id>,
    host: usize,
    since: u64,
}

struct World {
    minute: u64,
    version: u64,
    store: BTreeMap<String, (u64, String)>,
    hosts: Vec<Tally>,
    incarnations: u64,
    pending: Vec<Option<Pending>>,
    /// Every request that was counted.
    oracle: Vec<Line>,
    /// Requests that were not known to be in the store when their host was killed.
    at_risk: u64,
}

fn ended(class: u8, customer: u8, outcome: u8) -> Ended {
    Ended {
        class: format!("class{class}"),
        customer: format!("customer{customer}"),
        outcome: match outcome {
            0..3 => Outcome::Whole,
            3 => Outcome::Failed(Kind::Shed),
            4 => Outcome::Failed(Kind::RequestLimit),
            _ => Outcome::Abandoned,
        },
        in_time: outcome == 0,
        late: outcome != 0,
        tokens: 3,
        upstream: String::new(),
    }
}

fn requests(lines: &[Line]) -> u64 {
    lines.iter().map(|it| it.counts.requests()).sum()
}

impl World {
    fn new() -> World {
        World {
            minute: START,
            version: 0,
            store: BTreeMap::new(),
            hosts: (0..HOSTS).map(|it| Tally::new(&format!("host{it}"), 1)).collect(),
            incarnations: 1,
            pending: (0..WRITERS).map(|_| None).collect(),
            oracle: Vec::new(),
            at_risk: 0,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Count { host, class, customer, outcome } => {
                self.hosts[host].count(self.minute, ended(class, customer, outcome), None);
                let mut alone = Tally::new("oracle", 1);
                alone.count(1, ended(class, customer, outcome), None);
                alone.cut();
                for line in alone.waiting(1).remove(0).lines {
                    tally::add(&mut self.oracle, line, usize::MAX);
                }
            }
            Step::Pass { minutes } => {
                self.minute += minutes;
                self.hosts.iter_mut().for_each(|it| it.turn(self.minute));
            }
            Step::Plan { host, writer } => self.plan(host, writer),
            Step::Commit { writer, lost } => self.commit(writer, lost),
            Step::Fold { stops } => self.fold(stops),
            Step::Kill { host } => {
                self.hosts[host].cut();
                let batches = self.hosts[host].waiting(usize::MAX);
                self.at_risk += batches.iter().map(|it| requests(&it.lines)).sum::<u64>();
                self.incarnations += 1;
                self.hosts[host] = Tally::new(&format!("host{host}"), self.incarnations);
            }
        }
    }

    fn plan(&mut self, host: usize, writer: usize) {
        let batches = self.hosts[host].waiting(4);
        let Some(minute) = batches.first().map(|it| it.minute) else { return };
        let batches: Vec<_> = batches.into_iter().filter(|it| it.minute == minute).collect();
        let put = if aggregate::is_late(minute, self.minute) {
            let key = aggregate::hour_key(ZONE, minute / HOUR);
            let log = self.hour_log(minute / HOUR);
            aggregate::amend(&key, self.entry(&key).as_ref(), &log, &batches)
        } else {
            let log = self.list(&aggregate::log_prefix(ZONE, minute));
            let cost = Cost { pool: "pool".to_owned(), cheap: 1, other: 2 };
            aggregate::append(ZONE, minute, &log, &batches, &[cost])
        };
        let ids = batches.into_iter().map(|it| it.id).collect();
        self.pending[writer] = Some(Pending { put: put.unwrap(), ids, host, since: self.minute });
    }

    fn commit(&mut self, writer: usize, lost: bool) {
        let Some(pending) = self.pending[writer].take() else { return };
        // A call to the store ends long before the time that folding leaves for it.
        if self.minute - pending.since >= aggregate::FOLD_AFTER - aggregate::LATE_AFTER {
            return;
        }
        let written = pending.put.is_none_or(|it| self.put(it));
        if written && !lost {
            self.hosts[pending.host].written(&pending.ids);
        }
    }

    fn fold(&mut self, stops: bool) {
        let Some(first) = self.list(&aggregate::minutes_prefix(ZONE)).first().cloned() else {
            return;
        };
        let minute = aggregate::minute_of(&first.key).unwrap();
        if !aggregate::is_foldable(minute, self.minute) {
            return;
        }
        let key = aggregate::hour_key(ZONE, minute / HOUR);
        let log = self.hour_log(minute / HOUR);
        let fold = aggregate::fold(&key, self.entry(&key).as_ref(), &log).unwrap();
        let stored = fold.put.is_none_or(|it| self.put(it));
        let deleted = if stops { fold.delete.len() / 2 } else { fold.delete.len() };
        for (key, _) in fold.delete.into_iter().take(if stored { deleted } else { 0 }) {
            self.store.remove(&key);
        }
    }

    fn put(&mut self, put: Put) -> bool {
        if self.store.get(&put.key).map_or(0, |it| it.0) != put.version {
            return false;
        }
        self.version += 1;
        self.store.insert(put.key, (self.version, put.value));
        true
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let (version, value) = self.store.get(key)?;
        Some(Entry { key: key.to_owned(), version: *version, value: Some(value.clone()) })
    }

    fn list(&self, prefix: &str) -> Vec<Entry> {
        let keys = self.store.keys().filter(|it| it.starts_with(prefix));
        keys.filter_map(|it| self.entry(it)).collect()
    }

    fn hour_log(&self, hour: u64) -> Vec<Entry> {
        let mut log = self.list(&aggregate::minutes_prefix(ZONE));
        log.retain(|it| aggregate::minute_of(&it.key).unwrap() / HOUR == hour);
        log
    }

    /// Brings everything that the hosts hold to the store.
    fn settle(&mut self) {
        for host in 0..HOSTS {
            self.hosts[host].cut();
            while !self.hosts[host].is_empty() {
                self.plan(host, 0);
                self.commit(0, false);
            }
        }
    }

    fn joined(&self) -> Joined {
        let mut joined = Joined::default();
        let hours = self.list(&aggregate::hours_prefix(ZONE));
        joined.add_zone(&hours, &self.list(&aggregate::minutes_prefix(ZONE)));
        joined
    }
}

fn lines(joined: &Joined) -> Vec<Line> {
    let mut lines = Vec::new();
    for line in joined.buckets.iter().flat_map(|it| &it.lines) {
        tally::add(&mut lines, line.clone(), usize::MAX);
    }
    lines
}

/// Whether the joined numbers are the hosts' own after a history.
fn holds(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    let mut sure = 0;
    for step in steps {
        world.step(step);
        let now = requests(&lines(&world.joined()));
        // Nothing that was in the store is lost, and nothing is counted twice.
        if now < sure || now > requests(&world.oracle) {
            return false;
        }
        sure = now;
    }
    world.settle();
    let joined = world.joined();
    let (found, counted) = (lines(&joined), requests(&world.oracle));
    let exact = world.at_risk > 0 || found == world.oracle;
    let mut costs = BTreeMap::new();
    for bucket in &joined.buckets {
        let cost: u64 = bucket.costs.iter().map(|it| it.cheap).sum();
        *costs.entry((bucket.start, bucket.minutes)).or_insert(0) += cost;
    }
    let costs = costs.into_iter().all(|((_, minutes), cost)| cost <= minutes);
    exact && costs && joined.unreadable == 0 && requests(&found) + world.at_risk >= counted
}

#[test]
fn batches_are_counted_once() {
    for seed in 1..=3 {
        let rng = Gen::from_size_and_seed(200, seed);
        let check = holds as fn(Vec<Step>) -> bool;
        QuickCheck::new().rng(rng).tests(400).quickcheck(check);
    }
}

#[test]
fn a_lost_answer_and_another_writer_count_nothing_twice() {
    let mut world = World::new();
    world.step(Step::Count { host: 0, class: 0, customer: 0, outcome: 0 });
    world.step(Step::Pass { minutes: 1 });
    // Both writers have read the empty log.
    world.step(Step::Plan { host: 0, writer: 0 });
    world.step(Step::Plan { host: 0, writer: 1 });
    world.step(Step::Commit { writer: 0, lost: true });
    world.step(Step::Commit { writer: 1, lost: false });
    world.settle();
    assert_eq!(lines(&world.joined()), world.oracle);
}

#[test]
fn an_hour_that_is_folded_and_not_deleted_counts_once() {
    let mut world = World::new();
    for _ in 0..4 {
        world.step(Step::Count { host: 0, class: 0, customer: 0, outcome: 0 });
        world.step(Step::Pass { minutes: 1 });
        world.settle();
    }
    world.step(Step::Pass { minutes: 200 });
    world.step(Step::Fold { stops: true });
    assert_eq!(lines(&world.joined()), world.oracle);
    // A batch that comes after the fold goes to the record of its hour.
    world.step(Step::Fold { stops: false });
    assert_eq!(lines(&world.joined()), world.oracle);
    assert_eq!(world.store.len(), 1);
}

#[test]
fn lines_and_batches_are_bounded() {
    let mut tally = Tally::new("host", 1);
    for customer in 0..MAX_LINES as u64 + 88 {
        let customer = format!("customer{customer:04}");
        let ended = Ended { customer, ..ended(0, 0, 0) };
        tally.count(1, ended, None);
    }
    tally.cut();
    let batch = tally.waiting(1).remove(0);
    let other: Vec<_> = batch.lines.iter().filter(|it| it.customer == OTHER).collect();
    assert_eq!((batch.lines.len(), other[0].counts.in_time), (MAX_LINES + 1, 88));
    for minute in 2..MAX_BATCHES as u64 + 12 {
        tally.count(minute, ended(0, 0, 0), None);
    }
    tally.cut();
    assert_eq!((tally.len(), tally.given_up()), (MAX_BATCHES, 11));
}

#[test]
fn each_ending_counts_as_it_should() {
    let mut text = String::new();
    let outcomes = [Outcome::Whole, Outcome::Abandoned].into_iter();
    for outcome in outcomes.chain(Kind::ALL.map(Outcome::Failed)) {
        for late in [false, true] {
            let mut tally = Tally::new("host", 1);
            let in_time = outcome == Outcome::Whole && !late;
            tally.count(1, Ended { outcome, in_time, late, ..ended(0, 0, 0) }, Some(true));
            tally.cut();
            let counts = &tally.waiting(1)[0].lines[0].counts;
            let effect = match (counts.in_time, counts.missed(), counts.counted()) {
                (1, 0, 1) => "in time",
                (0, 1, 1) => "missed",
                (0, 0, 0) => "not counted",
                _ => "wrong",
            };
            let when = if late { "late" } else { "early" };
            text.push_str(&format!("{} {when}: {effect}\n", outcome.as_str()));
        }
    }
    expect![[r#"
        ok early: in time
        ok late: missed
        abandoned early: not counted
        abandoned late: missed
        bad_request early: not counted
        bad_request late: not counted
        body_too_large early: not counted
        body_too_large late: not counted
        head_too_large early: not counted
        head_too_large late: not counted
        read_timeout early: not counted
        read_timeout late: not counted
        missing_key early: not counted
        missing_key late: not counted
        invalid_key early: not counted
        invalid_key late: not counted
        forbidden early: not counted
        forbidden late: not counted
        unknown_model early: not counted
        unknown_model late: not counted
        unknown_path early: not counted
        unknown_path late: not counted
        method_not_allowed early: not counted
        method_not_allowed late: not counted
        request_limit early: not counted
        request_limit late: not counted
        token_limit early: not counted
        token_limit late: not counted
        concurrency_limit early: not counted
        concurrency_limit late: not counted
        shed early: missed
        shed late: missed
        deadline_unmeetable early: missed
        deadline_unmeetable late: missed
        queue_timeout early: missed
        queue_timeout late: missed
        preempted early: missed
        preempted late: missed
        quarantined early: not counted
        quarantined late: not counted
        retry_budget early: missed
        retry_budget late: missed
        draining early: missed
        draining late: missed
        no_dispatcher early: missed
        no_dispatcher late: missed
        no_upstream early: missed
        no_upstream late: missed
        upstream_connect early: missed
        upstream_connect late: missed
        upstream_cut early: missed
        upstream_cut late: missed
        upstream_invalid early: missed
        upstream_invalid late: missed
        upstream_timeout early: missed
        upstream_timeout late: missed
        store_unavailable early: missed
        store_unavailable late: missed
        idempotency_conflict early: not counted
        idempotency_conflict late: not counted
        revision_conflict early: not counted
        revision_conflict late: not counted
        invalid_record early: not counted
        invalid_record late: not counted
        not_found early: not counted
        not_found late: not counted
        internal early: missed
        internal late: missed
    "#]]
    .assert_eq(&text);
}

fn class(name: &str, attainment_per_mille: u32) -> Class {
    Class {
        schema: 2,
        name: name.to_owned(),
        tier: 1,
        first_token_ms: 610,
        token_gap_ms: 34,
        attainment_per_mille,
        floor_per_mille: 20,
        max_wait_ms: 5_000,
    }
}

fn line(class: &str, customer: &str, in_time: u64, late: u64, shed: u64, cheap: u64) -> Line {
    let refused = if shed > 0 { vec![(Kind::Shed, shed)] } else { Vec::new() };
    let placed = in_time + late;
    let tokens = 20 * placed;
    let counts = Counts { in_time, late, tokens, cheap, placed, refused, ..Counts::default() };
    Line { class: class.to_owned(), customer: customer.to_owned(), counts }
}

/// A report over two days with a bad spell in the last minutes.
fn report() -> Report {
    let now = START / HOUR * HOUR + 30;
    let costs = vec![Cost { pool: "engines".to_owned(), cheap: 10_000, other: 50_000 }];
    let bucket = |start, minutes, lines| Bucket { start, minutes, lines, costs: costs.clone() };
    let buckets = [
        bucket(now - 3 * HOUR - 30, HOUR, vec![line("bench", "hutch", 5_000, 20, 0, 1_000)]),
        bucket(
            now - 20,
            1,
            vec![line("bench", "hutch", 100, 0, 0, 20), line("draft", "", 50, 0, 0, 50)],
        ),
        bucket(
            now - 3,
            1,
            vec![line("bench", "breeder", 4, 4, 2, 0), line("bench", "hutch", 95, 5, 0, 10)],
        ),
        // Older than every window, and not over yet.
        bucket(now - 60 * HOUR, HOUR, vec![line("bench", "hutch", 0, 9_999, 0, 0)]),
        bucket(now, 1, vec![line("bench", "hutch", 0, 9_999, 0, 0)]),
    ];
    Report::new(&buckets, 1, &[class("bench", 990), class("draft", 900)], now * MINUTE_MS + 20_000)
}

#[test]
fn a_report_as_a_table() {
    expect![[r#"
        until 1740000600000 ms

        CLASSES
        CLASS  CUSTOMER  OBJECTIVE  ATTAINED 1H  BURN 5M  BURN 1H  BURN 6H  BUDGET SPENT  REQUESTS  LATE  MISSED  CHEAP
        bench  (all)     99.0%      94.8%        10.00    5.24     0.59     59.3%         5230      29    31      19.7%
        draft  (all)     90.0%      100.0%       -        0.00     0.00     0.0%          50        0     0       100.0%

        CUSTOMERS, THE WORST SERVED FIRST
        CLASS  CUSTOMER  OBJECTIVE  ATTAINED 1H  BURN 5M  BURN 1H  BURN 6H  BUDGET SPENT  REQUESTS  LATE  MISSED  CHEAP
        bench  breeder   99.0%      40.0%        60.00    60.00    60.00    6000.0%       10        4     6       0.0%
        bench  hutch     99.0%      97.5%        5.00     2.50     0.48     47.9%         5220      25    25      19.7%
        draft  (open)    90.0%      100.0%       -        0.00     0.00     0.0%          50        0     0       100.0%

        COST AGAINST SERVICE
        WINDOW  COST  CHEAP  PER 1000 IN TIME  PER 1M TOKENS  WORK ON CHEAP
        5m      0.06  0.01   0.61              27.78          9.3%
        1h      0.12  0.02   0.48              23.26          31.0%
        6h      0.18  0.03   0.03              1.71           20.5%
        24h     0.18  0.03   0.03              1.71           20.5%

        REFUSED AND FAILED IN 24H
        bench  shed  2

        1 records could not be read
    "#]].assert_eq(&report().to_table());
}

#[test]
fn a_report_as_json() {
    let text = serde_json::to_string_pretty(&report()).unwrap();
    expect_file!["snapshots/burn.json"].assert_eq(&text);
    assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report());
}

#[test]
fn a_report_as_a_page() {
    let html = page::render(&report());
    expect_file!["snapshots/burn.html"].assert_eq(&html);
    assert!(!html.contains("<script") && !html.contains("http"), "nothing comes from outside");
}

#[test]
fn names_on_the_page_are_text() {
    let batch_line = line("<b>", "\"&<script>", 1, 1, 0, 0);
    let bucket = Bucket { start: START, minutes: 1, lines: vec![batch_line], costs: Vec::new() };
    let report = Report::new(&[bucket], 0, &[], (START + 2) * MINUTE_MS);
    let html = page::render(&report);
    assert!(!html.contains("<script") && html.contains("&quot;&amp;&lt;script&gt;"), "{html}");
}

#[test]
fn records_of_another_schema_are_not_guessed() {
    let entry = |value: &str| Entry {
        key: format!("{}0000", aggregate::log_prefix(ZONE, START)),
        version: 1,
        value: Some(value.to_owned()),
    };
    let batch = Batch {
        id: Id { host: "host".to_owned(), incarnation: 1, sequence: 0 },
        minute: START,
        lines: vec![line("bench", "hutch", 1, 0, 0, 0)],
    };
    for value in ["", "{}", "[]", r#"{"schema":2,"parts":[],"lines":[],"costed":0,"costs":[]}"#] {
        let log = [entry(value)];
        let appended = aggregate::append(ZONE, START, &log, std::slice::from_ref(&batch), &[]);
        assert!(appended.is_err(), "{value}");
        let mut joined = Joined::default();
        joined.add_zone(&[], &log);
        assert_eq!((joined.buckets.len(), joined.unreadable), (0, 1), "{value}");
    }
}
