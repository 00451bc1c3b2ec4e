//! Finds the dispatcher of a pool, on this host or another one, and passes calls to it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    member::View,
    peer::{self, DispatchCall, Failure, Peers},
    rendezvous,
    wire::{Decision, Progress, Ticket},
};

/// Time for a dispatcher to take progress.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// The dispatcher of a pool as this host sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// Host id.
    pub host: String,
    /// Address for peers.
    pub address: SocketAddr,
    /// Incarnation of the host.
    pub incarnation: u64,
}

/// Dispatcher of a pool in a zone, or `None` without hosts.
pub fn owner(view: &View, zone: &str, pool: &str) -> Option<Owner> {
    let role = format!("dispatch/{zone}/{pool}");
    let host = rendezvous::owner(&role, view.eligible(zone))?;
    let member = view.get(host)?;
    Some(Owner { host: host.to_owned(), address: member.peer, incarnation: member.incarnation })
}

/// Handle to the dispatchers of all pools and zones.
#[derive(Debug, Clone)]
pub struct Client {
    /// Id of this host.
    pub host: Arc<str>,
    /// The hosts as this host sees them.
    pub view: watch::Receiver<Arc<View>>,
    /// Connections to other hosts.
    pub peers: Peers,
    /// Mailbox of this host's dispatchers.
    pub local: mpsc::Sender<DispatchCall>,
}

impl Client {
    /// Dispatcher of a pool in a zone at this moment.
    pub fn owner(&self, zone: &str, pool: &str) -> Option<Owner> {
        owner(&self.view.borrow(), zone, pool)
    }

    /// Asks a dispatcher for a grant, until the ticket is granted or refused or the time is up.
    ///
    /// # Errors
    /// `Connect` if the dispatcher cannot be reached, `Unknown` if it does not answer.
    pub async fn submit(
        &self,
        owner: &Owner,
        ticket: Ticket,
        timeout: Duration,
    ) -> Result<Decision, Failure> {
        if *owner.host == *self.host {
            let (answer, decision) = oneshot::channel();
            let call = DispatchCall::Submit(ticket, answer);
            self.local.send(call).await.map_err(|_| Failure::Connect)?;
            return decision.await.map_err(|_| Failure::Unknown);
        }
        let client = self.peers.client(owner.address).await?;
        client.submit(peer::within(timeout), ticket).await.map_err(|_| Failure::Unknown)
    }

    /// Tells a dispatcher how attempts go on.
    ///
    /// # Errors
    /// `Connect` if the dispatcher cannot be reached, `Unknown` if it does not answer.
    pub async fn progress(
        &self,
        owner: &Owner,
        pool: String,
        batch: Vec<Progress>,
    ) -> Result<(), Failure> {
        if *owner.host == *self.host {
            let call = DispatchCall::Progress(pool, batch);
            return self.local.send(call).await.map_err(|_| Failure::Connect);
        }
        let client = self.peers.client(owner.address).await?;
        let context = peer::within(PROGRESS_TIMEOUT);
        client.progress(context, pool, batch).await.map_err(|_| Failure::Unknown)
    }
}
