//! Parses the command line and dispatches to the commands.

use std::ffi::OsString;

use crate::{
    exit::{CommandOutcome, ExitStatus},
    flags::{Cuminbank, CuminbankCmd, ProfileCmd},
    operate_commands, pool_commands, profile_commands,
    session::{CliSession, CliSettings},
    work_commands,
};

/// A parsed command line.
#[derive(Debug)]
pub enum ParsedLine {
    /// The command to run, with its flags.
    Command(Box<Cuminbank>),
    /// Help text or a usage error; there is nothing to run.
    Printed(CommandOutcome),
}

/// Parses the arguments, without the program name.
pub fn parse(args: Vec<OsString>) -> ParsedLine {
    match Cuminbank::from_vec(args) {
        Ok(flags) => ParsedLine::Command(Box::new(flags)),
        Err(error) if error.is_help() => {
            let text = error.to_string();
            ParsedLine::Printed(CommandOutcome::new_done(text.trim_end(), serde_json::Value::Null))
        }
        Err(error) => {
            let text = format!("{error}; `cuminbank --help` lists the commands");
            ParsedLine::Printed(CommandOutcome::new_failed(ExitStatus::Usage, text))
        }
    }
}

/// Runs a command with the settings file of its flags; addresses given as flags replace those of
/// the file.
pub async fn run(flags: &Cuminbank) -> CommandOutcome {
    let mut settings = match CliSettings::from_file(flags.settings.as_deref()) {
        Ok(settings) => settings,
        Err(error) => return CommandOutcome::new_failed(ExitStatus::Usage, error),
    };
    if !flags.store.is_empty() {
        settings.store.clone_from(&flags.store);
    }
    if !flags.entry.is_empty() {
        settings.entry.clone_from(&flags.entry);
    }
    if !flags.operator.is_empty() {
        settings.operator.clone_from(&flags.operator);
    }
    let session = CliSession::new(settings);
    run_command(&session, &flags.subcommand).await.unwrap_or_else(|outcome| outcome)
}

async fn run_command(
    session: &CliSession,
    command: &CuminbankCmd,
) -> Result<CommandOutcome, CommandOutcome> {
    match command {
        CuminbankCmd::Profile(profile) => match &profile.subcommand {
            ProfileCmd::Check(check) => Ok(profile_commands::check(&check.file)),
            ProfileCmd::Apply(apply) => profile_commands::apply(session, apply).await,
            ProfileCmd::Show(show) => profile_commands::show(session, show.name.as_deref()).await,
            ProfileCmd::History(history) => profile_commands::history(session, &history.name).await,
            ProfileCmd::Diff(diff) => profile_commands::diff(session, &diff.name, &diff.file).await,
        },
        CuminbankCmd::Status(_) => operate_commands::status(session).await,
        CuminbankCmd::Pool(_) => pool_commands::pool(session).await,
        CuminbankCmd::Job(job) => pool_commands::job(session, &job.id).await,
        CuminbankCmd::Explain(explain) => pool_commands::explain(session, &explain.id).await,
        CuminbankCmd::Call(call) => work_commands::call(session, call).await,
        CuminbankCmd::Submit(submit) => work_commands::submit(session, submit).await,
        CuminbankCmd::Follow(follow) => work_commands::follow(session, &follow.task).await,
        CuminbankCmd::Cancel(cancel) => work_commands::cancel(session, &cancel.task).await,
        CuminbankCmd::Drain(drain) => Ok(operate_commands::drain(session, drain.addr).await),
        CuminbankCmd::Report(report) => {
            let (day, html) = (report.day.as_deref(), report.html.as_deref());
            operate_commands::report(session, day, html).await
        }
    }
}
