//! The configuration core against a simple oracle, and the reading of records.

use std::collections::{BTreeMap, BTreeSet};

use almondrack::{
    change::{self, Refusal, Set},
    content::{Content, Pages},
    credential::Digest,
    platform::Entry,
    record::{Record, Target},
    schema, wire,
};
use expect_test::expect;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const CUSTOMER: &str = r#"{"schema":2,"kind":"customer","name":"bakery"}"#;
const CLASS: &str = r#"{"schema":2,"kind":"class","name":"fast","tier":1,"first_token_ms":600,"token_gap_ms":34,"max_wait_ms":500}"#;
const POOL: &str = r#"{"schema":2,"kind":"pool","name":"large","protocol":"engine","models":["m0","m1"],"slots":8,"max_per_zone":4}"#;
const ROUTE: &str = r#"{"schema":2,"kind":"route","name":"chat","target":{"model":"m0"},"pool":"large","class":"fast"}"#;

fn quickcheck(tests: u64, seed: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, seed)).tests(tests).max_tests(tests * 2)
}

fn key(name: &str, customer: &str, secret: &str, withdrawn: bool) -> String {
    let digest = Digest::of(secret).to_hex();
    format!(
        r#"{{"schema":2,"kind":"key","name":"{name}","customer":"{customer}","role":"caller","digest":"{digest}","withdrawn":{withdrawn}}}"#
    )
}

/// Store keys that the fuzzing writes to.
const KEYS: [&str; 9] = [
    "config/class/fast",
    "config/customer/a",
    "config/customer/b",
    "config/key/x",
    "config/key/y",
    "config/pool/large",
    "config/route/chat",
    "config/route/draft",
    "config/route/talk",
];

