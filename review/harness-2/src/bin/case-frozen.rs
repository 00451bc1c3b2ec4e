//! A machine freezes while a runner crashes and starts again; the runner's streams have neither a length nor chunks.

use std::{
    net::{Ipv4Addr, SocketAddr},
    process::{Child, Command, Stdio},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use almondrack_soak::{
    caller::{self, Call, End, Kind},
    operator::{ENGINES, Operator},
    store::Writer,
    upstream::{EVENTS, event},
};
use review_cases_2::{Fleet, Record, Result, SETTLE, has_trouble, main_with};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use stand_ins::owner::Owner;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::sleep,
};

const HOSTS: usize = 3;
const RUNNERS: usize = 4;
/// Time to the first event of a stream, and between two events.
const FIRST_EVENT: Duration = Duration::from_millis(300);
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// Time between two streams.
const STREAMS: Duration = Duration::from_millis(16);
/// From the beginning of the freeze: the crash, the runner's return, and the end of the freeze.
const CRASH: Duration = Duration::from_millis(550);
const BACK: Duration = Duration::from_millis(2_550);
const THAW: Duration = Duration::from_millis(2_900);
/// Time between two freezes, and their number.
const CYCLE: Duration = Duration::from_millis(10_000);
const CYCLES: usize = 4;

fn main() {
    let args: Vec<_> = std::env::args().collect();
    if let [_, mode, address, instance] = &args[..]
        && mode == "--runner"
    {
        let address: SocketAddr = address.parse().expect("an address");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(serve(address, instance.clone()));
        return;
    }
    main_with(Duration::from_secs(100), play)
}

/// Runs streams until the process ends. Each takes a connection of its own, which ends it.
async fn serve(address: SocketAddr, instance: String) {
    let listener = TcpListener::bind(address).await.expect("the address is free");
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let instance = instance.clone();
        tokio::spawn(async move {
            // The other side has left.
            let _ = answer(stream, &instance).await;
        });
    }
}

async fn answer(mut stream: TcpStream, instance: &str) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.windows(4).any(|it| it == b"\r\n\r\n") {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(());
        }
    }
    let text = String::from_utf8_lossy(&head).to_string();
    let (text, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let header = |name: &str| {
        let lines = text.lines().filter_map(|it| it.split_once(':'));
        let mut found = lines.filter(|it| it.0.eq_ignore_ascii_case(name));
        found.next().map_or("", |it| it.1.trim())
    };
    let mut left = header("content-length").parse::<usize>().unwrap_or(0);
    left = left.saturating_sub(body.len());
    let mut rest = vec![0; left];
    stream.read_exact(&mut rest).await?;
    let id = header("almondrack-attempt-id");
    let common = format!(
        "almondrack-attempt-id: {id}\r\nalmondrack-response-signature: signed-{id}\r\nconnection: close\r\n"
    );
    if header("almondrack-expect-instance") != instance {
        let refusal =
            format!("HTTP/1.1 421 Misdirected Request\r\n{common}content-length: 0\r\n\r\n");
        return stream.write_all(refusal.as_bytes()).await;
    }
    sleep(FIRST_EVENT).await;
    let head = format!("HTTP/1.1 200 OK\r\n{common}content-type: text/event-stream\r\n\r\n");
    stream.write_all(format!("{head}{}", event(id, 1, "v1")).as_bytes()).await?;
    for number in 2..=EVENTS {
        sleep(EVENT_PAUSE).await;
        stream.write_all(event(id, number, "v1").as_bytes()).await?;
    }
    stream.shutdown().await
}

/// A runner as a process, in all its lives at one address.
struct Runner {
    index: usize,
    address: SocketAddr,
    life: u32,
    child: Option<Child>,
    writer: Writer,
}

impl Runner {
    fn id(&self) -> String {
        format!("i-{}-{}", self.index, self.life)
    }

    /// Starts the next life, and writes its entry once it listens.
    async fn start(&mut self) -> eyre::Result<()> {
        self.life += 1;
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["--runner", &self.address.to_string(), &self.id()]);
        self.child = Some(command.stdin(Stdio::null()).spawn()?);
        while TcpStream::connect(self.address).await.is_err() {
            sleep(Duration::from_millis(5)).await;
        }
        let born = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
        let entry = json!({
            "Service": ENGINES, "Address": self.address, "Zone": "north", "Version": "v1",
            "Slots": 64, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": born,
        });
        self.writer.put(&format!("servers/{}", self.id()), &entry).await;
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.kill();
    }
}

