//! Usage from the ledger to the sealed windows, with lost, late and repeated messages, killed hosts and two reporters.

use std::collections::{BTreeMap, BTreeSet};

use almondrack::{
    collector::{Answer, Collector, Record, Write},
    ledger::{self, Batch, Errand, Ledger, Outbox, Served},
    time::Time,
    window::{Draft, Terms, Window},
    wire::Copy,
};
use expect_test::expect;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEED: u64 = 43;
const HOSTS: usize = 3;
const TERMS: Terms = Terms { window_ms: 1_000, retained: 100_000 };

/// What becomes of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Arrives,
    /// It never arrives.
    Lost,
    /// It takes effect, and the answer is lost.
    Unanswered,
    /// It takes effect later, and the answer is lost.
    Late,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A host delivers an answer.
    Serve(usize),
    /// A host cuts a batch.
    Cut(usize),
    /// A host hands its batches to another one, or asks for them.
    Hand(usize, usize, Fate),
    /// A host writes what it collected.
    Write(usize, Fate),
    /// A host has no peer and collects its own batches.
    Keep(usize),
    /// A host is killed and comes back as a new incarnation.
    Kill(usize),
    /// A reporter seals the next window from what it knows.
    Seal(usize, Fate),
    /// A reporter reads the newest window again.
    Refresh(usize),
    /// A reporter removes what the last window counted.
    Sweep(usize),
    /// A late write arrives.
    Deliver(usize),
    /// Time passes.
    Pass(u8),
    /// The wall clock of a host jumps.
    Step(usize, i8),
}

impl Arbitrary for Fate {
    fn arbitrary(g: &mut Gen) -> Fate {
        match u8::arbitrary(g) % 8 {
            0 => Fate::Lost,
            1 => Fate::Unanswered,
            2 => Fate::Late,
            _ => Fate::Arrives,
        }
    }
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        let host = usize::arbitrary(g) % HOSTS;
        let other = (host + 1 + usize::arbitrary(g) % (HOSTS - 1)) % HOSTS;
        let fate = Fate::arbitrary(g);
        match u8::arbitrary(g) % 64 {
            32..=50 => Event::Serve(host),
            51..=55 => Event::Hand(host, other, fate),
            56..=58 => Event::Cut(host),
            0..=5 => Event::Serve(host),
            6..=8 => Event::Cut(host),
            9..=14 => Event::Hand(host, other, fate),
            15..=18 => Event::Write(host, fate),
            19 => Event::Keep(host),
            20 => Event::Kill(host),
            21..=23 => Event::Seal(host % 2, fate),
            24 => Event::Refresh(host % 2),
            25..=26 => Event::Sweep(host % 2),
            27 => Event::Deliver(usize::arbitrary(g)),
            28 => Event::Step(host, i8::arbitrary(g) % 20),
            _ => Event::Pass(u8::arbitrary(g) % 100),
        }
    }
}

#[derive(Debug)]
struct Host {
    name: String,
    incarnation: u64,
    ledger: Ledger,
    /// Units in the ledger.
    open: Vec<String>,
    outbox: Outbox,
    collector: Collector,
    error: i64,
}

impl Host {
    fn new(index: usize, incarnation: u64) -> Host {
        let name = format!("h{index}");
        Host {
            ledger: Ledger::new(&name, incarnation),
            name,
            incarnation,
            open: Vec::new(),
            outbox: Outbox::default(),
            collector: Collector::default(),
            error: 0,
        }
    }

    fn hold(&mut self, copy: &Copy) -> bool {
        if copy.content.is_empty() {
            return self.collector.find(&ledger::id_of(copy)) == Answer::Written;
        }
        let batch = Batch::from_copy(copy);
        batch.is_some_and(|it| self.collector.hold(it, copy.content.len()))
    }
}

