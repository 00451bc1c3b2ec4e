//! Content that crashes upstreams, under the load patterns in which it has to be told from content that does not.

use almondrack::{
    serving::{
        crash_evidence::{Content, Evidence, Verdict},
        exchange::contents,
        messages,
    },
    suspicion::Progress,
    time::{Span, Time},
};
use expect_test::expect;

use crate::fixture::{at, prompt};

const POOL: u64 = 1;

/// Part of all prompts.
const COMMON: Content = Content::Part(0xa);

/// Part that crashes upstreams.
const DEADLY: Content = Content::Part(0xdead);

/// Part that always comes with the deadly one.
const COMPANION: Content = Content::Part(0xc0);

/// A part of a few requests.
const RARE: Content = Content::Part(0xb);

/// Interval at which hosts exchange news.
const NEWS_INTERVAL_MS: u64 = 200;

/// Hosts that exchange news directly, each with all others, and delayed.
struct Fleet {
    hosts: Vec<Evidence>,
    now_ms: u64,
    /// Hosts that exchange no news.
    cut_off: Vec<usize>,
    crashes: u64,
}

impl Fleet {
    fn new(hosts: u64) -> Fleet {
        let hosts = (0..hosts).map(Evidence::new).collect();
        Fleet { hosts, now_ms: 0, cut_off: Vec::new(), crashes: 0 }
    }

    fn now(&self) -> Time {
        at(self.now_ms)
    }

    /// Lets time pass with an exchange of news at each interval.
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / NEWS_INTERVAL_MS {
            let sent_at = self.now();
            self.hosts.iter_mut().for_each(|it| it.review(sent_at));
            let news: Vec<_> = self.hosts.iter().map(|it| it.news(sent_at)).collect();
            self.now_ms += NEWS_INTERVAL_MS;
            let now = self.now();
            for (to, host) in self.hosts.iter_mut().enumerate() {
                for (from, news) in news.iter().enumerate() {
                    let cut = self.cut_off.contains(&to) || self.cut_off.contains(&from);
                    if to != from && !cut {
                        let aged = news.clone().aged(Span::from_ms(NEWS_INTERVAL_MS));
                        host.merge(now, now, &aged);
                    }
                }
            }
        }
        self.now_ms += ms % NEWS_INTERVAL_MS;
    }

    /// An upstream crashes with requests of some hosts, of which the first one's answer had begun.
    fn crash(&mut self, requests: &[(usize, &[Content])]) {
        self.crashes += 1;
        let now = self.now();
        for (index, (host, contents)) in requests.iter().enumerate() {
            let progress = (index == 0).then_some(Progress::HEAD);
            self.hosts[*host].record_crash(now, POOL, (self.crashes, progress), contents);
        }
    }

    fn answer(&mut self, host: usize, contents: &[Content]) {
        let now = self.now();
        self.hosts[host].record_answer(now, POOL, contents);
        self.hosts[host].record_progress(now, contents, Progress::FIRST);
    }

    /// Answers to some requests of each host.
    fn answer_others(&mut self, contents: &[Content]) {
        for host in 0..self.hosts.len() {
            (0..5).for_each(|_| self.answer(host, contents));
        }
    }

    /// Judges a request, and sends it if it may be sent.
    fn judge(&mut self, host: usize, content: Content) -> Verdict {
        self.send(host, &[content])
    }

    fn send(&mut self, host: usize, contents: &[Content]) -> Verdict {
        let now = self.now();
        let verdict = self.hosts[host].judge(now, contents, false);
        if !matches!(verdict, Verdict::Quarantined(_)) {
            self.hosts[host].record_send(now, contents);
        }
        verdict
    }

    /// Hosts that send requests with the content.
    fn senders(&mut self, content: Content) -> Vec<usize> {
        let hosts = 0..self.hosts.len();
        hosts.filter(|it| !matches!(self.judge(*it, content), Verdict::Quarantined(_))).collect()
    }
}

/// Upstreams crash one after the other under requests with the deadly part, each at another host.
fn tainted(hosts: u64, crashes: usize) -> Fleet {
    let mut fleet = Fleet::new(hosts);
    for crash in 0..crashes {
        let guilty = crash % hosts as usize;
        let victim = (crash + 1) % hosts as usize;
        fleet.crash(&[(guilty, &[COMMON, COMPANION, DEADLY]), (victim, &[COMMON, RARE])]);
        fleet.pass(300);
        fleet.answer_others(&[COMMON]);
        fleet.pass(500);
    }
    fleet
}

