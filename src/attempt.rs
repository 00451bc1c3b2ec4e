//! Life cycle of one attempt to run a request, as a typestate.
//!
//! Only a state in which no byte was handed to a connection can state that the request did not run.

use crate::{
    error::{Error, Kind, Run},
    wire::{Ending, Grant},
};

/// An attempt in a state of its life cycle.
#[derive(Debug)]
pub struct Attempt<S> {
    state: S,
}

/// Waits for a grant.
#[derive(Debug)]
pub struct Queued;

/// May be sent; nothing was handed to a connection.
#[derive(Debug)]
pub struct Granted {
    grant: Grant,
}

/// Handed to a connection; nothing came back.
#[derive(Debug)]
pub struct Sent {
    grant: Grant,
}

/// The upstream has begun to answer.
#[derive(Debug)]
pub struct Answering {
    grant: Grant,
}

/// Why an attempt ended without an answer, and what can be said of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// Kind of the error.
    pub kind: Kind,
    /// Whether the upstream may have run the request.
    pub run: Run,
    /// What the dispatcher is told.
    pub ending: Ending,
}

impl Loss {
    /// The error for the caller.
    pub fn error(&self, message: &str) -> Error {
        Error::new(self.kind, message).with_run(self.run)
    }
}

impl Attempt<Queued> {
    /// A new attempt.
    pub fn queued() -> Attempt<Queued> {
        Attempt { state: Queued }
    }

    /// The dispatcher granted the attempt.
    pub fn granted(self, grant: Grant) -> Attempt<Granted> {
        Attempt { state: Granted { grant } }
    }
}

impl Attempt<Granted> {
    /// The grant in use.
    pub fn grant(&self) -> &Grant {
        &self.state.grant
    }

    /// The request is about to be handed to a connection.
    pub fn sent(self) -> Attempt<Sent> {
        Attempt { state: Sent { grant: self.state.grant } }
    }

    /// The connection could not be made, so that no byte left.
    pub fn unconnected(self) -> Loss {
        Loss { kind: Kind::UpstreamConnect, run: Run::No, ending: Ending::Refused }
    }

    /// The attempt is given up before anything is sent.
    pub fn unused(self, kind: Kind) -> Loss {
        Loss { kind, run: Run::No, ending: Ending::Unused }
    }
}

impl Attempt<Sent> {
    /// The grant in use.
    pub fn grant(&self) -> &Grant {
        &self.state.grant
    }

    /// The upstream's answer begins.
    pub fn answering(self) -> Attempt<Answering> {
        Attempt { state: Answering { grant: self.state.grant } }
    }

    /// The attempt ended before an answer began.
    pub fn lost(self, kind: Kind) -> Loss {
        Loss { kind, run: Run::Unknown, ending: ending(kind) }
    }
}

impl Attempt<Answering> {
    /// The grant in use.
    pub fn grant(&self) -> &Grant {
        &self.state.grant
    }

    /// The answer broke off.
    pub fn lost(self, kind: Kind) -> Loss {
        Loss { kind, run: Run::Unknown, ending: ending(kind) }
    }

    /// The answer is whole.
    pub fn done(self) -> Ending {
        Ending::Done
    }
}

/// How an attempt ends that is lost.
pub(crate) fn ending(kind: Kind) -> Ending {
    match kind {
        Kind::UpstreamTimeout => Ending::TimedOut,
        Kind::UpstreamInvalid => Ending::Invalid,
        Kind::Preempted => Ending::Preempted,
        Kind::InvalidKey | Kind::Draining => Ending::Cancelled,
        _ => Ending::Failed,
    }
}
