//! Evacuations of availability zones, which the operator writes to the store beside the configuration.
//!
//! Answers the load pattern of a zone that is emptied for some time: every host stops sending to its upstreams at once, also
//! while the store is slow, and sends to them again when the operator takes the evacuation back. The keys arrive on the
//! watch and listing of the configuration, so that they cost no further call to the store.

use std::sync::Arc;

use crate::{
    serving::mirror::{Mirror, Update},
    store::{Change, Item, era_of},
    time::{Span, Time},
};

/// Time for which an evacuation stays in force that a store which came back from an older copy does not list. The operator
/// writes it again within two seconds if it still holds.
const HOLD_TIME: Span = Span::from_ms(10_000);

/// Availability zones to whose upstreams nothing is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Zones {
    /// Sorted, without duplicates.
    names: Vec<Arc<str>>,
}

impl Zones {
    /// Collects zones in any order.
    pub fn new(mut names: Vec<Arc<str>>) -> Zones {
        names.sort_unstable();
        names.dedup();
        Zones { names }
    }

    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.names.binary_search_by(|it| (**it).cmp(zone)).is_ok()
    }

    /// Number of evacuated zones.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Logs which zones are evacuated or taken back since other zones were.
    pub fn log_changes(&self, before: &Zones) {
        for zone in self.names.iter().filter(|it| !before.contains(it)) {
            log::info!("zone {zone} is evacuated; its upstreams get no request from this host");
        }
        for zone in before.names.iter().filter(|it| !self.contains(it)) {
            log::info!("the evacuation of zone {zone} is taken back");
        }
    }
}

/// Splits an update of the operator's keys into one of the configuration and one of the evacuations.
pub fn split(update: Update, prefix: &str) -> (Update, Update) {
    let is_evacuation = |key: &str| key.starts_with(prefix);
    match update {
        Update::Listing(items, revision) => {
            let (evacuations, others): (Vec<Item>, Vec<Item>) =
                items.into_iter().partition(|it| is_evacuation(&it.key));
            (Update::Listing(others, revision), Update::Listing(evacuations, revision))
        }
        Update::Changes(changes, revision) => {
            let (evacuations, others): (Vec<Change>, Vec<Change>) =
                changes.into_iter().partition(|it| match it {
                    Change::Put(item) => is_evacuation(&item.key),
                    Change::Deleted(key, _) => is_evacuation(key),
                });
            (Update::Changes(others, revision), Update::Changes(evacuations, revision))
        }
    }
}

/// The evacuations that one host knows.
#[derive(Debug)]
pub struct Evacuations {
    /// Prefix of the keys; the zone follows.
    prefix: &'static str,
    mirror: Mirror,
    /// When the copy was last verified to be the newest.
    verified: Option<Time>,
    /// Zones whose evacuations a store that came back from an older copy does not list, each with the end of their hold.
    held: Vec<(Arc<str>, Time)>,
}

impl Evacuations {
    /// Creates an empty copy of the keys under a prefix.
    pub fn new(prefix: &'static str) -> Evacuations {
        Evacuations { prefix, mirror: Mirror::default(), verified: None, held: Vec::new() }
    }

    /// Prefix of the keys.
    pub fn prefix(&self) -> &'static str {
        self.prefix
    }

    /// Revision of the copy; zero before the first listing.
    pub fn revision(&self) -> u64 {
        self.mirror.revision()
    }

    /// When the copy was last verified to be the newest.
    pub fn verified(&self) -> Option<Time> {
        self.verified
    }

    /// Returns what a host lacks whose copy has a revision.
    pub fn since(&self, after: u64) -> Option<Update> {
        self.mirror.since(after)
    }

    /// Applies an update of the store or of another host.
    pub fn apply(&mut self, now: Time, update: Option<Update>, verified_at: Option<Time>) {
        let known = self.mirror.revision();
        let is_restored = update.as_ref().is_some_and(|it| {
            known > 0 && it.is_listing() && era_of(it.revision()) > era_of(known)
        });
        let before = self.zones(now).unwrap_or_default();
        let changes = update.map(|it| self.mirror.apply(it)).unwrap_or_default();
        for change in changes {
            let (key, is_written) = match &change {
                Change::Put(item) => (item.key.as_str(), true),
                Change::Deleted(key, _) => (key.as_str(), false),
            };
            let Some(zone) = zone_of(self.prefix, key) else { continue };
            self.held.retain(|it| *it.0 != *zone);
            if is_restored && is_written && !before.contains(zone) {
                log::warn!(
                    "an older copy of the store lists an evacuation of zone {zone} that was not in force; it holds until it is taken back again"
                );
            }
            if is_restored && !is_written {
                log::warn!(
                    "an older copy of the store does not list the evacuation of zone {zone}; it stays in force for {} ms",
                    HOLD_TIME.as_ms()
                );
                self.held.push((zone.into(), now + HOLD_TIME));
            }
        }
        if self.mirror.revision() > 0 {
            self.verified = self.verified.max(verified_at);
        }
    }

    /// Returns the evacuated zones, `None` before the first listing.
    pub fn zones(&self, now: Time) -> Option<Zones> {
        if self.mirror.revision() == 0 {
            return None;
        }
        let written = self.mirror.keys().filter_map(|it| zone_of(self.prefix, it)).map(Arc::from);
        let held = self.held.iter().filter(|it| now < it.1).map(|it| it.0.clone());
        Some(Zones::new(written.chain(held).collect()))
    }

    /// Returns when [`Evacuations::zones`] changes by itself, if at all.
    pub fn next_due(&self) -> Option<Time> {
        self.held.iter().map(|it| it.1).min()
    }

    /// Forgets evacuations whose hold has ended.
    pub fn apply_due(&mut self, now: Time) {
        self.held.retain(|it| now < it.1);
    }
}

fn zone_of<'a>(prefix: &str, key: &'a str) -> Option<&'a str> {
    key.strip_prefix(prefix).filter(|it| !it.is_empty())
}
