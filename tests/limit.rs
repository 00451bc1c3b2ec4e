//! Property tests of the limiter against a model that counts admissions per interval, and snapshots of its answers.

use std::collections::BTreeMap;

use almondrack::{
    dispatch::CustomerKey,
    error::Kind,
    limit::{HOST_TIMEOUT, HostKey, Limiter, Limits, Permit},
    time::{Span, Time},
};
use expect_test::expect;
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Limits by customer key. The last customer has all three limits.
const LIMITS: [Limits; 3] = [
    Limits { requests_per_second: Some(5), tokens_per_minute: None, concurrency: Some(12) },
    Limits { requests_per_second: None, tokens_per_minute: Some(6_000), concurrency: None },
    Limits { requests_per_second: Some(5), tokens_per_minute: Some(6_000), concurrency: Some(4) },
];

#[derive(Debug, Clone)]
enum Op {
    Admit { customer: u32, host: u64, tokens: u64 },
    Settle { pick: usize, tokens: u64 },
    MarkAlive { host: u64 },
    RemoveHost { host: u64 },
    Expire,
    SetShare(u32),
}

#[derive(Debug, Clone)]
struct Step {
    after_us: u64,
    op: Op,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let mut below = |bound: u64| u64::arbitrary(g) % bound;
        let op = match below(20) {
            0..10 => Op::Admit {
                customer: below(3) as u32,
                host: below(3),
                tokens: below(3) * below(200),
            },
            10..16 => Op::Settle { pick: below(16) as usize, tokens: below(500) },
            16 => Op::MarkAlive { host: below(3) },
            17 => Op::RemoveHost { host: below(3) },
            18 => Op::Expire,
            _ => Op::SetShare(250 + 250 * below(4) as u32),
        };
        let span = if below(30) == 0 { 12_000_000 } else { 100_000 };
        Step { after_us: below(span), op }
    }
}

/// Model of the limiter: admissions so far, requests in flight and signs of life of the hosts.
#[derive(Debug, Default)]
struct Model {
    /// Time and tokens of each admission, by customer.
    admitted: BTreeMap<u32, Vec<(Time, u64)>>,
    /// Customer and host of each permit.
    in_flight: BTreeMap<Permit, (u32, u64)>,
    /// Time of the last sign of life of each host.
    last_seen: BTreeMap<u64, Time>,
}

impl Model {
    fn in_flight(&self, customer: u32) -> usize {
        self.in_flight.values().filter(|it| it.0 == customer).count()
    }

    /// Asserts that every interval that ends now stays within the whole limits, which bound those of any share.
    fn check_rates(&self, customer: u32, now: Time) {
        let admitted = &self.admitted[&customer];
        let limits = LIMITS[customer as usize];
        let mut tokens = 0;
        for (count, (at, taken)) in admitted.iter().rev().enumerate() {
            let span_s = now.since(*at).0 as f64 / 1e6;
            let rate = limits.requests_per_second.map_or(f64::INFINITY, f64::from);
            let requests = rate * (span_s + 1.0);
            assert!((count + 1) as f64 <= requests + 1e-6, "{} requests in {span_s} s", count + 1);
            // `tokens` excludes the oldest request of the interval.
            let rate = limits.tokens_per_minute.map_or(f64::INFINITY, |it| it as f64 / 60.0);
            let bound = rate * (span_s + 10.0);
            assert!(tokens as f64 <= bound + 1e-6, "{tokens} tokens in {span_s} s");
            tokens += taken;
        }
    }
}

