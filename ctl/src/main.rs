//! Operators' command line.

use std::{env, io, process::ExitCode};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = env::args_os().skip(1).collect();
    let look_up = |name: &str| env::var(name).ok();
    let code = almondrackctl::run(arguments, &look_up, &mut io::stdout(), &mut io::stderr()).await;
    ExitCode::from(code)
}
