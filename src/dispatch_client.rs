//! Client that locates the dispatcher of a pool, on this host or another one, and sends calls to it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    member::View,
    peer::{self, DispatchCall, Failure, Peers},
    rendezvous,
    wire::{Decision, Progress, Ticket},
};

/// Timeout of a progress report to a dispatcher on another host.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Host that runs the dispatcher of a pool, as seen by this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// Id of the owning host.
    pub host: String,
    /// Address of its peer service.
    pub address: SocketAddr,
    /// Incarnation of the owning host.
    pub incarnation: u64,
}

/// Returns the owner of a pool in a zone, or `None` if no host of the zone is eligible.
pub fn owner(view: &View, zone: &str, pool: &str) -> Option<Owner> {
    let role = format!("dispatch/{zone}/{pool}");
    let host = rendezvous::owner(&role, view.eligible(zone))?;
    let member = view.get(host)?;
    Some(Owner { host: host.to_owned(), address: member.peer, incarnation: member.incarnation })
}

/// Client for the dispatchers of all pools and zones.
#[derive(Debug, Clone)]
pub struct Client {
    /// Id of this host.
    pub host: Arc<str>,
    /// Membership as seen by this host.
    pub view: watch::Receiver<Arc<View>>,
    /// Connections to other hosts.
    pub peers: Peers,
    /// Mailbox of this host's dispatchers.
    pub local: mpsc::Sender<DispatchCall>,
}

impl Client {
    /// Returns the owner of a pool in a zone by the current view.
    pub fn owner(&self, zone: &str, pool: &str) -> Option<Owner> {
        owner(&self.view.borrow(), zone, pool)
    }

    /// Submits a ticket and waits until it is granted, refused or timed out.
    ///
    /// The timeout applies to dispatchers on other hosts only.
    ///
    /// # Errors
    /// [`Failure::Connect`] if the dispatcher cannot be reached, [`Failure::Unknown`] if it does not answer.
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

    /// Reports progress and ends of attempts to a dispatcher.
    ///
    /// # Errors
    /// [`Failure::Connect`] if the dispatcher cannot be reached, [`Failure::Unknown`] if it does not answer.
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
