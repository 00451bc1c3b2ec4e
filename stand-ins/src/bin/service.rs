//! Runs the stand-in of a plain service.

use std::{
    io::{self, Write as _},
    net::SocketAddr,
};

use eyre::{Result, WrapErr as _};
use stand_ins::service::{self, Options};

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-in of a plain service.
        cmd service {
            /// Address to listen on, 127.0.0.1:0 by default.
            optional --listen address: SocketAddr
            /// Switches at start, JSON as for /test/faults.
            optional --faults json: String
        }
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let flags = flags::Service::from_env_or_exit();
    let listen = flags.listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let mut options = Options::new(listen);
    if let Some(faults) = flags.faults {
        options.faults = serde_json::from_str(&faults).wrap_err("--faults")?;
    }
    let server = service::spawn(options).wrap_err_with(|| format!("cannot listen on {listen}"))?;
    writeln!(io::stdout(), "listening on {}", server.address())?;
    tokio::signal::ctrl_c().await?;
    Ok(())
}
