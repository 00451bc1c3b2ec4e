//! A second connection to an upstream whose response ends with its connection. If the process of the upstream ends, both
//! connections do.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::{
    net::TcpStream,
    task::{JoinHandle, spawn_local},
    time::timeout,
};

use crate::{serving::dialer::Target, time::Time};

/// Timeout for the connection, which is of use only until the response ends.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// State of the second connection.
#[derive(Debug, Clone, Copy)]
pub enum State {
    /// It is not open yet, or cannot be opened.
    Absent,
    /// It is open.
    Open,
    /// The upstream closed it at this time.
    Closed(Time),
}

/// Handle to the second connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct Witness {
    state: Rc<Cell<State>>,
    task: JoinHandle<()>,
}

impl Witness {
    /// Opens the connection in the background, on the current thread.
    pub fn spawn(target: Target) -> Witness {
        let state = Rc::new(Cell::new(State::Absent));
        let task = spawn_local(watch(target, state.clone()));
        Witness { state, task }
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> State {
        self.state.get()
    }
}

impl Drop for Witness {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn watch(target: Target, state: Rc<Cell<State>>) {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await;
    let Ok(Ok(stream)) = connected else { return };
    state.set(State::Open);
    // Nothing is sent on the connection, so that bytes from the upstream end it as well.
    let _ = stream.peek(&mut [0]).await;
    state.set(State::Closed(Time::now()));
}
