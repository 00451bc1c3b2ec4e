//! Starts everything in one process and prints how to send a request.

use std::{
    io::{self, Write as _},
    net::SocketAddr,
};

use eyre::{Result, ensure};
use stand_ins::demo::{self, Demo};

mod flags {
    xflags::xflags! {
        /// Platform, entry hosts, engines and services in one process.
        cmd demo {
            /// Sends requests of each form to each host and exits.
            optional --check
        }
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let flags = flags::Demo::from_env_or_exit();
    let demo = demo::spawn().await?;
    if flags.check {
        for line in demo.check().await? {
            writeln!(io::stdout(), "{line}")?;
        }
    } else {
        show(&demo)?;
        tokio::signal::ctrl_c().await?;
    }
    ensure!(demo.stop().await, "a request did not end");
    Ok(())
}

fn show(demo: &Demo) -> Result<()> {
    let mut out = io::stdout();
    writeln!(out, "key: {}", demo.key)?;
    for (callers, admin) in demo.callers().iter().zip(demo.admins()) {
        writeln!(out, "entry host: http://{callers}, administration: {admin}")?;
    }
    let admins: Vec<_> = demo.admins().iter().map(SocketAddr::to_string).collect();
    writeln!(out, "export ALMONDRACK_ADMIN={}", admins.join(","))?;
    writeln!(out, "export ALMONDRACK_KEY={}", demo.operator)?;
    let Some(address) = demo.callers().into_iter().next() else {
        return Ok(());
    };
    let body = format!(
        r#"{{"model":"{}","stream":true,"max_tokens":20,"messages":[{{"role":"user","content":"marker:hello"}}]}}"#,
        demo::MODEL
    );
    writeln!(
        out,
        "curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {}' -d '{body}'",
        demo.key
    )?;
    writeln!(out, "Ctrl-C stops.")?;
    Ok(())
}
