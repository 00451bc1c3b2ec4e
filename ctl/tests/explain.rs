//! The path of a request through the log lines of several hosts.

use std::{ffi::OsString, fs};

use expect_test::expect;

/// Lines of a played day, shortened to the fields that are read.
const FIRST: &str = r#"
{"time":"2026-02-17T19:40:13.100000+00:00","message":"configuration 23 is in force, revision 1420"}
{"time":"2026-02-17T19:40:14.820000+00:00","message":"the host at 10.2.0.8:8060 does not answer"}
{"time":"2026-02-17T19:40:14.900000+00:00","message":"request 77aa got no answer from i-2, expected in 80 ms: upstream_cut after 12 ms, run unknown, is given up"}
{"time":"2026-02-17T19:40:15.010000+00:00","message":"request 52c798 got no answer from i-1, expected in 110 ms: upstream_connect after 250 ms, run no, is sent again"}
not a line
{"time":"2026-02-17T19:40:16.500000+00:00","message":"the store answers again"}
"#;

const SECOND: &str = r#"
  14.8 edge-b {"time":"2026-02-17T19:40:15.402000+00:00","message":"stream 52c798 is cut after event 3: upstream_cut, not resumed"}
"#;

async fn explain(id: &str) -> (u8, String) {
    let directory =
        std::env::temp_dir().join(format!("almondrack-explain-{}-{id}", std::process::id()));
    fs::create_dir_all(&directory).expect("the directory can be made");
    let paths = [("edge-a.log", FIRST), ("collected.log", SECOND)].map(|(name, text)| {
        let path = directory.join(name);
        fs::write(&path, text).expect("the file can be written");
        path.into_os_string()
    });
    let mut arguments: Vec<OsString> = vec!["explain".into(), id.into()];
    arguments.extend(paths);
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = almondrackctl::run(arguments, &|_| None, &mut out, &mut err).await;
    fs::remove_dir_all(&directory).expect("the directory can be removed");
    out.extend(err);
    (code, String::from_utf8(out).expect("the output is text"))
}

#[tokio::test]
async fn lines_of_all_hosts_are_shown_in_order_with_what_each_host_learned_meanwhile() {
    let (code, shown) = explain("52c798").await;
    assert_eq!(code, 0);
    expect![[r#"
          19:40:13.100 edge-a: configuration 23 is in force, revision 1420
          19:40:14.820 edge-a: the host at 10.2.0.8:8060 does not answer
        * 19:40:15.010 edge-a: request 52c798 got no answer from i-1, expected in 110 ms: upstream_connect after 250 ms, run no, is sent again
        * 19:40:15.402 edge-b: stream 52c798 is cut after event 3: upstream_cut, not resumed
    "#]].assert_eq(&shown);
}

#[tokio::test]
async fn a_request_without_a_line_is_told_so() {
    let (code, shown) = explain("52c7").await;
    assert_eq!(code, 1);
    expect![[r#"
        almondrackctl: no line names 52c7; a request without one was answered by its first upstream, or its lines were dropped
    "#]].assert_eq(&shown);
}