#[derive(Debug)]
struct World {
    now_ms: u64,
    hosts: Vec<Host>,
    store: BTreeMap<String, Vec<u8>>,
    late: Vec<(String, Vec<u8>)>,
    /// The newest window as each reporter knows it.
    reporters: [Option<Window>; 2],
    reported: BTreeMap<u64, Vec<u8>>,
    served: u64,
    /// Host and incarnation that delivered each unit.
    origins: Vec<(usize, u64)>,
    gone: BTreeSet<String>,
    faults: Vec<String>,
    merged: u64,
    repeated: u64,
}

impl World {
    fn new() -> World {
        World {
            now_ms: 1_000_000,
            hosts: (0..HOSTS).map(|it| Host::new(it, 1)).collect(),
            store: BTreeMap::new(),
            late: Vec::new(),
            reporters: [None, None],
            reported: BTreeMap::new(),
            served: 0,
            origins: Vec::new(),
            gone: BTreeSet::new(),
            faults: Vec::new(),
            merged: 0,
            repeated: 0,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Serve(host) => self.serve(host),
            Event::Cut(host) => self.cut(host),
            Event::Hand(host, to, fate) => self.hand(host, to, fate),
            Event::Write(host, fate) => self.write(host, fate),
            Event::Keep(host) => {
                let copies: Vec<_> =
                    self.hosts[host].outbox.batches().map(Batch::to_copy).collect();
                for copy in &copies {
                    self.hosts[host].hold(copy);
                }
            }
            Event::Kill(host) => self.kill(host),
            Event::Seal(reporter, fate) => self.seal(reporter, fate),
            Event::Refresh(reporter) => self.refresh(reporter),
            Event::Sweep(reporter) => self.sweep(reporter),
            Event::Deliver(which) => {
                if !self.late.is_empty() {
                    let (key, content) = self.late.swap_remove(which % self.late.len());
                    self.store.entry(key).or_insert(content);
                }
            }
            Event::Pass(steps) => self.now_ms += 10 * u64::from(steps),
            Event::Step(host, seconds) => self.hosts[host].error = i64::from(seconds) * 1_000,
        }
    }

    fn serve(&mut self, host: usize) {
        let customer = format!("u{}", self.served);
        self.served += 1;
        self.origins.push((host, self.hosts[host].incarnation));
        self.hosts[host].open.push(customer.clone());
        self.hosts[host].ledger.count(Served {
            customer,
            route: "r".to_owned(),
            model: "m".to_owned(),
            prompt_tokens: 7,
            generated_tokens: 11,
            cut: false,
        });
    }

    fn cut(&mut self, host: usize) {
        let it = &mut self.hosts[host];
        let wall_ms = (self.now_ms as i64 + it.error).max(0) as u64;
        if let Some(batch) = it.ledger.cut(wall_ms) {
            it.open.clear();
            it.outbox.push(batch);
        }
    }

    fn hand(&mut self, host: usize, to: usize, fate: Fate) {
        let now = Time(self.now_ms * 1_000);
        let name = self.hosts[to].name.clone();
        for errand in self.hosts[host].outbox.errands(now, &name, 4) {
            let (copy, is_question) = match errand {
                Errand::Hand(copy) => (copy, false),
                Errand::Ask(copy) => (copy, true),
            };
            let answer = (fate != Fate::Lost).then(|| self.hosts[to].hold(&copy));
            let outbox = &mut self.hosts[host].outbox;
            match (answer, fate, is_question) {
                (Some(true), Fate::Arrives, false) => outbox.held(now, copy.sequence, &name),
                (Some(true), Fate::Arrives, true) => outbox.written(copy.sequence),
                _ => {}
            }
        }
    }

    /// Puts a value unless the key exists; `None` if the answer is lost.
    fn put(&mut self, key: &str, content: &[u8], fate: Fate) -> Option<bool> {
        match fate {
            Fate::Lost => return None,
            Fate::Late => {
                self.late.push((key.to_owned(), content.to_vec()));
                return None;
            }
            Fate::Arrives | Fate::Unanswered => {}
        }
        let is_new = !self.store.contains_key(key);
        self.store.entry(key.to_owned()).or_insert_with(|| content.to_vec());
        (fate == Fate::Arrives).then_some(is_new)
    }

