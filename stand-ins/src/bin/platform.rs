//! Runs the stand-in of the platform.

use std::{
    io::{self, Write as _},
    net::SocketAddr,
};

use almondrack::platform::{State, Upstream};
use eyre::{Result, WrapErr as _, eyre};
use stand_ins::platform::{self, Options, Spare};

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-in of the platform.
        cmd platform {
            /// Address to listen on, 127.0.0.1:0 by default.
            optional --listen address: SocketAddr
            /// Upstream at start: id,pool,zone,ip:port[,cheap].
            repeated --upstream upstream: String
            /// Address for an ordered upstream: pool,zone,ip:port[,cheap].
            repeated --spare spare: String
            /// Switches at start, JSON as for /test/faults.
            optional --faults json: String
            /// Seed of the choice of lost answers.
            optional --seed seed: u64
        }
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let flags = flags::Platform::from_env_or_exit();
    let listen = flags.listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let mut options = Options::new(listen);
    options.seed = flags.seed.unwrap_or(options.seed);
    if let Some(faults) = flags.faults {
        options.faults = serde_json::from_str(&faults).wrap_err("--faults")?;
    }
    options.upstreams = flags
        .upstream
        .iter()
        .map(|it| upstream(it))
        .collect::<Result<_>>()
        .wrap_err("--upstream")?;
    options.spares =
        flags.spare.iter().map(|it| spare(it)).collect::<Result<_>>().wrap_err("--spare")?;
    let server = platform::spawn(options).wrap_err_with(|| format!("cannot listen on {listen}"))?;
    writeln!(io::stdout(), "listening on {}", server.address())?;
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn upstream(text: &str) -> Result<(String, Upstream)> {
    let (id, rest) = text.split_once(',').ok_or_else(|| eyre!("{text}: an id is missing"))?;
    let Spare { pool, zone, address, cheap } = spare(rest)?;
    let cost_per_hour = if cheap { 1.0 } else { 3.0 };
    let upstream = Upstream {
        id: id.to_owned(),
        pool,
        address,
        state: State::Running,
        cheap,
        cost_per_hour,
        reclaim_ms: None,
    };
    Ok((zone, upstream))
}

fn spare(text: &str) -> Result<Spare> {
    let parts: Vec<&str> = text.split(',').collect();
    let (pool, zone, address, cheap) = match parts.as_slice() {
        [pool, zone, address] => (pool, zone, address, false),
        [pool, zone, address, "cheap"] => (pool, zone, address, true),
        _ => return Err(eyre!("{text}: not pool,zone,ip:port[,cheap]")),
    };
    let address = address.parse().wrap_err_with(|| format!("{text}: not an address"))?;
    Ok(Spare { pool: (*pool).to_owned(), zone: (*zone).to_owned(), address, cheap })
}
