//! Merging of request counts that arrive repeatedly, out of order and from several hosts.

use almondrack::serving::{ledger::Ledger, messages};
use quickcheck::quickcheck;

const WINDOW: u64 = 7;

fn count(ledger: &mut Ledger, customer: &str, times: u64) {
    (0..times).for_each(|_| ledger.count(WINDOW, &customer.into()));
}

quickcheck! {
    fn counts_may_come_twice_and_in_any_order(first: u8, second: u8, order: Vec<u8>) -> bool {
        let mut host = Ledger::new("host-1");
        let mut sent: Vec<Vec<messages::Counts>> = Vec::new();
        count(&mut host, "a", u64::from(first));
        sent.push(host.take_changed(WINDOW, false));
        count(&mut host, "a", u64::from(second));
        sent.push(host.take_changed(WINDOW, false));
        let mut hub = Ledger::new("hub-1");
        for index in order {
            hub.merge(sent[usize::from(index) % sent.len()].clone());
        }
        hub.merge(sent[1].clone());
        let total: u64 = hub.sum(WINDOW).iter().map(|it| it.1).sum();
        total == u64::from(first) + u64::from(second)
    }
}

#[test]
fn a_window_is_complete_once_every_host_has_ended_it() {
    let (mut one, mut hub) = (Ledger::new("one-1"), Ledger::new("hub-1"));
    count(&mut one, "a", 2);
    count(&mut hub, "b", 3);
    hub.merge(one.take_changed(WINDOW, true));
    hub.take_changed(WINDOW + 1, true);
    let hosts = ["one", "hub"];
    assert_eq!(hub.missing_hosts(WINDOW, hosts.into_iter()), 1, "a host has not ended the window");
    assert_eq!(
        hub.missing_hosts(WINDOW, ["one", "hub", "third"].into_iter()),
        2,
        "a host has sent no counts"
    );
    hub.merge(one.take_changed(WINDOW + 1, true));
    assert_eq!(hub.missing_hosts(WINDOW, hosts.into_iter()), 0);
    assert_eq!(hub.sum(WINDOW), [("a".to_owned(), 2), ("b".to_owned(), 3)]);
}

#[test]
fn a_new_process_of_a_host_counts_beside_the_old_one() {
    let (mut old, mut new) = (Ledger::new("one-1"), Ledger::new("one-2"));
    count(&mut old, "a", 5);
    count(&mut new, "a", 3);
    let mut hub = Ledger::new("hub-1");
    hub.merge(old.take_changed(WINDOW + 1, false));
    hub.merge(new.take_changed(WINDOW + 1, false));
    assert_eq!(hub.sum(WINDOW), [("a".to_owned(), 8)]);
}

#[test]
fn a_hub_that_stops_hands_over_what_it_holds_of_others() {
    let (mut gone, mut hub) = (Ledger::new("gone-1"), Ledger::new("hub-1"));
    count(&mut gone, "a", 5);
    count(&mut hub, "a", 2);
    hub.merge(gone.take_changed(WINDOW + 1, false));
    // The host that counted was restarted, and no counts were written to the store.
    drop(gone);
    hub.close();
    let mut next = Ledger::new("next-1");
    next.merge(hub.take_changed(WINDOW + 1, true));
    assert_eq!(next.sum(WINDOW), [("a".to_owned(), 7)]);
}
