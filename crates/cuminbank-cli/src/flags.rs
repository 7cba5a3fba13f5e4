//! Grammar of the command line.

#![allow(missing_docs, reason = "the macro passes the comments to the help text only")]
#![allow(unused_qualifications, reason = "generated code")]

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Operates cuminbank: profiles, calls, batch tasks, planned stops and the evening report.
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
        /// Operators' address of an instance of the job daemon (HTTP); may be repeated.
        repeated --operator addr: SocketAddr
        /// JSON file with store, entry, operator and by; flags replace its fields.
        optional --settings path: PathBuf
        /// Print one JSON document.
        optional --json

        /// Profiles: how a kind of work is treated.
        cmd profile {
            /// Check profile documents without applying them.
            cmd check {
                /// Files to check.
                repeated file: PathBuf
            }
            /// Check a profile document and commit it.
            cmd apply {
                /// File with one profile.
                required file: PathBuf
                /// Commit only if the profile is at this revision; 0 if it must not exist.
                optional --expect-revision n: i64
                /// Wait up to 10 s until every entry instance has it in force.
                optional --wait
                /// Operator named in the history.
                optional --by name: String
            }
            /// Print a stored profile, or list all.
            cmd show {
                /// Name of the profile.
                optional name: String
            }
            /// List the changes of a profile.
            cmd history {
                /// Name of the profile.
                required name: String
            }
            /// Compare a stored profile with a file.
            cmd diff {
                /// Name of the profile.
                required name: String
                /// File with one profile.
                required file: PathBuf
            }
        }
        /// Show the state of the entry instances.
        cmd status {}
        /// Show the cells of the pool of executors, who owns them, and the instances of the job daemon.
        cmd pool {}
        /// Show where a job on the pool stands: its phase, cell, tasks, executors and what it waits for.
        cmd job {
            /// Id of the job, 16 hexadecimal digits.
            required id: String
        }
        /// Gather the decisions on a job from all instances of the job daemon, in order of time.
        cmd explain {
            /// Id of the job, 16 hexadecimal digits.
            required id: String
        }
        /// Send one urgent call.
        cmd call {
            /// Profile.
            required --profile name: String
            /// Customer.
            required --customer name: String
            /// Class; the name of the profile without it.
            optional --class name: String
            /// Ticket of an earlier try; a new one is taken without it.
            optional --ticket ticket: String
            /// File with the body; empty without it.
            optional body: PathBuf
        }
        /// Submit one batch task.
        cmd submit {
            /// Profile.
            required --profile name: String
            /// Customer.
            required --customer name: String
            /// Ticket of an earlier try; a new one is taken without it.
            optional --ticket ticket: String
            /// JSON file with the fields size, input and, if wanted, class and declared_run_ms.
            required file: PathBuf
        }
        /// Print the changes of state of a batch task until it ends.
        cmd follow {
            /// Id of the task.
            required task: String
        }
        /// Cancel a batch task.
        cmd cancel {
            /// Id of the task.
            required task: String
        }
        /// Begin a planned stop of an entry instance.
        cmd drain {
            /// Its HTTP address.
            required addr: SocketAddr
        }
        /// Print the evening report.
        cmd report {
            /// Day as YYYY-MM-DD in UTC; today without it.
            optional --day day: String
            /// Write a page with plots to this file.
            optional --html path: PathBuf
        }
    }
}