fn signal(process: u32, signal: Signal) {
    if let Some(id) = Pid::from_raw(process as i32) {
        let _ = kill_process(id, signal);
    }
}

async fn play(record: Record) -> eyre::Result<Result> {
    let mut fleet = Fleet::start(HOSTS)?;
    let mut runners = Vec::new();
    for index in 0..RUNNERS {
        let [.., high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 224 + high % 16, low, 100 + index as u8);
        let address = SocketAddr::from((ip, 7_050));
        let writer = fleet.store.writer();
        let mut runner = Runner { index, address, life: 0, child: None, writer };
        runner.start().await?;
        runners.push(runner);
    }
    let _operator = Operator::open(fleet.store.writer()).await;
    sleep(SETTLE).await;
    let begin = Instant::now();
    let length = CYCLE * CYCLES as u32 + Duration::from_secs(6);
    let wrong: Owner<Vec<String>> = Owner::spawn(Vec::new());
    let mut sends = JoinSet::new();
    let (hosts, calls, outcomes) = (fleet.callers(), record.clone(), wrong.clone());
    sends.spawn(async move {
        let mut open = JoinSet::new();
        for number in 0_usize.. {
            if begin.elapsed() >= length {
                break;
            }
            let id = format!("57e0{number:08x}");
            let index = number % hosts.len();
            let (host, record, outcomes) = (hosts[index], calls.clone(), outcomes.clone());
            open.spawn(async move {
                let prompt = Some(caller::prompt("first", "d0c0", &id));
                let (kind, customer) = (Kind::Stream, "first");
                let call =
                    Call { id: id.clone(), kind, customer, prompt, body: b"{}", takes_up: None };
                let sent = Instant::now();
                record.add_at(sent, format!("stream {id} is sent to edge-{index}"));
                let end = caller::send(host, &call).await;
                let time = sent.elapsed().as_millis();
                record.add(format!("stream {id} ends after {time} ms: {end:?}"));
                // Only an answer that ends in order, with events of its own, and is not whole.
                if let End::Wrong(what) = end
                    && what.contains("that look whole")
                {
                    outcomes.tell(move |it| it.push(format!("{id}: {what}")));
                }
            });
            sleep(STREAMS).await;
        }
        open.join_all().await;
    });
    for cycle in 0..CYCLES {
        sleep((CYCLE * cycle as u32 + Duration::from_secs(2)).saturating_sub(begin.elapsed()))
            .await;
        if !has_trouble() {
            continue;
        }
        let (host, index) = (fleet.hosts[cycle % HOSTS].id(), cycle % RUNNERS);
        let from = Instant::now();
        signal(host, Signal::STOP);
        record.add(format!("edge-{} is frozen", cycle % HOSTS));
        let left = |until: Duration| until.saturating_sub(from.elapsed());
        sleep(left(CRASH)).await;
        runners[index].kill();
        record.add(format!("runner {index} has crashed"));
        sleep(left(BACK)).await;
        let old = runners[index].id();
        runners[index].start().await?;
        record.add(format!("runner {index} is back"));
        sleep(left(THAW)).await;
        signal(host, Signal::CONT);
        record.add(format!("edge-{} wakes", cycle % HOSTS));
        // Three missed heartbeats of 1,200 ms after the crash.
        sleep(left(CRASH + Duration::from_millis(3_600))).await;
        fleet.store.writer().remove(&format!("servers/{old}")).await;
    }
    sends.join_all().await;
    for host in &mut fleet.hosts {
        eyre::ensure!(!host.has_ended(), "{} has ended", host.name);
    }
    let wrong = wrong.ask(|it| it.clone()).await?;
    wrong.iter().for_each(|it| record.add(format!("in all: {it}")));
    record.add(format!(
        "{} streams ended as complete before their last event; allowed 0",
        wrong.len()
    ));
    Ok(if wrong.is_empty() { Result::Held } else { Result::Broken })
}
