//! Scripts of the second review. `review-standin-2 CASE FOLDER` plays a case and writes `record.txt`
//! into the folder. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod http;
mod json;
mod pool;
mod site;
mod store;

mod cut_counts;
mod other_service;
mod short_owner;

use std::{fs::File, path::Path, process::ExitCode};

use pool::Pool;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = File::create(Path::new(folder).join("record.txt")) else {
        eprintln!("record.txt can't be written");
        return ExitCode::from(2);
    };
    let pool = Pool::new(record);
    let verdict = match case.as_str() {
        "cut-counts" => cut_counts::play(&pool, trouble),
        "other-service" => other_service::play(&pool, trouble),
        "restarts" => short_owner::play_restarts(&pool, trouble),
        "short-owner" => short_owner::play(&pool, trouble),
        _ => Verdict::NotRun,
    };
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
