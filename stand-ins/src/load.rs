//! Open-loop callers that check every answer.

mod call;
mod check;
mod plan;
mod summary;

use std::{
    fs::File,
    io::{BufWriter, Write as _},
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use eyre::{Result, WrapErr as _, ensure};
use tokio::{
    sync::{Semaphore, mpsc},
    time::Instant,
};

use self::{
    call::{Call, Target},
    plan::{Form, Item},
};
pub use self::{
    call::{Outcome, Record},
    summary::{Group, Summary},
};

/// Finished requests that wait to be counted.
const QUEUE: usize = 10_000;

/// A caller with its share of the rate.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Secret bearer key.
    pub key: String,
    /// Model that it asks for.
    pub model: String,
    /// Share of the rate, relative to the other callers.
    pub weight: f64,
}

/// A period in which a caller sends more.
#[derive(Debug, Clone)]
pub struct Burst {
    /// Key of the caller.
    pub key: String,
    /// Factor on its rate.
    pub factor: f64,
    /// Start, in seconds of the run.
    pub from_s: f64,
    /// Length, in seconds.
    pub for_s: f64,
}

/// A log-normal distribution of lengths, in tokens.
#[derive(Debug, Clone, Copy)]
pub struct Lengths {
    /// Half of the lengths are shorter.
    pub median: u32,
    /// Standard deviation of the logarithm; zero: all lengths are the median.
    pub sigma: f64,
    /// Longest length.
    pub max: u32,
}

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Entry hosts, taken in turn.
    pub targets: Vec<SocketAddr>,
    /// Engines that get a copy of each request directly, for comparison.
    pub direct: Vec<SocketAddr>,
    /// Who sends.
    pub callers: Vec<Caller>,
    /// Periods with more requests.
    pub bursts: Vec<Burst>,
    /// Requests per second over all callers, before bursts.
    pub rate: f64,
    /// Time in which requests are sent.
    pub duration: Duration,
    /// Lengths of prompts.
    pub prompt: Lengths,
    /// Lengths of outputs.
    pub output: Lengths,
    /// Share of streamed answers.
    pub streamed_per_mille: u32,
    /// Share of the chat form among completions.
    pub chat_per_mille: u32,
    /// Share of plain calls.
    pub plain_per_mille: u32,
    /// Path of plain calls.
    pub plain_path: String,
    /// Seed of the plan.
    pub seed: u64,
    /// Requests after which the plan ends.
    pub max_requests: usize,
    /// Open requests above which one is not sent.
    pub max_open: usize,
    /// Time for one request.
    pub timeout: Duration,
    /// File for the history, one JSON object a line.
    pub history: Option<PathBuf>,
}

impl Options {
    /// Ten streamed chat requests a second for one second, without a target or a caller.
    pub fn new() -> Options {
        Options {
            targets: Vec::new(),
            direct: Vec::new(),
            callers: Vec::new(),
            bursts: Vec::new(),
            rate: 10.0,
            duration: Duration::from_secs(1),
            prompt: Lengths { median: 100, sigma: 0.0, max: 100_000 },
            output: Lengths { median: 20, sigma: 0.0, max: 10_000 },
            streamed_per_mille: 1_000,
            chat_per_mille: 1_000,
            plain_per_mille: 0,
            plain_path: "/plain".to_owned(),
            seed: 1,
            max_requests: 1_000_000,
            max_open: 10_000,
            timeout: Duration::from_secs(60),
            history: None,
        }
    }
}

impl Default for Options {
    fn default() -> Options {
        Options::new()
    }
}

/// Sends all requests of the plan and waits for their ends.
///
/// # Errors
/// No target or caller was given, or the history cannot be written.
pub async fn run(options: Options) -> Result<Summary> {
    ensure!(!options.targets.is_empty() || !options.direct.is_empty(), "no target was given");
    ensure!(!options.callers.is_empty(), "no caller was given");
    ensure!(options.callers.iter().all(|it| it.weight > 0.0), "a caller's weight is not positive");
    ensure!(options.rate > 0.0, "the rate is not positive");
    let mut history = match &options.history {
        Some(path) => {
            let file = File::create(path).wrap_err_with(|| format!("cannot write {path:?}"))?;
            Some(BufWriter::new(file))
        }
        None => None,
    };
    let (records, mut ended) = mpsc::channel(QUEUE);
    tokio::spawn(send(options, records));
    let mut summary = Summary::new()?;
    while let Some(record) = ended.recv().await {
        summary.add(&record);
        if let Some(file) = &mut history {
            serde_json::to_writer(&mut *file, &record)?;
            file.write_all(b"\n")?;
        }
    }
    if let Some(mut file) = history {
        file.flush()?;
    }
    Ok(summary)
}

/// Sends each request at its time, whatever became of the others.
async fn send(options: Options, records: mpsc::Sender<Record>) {
    let targets: Vec<Target> = options.targets.iter().map(|it| Target::new(*it)).collect();
    let direct: Vec<Target> = options.direct.iter().map(|it| Target::new(*it)).collect();
    let open = Arc::new(Semaphore::new(options.max_open));
    let items = plan::plan(&options);
    let start = Instant::now();
    for (index, item) in items.into_iter().enumerate() {
        let planned = start + item.at;
        tokio::time::sleep_until(planned).await;
        let through =
            turn(&targets, index).map(|it| call(&options, index, item, it, true, planned));
        let direct = turn(&direct, index).map(|it| call(&options, index, item, it, false, planned));
        for call in through.into_iter().chain(direct) {
            tokio::spawn(answer(call, options.timeout, open.clone(), records.clone()));
        }
    }
}

fn turn(targets: &[Target], index: usize) -> Option<&Target> {
    targets.get(index.checked_rem(targets.len())?)
}

fn call(
    options: &Options,
    index: usize,
    item: Item,
    target: &Target,
    through: bool,
    planned: Instant,
) -> Call {
    let caller = &options.callers[item.caller];
    let plain = item.form == Form::Plain;
    let side = if through { 'm' } else { 'd' };
    Call {
        index,
        item,
        model: if plain { options.plain_path.clone() } else { caller.model.clone() },
        key: through.then(|| caller.key.clone()),
        marker: format!("{side}{}x{index}", options.seed),
        target: target.clone(),
        planned,
    }
}

async fn answer(
    call: Call,
    timeout: Duration,
    open: Arc<Semaphore>,
    records: mpsc::Sender<Record>,
) {
    let record = match open.try_acquire() {
        Ok(_permit) => call.send(timeout).await,
        Err(_) => call.record(),
    };
    // Fails only when the run was given up.
    let _ = records.send(record).await;
}