/// A text for a store key; one of four is not valid by itself.
fn text(key_index: usize, variant: u8) -> String {
    let (_, id) = KEYS[key_index].split_once('/').unwrap();
    let (kind, name) = id.split_once('/').unwrap();
    let odd = variant % 2;
    match (variant % 8, kind) {
        (0, _) => format!(r#"{{"schema":9,"kind":"{kind}","name":"{name}"}}"#),
        (1, _) => "%%".to_owned(),
        (_, "class") => {
            let tier = variant % 3 + 1;
            CLASS.replace("\"tier\":1", &format!("\"tier\":{tier}"))
        }
        (_, "customer") => {
            format!(
                r#"{{"schema":2,"kind":"customer","name":"{name}","weight":{}}}"#,
                variant / 2 + 1
            )
        }
        (_, "key") => {
            let customer = if odd == 0 { "a" } else { "b" };
            key(
                name,
                customer,
                &format!("secret{}", variant / 8 % 3),
                (variant / 32).is_multiple_of(4),
            )
        }
        (_, "pool") => POOL.replace("\"slots\":8", &format!("\"slots\":{}", variant / 2 + 1)),
        _ => ROUTE
            .replace("chat", name)
            .replace("{\"model\":\"m0\"}", &format!("{{\"model\":\"m{odd}\"}}")),
    }
}

#[derive(Debug, Clone, Copy)]
enum Op {
    Write {
        key: u8,
        variant: u8,
    },
    Delete {
        key: u8,
    },
    /// The store answers a wait for changes; the answer may be late.
    Changes {
        host: u8,
        after: u8,
        upto: u8,
    },
    /// The store answers a listing of any revision so far.
    Listing {
        host: u8,
        revision: u8,
    },
    /// An earlier message arrives again.
    Again {
        host: u8,
        message: u8,
    },
    /// One host asks another.
    Ask {
        host: u8,
        peer: u8,
    },
    /// The store claims that old entries are new.
    Lie {
        host: u8,
        revision: u8,
    },
    /// A host starts anew and knows nothing.
    Restart {
        host: u8,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let (a, b, c) = (u8::arbitrary(g), u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 20 {
            0..=7 => Op::Write { key: a, variant: b },
            8 => Op::Delete { key: a },
            9..=12 => Op::Changes { host: a, after: b, upto: c },
            13..=14 => Op::Listing { host: a, revision: b },
            15 => Op::Again { host: a, message: b },
            16..=17 => Op::Ask { host: a, peer: b },
            18 => Op::Lie { host: a, revision: b },
            _ => Op::Restart { host: a },
        }
    }
}

type State = BTreeMap<String, (u64, String)>;

/// The store: its state at each revision, and which keys each revision changed.
struct Oracle {
    states: Vec<State>,
    changed: Vec<String>,
}

impl Oracle {
    fn new() -> Oracle {
        Oracle { states: vec![State::new()], changed: vec![String::new()] }
    }

    fn revision(&self) -> u64 {
        self.states.len() as u64 - 1
    }

    fn change(&mut self, key: &str, text: Option<String>) {
        let mut state = self.states.last().unwrap().clone();
        let revision = self.revision() + 1;
        match text {
            Some(text) => state.insert(key.to_owned(), (revision, text)),
            None => state.remove(key),
        };
        self.states.push(state);
        self.changed.push(key.to_owned());
    }

    fn listing(&self, revision: u64) -> wire::Snapshot {
        let entry = |(key, (version, text)): (&String, &(u64, String))| Entry {
            key: key.clone(),
            version: *version,
            value: Some(text.clone()),
        };
        let entries = self.states[revision as usize].iter().map(entry).collect();
        wire::Snapshot { after: 0, revision, entries }
    }

    fn changes(&self, after: u64, upto: u64) -> wire::Snapshot {
        let state = &self.states[upto as usize];
        let keys: BTreeSet<_> = self.changed[after as usize + 1..=upto as usize].iter().collect();
        let last = |key: &String| self.changed[..=upto as usize].iter().rposition(|it| it == key);
        let entry = |key: &String| {
            let found = state.get(key);
            let version = found.map_or_else(|| last(key).unwrap() as u64, |it| it.0);
            Entry { key: key.clone(), version, value: found.map(|it| it.1.clone()) }
        };
        wire::Snapshot { after, revision: upto, entries: keys.into_iter().map(entry).collect() }
    }
}

/// Store keys of a state whose newest text cannot be in force, found without the core.
fn faulty(state: &State) -> BTreeSet<String> {
    let parsed: BTreeMap<_, _> = state
        .iter()
        .filter_map(|(key, (version, text))| {
            let parsed = schema::parse_at(key, text.as_bytes()).ok()?;
            Some((key.clone(), (*version, parsed.record)))
        })
        .collect();
    let mut faulty: BTreeSet<_> =
        state.keys().filter(|it| !parsed.contains_key(*it)).cloned().collect();
    let known = |kind: &str, name: &str| parsed.contains_key(&format!("config/{kind}/{name}"));
    for (key, (version, record)) in &parsed {
        let bad = match record {
            Record::Key(it) => {
                !it.customer.as_ref().is_some_and(|name| known("customer", name))
                    || parsed.values().any(|(other, record)| {
                        matches!(record, Record::Key(other_key) if other_key.digest == it.digest)
                            && other < version
                    })
            }
            Record::Route(it) => {
                !known("pool", &it.pool)
                    || !known("class", &it.class)
                    || parsed.values().any(|(other, record)| {
                        matches!(record, Record::Route(route) if route.target == it.target)
                            && other < version
                    })
            }
            Record::Customer(_) | Record::Class(_) | Record::Pool(_) => false,
        };
        if bad {
            faulty.insert(key.clone());
        }
    }
    faulty
}

/// One host and what it must not go back on.
#[derive(Default)]
struct Host {
    content: Content,
    /// Largest version of each record that was in force.
    in_force: BTreeMap<String, u64>,
    /// Version of each record that is in force now.
    present: BTreeMap<String, u64>,
    /// Digests that were withdrawn in any state that the host has held.
    withdrawn: BTreeSet<Digest>,
}

impl Host {
    fn apply(&mut self, update: wire::Snapshot) -> Result<(), String> {
        let (revision, changed) = (self.content.revision(), self.content.changed());
        let _ = self.content.apply(update);
        if self.content.revision() < revision || self.content.changed() < changed {
            return Err("the revision fell".to_owned());
        }
        Ok(())
    }

    fn check(&mut self, oracle: &Oracle) -> Result<(), String> {
        let state = &oracle.states[self.content.revision() as usize];
        let held: State = self
            .content
            .records()
            .map(|it| (it.key.to_owned(), (it.version, it.text.to_owned())))
            .collect();
        if held != *state {
            return Err(format!("held {held:?}, the store had {state:?}"));
        }
        self.check_versions(state)?;
        self.check_withdrawn(state)
    }

    /// Versions in force never fall, and a valid state is in force as a whole.
    fn check_versions(&mut self, state: &State) -> Result<(), String> {
        let aside = self.content.aside();
        let mut present = BTreeMap::new();
        for stored in self.content.records() {
            let id = stored.key.strip_prefix("config/").unwrap();
            let apart = aside.iter().find(|it| it.record == id);
            let version = apart.map_or(Some(stored.version), |it| it.in_force);
            // Records that refer to no others keep their last good version.
            let before = self.present.get(stored.key).copied();
            let free =
                !stored.key.starts_with("config/key") && !stored.key.starts_with("config/route");
            if free && before.is_some() && version < before {
                return Err(format!("{id} went from version {before:?} to {version:?}"));
            }
            let Some(version) = version else { continue };
            present.insert(stored.key.to_owned(), version);
            let before = self.in_force.insert(stored.key.to_owned(), version).unwrap_or(0);
            if version < before {
                return Err(format!("{id} went from version {before} to {version}"));
            }
        }
        self.present = present;
        let withdrawn = |text: &str| {
            schema::parse(text.as_bytes()).is_ok_and(|it| {
                matches!(it.record, Record::Key(key)
                    if !key.withdrawn
                        && self.content.is_withdrawn(&Digest::parse(&key.digest).unwrap()))
            })
        };
        let faulty = faulty(state);
        let excused = |id: &str| {
            let key = format!("config/{id}");
            faulty.contains(&key) || state.get(&key).is_some_and(|it| withdrawn(&it.1))
        };
        if faulty.is_empty()
            && let Some(it) = aside.iter().find(|it| !excused(&it.record))
        {
            return Err(format!("{it:?} is set aside in a valid state"));
        }
        Ok(())
    }

    fn check_withdrawn(&mut self, state: &State) -> Result<(), String> {
        for (_, text) in state.values() {
            if let Ok(parsed) = schema::parse(text.as_bytes())
                && let Record::Key(key) = parsed.record
                && key.withdrawn
            {
                self.withdrawn.extend(Digest::parse(&key.digest));
            }
        }
        let snapshot = self.content.snapshot();
        for number in 0..3 {
            let secret = format!("secret{number}");
            let valid = snapshot.authenticate(&secret, 0).is_ok();
            if valid && self.withdrawn.contains(&Digest::of(&secret)) {
                return Err(format!("{secret} is valid after its withdrawal"));
            }
        }
        Ok(())
    }
}

fn run(ops: &[Op]) -> Result<(), String> {
    let mut oracle = Oracle::new();
    let mut hosts: [Host; 3] = Default::default();
    let mut messages: Vec<wire::Snapshot> = Vec::new();
    for op in ops {
        let newest = oracle.revision();
        let pick = |it: u8| u64::from(it) % (newest + 1);
        let sent = match *op {
            Op::Write { key, variant } => {
                let index = usize::from(key) % KEYS.len();
                oracle.change(KEYS[index], Some(text(index, variant)));
                None
            }
            Op::Delete { key } => {
                let key = KEYS[usize::from(key) % KEYS.len()];
                if oracle.states.last().unwrap().contains_key(key) {
                    oracle.change(key, None);
                }
                None
            }
            Op::Changes { host, after, upto } => {
                let upto = newest - pick(upto) / 4;
                // Mostly after the host's own revision, as a watcher asks.
                let own = hosts[usize::from(host) % 3].content.revision();
                let after = if after.is_multiple_of(4) { pick(after) } else { own };
                (after <= upto).then(|| (host, oracle.changes(after, upto)))
            }
            Op::Listing { host, revision } => Some((host, oracle.listing(pick(revision)))),
            Op::Again { host, message } => {
                let index = usize::from(message) % messages.len().max(1);
                messages.get(index).map(|it| (host, it.clone()))
            }
            Op::Ask { host, peer } => {
                let revision = hosts[usize::from(host) % 3].content.revision();
                let answer = hosts[usize::from(peer) % 3].content.newer_than(revision);
                answer.map(|it| (host, it))
            }
            Op::Lie { host, revision } => {
                lie(&mut hosts[usize::from(host) % 3], &oracle, pick(revision))?;
                None
            }
            Op::Restart { host } => {
                hosts[usize::from(host) % 3] = Host::default();
                None
            }
        };
        if let Some((host, update)) = sent {
            messages.push(update.clone());
            let host = &mut hosts[usize::from(host) % 3];
            host.apply(update)?;
            host.check(&oracle)?;
        }
    }
    for host in &mut hosts {
        host.apply(oracle.listing(oracle.revision()))?;
        host.check(&oracle)?;
        if host.content.revision() != oracle.revision() {
            return Err("the host did not converge".to_owned());
        }
    }
    Ok(())
}

/// An old state under a new revision, of which at least one record gives it away.
fn lie(host: &mut Host, oracle: &Oracle, revision: u64) -> Result<(), String> {
    let mut update = oracle.listing(revision);
    update.revision = oracle.revision() + 1;
    let older = update
        .entries
        .iter()
        .any(|it| host.content.record(&it.key).is_some_and(|stored| it.version < stored.version));
    if !older {
        return Ok(());
    }
    let before = host.content.newer_than(0);
    if host.content.apply(update).is_ok() || host.content.newer_than(0) != before {
        return Err("a listing of old entries was taken".to_owned());
    }
    Ok(())
}

#[test]
fn content_only_moves_forward() {
    fn property(ops: Vec<Op>) -> TestResult {
        match run(&ops) {
            Ok(()) => TestResult::passed(),
            Err(why) => TestResult::error(why),
        }
    }
    quickcheck(6_000, 11).quickcheck(property as fn(Vec<Op>) -> TestResult);
}

/// What a store or a peer could send at worst.
#[test]
fn arbitrary_answers_never_take_the_content_back() {
    /// After, revision, and entries of key, version and value.
    type Answer = (u8, u8, Vec<(u8, u8, Option<String>)>);
    fn property(answers: Vec<Answer>) -> bool {
        let mut host = Host::default();
        answers.into_iter().all(|(after, revision, entries)| {
            let entry = |(key, version, value): (u8, u8, Option<String>)| {
                let odd = ["config/", "config/withdrawn/00", "config/key", "config//", "x"];
                let names: Vec<_> = KEYS.iter().chain(&odd).collect();
                let key = names[usize::from(key) % names.len()].to_string();
                Entry { key, version: u64::from(version / 4), value }
            };
            let entries = entries.into_iter().map(entry).collect();
            let (after, revision) = (u64::from(after / 16), u64::from(revision));
            let forward = host.apply(wire::Snapshot { after, revision, entries }).is_ok();
            let mut peer = Content::default();
            let handed = host.content.newer_than(0).is_none_or(|it| peer.apply(it).is_ok());
            forward && handed
        })
    }
    quickcheck(4_000, 13).quickcheck(property as fn(Vec<Answer>) -> bool);
}

/// Changes between the pages of a listing do not mix its revisions.
#[test]
fn pages_become_one_revision() {
    /// Keys that are written or deleted.
    type Batch = Vec<(u8, bool)>;
    fn property(before: Batch, between: Vec<Batch>) -> bool {
        let mut oracle = Oracle::new();
        let write = |oracle: &mut Oracle, changes: &[(u8, bool)]| {
            for (key, delete) in changes {
                let index = usize::from(*key) % KEYS.len();
                let text = format!("text {}", oracle.revision());
                let present = oracle.states.last().unwrap().contains_key(KEYS[index]);
                if present || !*delete {
                    oracle.change(KEYS[index], (!*delete).then_some(text));
                }
            }
        };
        write(&mut oracle, &before);
        let mut between = between.iter();
        let mut pages = Pages::default();
        let mut after = String::new();
        loop {
            let listing = oracle.listing(oracle.revision());
            let rest = listing.entries.into_iter().filter(|it| it.key > after);
            let page: Vec<_> = rest.take(2).collect();
            let last = page.last().map(|it| it.key.clone());
            pages.add(listing.revision, page);
            let Some(last) = last else { break };
            after = last;
            write(&mut oracle, between.next().map_or(&[], Vec::as_slice));
        }
        while !pages.is_whole() && pages.after() < oracle.revision() {
            // The store may answer with a part of the changes.
            let upto = pages.after() + (oracle.revision() - pages.after()).div_ceil(2);
            let changes = oracle.changes(pages.after(), upto);
            pages.catch_up(changes.revision, changes.entries);
        }
        let Some(whole) = pages.finish() else { return false };
        whole == oracle.listing(whole.revision)
    }
    quickcheck(3_000, 12).quickcheck(property as fn(Batch, Vec<Batch>) -> bool);
}

fn listing(texts: &[&str]) -> wire::Snapshot {
    let mut version = 0;
    let mut entries: Vec<_> = texts
        .iter()
        .map(|text| {
            version += 1;
            let value: serde_json::Value = serde_json::from_str(text).unwrap();
            let (kind, name) = (value["kind"].as_str().unwrap(), value["name"].as_str().unwrap());
            Entry { key: format!("config/{kind}/{name}"), version, value: Some((*text).to_owned()) }
        })
        .collect();
    entries.sort_by(|a, b| a.key.cmp(&b.key));
    wire::Snapshot { after: 0, revision: version, entries }
}

fn content(texts: &[&str]) -> Content {
    let mut content = Content::default();
    assert_eq!(content.apply(listing(texts)), Ok(true));
    content
}

fn update(after: u64, key: &str, text: Option<&str>) -> wire::Snapshot {
    let entry = Entry { key: key.to_owned(), version: after + 1, value: text.map(str::to_owned) };
    wire::Snapshot { after, revision: after + 1, entries: vec![entry] }
}

#[test]
fn last_good_version_stays() {
    let mut host = content(&[CUSTOMER, CLASS, POOL, ROUTE]);
    host.apply(update(4, "config/class/fast", Some("{}"))).unwrap();
    host.apply(update(5, "config/route/chat", Some(&ROUTE.replace("large", "gone")))).unwrap();
    let aside = host.aside();
    let lines: Vec<_> = aside
        .iter()
        .flat_map(|it| {
            it.faults
                .iter()
                .map(move |fault| format!("{:?} instead of {}: {fault}", it.in_force, it.version))
        })
        .collect();
    expect![[r#"
        Some(2) instead of 5: class/fast: schema: found nothing; accepted: 1 to 2
        Some(2) instead of 5: class/fast: kind: found nothing; accepted: customer, key, class, route, pool
        Some(2) instead of 5: class/fast: name: found nothing; accepted: 1 to 64 of a-z 0-9 - . _
        Some(4) instead of 6: route/chat: pool: found "gone"; accepted: the name of a valid pool, else the route is unreachable"#]]
    .assert_eq(&lines.join("\n"));
    assert_eq!(host.snapshot().model("m0").map(|it| it.0), Some(0));

    // A host that starts from a peer gets the last good versions as well.
    let mut newcomer = Content::default();
    newcomer.apply(host.newer_than(0).unwrap()).unwrap();
    assert_eq!(newcomer.aside(), aside);

    // The record returns with a valid version, and goes with its deletion.
    host.apply(update(6, "config/route/chat", Some(ROUTE))).unwrap();
    assert_eq!(host.aside().len(), 1);
    host.apply(update(7, "config/route/chat", None)).unwrap();
    assert_eq!(host.snapshot().model("m0"), None);
}

#[test]
fn withdrawal_is_final() {
    let live = key("k", "bakery", "secret", false);
    let dead = key("k", "bakery", "secret", true);
    let mut host = content(&[CUSTOMER, &live]);
    assert!(host.snapshot().authenticate("secret", 0).is_ok());

    // A record that is otherwise invalid withdraws the secret in force.
    let mut other = host.clone();
    let broken = r#"{"schema":2,"kind":"key","name":"k","withdrawn":true}"#;
    other.apply(update(2, "config/key/k", Some(broken))).unwrap();
    assert!(other.snapshot().authenticate("secret", 0).is_err());

    host.apply(update(2, "config/key/k", Some(&dead))).unwrap();
    host.apply(update(3, "config/key/k", Some(&live))).unwrap();
    assert!(host.snapshot().authenticate("secret", 0).is_err());
    let copy = key("copy", "bakery", "secret", false);
    host.apply(update(4, "config/key/k", None)).unwrap();
    host.apply(update(5, "config/key/copy", Some(&copy))).unwrap();
    assert!(host.snapshot().authenticate("secret", 0).is_err());

    // A host that never saw the withdrawal hears of it from a peer, and from the digest in the store.
    let mut newcomer = Content::default();
    newcomer.apply(host.newer_than(0).unwrap()).unwrap();
    assert!(newcomer.snapshot().authenticate("secret", 0).is_err());
    let mut listed = content(&[CUSTOMER, &live]);
    let digest = format!("config/withdrawn/{}", Digest::of("secret").to_hex());
    listed.apply(update(2, &digest, Some("{}"))).unwrap();
    assert!(listed.snapshot().authenticate("secret", 0).is_err());
    listed.apply(update(3, &digest, None)).unwrap();
    assert!(listed.snapshot().authenticate("secret", 0).is_err());
}

#[test]
fn answers_that_contradict_themselves_are_refused() {
    let mut host = content(&[CUSTOMER, CLASS]);
    let entry = |key: &str, version| Entry { key: key.to_owned(), version, value: None };
    let cases = [
        ("gap", wire::Snapshot { after: 5, revision: 9, entries: Vec::new() }),
        ("before itself", wire::Snapshot { after: 9, revision: 3, entries: Vec::new() }),
        (
            "foreign key",
            wire::Snapshot { after: 2, revision: 3, entries: vec![entry("audit/x", 3)] },
        ),
        (
            "version from the future",
            wire::Snapshot { after: 2, revision: 3, entries: vec![entry("config/class/fast", 4)] },
        ),
        (
            "old entry in a new listing",
            wire::Snapshot { after: 0, revision: 9, entries: vec![entry("config/class/fast", 1)] },
        ),
    ];
    let mut lines = Vec::new();
    for (name, case) in cases {
        let refusal = host.apply(case).unwrap_err();
        lines.push(format!("{name}: {refusal}"));
    }
    expect![[r#"
        gap: the changes start after a newer revision
        before itself: the answer contradicts itself: revision 3 after 9
        foreign key: the answer contradicts itself: key "audit/x" outside of config/
        version from the future: the answer contradicts itself: config/class/fast at version 4, revision 3
        old entry in a new listing: config/class/fast stands at an older version than before"#]]
    .assert_eq(&lines.join("\n"));
    assert_eq!((host.revision(), host.records().count()), (2, 2));
}

#[test]
fn faults_name_record_and_field() {
    let cases = [
        "",
        "[1]",
        r#""ak-secret""#,
        r#"{"schema":3,"kind":"class","name":"x"}"#,
        r#"{"schema":2,"kind":"klass","name":"Upper Case"}"#,
        r#"{"schema":2,"kind":"customer","name":"a","weight":0,"concurrency":"9","token_per_minute":4}"#,
        r#"{"schema":2,"schema":2,"kind":"customer","name":"a"}"#,
        r#"{"schema":2,"kind":"key","name":"k","role":"caller","digest":"ak-secret"}"#,
        r#"{"schema":2,"kind":"key","name":"k","role":"operator","customer":"a","digest":7,"secret":"ak-secret"}"#,
        r#"{"schema":2,"kind":"class","name":"c","tier":9,"first_token_ms":0,"token_gap_ms":1.5}"#,
        r#"{"schema":1,"kind":"class","name":"c","tier":1,"priority":"urgent","first_token_ms":1,"token_gap_ms":1,"max_wait_ms":1}"#,
        r#"{"schema":2,"kind":"route","name":"r","target":{"path":"/x"},"class":"c","open":true,"customers":["a","a","B"]}"#,
        r#"{"schema":2,"kind":"route","name":"r","target":{"prefix":"/v1/completions"},"pool":"p","class":"c","timeout_ms":-1}"#,
        r#"{"schema":1,"kind":"route","name":"r","model":"m","path":"/x","pool":"p","class":"c"}"#,
        r#"{"schema":2,"kind":"pool","name":"p","protocol":"plain","models":["m"],"slots":1,"min_per_zone":3,"max_per_zone":2}"#,
    ];
    let mut lines = Vec::new();
    for case in cases {
        for fault in schema::parse(case.as_bytes()).unwrap_err() {
            lines.push(fault.to_string());
        }
    }
    assert!(!lines.iter().any(|it| it.contains("ak-secret")));
    expect![[r#"
        record: found text that is not a JSON object (EOF while parsing a value at line 1 column 0); accepted: a JSON object with schema, kind and name
        record: found text that is not a JSON object (invalid type: sequence, expected an object at line 1 column 1); accepted: a JSON object with schema, kind and name
        record: found text that is not a JSON object (a text at line 1 column 11); accepted: a JSON object with schema, kind and name
        class/x: schema: found 3; accepted: 1 to 2
        record/: kind: found "klass"; accepted: customer, key, class, route, pool
        record/: name: found "Upper Case"; accepted: 1 to 64 of a-z 0-9 - . _
        customer/a: weight: found 0; accepted: a whole number from 1 to 1000
        customer/a: concurrency: found "9"; accepted: a whole number from 1 to 1000000
        customer/a: "token_per_minute": found an unknown field; accepted: schema, kind, name, weight, requests_per_second, tokens_per_minute, concurrency
        customer/a: "schema": found the field twice; accepted: the field once
        key/k: customer: found nothing; accepted: the customer of the caller
        key/k: digest: found 9 characters that are not a digest; accepted: 64 hexadecimal digits 0-9 a-f, the SHA-256 of the secret
        key/k: customer: found a customer; accepted: no customer for operators and auditors
        key/k: digest: found a value that is not a text; accepted: 64 hexadecimal digits 0-9 a-f, the SHA-256 of the secret
        key/k: "secret": found an unknown field; accepted: schema, kind, name, role, customer, digest, expires_ms, withdrawn
        class/c: tier: found 9; accepted: a whole number from 1 to 8
        class/c: first_token_ms: found 0; accepted: a whole number from 1 to 600000
        class/c: token_gap_ms: found 1.5; accepted: a whole number from 0 to 60000
        class/c: max_wait_ms: found nothing; accepted: a whole number from 0 to 600000
        class/c: priority: found "urgent"; accepted: high, normal, low
        class/c: "tier": found an unknown field; accepted: schema, kind, name, priority, first_token_ms, token_gap_ms, attainment_per_mille, floor_per_mille, max_wait_ms
        route/r: target: found an object; accepted: {"model": name} or {"prefix": path}
        route/r: pool: found nothing; accepted: 1 to 64 of a-z 0-9 - . _
        route/r: customers[1]: found "a" again; accepted: each name once
        route/r: customers[2]: found "B"; accepted: 1 to 64 of a-z 0-9 - . _
        route/r: customers: found customers on an open route; accepted: no customers, or open false
        route/r: target.prefix: found "/v1/completions"; accepted: a path that is not routed by model, else the route is unreachable
        route/r: timeout_ms: found -1; accepted: a whole number from 1 to 3600000
        route/r: path: found both model and path; accepted: either model or path
        pool/p: min_per_zone: found 3; accepted: at most max_per_zone, 2
        pool/p: models: found models of a plain service; accepted: no models, or protocol engine"#]].assert_eq(&lines.join("\n"));
}

#[test]
fn whole_is_validated() {
    let plain =
        r#"{"schema":2,"kind":"pool","name":"shop","protocol":"plain","slots":1,"max_per_zone":1}"#;
    let floors: Vec<_> = ["f0", "f1", "f2"]
        .map(|name| CLASS.replace("fast", name).replace("}", ",\"floor_per_mille\":400}"))
        .into();
    let named = |name: &str, from: &str, to: &str| ROUTE.replace("chat", name).replace(from, to);
    let texts = [
        CUSTOMER.to_owned(),
        CLASS.to_owned(),
        floors[0].clone(),
        floors[1].clone(),
        floors[2].clone(),
        POOL.to_owned(),
        plain.to_owned(),
        ROUTE.to_owned(),
        named("again", "", ""),
        named("classless", "fast", "slow").replace("m0", "m1"),
        named("modelless", "m0", "m9"),
        named("shopping", "large", "shop").replace("m0", "m1"),
        named("strangers", "\"pool\"", "\"customers\":[\"nobody\"],\"pool\"").replace("m0", "m1"),
        key("k0", "bakery", "one", false),
        key("k1", "bakery", "one", false),
        key("k2", "nobody", "two", false),
    ];
    let content = content(&texts.iter().map(String::as_str).collect::<Vec<_>>());
    let lines: Vec<_> =
        content.aside().iter().flat_map(|it| &it.faults).map(ToString::to_string).collect();
    expect![[r#"
        class/f2: floor_per_mille: found 400; accepted: at most 180, what the other classes leave
        key/k1: digest: found the same as key/k0; accepted: a digest that no other key has
        key/k2: customer: found "nobody"; accepted: the name of a valid customer
        route/again: target: found the same as route/chat; accepted: a target that no other route has
        route/classless: class: found "slow"; accepted: the name of a valid class, else the route is unreachable
        route/modelless: target.model: found "m9"; accepted: a model of pool "large"
        route/shopping: pool: found plain pool "shop"; accepted: a pool with protocol engine for a model
        route/strangers: customers[0]: found "nobody"; accepted: the name of a valid customer"#]].assert_eq(&lines.join("\n"));
}

#[test]
fn schemas_stand_side_by_side() {
    let old_class = r#"{"schema":1,"kind":"class","name":"fast","priority":"normal","first_token_ms":600,"token_gap_ms":34,"max_wait_ms":500}"#;
    let old_route = r#"{"schema":1,"kind":"route","name":"shop","path":"/shop/","pool":"large","class":"fast"}"#;
    let content = content(&[CUSTOMER, old_class, POOL, ROUTE, old_route]);
    assert_eq!(content.aside(), []);
    let migrate = |text: &str| schema::migrate(text).unwrap().unwrap().after;
    expect![[r#"
        {"kind":"class","schema":2,"name":"fast","tier":2,"first_token_ms":600,"token_gap_ms":34,"attainment_per_mille":950,"floor_per_mille":20,"max_wait_ms":500}
        {"kind":"route","schema":2,"name":"shop","target":{"prefix":"/shop/"},"pool":"large","class":"fast","open":false,"customers":[],"repeatable":false,"max_body_bytes":1048576,"timeout_ms":600000}"#]]
    .assert_eq(&[migrate(old_class), migrate(old_route)].join("\n"));
    assert_eq!(schema::migrate(ROUTE), Ok(None));
}

#[test]
fn longest_prefix_wins() {
    let prefixes = ["/", "/a", "/a/b", "/a/b/c", "/ab", "/b/x"];
    let mut texts = vec![CLASS.to_owned(), POOL.to_owned()];
    for (position, prefix) in prefixes.iter().enumerate() {
        let target = format!("{{\"prefix\":\"{prefix}\"}}");
        texts.push(
            ROUTE.replace("chat", &format!("r{position}")).replace("{\"model\":\"m0\"}", &target),
        );
    }
    let snapshot = content(&texts.iter().map(String::as_str).collect::<Vec<_>>()).snapshot();
    let route = |path: &str| {
        let route = snapshot.route(snapshot.path(path)?);
        let Target::Prefix(prefix) = &route.target else { return None };
        Some(prefix.clone())
    };
    for path in
        ["/", "/a", "/a/", "/a/b", "/a/bz", "/a/b/c/d", "/a/c", "/abc", "/b", "/b/x", "/z", "x"]
    {
        let expected =
            prefixes.iter().filter(|it| path.starts_with(**it)).max_by_key(|it| it.len());
        assert_eq!(route(path), expected.map(|it| (*it).to_owned()), "{path}");
    }
}

#[test]
fn reading_never_panics_and_round_trips() {
    fn check(text: &[u8]) -> bool {
        let Ok(parsed) = schema::parse(text) else { return true };
        let again = schema::parse(schema::to_text(&parsed.record).as_bytes());
        again.is_ok_and(|it| it.record == parsed.record)
    }
    fn arbitrary(bytes: Vec<u8>) -> bool {
        check(&bytes)
    }
    // Bytes of a valid record are replaced, removed and doubled.
    fn mutated(choice: u8, edits: Vec<(u16, u8)>) -> bool {
        let key = key("k", "bakery", "secret", false);
        let texts = [CUSTOMER, CLASS, POOL, ROUTE, &key];
        let mut text = texts[usize::from(choice) % 5].as_bytes().to_vec();
        for (place, byte) in edits.into_iter().take(usize::from(choice / 5 % 4)) {
            let place = usize::from(place) % text.len();
            match byte % 3 {
                0 => text[place] = byte,
                1 => text[place] = b"0123456789\"{}[]:,-"[usize::from(byte) % 18],
                _ => drop(text.remove(place)),
            }
        }
        check(&text)
    }
    quickcheck(20_000, 21).quickcheck(arbitrary as fn(Vec<u8>) -> bool);
    quickcheck(40_000, 22).quickcheck(mutated as fn(u8, Vec<(u16, u8)>) -> bool);
}

#[derive(Debug, Clone)]
struct Changes {
    base: Vec<(u8, u8)>,
    set: Vec<(u8, u8, bool)>,
}

impl Arbitrary for Changes {
    fn arbitrary(g: &mut Gen) -> Changes {
        Changes { base: Vec::arbitrary(g), set: Vec::arbitrary(g) }
    }
}

/// Every write of a plan leaves a valid configuration, and the last one what was asked for.
#[test]
fn plans_are_valid_after_each_write() {
    fn property(changes: Changes) -> Result<bool, String> {
        let mut host = Content::default();
        let mut revision = 0;
        for (key, variant) in changes.base {
            let index = usize::from(key) % KEYS.len();
            let text = text(index, variant | 2);
            let mut next = host.clone();
            next.apply(update(revision, KEYS[index], Some(&text))).map_err(|it| it.to_string())?;
            if next.aside().is_empty() {
                (host, revision) = (next, revision + 1);
            }
        }
        let mut set = Set::default();
        for (key, variant, delete) in changes.set.into_iter().take(6) {
            let index = usize::from(key) % KEYS.len();
            let id = KEYS[index].strip_prefix("config/").unwrap().to_owned();
            let text = text(index, variant | 2);
            let named = format!(
                "\"kind\":\"{}\",\"name\":\"{}\"",
                id.split_once('/').unwrap().0,
                id.split_once('/').unwrap().1
            );
            if set.delete.contains(&id) || set.records.iter().any(|it| it.contains(&named)) {
                continue;
            }
            if delete { set.delete.push(id) } else { set.records.push(text) }
        }
        let Ok(plan) = change::plan(&host, &set) else { return Ok(false) };
        for step in &plan.steps {
            let key = format!("config/{}", step.record);
            host.apply(update(revision, &key, step.text.as_deref()))
                .map_err(|it| it.to_string())?;
            revision += 1;
            if !host.aside().is_empty() {
                return Err(format!("after {}: {:?}", step.record, host.aside()));
            }
        }
        let rest = change::plan(&host, &set).map_err(|it| format!("{it:?}"))?;
        if rest.steps.is_empty() { Ok(true) } else { Err(format!("left: {:?}", rest.steps)) }
    }
    fn check(changes: Changes) -> TestResult {
        match property(changes) {
            Ok(_) => TestResult::passed(),
            Err(why) => TestResult::error(why),
        }
    }
    quickcheck(4_000, 31).quickcheck(check as fn(Changes) -> TestResult);
}

#[test]
fn exchange_of_targets_is_refused() {
    let other = ROUTE.replace("chat", "draft").replace("m0", "m1");
    let host = content(&[CUSTOMER, CLASS, POOL, ROUTE, &other]);
    let swapped = [ROUTE.replace("m0", "m1"), other.replace("m1", "m0")];
    let set = Set { records: swapped.into(), ..Set::default() };
    let records = ["route/chat", "route/draft"].map(str::to_owned).into();
    assert_eq!(change::plan(&host, &set), Err(Refusal::Entangled(records)));

    // A deletion that frees the target goes first.
    let set = Set {
        records: vec![other.replace("m1", "m0")],
        delete: vec!["route/chat".to_owned()],
        if_revision: None,
    };
    let plan = change::plan(&host, &set).unwrap();
    let order: Vec<_> = plan.steps.iter().map(|it| it.record.as_str()).collect();
    assert_eq!(order, ["route/chat", "route/draft"]);
}

#[test]
fn documented_records_are_valid() {
    let page = include_str!("../docs/CONFIGURATION.md");
    let records: Vec<_> =
        page.split("```json\n").skip(1).filter_map(|it| it.split("```").next()).collect();
    assert_eq!(records.len(), 5);
    assert_eq!(content(&records).aside(), []);
}
