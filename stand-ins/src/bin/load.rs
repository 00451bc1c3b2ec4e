//! Sends requests in an open loop, checks the answers and prints a summary.

use std::{
    io::{self, Write as _},
    str::FromStr,
    time::Duration,
};

use eyre::{Result, WrapErr as _, eyre};
use stand_ins::load::{self, Burst, Caller, Lengths, Options};

mod flags {
    use std::{net::SocketAddr, path::PathBuf};

    xflags::xflags! {
        /// Open-loop callers.
        cmd load {
            /// Entry host, taken in turn.
            repeated --target address: SocketAddr
            /// Engine that gets a copy of each request directly.
            repeated --direct address: SocketAddr
            /// Caller: key,model,weight.
            repeated --caller caller: String
            /// Period in which a caller sends more: key,factor,from_s,for_s.
            repeated --burst burst: String
            /// Requests per second.
            optional --rate rate: f64
            /// Time in which requests are sent, in seconds.
            optional --duration-s time: f64
            /// Lengths of prompts in tokens: median,sigma,max.
            optional --prompt lengths: String
            /// Lengths of outputs in tokens: median,sigma,max.
            optional --output lengths: String
            /// Streamed answers in a thousand.
            optional --streamed-per-mille number: u32
            /// Chat forms in a thousand completions.
            optional --chat-per-mille number: u32
            /// Plain calls in a thousand.
            optional --plain-per-mille number: u32
            /// Path of plain calls.
            optional --plain-path path: String
            /// Seed of the plan.
            optional --seed seed: u64
            /// Requests after which the plan ends.
            optional --max-requests number: usize
            /// Open requests above which one is not sent.
            optional --max-open number: usize
            /// Time for one request, in seconds.
            optional --timeout-s time: f64
            /// File for the history, one JSON object a line.
            optional --history file: PathBuf
        }
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let options = options(flags::Load::from_env_or_exit())?;
    let summary = load::run(options).await?;
    write!(io::stdout(), "{summary}")?;
    Ok(())
}

fn options(flags: flags::Load) -> Result<Options> {
    let preset = Options::new();
    let seconds = |given: Option<f64>, preset: Duration| match given {
        Some(given) => Duration::try_from_secs_f64(given).wrap_err("not a time"),
        None => Ok(preset),
    };
    Ok(Options {
        targets: flags.target,
        direct: flags.direct,
        callers: flags.caller.iter().map(|it| caller(it)).collect::<Result<_>>()?,
        bursts: flags.burst.iter().map(|it| burst(it)).collect::<Result<_>>()?,
        rate: flags.rate.unwrap_or(preset.rate),
        duration: seconds(flags.duration_s, preset.duration)?,
        prompt: flags.prompt.map_or(Ok(preset.prompt), |it| lengths(&it))?,
        output: flags.output.map_or(Ok(preset.output), |it| lengths(&it))?,
        streamed_per_mille: flags.streamed_per_mille.unwrap_or(preset.streamed_per_mille),
        chat_per_mille: flags.chat_per_mille.unwrap_or(preset.chat_per_mille),
        plain_per_mille: flags.plain_per_mille.unwrap_or(preset.plain_per_mille),
        plain_path: flags.plain_path.unwrap_or(preset.plain_path),
        seed: flags.seed.unwrap_or(preset.seed),
        max_requests: flags.max_requests.unwrap_or(preset.max_requests),
        max_open: flags.max_open.unwrap_or(preset.max_open),
        timeout: seconds(flags.timeout_s, preset.timeout)?,
        history: flags.history,
    })
}

fn caller(text: &str) -> Result<Caller> {
    let [key, model, weight] = parts(text, "key,model,weight")?;
    Ok(Caller { key: key.to_owned(), model: model.to_owned(), weight: parse(weight)? })
}

fn burst(text: &str) -> Result<Burst> {
    let [key, factor, from_s, for_s] = parts(text, "key,factor,from_s,for_s")?;
    let (factor, from_s, for_s) = (parse(factor)?, parse(from_s)?, parse(for_s)?);
    Ok(Burst { key: key.to_owned(), factor, from_s, for_s })
}

fn lengths(text: &str) -> Result<Lengths> {
    let [median, sigma, max] = parts(text, "median,sigma,max")?;
    Ok(Lengths { median: parse(median)?, sigma: parse(sigma)?, max: parse(max)? })
}

fn parts<'a, const N: usize>(text: &'a str, form: &str) -> Result<[&'a str; N]> {
    let parts: Vec<&str> = text.split(',').collect();
    parts.try_into().map_err(|_| eyre!("not of the form {form}"))
}

fn parse<T: FromStr>(text: &str) -> Result<T> {
    text.parse().map_err(|_| eyre!("{text} is not a number"))
}
