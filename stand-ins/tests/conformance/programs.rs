//! The programs print their addresses and end as they say.

use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use crate::common;

/// Starts a program and reads the address that it listens on.
fn start(program: &str, arguments: &[&str]) -> (Child, SocketAddr) {
    let mut child = Command::new(program).args(arguments).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("listening on ").unwrap().parse().unwrap();
    (child, address)
}

#[tokio::test]
async fn each_program_serves_at_the_address_that_it_prints() {
    let upstream = ["--upstream", "u,p,a,127.0.0.1:1,cheap"];
    let cases = [
        (
            env!("CARGO_BIN_EXE_platform"),
            &upstream[..],
            "GET /v1/zones/a/upstreams",
            "\"id\":\"u\"",
        ),
        (env!("CARGO_BIN_EXE_engine"), &["--slots", "7"][..], "GET /load", "\"slots\":7"),
        (env!("CARGO_BIN_EXE_service"), &[][..], "GET /x", "\"path\":\"/x\""),
    ];
    for (program, arguments, call, expected) in cases {
        let (mut child, address) = start(program, arguments);
        let answer = common::call(address, call).await;
        child.kill().unwrap();
        child.wait().unwrap();
        assert!(answer.contains(expected), "{answer}");
    }
}

#[tokio::test]
async fn a_marked_prompt_ends_the_engine() {
    let faults = ["--faults", r#"{"crash_on":"poison"}"#];
    let (mut child, address) = start(env!("CARGO_BIN_EXE_engine"), &faults);
    let poison = r#"POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"poison"}"#;
    assert_eq!(common::call(address, poison).await, "no answer");
    assert_eq!(child.wait().unwrap().code(), Some(101));
}
