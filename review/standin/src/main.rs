//! Plays the cases of the review: `review-standin CASE DIR`, with the variable `TROUBLE`.

mod cases;
mod deployment;
mod platform;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, directory] = arguments.as_slice() else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::play(case, directory, trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            ExitCode::from(2)
        }
    }
}
