//! Task that owns the choice of upstreams and answers the exchange's tickets.

use std::{cell::Cell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot, watch},
    task,
    time::MissedTickBehavior,
};

use crate::{
    error::{Error, Kind},
    serving::{
        key::{AttemptKey, TicketKey},
        messages,
        placement::{Action, Grant, Placement, Ticket},
        registry::Entry,
    },
    time::Time,
    wire::Ending,
};

/// Interval at which the core sees time pass.
const TICK: Duration = Duration::from_millis(20);

#[derive(Debug)]
enum Message {
    Submit(Box<Ticket>, oneshot::Sender<Result<Grant, Error>>),
    Answered(AttemptKey),
    Ended(AttemptKey, Ending),
    Sent(oneshot::Sender<LocalLoad>),
    Foreign(Vec<messages::Load>),
    Placed(Vec<messages::PlacedPart>),
}

/// What a host has sent.
#[derive(Debug, Clone, Default)]
pub struct LocalLoad {
    /// What has not ended, by upstream.
    pub loads: Vec<messages::Load>,
    /// Parts of prompts since the last time.
    pub placed: Vec<messages::PlacedPart>,
}

/// Handle to the task.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    /// Unbounded, as the end of an attempt must not be lost; requests in flight bound it.
    messages: mpsc::UnboundedSender<Message>,
}

/// Reports the end of an attempt, also when its future is dropped.
#[derive(Debug)]
pub struct AttemptGuard {
    dispatcher: Dispatcher,
    attempt: AttemptKey,
    ending: Ending,
    /// When the upstream was last heard of, on any of its connections.
    heard: Rc<Cell<Time>>,
    answered: Cell<bool>,
}

impl Dispatcher {
    /// Spawns the task on the current thread.
    pub fn spawn(
        host: Arc<str>,
        zone: Arc<str>,
        upstreams: watch::Receiver<Rc<Vec<Entry>>>,
    ) -> Dispatcher {
        let (messages, mailbox) = mpsc::unbounded_channel();
        let task = Task {
            core: Placement::new(host, zone),
            waiting: BTreeMap::new(),
            actions: Vec::new(),
            upstreams,
        };
        task::spawn_local(task.run(mailbox));
        Dispatcher { messages }
    }

    /// Waits for an upstream.
    ///
    /// # Errors
    /// Why the request is refused.
    pub async fn submit(&self, ticket: Ticket) -> Result<(Grant, AttemptGuard), Error> {
        let (answer, decision) = oneshot::channel();
        let stopped = || Error::new(Kind::Internal, "the dispatcher has stopped");
        self.messages.send(Message::Submit(Box::new(ticket), answer)).map_err(|_| stopped())?;
        let grant = decision.await.map_err(|_| stopped())??;
        let guard = AttemptGuard {
            dispatcher: self.clone(),
            attempt: grant.attempt,
            ending: Ending::Cancelled,
            heard: grant.last_activity.clone(),
            answered: Cell::new(false),
        };
        Ok((grant, guard))
    }

    /// What this host has sent, for other hosts.
    pub async fn local_load(&self) -> LocalLoad {
        let (answer, sent) = oneshot::channel();
        self.tell(Message::Sent(answer));
        // The dispatcher ends only with the host.
        sent.await.unwrap_or_default()
    }

    /// Tells parts of prompts that other hosts have sent.
    pub fn record_placed(&self, placed: Vec<messages::PlacedPart>) {
        if !placed.is_empty() {
            self.tell(Message::Placed(placed));
        }
    }

    /// Tells what all other hosts have sent.
    pub fn set_remote_loads(&self, loads: Vec<messages::Load>) {
        self.tell(Message::Foreign(loads));
    }

    fn tell(&self, message: Message) {
        // Fails only while the host stops, when nothing is placed any more.
        let _ = self.messages.send(message);
    }
}

impl AttemptGuard {
    /// The upstream has sent something.
    pub fn record_activity(&self) {
        self.heard.set(Time::now());
        if !self.answered.replace(true) {
            self.dispatcher.tell(Message::Answered(self.attempt));
        }
    }

    /// Ends the attempt.
    pub fn end(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.dispatcher.tell(Message::Ended(self.attempt, self.ending));
    }
}

#[derive(Debug)]
struct Task {
    core: Placement,
    waiting: BTreeMap<TicketKey, oneshot::Sender<Result<Grant, Error>>>,
    actions: Vec<Action>,
    upstreams: watch::Receiver<Rc<Vec<Entry>>>,
}

impl Task {
    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<Message>) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
        self.list();
        loop {
            tokio::select! {
                message = mailbox.recv() => {
                    let Some(message) = message else { return };
                    self.take(message);
                }
                Ok(()) = self.upstreams.changed() => self.list(),
                _ = interval.tick(), if !self.waiting.is_empty() => {}
            }
            self.act();
        }
    }

    fn list(&mut self) {
        let entries = self.upstreams.borrow_and_update().clone();
        self.core.set_upstreams(&entries);
    }

    fn take(&mut self, message: Message) {
        let now = Time::now();
        match message {
            Message::Submit(ticket, answer) => {
                self.waiting.insert(ticket.key, answer);
                self.core.submit(now, &ticket, &mut self.actions);
            }
            Message::Answered(attempt) => self.core.attempt_answered(now, attempt),
            Message::Ended(attempt, ending) => self.core.attempt_ended(now, attempt, ending),
            Message::Sent(answer) => {
                let sent = LocalLoad {
                    loads: self.core.local_loads(now),
                    placed: self.core.take_placed(),
                };
                // The asking task ends only with the host.
                let _ = answer.send(sent);
            }
            Message::Placed(placed) => self.core.record_placed(now, &placed),
            Message::Foreign(loads) => self.core.set_remote_loads(now, &loads),
        }
    }

    fn act(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Grant(ticket, grant) => {
                    let attempt = grant.attempt;
                    let answer = self.waiting.remove(&ticket);
                    let taken = answer.is_some_and(|it| it.send(Ok(grant)).is_ok());
                    if !taken {
                        self.core.attempt_ended(Time::now(), attempt, Ending::Unused);
                    }
                }
                Action::Refuse(ticket, kind, delay) => {
                    let mut error = Error::new(kind, "no upstream can take the request");
                    error.retry_after_ms = delay.map(|it| it.as_ms());
                    if let Some(answer) = self.waiting.remove(&ticket) {
                        // A caller that has left needs no refusal.
                        let _ = answer.send(Err(error));
                    }
                }
            }
        }
    }
}
