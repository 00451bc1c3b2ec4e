//! Return of a whole cold zone under full load.

use std::collections::BTreeMap;

use almondrack::{
    rendezvous,
    serving::{
        cold::granted_rate,
        placement::{Action, Placement, Ticket},
        rate_limit::{Ask, Decision, Limit, Limiter, Rate},
        registry::Entry,
        roster::{self, Roster},
    },
    time::{Span, Time},
    wire::Ending,
};

use crate::fixture::{POOL, at, engine, host, prompt, ticket};

/// Requests a second that a cold engine takes.
const PACE: f64 = 11.0;

/// Time for which the engines are cold, in milliseconds.
const COLD_MS: u64 = 3_000;

/// Cold engines.
const ENGINES: usize = 20;

/// Longest time from a grant to the arrival of the request.
const CONNECT: u64 = 290;

fn roster(hosts: impl Iterator<Item = usize>) -> Roster {
    let mut roster = Roster::default();
    for index in hosts {
        roster.insert(roster::Host {
            id: index.to_string(),
            address: ([10, 0, 0, index as u8], 1).into(),
            zone: ["a", "b", "c"][index % 3].into(),
            cpu_per_mille: 100,
            selects_pool_by_id: true,
            tunnels: None,
        });
    }
    roster
}

/// Hosts that know of cold engines, some of them cut off from all others.
struct Fleet {
    hosts: Vec<Placement>,
    limiters: Vec<Limiter>,
    cut: Vec<usize>,
    /// Of the hosts that are not cut off, and of the others, who do not know that they are.
    rosters: [Roster; 2],
    /// Arrivals by engine.
    arrivals: BTreeMap<String, Vec<Time>>,
}

impl Fleet {
    fn new(count: usize, cut: Vec<usize>) -> Fleet {
        let cold = |it| Entry { warmup_ms: COLD_MS, ..engine(it) };
        let engines: Vec<_> = (0..ENGINES).map(cold).collect();
        let rate = Rate::new(PACE).expect("the rate is valid");
        let hosts = (0..count).map(|it| {
            let mut host = host(&it.to_string(), &engines);
            host.set_cold_rates(at(0), vec![(POOL.into(), rate)]);
            host
        });
        Fleet {
            hosts: hosts.collect(),
            limiters: (0..count).map(|_| Limiter::default()).collect(),
            rosters: [roster((0..count).filter(|it| !cut.contains(it))), roster(0..count)],
            cut,
            arrivals: BTreeMap::new(),
        }
    }

    /// Asks for a permit as the limiters' tasks do.
    fn ask(&mut self, now: Time, host: usize, ask: Ask) -> Decision {
        let is_cut = self.cut.contains(&host);
        let limiters = self.rosters[usize::from(is_cut)].limiters(ask.upstream);
        for (rank, limiter) in limiters.iter().enumerate() {
            let index: usize = limiter.id.parse().expect("ids are numbers");
            if index != host && (is_cut || self.cut.contains(&index)) {
                continue;
            }
            let verified_at = (!is_cut).then_some(now);
            let rate = granted_rate(now, verified_at, ask.limit.rate().expect("there is one"));
            let ask = Ask { limit: Limit::new(Some(rate), now), ..ask };
            return self.limiters[index].ask(now, Some(rank), ask);
        }
        Decision::Denied(Span::from_ms(100))
    }

    fn act(&mut self, now: Time, host: usize, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            match action {
                Action::Ask(ticket, upstream, ask) => {
                    assert!(ask.is_cold);
                    let answer = (self.ask(now, host, ask), Limit::default());
                    let placement = &mut self.hosts[host];
                    placement.permit_answered(now, (ticket, upstream), now, answer, &mut actions);
                }
                Action::Grant(ticket, grant) => {
                    let delay = rendezvous::hash(&[&ticket.0.to_be_bytes()]) % CONNECT;
                    let arrivals = self.arrivals.entry(grant.instance.to_string()).or_default();
                    arrivals.push(now + Span::from_ms(delay));
                    self.hosts[host].attempt_ended(now, grant.attempt, Ending::Done);
                }
                _ => {}
            }
        }
    }

    /// Sends as many requests as come while the engines are cold. Returns the most that one got in any second, and all.
    fn run(&mut self) -> (usize, usize) {
        let count = self.hosts.len() as u64;
        for ms in 0..COLD_MS {
            let busy = if ms % 10 == 0 { self.cut.clone() } else { Vec::new() };
            let host = rendezvous::hash(&[&ms.to_be_bytes()]) % count;
            for host in busy.into_iter().chain([host as usize]) {
                let number = ms * count + host as u64 + 1;
                let ticket = Ticket {
                    target: at(ms + 1_500),
                    deadline: at(ms + 5_000),
                    ..ticket(number, prompt(&[number % 7], 50, 1_000))
                };
                let mut actions = Vec::new();
                self.hosts[host].submit(at(ms), &ticket, &mut actions);
                self.act(at(ms), host, actions);
            }
            for host in 0..if ms % 20 == 0 { self.hosts.len() } else { 0 } {
                let mut actions = Vec::new();
                self.hosts[host].place_waiting(at(ms), &mut actions);
                self.act(at(ms), host, actions);
            }
        }
        let most = |times: &mut Vec<Time>| {
            times.sort_unstable();
            let in_second = |end: usize| {
                let earlier = times[..=end].iter();
                earlier.filter(|it| times[end].since(**it) < Span::from_ms(1_000)).count()
            };
            (0..times.len()).map(in_second).max().unwrap_or(0)
        };
        let total = self.arrivals.values().map(Vec::len).sum();
        (self.arrivals.values_mut().map(most).max().unwrap_or(0), total)
    }
}