#[test]
fn all_hosts_refuse_a_part_after_crashes_that_each_saw_once() {
    let mut fleet = tainted(8, 3);
    assert_eq!(fleet.senders(DEADLY), [0; 0]);
    assert_eq!(fleet.senders(COMMON).len(), 8);
    assert_eq!(fleet.senders(RARE).len(), 8, "its crashes are explained by the deadly part");
    let Verdict::Quarantined(reason) = fleet.judge(0, DEADLY) else { panic!("it is refused") };
    expect![[r#"
        Reason {
            content: Part(
                57005,
            ),
            crashes: 3,
            age: Span(
                800000,
            ),
            retry_after: Span(
                29500000,
            ),
        }
    "#]]
    .assert_debug_eq(&reason);
}

#[test]
fn two_crashes_are_no_proof_but_end_repeats() {
    let mut fleet = tainted(8, 2);
    assert_eq!(fleet.judge(5, DEADLY), Verdict::Suspect);
    let now = fleet.now();
    let repeat = fleet.hosts[5].judge(now, &[DEADLY], true);
    assert!(matches!(repeat, Verdict::Quarantined(_)), "{repeat:?}");
}

#[test]
fn a_hot_part_under_many_crashes_at_once_is_not_quarantined() {
    let mut fleet = Fleet::new(8);
    for _ in 0..12 {
        for host in 0..8 {
            fleet.crash(&[(host, &[COMMON])]);
        }
        fleet.pass(200);
        for host in 0..8 {
            fleet.answer(host, &[COMMON]);
            assert_ne!(fleet.senders(COMMON).len(), 0, "at {} ms", fleet.now_ms);
        }
        fleet.pass(400);
        assert_eq!(fleet.senders(COMMON).len(), 8, "at {} ms", fleet.now_ms);
    }
}

#[test]
fn a_rare_part_under_one_failure_of_many_upstreams_is_not_quarantined() {
    let mut fleet = Fleet::new(8);
    for host in 0..8 {
        fleet.crash(&[(host, &[RARE])]);
        fleet.now_ms += 10;
    }
    fleet.answer_others(&[COMMON]);
    fleet.pass(2_000);
    assert_eq!(fleet.senders(RARE).len(), 8);
}

#[test]
fn a_quarantine_without_any_answer_is_tried_again_soon_and_lifted_everywhere() {
    // Upstreams crash under all requests.
    let mut fleet = Fleet::new(24);
    for host in 0..8 {
        fleet.crash(&[(host, &[COMMON])]);
        fleet.pass(400);
    }
    assert!(fleet.senders(COMMON).len() < 24);
    fleet.pass(2_000);
    let trying = fleet.senders(COMMON);
    assert!(!trying.is_empty(), "nobody tries after two seconds");
    fleet.answer(trying[0], &[COMMON]);
    fleet.pass(600);
    assert_eq!(fleet.senders(COMMON).len(), 24);
}

#[test]
fn answers_to_others_while_content_is_held_back_prove_nothing() {
    // All upstreams crash with a rare sound part among their requests. The host with the guilty ones is killed.
    let mut fleet = Fleet::new(4);
    for upstream in 0..4 {
        fleet.crash(&[(upstream % 2, &[COMMON, RARE])]);
        fleet.pass(400);
    }
    fleet.pass(600);
    let all = fleet.senders(COMMON).len();
    fleet.answer_others(&[COMMON]);
    fleet.pass(600);
    assert_eq!(fleet.senders(COMMON).len(), 4, "{all} hosts sent before");
    // The first trial clears it.
    let mut waited_ms = 0;
    while fleet.senders(RARE).is_empty() {
        fleet.answer_others(&[COMMON]);
        fleet.pass(200);
        waited_ms += 200;
        assert!(waited_ms <= 9_000, "nobody tries");
    }
}

#[test]
fn a_trial_that_another_request_ruins_does_not_keep_content_out() {
    let mut fleet = Fleet::new(4);
    for upstream in 0..4 {
        fleet.crash(&[(3, &[DEADLY]), (upstream % 3, &[RARE])]);
        fleet.pass(400);
    }
    // The host that had the guilty requests is killed, so that nothing explains the crashes of the sound part.
    fleet.hosts = (0..4).map(Evidence::new).collect();
    for upstream in 0..4 {
        fleet.crash(&[(3, &[COMMON]), (upstream % 3, &[RARE])]);
        fleet.answer_others(&[COMMON]);
        fleet.pass(400);
    }
    fleet.pass(600);
    for _ in 0..2 {
        let mut waited_ms = 0;
        while fleet.senders(RARE).is_empty() {
            fleet.answer_others(&[COMMON]);
            fleet.pass(200);
            waited_ms += 200;
            assert!(waited_ms <= 12_000, "nobody tries after 12 s");
        }
        // The upstream of the trial crashes as well, before it begins to answer.
        fleet.crash(&[(3, &[COMMON]), (0, &[RARE])]);
    }
}

/// Upstreams of a pool that all crash within 250 ms and are back after three seconds. Each host gets requests all the
/// time, some of them with the deadly part. Returns the deadly requests that are sent after the return, and the share of
/// the sound ones that are sent from three seconds after it.
fn collapse(hosts: usize, deadly_percent: u64) -> (usize, f64) {
    let mut fleet = Fleet::new(hosts as u64);
    let customer = |it: u64| Content::Part(0x100 + it % 3);
    let document = |it: u64| Content::Part(0x200 + it % 12);
    for crash in 0..6 {
        let deadly = [COMMON, customer(crash), DEADLY];
        let victims: Vec<_> =
            (0..8).map(|it| [COMMON, customer(it), document(crash + it)]).collect();
        let mut requests: Vec<(usize, &[Content])> = vec![(crash as usize % hosts, &deadly)];
        requests
            .extend(victims.iter().enumerate().map(|(it, contents)| (it % hosts, &contents[..])));
        fleet.crash(&requests);
        fleet.now_ms += 50;
    }
    fleet.pass(2_800);
    let back_ms = fleet.now_ms;
    let (mut deadly_sends, mut sent, mut sound) = (0, 0_u32, 0_u32);
    for number in 0..1_200_u64 {
        // Some 70 requests a second at hosts in no order.
        if number % 14 == 0 {
            fleet.pass(200);
        }
        let drawn = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let host = drawn as usize % hosts;
        let is_deadly = drawn / 1_000 % 100 < deadly_percent;
        let last = if is_deadly { DEADLY } else { document(drawn / 7) };
        let contents = [COMMON, customer(drawn / 3), last];
        let verdict = fleet.send(host, &contents);
        let is_sent = !matches!(verdict, Verdict::Quarantined(_));
        match (is_deadly, is_sent) {
            (true, true) => {
                deadly_sends += 1;
                fleet.crash(&[(host, &contents)]);
            }
            (false, true) => fleet.answer(host, &contents),
            (_, false) => {}
        }
        if !is_deadly && fleet.now_ms >= back_ms + 3_000 {
            sound += 1;
            sent += u32::from(is_sent);
        }
    }
    (deadly_sends, f64::from(sent) / f64::from(sound))
}

#[test]
fn after_the_collapse_of_a_pool_few_deadly_requests_are_tried_and_sound_ones_go_on() {
    for hosts in [1, 8, 24, 60] {
        for deadly_percent in [3, 15] {
            let (deadly_sends, served) = collapse(hosts, deadly_percent);
            let case = format!("{hosts} hosts, {deadly_percent} % deadly");
            assert!(deadly_sends <= 3, "{case}: {deadly_sends} deadly requests were sent");
            assert!(served >= 0.5, "{case}: {served} of the sound requests were sent");
        }
    }
}

/// All upstreams of a pool crash within 300 ms, under requests with the deadly part and sound ones, and are back after
/// some three seconds.
fn collapsed(hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(hosts as u64);
    for crash in 0..6 {
        fleet.crash(&[(crash, &[COMMON, DEADLY]), (crash + 6, &[COMMON, RARE])]);
        fleet.now_ms += 50;
    }
    fleet.pass(2_800);
    fleet
}

#[test]
fn the_first_answer_of_a_pool_starts_the_turns_at_a_trial_at_all_hosts() {
    let mut fleet = collapsed(24);
    fleet.answer(23, &[COMMON]);
    fleet.pass(400);
    assert_eq!(fleet.senders(COMMON).len(), 24, "the common part is cleared at all hosts");
    let trying = fleet.senders(DEADLY);
    assert!(trying.len() <= 1, "{trying:?} try at the same time");
    let mut waited_ms = 400;
    while fleet.senders(DEADLY).is_empty() {
        fleet.pass(200);
        waited_ms += 200;
        assert!(waited_ms <= 9_000, "nobody tries");
    }
}

#[test]
fn late_news_of_a_crash_before_the_first_answer_leaves_the_turns() {
    let mut fleet = Fleet::new(24);
    fleet.cut_off = vec![6];
    for crash in 0..6 {
        fleet.crash(&[(crash, &[COMMON, DEADLY]), (6, &[COMMON, DEADLY])]);
        fleet.now_ms += 50;
    }
    fleet.crash(&[(6, &[COMMON, DEADLY])]);
    fleet.pass(2_800);
    fleet.answer_others(&[COMMON]);
    // The others now hear of the seventh crash.
    fleet.cut_off.clear();
    fleet.pass(400);
    let trying = fleet.senders(DEADLY);
    assert!(trying.len() <= 1, "{trying:?} try at the same time");
}

#[test]
fn few_hosts_try_a_quarantined_part_and_ever_less_often() {
    let mut fleet = tainted(8, 3);
    let mut trials = Vec::new();
    while fleet.now_ms < 590_000 {
        fleet.pass(200);
        for host in fleet.senders(DEADLY) {
            // The host sends one request, which crashes its upstream.
            trials.push(fleet.now_ms / 1_000);
            fleet.crash(&[(host, &[DEADLY])]);
        }
        fleet.answer_others(&[COMMON]);
    }
    assert!(trials.first().is_some_and(|it| *it >= 30), "{trials:?}");
    let minutes: Vec<_> =
        (0..3).map(|it| trials.iter().filter(|s| **s / 60 == it).count()).collect();
    assert!(trials.len() <= 5 && minutes.iter().all(|it| *it <= 2), "{trials:?}");
}

#[test]
fn a_part_that_is_sound_again_is_served_by_all_hosts() {
    let mut fleet = tainted(8, 3);
    while fleet.senders(DEADLY).is_empty() {
        fleet.pass(200);
        assert!(fleet.now_ms < 300_000, "nobody tries");
    }
    let trying = fleet.senders(DEADLY);
    // The look above was a trial; it succeeds.
    assert_eq!(trying, [0; 0], "one request is a trial");
    fleet.answer(3, &[DEADLY]);
    fleet.pass(600);
    assert_eq!(fleet.senders(DEADLY).len(), 8);
}

#[test]
fn a_host_that_was_cut_off_or_starts_later_hears_of_the_quarantine() {
    let mut fleet = Fleet::new(8);
    fleet.cut_off = vec![6];
    for crash in 0..3 {
        fleet.crash(&[(crash, &[DEADLY])]);
        fleet.pass(300);
        fleet.answer_others(&[COMMON]);
        fleet.pass(500);
    }
    fleet.pass(5_000);
    assert_eq!(fleet.senders(DEADLY), [6]);
    fleet.cut_off.clear();
    fleet.hosts[7] = Evidence::new(7);
    fleet.pass(400);
    assert_eq!(fleet.senders(DEADLY), [0; 0]);
}

#[test]
fn an_upstream_that_goes_on_answering_has_not_crashed() {
    let mut fleet = Fleet::new(2);
    for upstream in 1..=3 {
        fleet.crash(&[(0, &[RARE])]);
        fleet.pass(200);
        let now = fleet.now();
        // Only its connections were cut, which another host notices.
        let lived = (now - Span::from_ms(300), now - Span::from_ms(50));
        fleet.hosts[1].record_alive(now, upstream, lived);
        fleet.answer_others(&[COMMON]);
        fleet.pass(600);
    }
    assert_eq!(fleet.senders(RARE).len(), 2);
    assert_eq!(fleet.judge(0, RARE), Verdict::Clear);
}

// An upstream that starts again under its id is another process.
#[test]
fn a_process_that_began_after_a_crash_does_not_take_it_back() {
    let mut fleet = Fleet::new(2);
    for upstream in 1..=3 {
        fleet.crash(&[(0, &[RARE])]);
        fleet.pass(200);
        let now = fleet.now();
        let lived = (now - Span::from_ms(100), now - Span::from_ms(50));
        fleet.hosts[1].record_alive(now, upstream, lived);
        fleet.answer_others(&[COMMON]);
        fleet.pass(600);
    }
    assert_eq!(fleet.senders(RARE), [0; 0]);
}

#[test]
fn a_flood_of_suspects_keeps_memory_bounded_and_the_guilty_one() {
    let mut fleet = Fleet::new(1);
    for crash in 0..6 {
        let flood: Vec<_> = (0..2_000).map(|it| Content::Part(1_000_000 * crash + it)).collect();
        fleet.crash(&[(0, &[DEADLY]), (0, &flood)]);
        fleet.pass(300);
        fleet.answer_others(&[COMMON]);
        fleet.pass(500);
    }
    assert_eq!(fleet.senders(DEADLY), [0; 0]);
    let news = fleet.hosts[0].news(fleet.now());
    assert!(news.suspicions.len() <= 128, "{} suspicions in a message", news.suspicions.len());
    assert_eq!(news.suspicions[0].content, DEADLY);
    // Answers to prompts that share nothing.
    for part in 0..100_000 {
        fleet.answer(0, &[Content::Part(1 << 32 | part)]);
    }
    let size = format!("{:?}", fleet.hosts[0]).len();
    assert!(size < 2_000_000, "the evidence is {size} bytes of text");
}

#[test]
fn evidence_survives_its_way_to_another_host() {
    let fleet = tainted(8, 3);
    let news = fleet.hosts[0].news(fleet.now());
    assert!(!news.is_empty());
    assert_eq!(messages::Prefix::from_evidence(&news).evidence(), Some(news));
    let other = messages::Prefix::from_limits(fleet.now(), &[]);
    assert_eq!(other.evidence(), None);
}

#[test]
fn the_last_part_is_only_of_its_request() {
    let of = |prompt| contents(Some("customer"), "/path", b"body", Some(&prompt));
    let parts = |it: &[Content]| it.iter().filter(|it| matches!(it, Content::Part(_))).count();
    assert_eq!(parts(&of(prompt(&[], 0, 10))), 0, "a prompt of one part shares none");
    assert_eq!(parts(&of(prompt(&[7, 7, 8, 7], 10, 10))), 2, "a repeated part counts once");
    let same = contents(None, "/path", b"body", None);
    assert_eq!(same, contents(None, "/path", b"body", None));
    assert_ne!(same, contents(Some("customer"), "/path", b"body", None));
    assert_ne!(same, contents(None, "/path", b"other", None));
}

/// A request that comes again and again.
const REPEATED: Content = Content::Request(0x5e);

/// An upstream crashes after some events of the answer to the repeated request.
fn crash_after(fleet: &mut Fleet, host: usize, events: u32) {
    fleet.crashes += 1;
    let crash = (fleet.crashes, Some(Progress::of(events)));
    let now = fleet.now();
    fleet.hosts[host].record_crash(now, POOL, crash, &[COMMON, REPEATED]);
}

/// The answer to a request goes on to a number of events.
fn go_on(fleet: &mut Fleet, host: usize, contents: &[Content], events: u32) {
    let passed = (2..=events).filter_map(Progress::passed_with).max();
    let now = fleet.now();
    fleet.hosts[host].record_progress(now, contents, passed.expect("two events or more"));
}

// The whole of a small pool crashes at once and again, without the head of an answer.
#[test]
fn a_plain_request_that_crashes_a_whole_pool_twice_is_not_tried_again_and_again() {
    let mut fleet = Fleet::new(6);
    for _ in 0..2 {
        for host in 0..3 {
            fleet.crashes += 1;
            let (now, crash) = (fleet.now(), (fleet.crashes, None));
            fleet.hosts[host].record_crash(now, POOL, crash, &[REPEATED]);
            fleet.pass(50);
        }
        fleet.pass(4_000);
        fleet.answer_others(&[COMMON]);
    }
    for _ in 0..10 {
        assert_eq!(fleet.senders(REPEATED), [0; 0]);
        fleet.answer_others(&[COMMON]);
        fleet.pass(1_000);
    }
}

// Each answer to the request had got past its first events before its upstream ended.
#[test]
fn a_request_that_crashes_upstreams_late_is_held_whatever_its_answers_had_reached() {
    for events in [0, 1, 2, 3, 6, 11, 60, 200] {
        let mut fleet = Fleet::new(4);
        for crash in 0..3 {
            if events >= 2 {
                go_on(&mut fleet, crash, &[COMMON, REPEATED], events);
            }
            crash_after(&mut fleet, crash, events);
            fleet.pass(300);
            fleet.answer_others(&[COMMON]);
            fleet
                .hosts
                .iter_mut()
                .for_each(|it| it.record_progress(at(10_000), &[COMMON], Progress::WHOLE));
            fleet.pass(500);
        }
        assert_eq!(fleet.senders(REPEATED), [0; 0], "crashes after {events} events");
        assert_eq!(fleet.senders(COMMON).len(), 4, "crashes after {events} events");
    }
}

#[test]
fn an_answer_that_comes_twice_as_far_or_ends_clears_late_crashes_at_all_hosts() {
    for (reached, senders) in [(5, 0), (6, 4), (u32::MAX, 4)] {
        let mut fleet = Fleet::new(4);
        for crash in 0..3 {
            crash_after(&mut fleet, crash, 3);
            fleet.pass(600);
        }
        let now = fleet.now();
        let passed = match reached {
            u32::MAX => Progress::WHOLE,
            _ => Progress::passed_with(reached).expect("two events or more"),
        };
        fleet.hosts[1].record_progress(now, &[REPEATED], passed);
        fleet.pass(600);
        assert_eq!(fleet.senders(REPEATED).len(), senders, "an answer reached {reached} events");
    }
}

// They do not know how far answers had come, and clear charges with the first events of any answer.
#[test]
fn hosts_of_earlier_versions_take_charges_after_more_events_for_expired_ones() {
    let mut fleet = Fleet::new(1);
    crash_after(&mut fleet, 0, 3);
    let news = fleet.hosts[0].news(fleet.now());
    let ages: Vec<_> = news.suspicions.iter().flat_map(|it| &it.charges).map(|it| it.1).collect();
    assert_eq!(ages.len(), 1, "a part is charged only as answers begin");
    assert!(ages.iter().all(|it| Span(*it) > Span::from_ms(600_000)), "{ages:?}");
}

// Its answers go on a while before its upstreams end, which says nothing of the upstreams' answers to others.
#[test]
fn answers_to_content_itself_do_not_confirm_its_quarantine() {
    for (answered, is_confirmed) in [(REPEATED, false), (RARE, true)] {
        let mut fleet = Fleet::new(2);
        for crash in 0..4 {
            crash_after(&mut fleet, crash % 2, 60);
            fleet.pass(300);
            fleet.answer_others(&[answered]);
        }
        fleet.pass(600);
        let news = fleet.hosts[0].news(fleet.now());
        let repeated = news.suspicions.iter().find(|it| it.content == REPEATED);
        let found = repeated.map(|it| (it.is_quarantined, it.is_confirmed));
        assert_eq!(found, Some((true, is_confirmed)));
    }
}

// Whichever upstreams crash under other requests, streams with the part go on there.
#[test]
fn a_part_of_streams_that_go_on_is_not_held_for_crashes_under_them() {
    let mut fleet = Fleet::new(4);
    for crash in 0..8 {
        crash_after(&mut fleet, crash % 4, 20);
        fleet.pass(600);
    }
    assert_eq!(fleet.senders(COMMON).len(), 4);
    assert_eq!(fleet.senders(REPEATED), [0; 0]);
}

// Upstreams run requests and lose the answers. Many hosts see some of them, and answers to others clear the part at some.
#[test]
fn lost_answers_of_upstreams_that_live_on_do_not_hold_a_part() {
    let mut fleet = Fleet::new(8);
    for crash in 0..4 {
        fleet.crashes += 1;
        let (now, key) = (fleet.now(), fleet.crashes);
        fleet.hosts[crash].record_crash(now, POOL, (key, None), &[COMMON, RARE]);
        fleet.pass(400);
        assert_eq!(fleet.senders(RARE).len(), 8, "{} lost answers", crash + 1);
        let now = fleet.now();
        let repeat = fleet.hosts[0].judge(now, &[RARE], true);
        assert_eq!(repeat, Verdict::Clear, "a request whose answer was lost is sent again");
    }
}

#[test]
fn a_host_that_knows_of_an_answer_does_not_take_over_a_quarantine() {
    let mut fleet = tainted(2, 3);
    assert_eq!(fleet.senders(DEADLY), [0; 0]);
    let mut host = Evidence::new(9);
    let (now, news) = (fleet.now(), fleet.hosts[0].news(fleet.now()));
    // Between the second and the third crash.
    host.record_progress(at(1_000), &[DEADLY], Progress::FIRST);
    host.merge(now, now, &news);
    host.review(now);
    assert_eq!(host.judge(now, &[DEADLY], false), Verdict::Clear);
}

// On a busy machine hosts do not see the heads of answers before the connections break.
#[test]
fn a_part_under_which_five_upstreams_crash_before_any_answer_is_held() {
    let mut fleet = Fleet::new(8);
    for crash in 0..5 {
        fleet.crashes += 1;
        let (now, key) = (fleet.now(), fleet.crashes);
        fleet.hosts[crash].record_crash(now, POOL, (key, None), &[COMMON, DEADLY]);
        fleet.pass(200);
    }
    fleet.pass(600);
    assert_eq!(fleet.senders(DEADLY), [0; 0]);
}
