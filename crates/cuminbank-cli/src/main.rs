//! Operators' command line.

use std::process::ExitCode;

use cuminbank_cli::{
    exit::{CommandEnd, ExitStatus},
    run::{parse, run, ParsedLine},
};

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let (end, json) = match parse(args) {
        ParsedLine::Printed(end) => (end, false),
        ParsedLine::Command(flags) => (cuminbank_net::runtime::run(run(&flags)), flags.json),
    };
    print_end(&end, json);
    ExitCode::from(end.status.code())
}

fn print_end(end: &CommandEnd, json: bool) {
    if json {
        println!("{}", end.to_json());
    } else if end.status == ExitStatus::Done {
        println!("{}", end.text);
    } else {
        eprintln!("{}", end.text);
    }
}
