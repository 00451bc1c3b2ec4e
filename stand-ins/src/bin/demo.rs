//! Starts everything in one process and prints how to send a request.

use std::io::{self, Write as _};

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
    for address in demo.callers() {
        writeln!(out, "entry host: http://{address}")?;
    }
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