    fn write(&mut self, host: usize, fate: Fate) {
        let it = &mut self.hosts[host];
        let prefix = format!("usage/merged/{}/{}", it.name, it.incarnation);
        let Some(Write { sequence, content }) = it.collector.write() else { return };
        let key = format!("{prefix}/{sequence}");
        if self.put(&key, &content, fate).is_none() {
            return;
        }
        if self.store[&key] != content {
            self.faults.push(format!("{key} has other content"));
        }
        self.merged += 1;
        let name = self.hosts[host].name.clone();
        for id in self.hosts[host].collector.written(sequence) {
            if id.host == name {
                self.hosts[host].outbox.written(id.sequence);
            }
        }
    }

    /// Units that some place still has.
    fn present(&self) -> BTreeSet<String> {
        let mut units = BTreeSet::new();
        let mut take = |batch: &Batch| {
            units.extend(batch.lines.iter().map(|it| it.customer.clone()));
        };
        for host in &self.hosts {
            host.outbox.batches().for_each(&mut take);
        }
        let stored = self.store.iter();
        let late = self.late.iter().map(|(key, content)| (key, content));
        for (_, content) in stored.chain(late) {
            Record::decode(content).iter().flat_map(|it| &it.batches).for_each(&mut take);
        }
        for window in self.store.values().filter_map(|it| Window::decode(it)) {
            units.extend(window.totals.iter().map(|it| it.customer.clone()));
        }
        for host in &self.hosts {
            units.extend(host.open.iter().cloned());
        }
        units
    }

    /// A host and its memory go. What its collector held is still in the outboxes of the hosts that are alive.
    fn kill(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation + 1;
        let held_elsewhere = self.held_by_others(host);
        self.hosts[host] = Host::new(host, incarnation);
        let mut present = self.present();
        present.extend(held_elsewhere);
        for (unit, (origin, incarnation)) in self.origins.iter().enumerate() {
            let name = format!("u{unit}");
            if present.contains(&name) {
                continue;
            }
            if self.hosts[*origin].incarnation == *incarnation {
                self.faults.push(format!("{name} was lost although its host lives"));
            }
            self.gone.insert(name);
        }
    }

    /// Units in the memory of the other hosts' collectors.
    fn held_by_others(&self, host: usize) -> BTreeSet<String> {
        let mut units = BTreeSet::new();
        for (index, other) in self.hosts.iter().enumerate() {
            if index != host {
                units.extend(format!("{:?}", other.collector).split('"').map(str::to_owned));
            }
        }
        units
    }

    fn newest(&self) -> Option<(u64, Window)> {
        let (key, content) = self.store.range("usage/window/".to_owned()..).next_back()?;
        let number = key.strip_prefix("usage/window/")?.parse().ok()?;
        Some((number, Window::decode(content)?))
    }

    fn refresh(&mut self, reporter: usize) {
        self.reporters[reporter] = self.newest().map(|it| it.1);
    }

    fn seal(&mut self, reporter: usize, fate: Fate) {
        let known = self.reporters[reporter].clone();
        let first = 900;
        let window = known.as_ref().map_or(first, |it| it.window + 1);
        if self.now_ms < (window + 1) * TERMS.window_ms {
            return;
        }
        let mut draft = Draft::new(TERMS, known.as_ref(), first, self.now_ms);
        for content in self.store.iter().filter(|it| it.0.starts_with("usage/merged")) {
            let record = Record::decode(content.1).expect("written whole");
            record.batches.iter().for_each(|it| draft.count(it));
        }
        let content = draft.seal().encode();
        let key = format!("usage/window/{window:012}");
        if self.put(&key, &content, fate).is_none() && fate == Fate::Late {
            return;
        }
        // Whatever stands in the store is the window.
        if let Some(stored) = self.store.get(&key).cloned() {
            self.reporters[reporter] = Window::decode(&stored);
            let before = self.reported.entry(window).or_insert_with(|| stored.clone());
            if *before != stored {
                self.faults.push(format!("window {window} has two contents"));
            }
        }
    }

