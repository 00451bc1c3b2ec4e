//! Runs the stand-in of an inference engine; exits with status 101 when a prompt crashes it.

use std::{
    io::{self, Write as _},
    net::SocketAddr,
    process::ExitCode,
};

use eyre::{Result, WrapErr as _};
use stand_ins::engine::{self, Options};

/// Exit status after a crash on a prompt.
const CRASHED: u8 = 101;

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-in of an inference engine.
        cmd engine {
            /// Address to listen on, 127.0.0.1:0 by default.
            optional --listen address: SocketAddr
            /// Address for /test/ paths that are served while crashed, any free port by default.
            optional --control address: SocketAddr
            /// Streams that run at the same time.
            optional --slots number: usize
            /// Memory for prompts and outputs, in tokens.
            optional --kv-tokens tokens: u64
            /// Prefill time per token, in microseconds.
            optional --prefill-us-per-token time: u64
            /// Time between two tokens of a stream, in microseconds, 0 for none.
            optional --gap-us time: u64
            /// Time between refreshes of the load report, in milliseconds, 0 for always fresh.
            optional --load-lag-ms time: u64
            /// Time for which an unread stream goes on, in milliseconds.
            optional --linger-ms time: u64
            /// Time for which an ended stream can be resumed, in milliseconds.
            optional --keep-ms time: u64
            /// Prefixes in the cache.
            optional --cache-prefixes number: usize
            /// Age at which cache events are shown, in milliseconds.
            optional --cache-lag-ms time: u64
            /// Left-out cache events in a thousand.
            optional --cache-gap-per-mille number: u32
            /// Take orders with any fencing number.
            optional --no-fencing
            /// Time to load a model, in milliseconds.
            optional --load-model-ms time: u64
            /// Loaded model; without any, every model is served.
            repeated --model model: String
            /// Switches at start, JSON as for /test/faults.
            optional --faults json: String
            /// Seed of the choice of left-out cache events.
            optional --seed seed: u64
        }
    }
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let options = options(flags::Engine::from_env_or_exit())?;
    let listen = options.listen;
    let engine = engine::spawn(options).wrap_err_with(|| format!("cannot listen on {listen}"))?;
    // In one piece, for a reader that leaves after the first line.
    let lines = format!("listening on {}\ncontrol on {}\n", engine.address(), engine.control());
    io::stdout().write_all(lines.as_bytes())?;
    tokio::select! {
        () = engine.crashed() => Ok(ExitCode::from(CRASHED)),
        done = tokio::signal::ctrl_c() => {
            done?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn options(flags: flags::Engine) -> Result<Options> {
    let listen = flags.listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let preset = Options::new(listen);
    let faults = match &flags.faults {
        Some(json) => serde_json::from_str(json).wrap_err("--faults")?,
        None => preset.faults,
    };
    Ok(Options {
        listen,
        control: flags.control.unwrap_or(preset.control),
        slots: flags.slots.unwrap_or(preset.slots),
        kv_tokens: flags.kv_tokens.unwrap_or(preset.kv_tokens),
        prefill_us_per_token: flags.prefill_us_per_token.unwrap_or(preset.prefill_us_per_token),
        gap_us: flags.gap_us.unwrap_or(preset.gap_us),
        load_lag_ms: flags.load_lag_ms.unwrap_or(preset.load_lag_ms),
        linger_ms: flags.linger_ms.unwrap_or(preset.linger_ms),
        keep_ms: flags.keep_ms.unwrap_or(preset.keep_ms),
        cache_prefixes: flags.cache_prefixes.unwrap_or(preset.cache_prefixes),
        cache_lag_ms: flags.cache_lag_ms.unwrap_or(preset.cache_lag_ms),
        cache_gap_per_mille: flags.cache_gap_per_mille.unwrap_or(preset.cache_gap_per_mille),
        fencing: !flags.no_fencing,
        load_model_ms: flags.load_model_ms.unwrap_or(preset.load_model_ms),
        models: flags.model,
        seed: flags.seed.unwrap_or(preset.seed),
        faults,
    })
}
