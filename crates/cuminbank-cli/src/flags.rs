//! Grammar and help texts of the command line.

#![allow(missing_docs, reason = "the macro uses doc comments as help texts only")]
#![allow(unused_qualifications, reason = "generated code")]

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Operates cuminbank: profiles, calls, batch tasks, planned stops and the daily report.
    ///
    /// Examples:
    ///   cuminbank profile check morning-rush.json
    ///   cuminbank --settings ops.json profile apply morning-rush.json --wait
    ///   cuminbank --store 127.0.0.1:2379 report --day 2026-12-04 --html day.html
    ///   cuminbank --operator 127.0.0.1:7721 explain 5c0e7a21d94b36f8
    ///   cuminbank --entry 127.0.0.1:8080 call --profile 'morning rush' --customer cafe plan.json
    ///
    /// Exit codes: 0 done, 1 refused or not run, 2 usage or invalid input, 3 conflict, 4 outcome
    /// unknown, 5 not reachable.
    cmd cuminbank {
        /// Address of the store; may be repeated.
        repeated --store addr: SocketAddr
        /// Address of an entry instance (HTTP); may be repeated.
        repeated --entry addr: SocketAddr
        /// Operator address of an instance of the job daemon (HTTP); may be repeated.
        repeated --operator addr: SocketAddr
        /// JSON file with the fields store, entry, operator and by; flags replace them.
        optional --settings path: PathBuf
        /// Print one JSON document.
        optional --json

        /// Manage profiles: deadlines, priorities and limits of a kind of work.
        cmd profile {
            /// Validate profile documents without applying them.
            cmd check {
                /// Files to check.
                repeated file: PathBuf
            }
            /// Validate a profile document and commit it.
            cmd apply {
                /// File with one profile.
                required file: PathBuf
                /// Commit only if the profile is at this revision; 0 if it must not exist.
                optional --expect-revision n: i64
                /// Wait up to 10 s until the profile is active on every entry instance.
                optional --wait
                /// Name of the operator, recorded in the history.
                optional --by name: String
            }
            /// Print a stored profile, or list all of them.
            cmd show {
                /// Name of the profile.
                optional name: String
            }
            /// List the changes of a profile.
            cmd history {
                /// Name of the profile.
                required name: String
            }
            /// Print the difference between a stored profile and a file.
            cmd diff {
                /// Name of the profile.
                required name: String
                /// File with one profile.
                required file: PathBuf
            }
        }
        /// Show the state of every entry instance.
        cmd status {}
        /// Show the instances of the job daemon, and the cells of the pool with their owners.
        cmd pool {}
        /// Show the state of a job on the pool: phase, cell, tasks, executors and wait reason.
        cmd job {
            /// Id of the job, 16 hexadecimal digits.
            required id: String
        }
        /// List the recent decisions of all job daemon instances about a job, in order of time.
        cmd explain {
            /// Id of the job, 16 hexadecimal digits.
            required id: String
        }
        /// Send one urgent call.
        cmd call {
            /// Name of the profile.
            required --profile name: String
            /// Name of the customer.
            required --customer name: String
            /// Class of the call; the name of the profile if omitted.
            optional --class name: String
            /// Ticket of an earlier attempt; a new one is issued if omitted.
            optional --ticket ticket: String
            /// File with the body; empty if omitted.
            optional body: PathBuf
        }
        /// Submit one batch task.
        cmd submit {
            /// Name of the profile.
            required --profile name: String
            /// Name of the customer.
            required --customer name: String
            /// Ticket of an earlier attempt; a new one is issued if omitted.
            optional --ticket ticket: String
            /// JSON file with the fields size, input and, if wanted, class and declared_run_ms.
            required file: PathBuf
        }
        /// Print each change of a batch task's state until it ends.
        cmd follow {
            /// Id of the task.
            required task: String
        }
        /// Cancel a batch task.
        cmd cancel {
            /// Id of the task.
            required task: String
        }
        /// Begin the planned stop of an entry instance.
        cmd drain {
            /// HTTP address of the instance.
            required addr: SocketAddr
        }
        /// Print the daily report.
        cmd report {
            /// Day as YYYY-MM-DD in UTC; today if omitted.
            optional --day day: String
            /// Also write the report as an HTML page with plots to this file.
            optional --html path: PathBuf
        }
    }
}