    fn sweep(&mut self, reporter: usize) {
        let Some(window) = &self.reporters[reporter] else { return };
        let is_counted = |content: &[u8]| {
            let record = Record::decode(content);
            record.is_some_and(|it| it.batches.iter().all(|it| window.contains(it)))
        };
        let before = self.store.len();
        self.store.retain(|key, content| !key.starts_with("usage/merged") || !is_counted(content));
        self.repeated += (before - self.store.len()) as u64;
    }

    /// Everything alive reaches the store and is sealed.
    fn settle(&mut self) {
        while !self.late.is_empty() {
            self.handle(Event::Deliver(0));
        }
        for host in 0..HOSTS {
            self.cut(host);
            self.handle(Event::Keep(host));
            while !self.hosts[host].collector.is_empty() {
                self.write(host, Fate::Arrives);
            }
            if !self.hosts[host].outbox.is_empty() {
                self.faults.push("a host has batches after it has written them".to_owned());
            }
        }
        self.refresh(0);
        // A host's clock may be up to 19 s ahead, and so is the window of its batches.
        let end = self.now_ms + 22_000;
        while self.reporters[0].as_ref().is_none_or(|it| (it.window + 1) * 1_000 < end) {
            self.now_ms = end + 2_000;
            self.seal(0, Fate::Arrives);
            self.sweep(0);
        }
    }

    fn check(&mut self) {
        let mut counted: BTreeMap<String, u64> = BTreeMap::new();
        for window in self.store.values().filter_map(|it| Window::decode(it)) {
            for line in window.totals {
                let units = line.requests;
                if (line.prompt_tokens, line.generated_tokens) != (7 * units, 11 * units) {
                    self.faults.push(format!("{} has other figures", line.customer));
                }
                *counted.entry(line.customer).or_default() += units;
            }
        }
        for unit in 0..self.served {
            let name = format!("u{unit}");
            match counted.get(&name) {
                Some(1) => {}
                None if self.gone.contains(&name) => {}
                None => self.faults.push(format!("{name} was lost")),
                Some(count) => {
                    self.faults.push(format!("{name} was counted {count} times, twice or more"))
                }
            }
        }
    }
}

fn run(script: &[Event]) -> World {
    let mut world = World::new();
    for event in script {
        world.handle(*event);
    }
    world.settle();
    world.check();
    world
}

