//! Command lines that are refused before anything is sent: which value, why, and what would be accepted.

use std::{ffi::OsString, fs, net::TcpListener, path::PathBuf, time::Duration};

use expect_test::expect;

/// Environment with a host that does not exist and a key.
fn environment(name: &str) -> Option<String> {
    match name {
        "ALMONDRACK_ADMIN" => Some("127.0.0.1:1".to_owned()),
        "ALMONDRACK_KEY" => Some("secret".to_owned()),
        _ => None,
    }
}

async fn run_with(line: &str, look_up: &dyn Fn(&str) -> Option<String>) -> String {
    let arguments: Vec<OsString> = line.split_whitespace().map(OsString::from).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = almondrackctl::run(arguments, look_up, &mut out, &mut err).await;
    assert!(out.is_empty(), "{line}");
    format!("{code} {line}\n  {}", String::from_utf8(err).unwrap())
}

async fn refusals(lines: &[&str]) -> String {
    let mut text = String::new();
    for line in lines {
        text.push_str(&run_with(line, &environment).await);
    }
    text
}

#[tokio::test]
async fn commands_say_what_is_wrong_and_what_is_accepted() {
    let lines = [
        "",
        "aply records",
        "apply",
        "apply --dryrun records",
        "apply --delete bakery",
        "apply --delete custmer/bakery",
        "apply --delete customer/Bakery",
        "apply --delete customer/bakery --if-revision soon",
        "apply --if-revision 1 --if-revision 2 --delete customer/bakery",
        "apply no-such-directory",
        "get",
        "get custmer",
        "get customer BAKERY",
        "get customer bakery extra",
        "delete customer",
        "delete customer bakery --if-revision -1",
        "key",
        "key isue till",
        "key issue",
        "key issue till",
        "key issue till --customer bakery --role chef",
        "key issue till --customer bakery --role operator",
        "key issue till --customer bakery --expires-ms 18446744073709551616",
        "key issue till! --customer bakery",
        "key rotate till --overlap-ms 1h",
        "key withdraw",
        "status now",
        "report",
        "report burn --window 1",
        "report usage --window last",
        "upstreams zone-a",
        "drain",
        "--admin localhost status",
        "--admin 10.0.0.1 status",
    ];
    expect![[r#"
        2 
          almondrackctl: subcommand is required; accepted: apply, check, get, delete, key, status, report, upstreams, drain, explain; and --admin, --key, --json, --help
        2 aply records
          almondrackctl: unexpected argument: "aply"; accepted: apply, check, get, delete, key, status, report, upstreams, drain, explain; and --admin, --key, --json, --help
        2 apply
          almondrackctl: nothing to apply; accepted: a file or directory, or --delete KIND/NAME
        2 apply --dryrun records
          almondrackctl: unexpected flag: `--dryrun`; accepted: apply PATH... [--dry-run] [--delete KIND/NAME]... [--if-revision N]; and --admin, --key, --json, --help
        2 apply --delete bakery
          almondrackctl: --delete: found "bakery"; accepted: KIND/NAME
        2 apply --delete custmer/bakery
          almondrackctl: kind: found "custmer"; accepted: customer, key, class, route, pool
        2 apply --delete customer/Bakery
          almondrackctl: --delete: found "Bakery"; accepted: 1 to 64 of a-z 0-9 - . _
        2 apply --delete customer/bakery --if-revision soon
          almondrackctl: --if-revision: found "soon"; accepted: a whole number
        2 apply --if-revision 1 --if-revision 2 --delete customer/bakery
          almondrackctl: flag specified more than once: `--if-revision`; accepted: apply PATH... [--dry-run] [--delete KIND/NAME]... [--if-revision N]; and --admin, --key, --json, --help
        2 apply no-such-directory
          almondrackctl: no-such-directory: No such file or directory (os error 2)
        2 get
          almondrackctl: flag is required: `kind`; accepted: get KIND [NAME]; and --admin, --key, --json, --help
        2 get custmer
          almondrackctl: kind: found "custmer"; accepted: customer, key, class, route, pool
        2 get customer BAKERY
          almondrackctl: name: found "BAKERY"; accepted: 1 to 64 of a-z 0-9 - . _
        2 get customer bakery extra
          almondrackctl: unexpected argument: "extra"; accepted: get KIND [NAME]; and --admin, --key, --json, --help
        2 delete customer
          almondrackctl: flag is required: `name`; accepted: delete KIND NAME [--if-revision N]; and --admin, --key, --json, --help
        2 delete customer bakery --if-revision -1
          almondrackctl: --if-revision: found "-1"; accepted: a whole number
        2 key
          almondrackctl: subcommand is required; accepted: key issue NAME [--customer NAME] [--role ROLE] [--expires-ms N], key rotate NAME [--overlap-ms N], key withdraw NAME; and --admin, --key, --json, --help
        2 key isue till
          almondrackctl: unexpected argument: "isue"; accepted: key issue NAME [--customer NAME] [--role ROLE] [--expires-ms N], key rotate NAME [--overlap-ms N], key withdraw NAME; and --admin, --key, --json, --help
        2 key issue
          almondrackctl: flag is required: `name`; accepted: key issue NAME [--customer NAME] [--role ROLE] [--expires-ms N], key rotate NAME [--overlap-ms N], key withdraw NAME; and --admin, --key, --json, --help
        2 key issue till
          almondrackctl: a caller's key needs --customer NAME
        2 key issue till --customer bakery --role chef
          almondrackctl: --role: found "chef"; accepted: caller, operator, auditor
        2 key issue till --customer bakery --role operator
          almondrackctl: --customer does not go with --role operator; accepted: caller
        2 key issue till --customer bakery --expires-ms 18446744073709551616
          almondrackctl: --expires-ms: found "18446744073709551616"; accepted: a whole number
        2 key issue till! --customer bakery
          almondrackctl: name: found "till!"; accepted: 1 to 64 of a-z 0-9 - . _
        2 key rotate till --overlap-ms 1h
          almondrackctl: --overlap-ms: found "1h"; accepted: a whole number
        2 key withdraw
          almondrackctl: flag is required: `name`; accepted: key issue NAME [--customer NAME] [--role ROLE] [--expires-ms N], key rotate NAME [--overlap-ms N], key withdraw NAME; and --admin, --key, --json, --help
        2 status now
          almondrackctl: unexpected argument: "now"; accepted: status; and --admin, --key, --json, --help
        2 report
          almondrackctl: subcommand is required; accepted: report burn, report usage [--window N]; and --admin, --key, --json, --help
        2 report burn --window 1
          almondrackctl: unexpected flag: `--window`; accepted: report burn, report usage [--window N]; and --admin, --key, --json, --help
        2 report usage --window last
          almondrackctl: --window: found "last"; accepted: a whole number
        2 upstreams zone-a
          almondrackctl: unexpected argument: "zone-a"; accepted: upstreams; and --admin, --key, --json, --help
        2 drain
          almondrackctl: flag is required: `host`; accepted: drain HOST; and --admin, --key, --json, --help
        2 --admin localhost status
          almondrackctl: --admin: found "localhost"; accepted: IP:PORT
        2 --admin 10.0.0.1 status
          almondrackctl: --admin: found "10.0.0.1"; accepted: IP:PORT
    "#]].assert_eq(&refusals(&lines).await);
}

#[tokio::test]
async fn hosts_and_keys_must_be_named() {
    let mut text = run_with("status", &|_| None).await;
    let no_key = |name: &str| (name == "ALMONDRACK_ADMIN").then(|| "127.0.0.1:1".to_owned());
    text.push_str(&run_with("status", &no_key).await);
    let bad_key = |name: &str| environment(name).map(|it| it.replace("secret", "se cret"));
    text.push_str(&run_with("status", &bad_key).await);
    let bad_host = |name: &str| environment(name).map(|it| it.replace(":1", ":1,elsewhere"));
    text.push_str(&run_with("status", &bad_host).await);
    expect![[r#"
        2 status
          almondrackctl: no host to ask; accepted: --admin IP:PORT or ALMONDRACK_ADMIN
        2 status
          almondrackctl: no key; accepted: the secret of an operator's or auditor's key as --key or ALMONDRACK_KEY
        2 status
          almondrackctl: the key has unprintable characters; accepted: the secret of an operator's or auditor's key as --key or ALMONDRACK_KEY
        2 status
          almondrackctl: --admin: found "elsewhere"; accepted: IP:PORT
    "#]].assert_eq(&text);
}

#[tokio::test]
async fn hosts_that_cannot_be_reached_are_named() {
    let lines = ["status", "get customer", "--admin 127.0.0.1:2 --admin 127.0.0.1:3 status"];
    expect![[r#"
        3 status
          almondrackctl: no host answers: 127.0.0.1:1 cannot be reached
        3 get customer
          almondrackctl: no host answers: 127.0.0.1:1 cannot be reached
        3 --admin 127.0.0.1:2 --admin 127.0.0.1:3 status
          almondrackctl: no host answers: 127.0.0.1:2 cannot be reached; 127.0.0.1:3 cannot be reached
    "#]].assert_eq(&refusals(&lines).await);
}

fn directory(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    for (file, text) in files {
        fs::write(path.join(file), text).unwrap();
    }
    path
}

#[tokio::test]
async fn files_are_checked_before_anything_is_sent() {
    let customer = r#"{"kind":"customer","schema":2,"name":"bakery"}"#;
    let list = format!("[{customer}]");
    let cases: [(&str, &[(&str, &str)]); 6] = [
        ("empty", &[("notes.txt", "none")]),
        ("broken", &[("a.json", "{\"kind\":")]),
        ("no-kind", &[("a.json", "{\"name\":\"bakery\"}")]),
        ("bad-kind", &[("a.json", "{\"kind\":\"custmer\",\"name\":\"bakery\"}")]),
        ("number", &[("a.json", "7")]),
        ("twice", &[("a.json", customer), ("b.json", &list)]),
    ];
    let mut text = String::new();
    for (name, files) in cases {
        let path = directory(name, files);
        let line = format!("apply {}", path.display());
        text.push_str(&run_with(&line, &environment).await);
    }
    let path = directory("both", &[("a.json", customer)]);
    let line = format!("apply {} --delete customer/bakery", path.display());
    text.push_str(&run_with(&line, &environment).await);
    let text = text.replace(env!("CARGO_TARGET_TMPDIR"), "DIR");
    expect![[r#"
        2 apply DIR/empty
          almondrackctl: no records in DIR/empty; accepted: .json files
        2 apply DIR/broken
          almondrackctl: DIR/broken/a.json: EOF while parsing a value at line 1 column 8; accepted: JSON
        2 apply DIR/no-kind
          almondrackctl: DIR/no-kind/a.json: a record without kind and name; accepted: objects with kind (one of customer, key, class, route, pool) and name
        2 apply DIR/bad-kind
          almondrackctl: DIR/bad-kind/a.json: a record without kind and name; accepted: objects with kind (one of customer, key, class, route, pool) and name
        2 apply DIR/number
          almondrackctl: DIR/number/a.json: a record without kind and name; accepted: objects with kind (one of customer, key, class, route, pool) and name
        2 apply DIR/twice
          almondrackctl: customer/bakery stands in DIR/twice/a.json and in DIR/twice/b.json; accepted: each record once
        2 apply DIR/both --delete customer/bakery
          almondrackctl: customer/bakery is both written and deleted; accepted: one of them
    "#]].assert_eq(&text);
}

#[tokio::test]
async fn help_has_examples() {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let arguments = vec![OsString::from("--help")];
    let code = almondrackctl::run(arguments, &|_| None, &mut out, &mut err).await;
    let help = String::from_utf8(out).unwrap();
    assert_eq!((code, err.len()), (0, 0));
    for word in ["apply", "rotate", "withdraw", "upstreams", "drain", "--json", "EXAMPLES"] {
        assert!(help.contains(word), "{word}");
    }
}

#[tokio::test]
async fn a_command_that_waits_says_for_what() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap().to_string();
    let look_up = |name: &str| match name {
        "ALMONDRACK_ADMIN" => Some(address.clone()),
        _ => environment(name),
    };
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let run = almondrackctl::run(vec![OsString::from("status")], &look_up, &mut out, &mut err);
    assert!(tokio::time::timeout(Duration::from_millis(2_500), run).await.is_err());
    let err = String::from_utf8(err).unwrap().replace(&address, "HOST");
    assert!(err.starts_with("almondrackctl: GET /v1/status at HOST (1 s)\n"), "{err}");
    assert!(!err.contains("secret"), "{err}");
}
