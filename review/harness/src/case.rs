//! Frame of a case: its flags, its stand-ins and its exit code.

use std::{
    env, fs, io,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    time::{Duration, Instant},
};

use almondrack_soak::{
    duties::Duties,
    store::{Conduct, Store},
};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use crate::{host::Host, record::Record};

/// Time that the store takes for an answer, in milliseconds.
const STORE_DELAY_MS: u64 = 4;

/// Longest time for all hosts to become ready.
const START_TIME: Duration = Duration::from_secs(10);

/// How a case ended.
#[derive(Debug)]
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// What every case has.
#[derive(Debug)]
pub struct Case {
    /// Whether the disruption comes.
    pub has_trouble: bool,
    /// Takes what happens.
    pub record: Record,
    /// The platform's store.
    pub store: Store,
    /// The platform's interface of duties.
    pub duties: Duties,
    /// Folder of settings and logs, removed at the end.
    pub folder: PathBuf,
}

impl Case {
    /// Opens the store and the interface of duties.
    pub fn open(record: Record) -> io::Result<Case> {
        let name = format!("almondrack-review-{}", std::process::id());
        let folder = env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let store = Store::spawn(1)?;
        store.behave(usual_conduct());
        let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
        Ok(Case { has_trouble, record, store, duties: Duties::spawn()?, folder })
    }

    /// Starts hosts, one in each zone in turn, and waits until they are ready.
    pub async fn start_hosts(&self, count: usize, zones: &[&str]) -> io::Result<Vec<Host>> {
        let platform = (self.store.address(), self.duties.address());
        let mut hosts = Host::prepare(count, zones, &self.folder, platform)?;
        for host in &mut hosts {
            host.start()?;
        }
        let begin = Instant::now();
        while !all_ready(&hosts).await {
            if begin.elapsed() > START_TIME {
                return Err(io::Error::other("the hosts do not become ready"));
            }
            sleep(Duration::from_millis(100)).await;
        }
        self.record.tell(format!("{count} hosts are ready"));
        Ok(hosts)
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        if env::var("KEEP_LOGS").is_ok() {
            println!("logs in {}", self.folder.display());
        } else {
            // What cannot be removed lies in the temporary folder.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// How the store treats its callers outside of disruptions.
pub fn usual_conduct() -> Conduct {
    Conduct { delay_ms: STORE_DELAY_MS, ..Conduct::default() }
}

async fn all_ready(hosts: &[Host]) -> bool {
    for host in hosts {
        if !is_ready(host.readiness).await {
            return false;
        }
    }
    true
}

/// Asks a host whether it is ready, as the platform does.
pub async fn is_ready(address: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let ask = async {
        let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let request = "GET /-/readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await.ok()?;
        Some(head == *b"HTTP/1.1 200")
    };
    tokio::time::timeout(Duration::from_secs(1), ask).await.ok().flatten().unwrap_or(false)
}

/// Runs a case and turns its end into the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn run<F>(case: impl FnOnce(Record) -> F) -> ExitCode
where
    F: Future<Output = io::Result<Outcome>>,
{
    let Some(folder) = env::args().nth(1).map(PathBuf::from) else {
        eprintln!("the folder for record.txt is missing");
        return ExitCode::from(2);
    };
    let record = Record::open();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no runtime: {error}");
            return ExitCode::from(2);
        }
    };
    let outcome = runtime.block_on(async {
        // A case that is asked to stop ends its hosts as well.
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            outcome = case(record.clone()) => outcome,
            _ = terminate.recv() => Err(io::Error::other("terminated")),
            _ = interrupt.recv() => Err(io::Error::other("interrupted")),
        }
    });
    drop(runtime);
    let code = match outcome {
        Ok(Outcome::Held) => {
            record.tell("the rule held");
            0
        }
        Ok(Outcome::Broken) => {
            record.tell("the rule was broken");
            1
        }
        Err(error) => {
            record.tell(format!("the case could not run: {error}"));
            2
        }
    };
    record.write(&folder);
    ExitCode::from(code)
}