#[test]
fn every_delivered_unit_is_counted_once() {
    fn holds(script: Vec<Event>) -> bool {
        let world = run(&script);
        if let Some(fault) = world.faults.first() {
            eprintln!("fault: {fault}");
        }
        world.faults.is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(250)
        .quickcheck(holds as fn(Vec<Event>) -> bool);
}

#[test]
fn fuzzed_histories_reach_what_they_check() {
    let mut g = Gen::from_size_and_seed(400, SEED);
    let mut sums = [0; 5];
    for _ in 0..100 {
        let world = run(&Vec::arbitrary(&mut g));
        let figures = [
            world.served,
            world.gone.len() as u64,
            world.merged,
            world.repeated,
            world.reported.len() as u64,
        ];
        sums.iter_mut().zip(figures).for_each(|(sum, it)| *sum += it);
    }
    let [served, gone, merged, removed, windows] = sums;
    expect!["8138 units, 2234 gone with their hosts, 669 records, 692 removed, 13477 windows"].assert_eq(&format!(
        "{served} units, {gone} gone with their hosts, {merged} records, {removed} removed, {windows} windows"
    ));
}

fn served(customer: &str, generated_tokens: u64, cut: bool) -> Served {
    Served {
        customer: customer.to_owned(),
        route: "chat".to_owned(),
        model: "m1".to_owned(),
        prompt_tokens: 100,
        generated_tokens,
        cut,
    }
}

#[test]
fn batch_and_window_as_stored() {
    let mut ledger = Ledger::new("h1", 5);
    ledger.count(served("tuul", 10, false));
    ledger.count(served("kurzeme", 20, false));
    ledger.count(served("tuul", 3, true));
    let batch = ledger.cut(1_000_500).expect("counted");
    let mut draft = Draft::new(TERMS, None, 1_000, 1_002_000);
    draft.count(&batch);
    draft.count(&batch);
    let window = draft.seal();
    let copy = String::from_utf8(batch.to_copy().content).expect("text");
    let stored = String::from_utf8(window.encode()).expect("text");
    expect![[r#"
        {"schema":1,"host":"h1","incarnation":5,"sequence":0,"cut_ms":1000500,"lines":[["kurzeme","chat","m1",1,100,20,0],["tuul","chat","m1",2,200,13,1]]}
        {"schema":1,"window":1000,"totals":[["kurzeme","chat","m1",1,100,20,0],["tuul","chat","m1",2,200,13,1]],"counted":[{"host":"h1","incarnation":5,"below":1,"beyond":[],"window":1000}]}"#]].assert_eq(&format!("{copy}\n{stored}"));
}

#[test]
fn batch_goes_to_the_window_of_its_cut_or_to_a_later_one() {
    // Window 1000 is counted while window 1002 is open.
    let cases = [
        (0, 999_500, "of an earlier window"),
        (1, 1_000_500, "of this window"),
        (2, 1_001_500, "of the next window"),
        (3, 1_002_500, "of the open window"),
        (4, 9_999_999, "of a clock that is ahead"),
    ];
    let mut lines = Vec::new();
    for (incarnation, cut_ms, name) in cases {
        let mut ledger = Ledger::new("h1", incarnation);
        ledger.count(served("tuul", 10, false));
        let batch = ledger.cut(cut_ms).expect("counted");
        let mut draft = Draft::new(TERMS, None, 1_000, 1_002_900);
        draft.count(&batch);
        lines.push(format!("{name}: {}", draft.seal().contains(&batch)));
    }
    expect![[r#"
        of an earlier window: true
        of this window: true
        of the next window: false
        of the open window: false
        of a clock that is ahead: true"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn batches_that_are_not_whole_are_refused() {
    let mut ledger = Ledger::new("h1", 5);
    ledger.count(served("tuul", 10, false));
    let copy = ledger.cut(1_000_500).expect("counted").to_copy();
    let mut half = copy.clone();
    half.content.truncate(40);
    let other_name = Copy { sequence: 9, ..copy.clone() };
    let text = String::from_utf8(copy.content.clone()).expect("text");
    let other_schema =
        Copy { content: text.replace("\"schema\":1", "\"schema\":9").into_bytes(), ..copy.clone() };
    let unknown_field =
        Copy { content: text.replace("\"cut_ms\"", "\"cut_at\"").into_bytes(), ..copy.clone() };
    let read = [copy, half, other_name, other_schema, unknown_field]
        .map(|it| Batch::from_copy(&it).is_some());
    expect!["[true, false, false, false, false]"].assert_eq(&format!("{read:?}"));
}

#[test]
fn records_stay_below_the_largest_value() {
    let mut collector = Collector::default();
    for sequence in 0..40 {
        let mut ledger = Ledger::new("h1", sequence);
        (0..1_000).for_each(|it| ledger.count(served(&format!("customer-{it}"), 1, false)));
        let batch = ledger.cut(1_000).expect("counted");
        let bytes = batch.to_copy().content.len();
        assert!(collector.hold(batch, bytes));
    }
    let mut sizes = Vec::new();
    while let Some(write) = collector.write() {
        let batches = collector.written(write.sequence).len();
        sizes.push(format!("{batches} batches below 1 MiB: {}", write.content.len() < 1 << 20));
    }
    sizes.dedup();
    expect![[r#"
        23 batches below 1 MiB: true
        17 batches below 1 MiB: true"#]]
    .assert_eq(&sizes.join("\n"));
}
