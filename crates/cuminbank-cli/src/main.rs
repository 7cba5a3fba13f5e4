//! The `cuminbank` command line program.

use std::process::ExitCode;

use cuminbank_cli::{
    exit::{CommandOutcome, ExitStatus},
    run::{parse, run, ParsedLine},
};

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let (outcome, json) = match parse(args) {
        ParsedLine::Printed(outcome) => (outcome, false),
        ParsedLine::Command(flags) => (cuminbank_net::runtime::run(run(&flags)), flags.json),
    };
    print_outcome(&outcome, json);
    ExitCode::from(outcome.status.code())
}

fn print_outcome(outcome: &CommandOutcome, json: bool) {
    if json {
        println!("{}", outcome.to_json());
    } else if outcome.status == ExitStatus::Done {
        println!("{}", outcome.text);
    } else {
        eprintln!("{}", outcome.text);
    }
}
