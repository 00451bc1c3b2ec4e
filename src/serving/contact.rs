//! Whether the process behind a connection to an upstream is the one that the list of upstreams describes.
//!
//! An upstream may start again under its id and address with other software. Until its new entry is known, the list states
//! the version of the process before.

use crate::{
    serving::{fleet_state::Verification, key::UpstreamKey, stream_origin::NOTICE},
    time::{Span, Time},
};

/// Time from the start of an upstream until each host that verifies its list knows the entry; longer than the interval
/// between an upstream's writes.
const REGISTRATION_TIME: Span = Span::from_ms(2_000);

/// Time after a refusal for which an upstream is remembered. One that has ended is no longer listed by then.
const LIFETIME: Span = Span::from_ms(60_000);

/// Contact with an upstream that refused a connection.
#[derive(Debug)]
struct Contact {
    upstream: UpstreamKey,
    /// When it refused one last.
    refused_at: Time,
    /// When the first connection after that was opened, `None` if none was.
    restored_at: Option<Time>,
}

/// Upstreams that were down, as one host's connections tell, so that their processes may have been replaced.
#[derive(Debug, Default)]
pub struct Log {
    /// Sorted by upstream.
    contacts: Vec<Contact>,
}

impl Log {
    /// Records that an upstream refused a connection.
    pub fn record_refusal(&mut self, now: Time, upstream: UpstreamKey) {
        self.contacts.retain(|it| now.since(it.refused_at) < LIFETIME);
        let new = Contact { upstream, refused_at: now, restored_at: None };
        match self.find(upstream) {
            Ok(at) => self.contacts[at] = new,
            Err(at) => self.contacts.insert(at, new),
        }
    }

    /// Records that an upstream answered a request sent at `sent_at` on a connection opened at `opened_at`.
    pub fn record_answer(&mut self, upstream: UpstreamKey, opened_at: Time, sent_at: Time) {
        let Ok(at) = self.find(upstream) else { return };
        let contact = &mut self.contacts[at];
        if opened_at >= contact.refused_at {
            contact.restored_at.get_or_insert(opened_at);
        } else if sent_at > contact.refused_at {
            // The process is the one from before the refusal.
            self.contacts.remove(at);
        }
    }

    /// Whether the process that accepted a connection at `opened_at` is known to be the listed one.
    ///
    /// A list that was verified long enough after that shows the entry of the process. Otherwise the process is taken for
    /// the listed one if the list is recent and the upstream has not been down since it last was that.
    pub fn confirms(
        &self,
        upstream: UpstreamKey,
        opened_at: Time,
        verification: Verification,
    ) -> bool {
        if Log::is_shown(opened_at, verification) {
            return true;
        }
        let is_recent = verification.current().is_some_and(|it| opened_at.since(it) < NOTICE);
        let known = self.find(upstream).map(|at| self.contacts[at].restored_at);
        is_recent && known.map_or(true, |it| it.is_some_and(|it| Log::is_shown(it, verification)))
    }

    /// Whether the list was verified so long after a connection was opened that it shows the process that accepted it.
    pub fn is_shown(opened_at: Time, verification: Verification) -> bool {
        verification.at.is_some_and(|it| it >= opened_at + REGISTRATION_TIME)
    }

    fn find(&self, upstream: UpstreamKey) -> Result<usize, usize> {
        self.contacts.binary_search_by_key(&upstream, |it| it.upstream)
    }
}