fn check_history(steps: Vec<Step>) -> bool {
    let mut limiter = Limiter::default();
    let mut model = Model::default();
    let mut now = Time(1_000_000);
    let mut share = 1_000;
    for step in steps {
        now = now + Span(step.after_us);
        match step.op {
            Op::Admit { customer, host, tokens } => {
                model.last_seen.insert(host, now);
                let before = model.in_flight(customer);
                let limits = &LIMITS[customer as usize];
                let concurrency =
                    limits.concurrency.map_or(u32::MAX, |it| (it * share / 1_000).max(1));
                let full = before >= concurrency as usize;
                let key = CustomerKey(customer);
                match limiter.admit(now, HostKey(host), key, limits, tokens) {
                    Ok(permit) => {
                        assert!(!full, "concurrency");
                        model.in_flight.insert(permit, (customer, host));
                        model.admitted.entry(customer).or_default().push((now, tokens));
                        model.check_rates(customer, now);
                    }
                    Err(refusal) => {
                        assert_eq!(refusal.kind == Kind::ConcurrencyLimit, full);
                        assert!(refusal.retry_after_ms > 0);
                    }
                }
            }
            Op::Settle { pick, tokens } => {
                let permits: Vec<_> = model.in_flight.keys().copied().collect();
                let Some(at) = pick.checked_rem(permits.len()) else { continue };
                model.in_flight.remove(&permits[at]);
                // Settles at no less than the estimate, so the estimates that `check_rates` sums are lower bounds.
                limiter.settle(permits[at], tokens.max(1_000));
            }
            Op::MarkAlive { host } => {
                model.last_seen.insert(host, now);
                limiter.mark_alive(now, HostKey(host));
            }
            Op::RemoveHost { host } => {
                model.in_flight.retain(|_, it| it.1 != host);
                limiter.remove_host(HostKey(host));
            }
            Op::Expire => {
                let last_seen = &model.last_seen;
                model.in_flight.retain(|_, it| now.since(last_seen[&it.1]) < HOST_TIMEOUT);
                limiter.expire(now);
            }
            Op::SetShare(per_mille) => {
                share = per_mille;
                limiter.set_share(per_mille);
            }
        }
        for customer in 0..3 {
            let counted = limiter.in_flight(CustomerKey(customer)) as usize;
            assert_eq!(counted, model.in_flight(customer));
        }
    }
    true
}

#[test]
fn limits_hold_in_any_history() {
    for seed in [1, 2, 3] {
        let gen_ = Gen::from_size_and_seed(400, seed);
        QuickCheck::new().rng(gen_).tests(100).quickcheck(check_history as fn(Vec<Step>) -> bool);
    }
}

/// Returns one line per answer to consecutive requests, sent `gap_ms` apart. `settle` ends each at half its tokens.
fn answers(limits: Limits, share: u32, gap_ms: u64, tokens: &[u64], settle: bool) -> String {
    let mut limiter = Limiter::default();
    limiter.set_share(share);
    let mut text = String::new();
    let mut now = Time(0);
    for tokens in tokens {
        let answer = limiter.admit(now, HostKey(1), CustomerKey(1), &limits, *tokens);
        match answer {
            Ok(permit) => {
                text.push_str("admitted\n");
                if settle {
                    limiter.settle(permit, *tokens / 2);
                }
            }
            Err(it) => text.push_str(&format!("{:?} {} ms\n", it.kind, it.retry_after_ms)),
        }
        now = now + Span::from_ms(gap_ms);
    }
    text
}

#[test]
fn answers_name_the_limit_and_the_delay() {
    let none = Limits::default();
    let requests = Limits { requests_per_second: Some(2), ..none };
    expect![[r#"
        admitted
        admitted
        RequestLimit 301 ms
        RequestLimit 201 ms
        RequestLimit 101 ms
    "#]]
    .assert_eq(&answers(requests, 1_000, 100, &[0; 5], true));
    let tokens = Limits { tokens_per_minute: Some(6_000), ..none };
    expect![[r#"
        admitted
        admitted
        TokenLimit 4001 ms
        admitted
    "#]]
    .assert_eq(&answers(tokens, 1_000, 1_000, &[900, 300, 5_000, 100], true));
    let concurrency = Limits { concurrency: Some(6), ..none };
    expect![[r#"
        admitted
        admitted
        admitted
        ConcurrencyLimit 500 ms
        ConcurrencyLimit 500 ms
    "#]]
    .assert_eq(&answers(concurrency, 500, 1_000, &[0; 5], false));
    expect![[r#"
        admitted
        admitted
    "#]]
    .assert_eq(&answers(none, 0, 0, &[1_000_000; 2], false));
}

#[test]
fn zones_together_stay_within_the_limit() {
    let limits = Limits { requests_per_second: Some(9), ..Limits::default() };
    let mut zones = [(); 3].map(|()| Limiter::default());
    zones.iter_mut().for_each(|it| it.set_share(333));
    let mut admitted = 0;
    for ms in 0..10_000 {
        for zone in &mut zones {
            let now = Time(ms * 1_000);
            let answer = zone.admit(now, HostKey(1), CustomerKey(1), &limits, 0);
            admitted += u32::from(answer.is_ok());
        }
    }
    expect![[r#"
        96 requests in 10 s
    "#]]
    .assert_eq(&format!("{admitted} requests in 10 s\n"));
}
