//! Commands and flags.

use std::ffi::OsString;

use crate::failure::Failure;

xflags::xflags! {
    /// Operators' command line of almondrack.
    ///
    /// Exit codes: 0 done, 1 refused by the server or errors found, 2 usage, 3 no host answers, 4 conflict, 5 doubts
    /// found by check.
    cmd almondrackctl {
        /// Administration address of a host, IP and port; the next one is asked when one does not answer.
        /// ALMONDRACK_ADMIN holds several, separated by commas.
        repeated --admin admin: String
        /// Secret of an operator's or auditor's key. Better given as ALMONDRACK_KEY.
        optional --key key: String
        /// Writes JSON.
        optional --json

        /// Writes records from files and directories, all of them or none that depends on another.
        cmd apply {
            /// Files with a record or a list of records, and directories of such .json files.
            repeated path: String
            /// Shows the difference and writes nothing.
            optional --dry-run
            /// Record to delete, KIND/NAME.
            repeated --delete delete: String
            /// Refuses the change if one of its records changed after this revision.
            optional --if-revision if_revision: String
        }
        /// Checks records before they are written: errors, entries that never match, limits that contradict each other,
        /// and what changes for callers. Writes nothing.
        cmd check {
            /// Files with a record or a list of records, and directories of such .json files.
            repeated path: String
            /// Record that is to be deleted, KIND/NAME.
            repeated --delete delete: String
            /// Checks the records by themselves and asks no host.
            optional --offline
        }
        /// Shows records of a kind (customer, key, class, route, pool), or one of them.
        cmd get {
            /// Kind of the records.
            required kind: String
            /// Name of the record.
            optional name: String
        }
        /// Deletes a record.
        cmd delete {
            /// Kind of the record.
            required kind: String
            /// Name of the record.
            required name: String
            /// Refuses the change if the record is not at this revision.
            optional --if-revision if_revision: String
        }
        /// Issues, rotates and withdraws keys.
        cmd key {
            /// Makes a key and shows its secret once.
            cmd issue {
                /// Name of the key's record.
                required name: String
                /// Customer of a caller's key.
                optional --customer customer: String
                /// caller (default), operator or auditor.
                optional --role role: String
                /// End of validity, in milliseconds since the Unix epoch.
                optional --expires-ms expires_ms: String
            }
            /// Makes a key in place of another, which stays valid for a while.
            cmd rotate {
                /// Name of the old key's record.
                required name: String
                /// Time for which the old key stays valid, in milliseconds (3600000).
                optional --overlap-ms overlap_ms: String
            }
            /// Makes a key invalid for good.
            cmd withdraw {
                /// Name of the key's record.
                required name: String
            }
        }
        /// Shows all hosts: revisions in force, leases and their fencing numbers, pools, what is degraded.
        cmd status {}
        /// Shows reports.
        cmd report {
            /// Service-level burn per class and customer, the worst served first.
            cmd burn {}
            /// Sealed usage windows.
            cmd usage {
                /// Number of one window; the last ones if absent.
                optional --window window: String
            }
        }
        /// Shows the upstreams of every availability zone.
        cmd upstreams {}
        /// Tells a host to stop after its requests.
        cmd drain {
            /// Host id.
            required host: String
        }
        /// Shows what became of a request, from collected log lines; asks no host.
        cmd explain {
            /// Id of the request.
            required id: String
            /// Files with the JSON lines of one or more hosts.
            repeated path: String
        }
    }
}

/// Examples below the help.
pub(crate) const EXAMPLES: &str = "
EXAMPLES:
    export ALMONDRACK_ADMIN=10.0.0.1:7003,10.0.0.2:7003 ALMONDRACK_KEY=...
    almondrackctl check records/
    almondrackctl apply records/ --dry-run
    almondrackctl apply records/ --delete route/old
    almondrackctl get customer bakery
    almondrackctl key issue till --customer bakery
    almondrackctl key rotate till --overlap-ms 60000
    almondrackctl key withdraw till
    almondrackctl status
    almondrackctl report burn --json
    almondrackctl report usage --window 5884460
    almondrackctl drain host-a1
    almondrackctl explain 0b32cb2345351ac9 logs/*.log
";

/// Forms of the commands, by the first word.
const FORMS: [(&str, &str); 10] = [
    ("apply", "apply PATH... [--dry-run] [--delete KIND/NAME]... [--if-revision N]"),
    ("check", "check PATH... [--delete KIND/NAME]... [--offline]"),
    ("get", "get KIND [NAME]"),
    ("delete", "delete KIND NAME [--if-revision N]"),
    (
        "key",
        "key issue NAME [--customer NAME] [--role ROLE] [--expires-ms N], key rotate NAME \
         [--overlap-ms N], key withdraw NAME",
    ),
    ("status", "status"),
    ("report", "report burn, report usage [--window N]"),
    ("upstreams", "upstreams"),
    ("drain", "drain HOST"),
    ("explain", "explain ID FILE..."),
];

/// Adds to an error of the parser what would be accepted.
pub(crate) fn explain(arguments: &[OsString], error: &xflags::Error) -> Failure {
    let words: Vec<_> = arguments.iter().filter_map(|it| it.to_str()).collect();
    let form = FORMS.iter().find(|it| words.contains(&it.0));
    let accepted = match form {
        Some((_, form)) => (*form).to_owned(),
        None => FORMS.map(|it| it.0).join(", "),
    };
    Failure::Usage(format!("{error}; accepted: {accepted}; and --admin, --key, --json, --help"))
}

/// Reads a number of a flag.
pub(crate) fn number(flag: &str, text: Option<&str>) -> Result<Option<u64>, Failure> {
    let Some(text) = text else { return Ok(None) };
    let wrong = || Failure::Usage(format!("--{flag}: found {text:?}; accepted: a whole number"));
    text.parse().map(Some).map_err(|_| wrong())
}