#[test]
fn a_cold_zone_gets_its_pace_from_all_hosts_together_and_not_much_less() {
    for hosts in [77, 250] {
        let (most, total) = Fleet::new(hosts, Vec::new()).run();
        assert!(most as f64 <= PACE + 5.0, "{most} in one second from {hosts} hosts");
        let usable = PACE * ENGINES as f64 * COLD_MS as f64 / 1_000.0;
        assert!(total as f64 >= usable * 0.5, "{total} of {usable} from {hosts} hosts");
    }
}

#[test]
fn hosts_that_are_cut_off_keep_the_sum_within_the_bound() {
    for first in 0..3 {
        // Some of them granted the permits before.
        let cut = (first..77).step_by(3).collect();
        let (most, _) = Fleet::new(77, cut).run();
        assert!(most as f64 <= PACE * 1.5 + 5.0, "{most} in one second");
    }
}

#[test]
fn a_grant_without_a_permit_is_void_once_the_engine_is_cold() {
    let mut host = host("host", &[engine(0)]);
    host.set_cold_rates(at(0), vec![(POOL.into(), Rate::new(PACE).expect("valid"))]);
    let grant = crate::fixture::grant(&mut host, at(0), &ticket(1, prompt(&[], 0, 9)));
    assert!(grant.cold_until.get() <= at(0));
    host.set_upstreams(&[Entry { warmup_ms: COLD_MS, sequence: 2, ..engine(0) }]);
    host.observe_cold(at(10));
    assert!(grant.send_by.is_none() && at(20) < grant.cold_until.get());
    // An entry that arrives again with the same number does not prolong it; one that says so ends it.
    host.observe_cold(at(1_000));
    assert_eq!(grant.cold_until.get(), at(10 + COLD_MS));
    host.set_upstreams(&[Entry { sequence: 3, ..engine(0) }]);
    host.observe_cold(at(1_500));
    let again = crate::fixture::grant(&mut host, at(1_500), &ticket(2, prompt(&[], 0, 9)));
    assert!(again.send_by.is_none());
}

#[test]
fn a_limiter_that_may_have_been_replaced_grants_a_part() {
    let rate = Rate::new(8.0).expect("the rate is valid");
    let granted = |verified_at| granted_rate(at(9_000), verified_at, rate).per_second();
    assert_eq!(granted(Some(at(8_000))), 8.0);
    assert_eq!(granted(Some(at(5_000))), 2.0);
    assert_eq!(granted(None), 2.0, "a host that has just started");
}

#[test]
fn entries_that_arrive_late_do_not_prolong_a_cold_phase() {
    let mut host = host("host", &[engine(0)]);
    host.set_cold_rates(at(0), vec![(POOL.into(), Rate::new(PACE).expect("valid"))]);
    let grant = crate::fixture::grant(&mut host, at(0), &ticket(1, prompt(&[], 0, 9)));
    let mut observe = |ms, warmup_ms, sequence| {
        host.set_upstreams(&[Entry { warmup_ms, sequence, ..engine(0) }]);
        host.observe_cold(at(ms));
        grant.cold_until.get()
    };
    assert_eq!(observe(0, 5_000, 2), at(5_000));
    assert_eq!(observe(1_500, 4_500, 3), at(5_000), "written 1 s ago");
    assert_eq!(observe(2_000, 2_500, 4), at(4_500));
    assert_eq!(observe(3_000, 5_000, 5), at(8_000), "cold anew");
}
