//! Command line of the `corianderstand` binary: subcommands for processes and operator tasks.
//!
//! ```
//! let help = corianderstand_cli::run(["--help".to_owned()]);
//! assert_eq!(help, corianderstand_cli::Exit::Success);
//! ```

mod account;
mod args;
pub mod check;
pub mod check_config;
mod client;
mod cross_document;
mod directory;
mod explain;
mod fields;
mod log_lines;
mod logging;
mod operate;
mod platform;
mod process;
mod replay;
mod status;

use args::Command;
pub use args::reference;

/// Exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Success.
    Success = 0,
    /// A check, a document or the deployment has a fault.
    Fault = 1,
    /// Invalid command line.
    Usage = 2,
    /// Conflict with a concurrent change.
    Conflict = 3,
    /// The outcome of a change is unknown.
    Undecided = 4,
    /// A router is unreachable or a file unreadable.
    Unreachable = 5,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Runs a command.
pub fn run(args: impl IntoIterator<Item = String>) -> Exit {
    let mut args = args.into_iter();
    let Some(name) = args.next() else {
        eprintln!("{}", args::overview());
        return Exit::Usage;
    };
    if name == "--help" || name == "help" {
        println!("{}", args::overview());
        return Exit::Success;
    }
    if name == "--version" {
        println!("corianderstand {}", env!("CARGO_PKG_VERSION"));
        return Exit::Success;
    }
    let Some(command) = Command::from_name(&name) else {
        eprintln!("unknown command `{name}`\n\n{}", args::overview());
        return Exit::Usage;
    };
    match args::parse(command, args) {
        Ok(Some(matches)) => dispatch(command, &matches),
        Ok(None) => Exit::Success,
        Err(error) => {
            eprintln!("{error}");
            Exit::Usage
        }
    }
}

fn dispatch(command: Command, matches: &getopts::Matches) -> Exit {
    match command {
        Command::Router if matches.opt_present("platform") => platform::router(matches),
        Command::Agent if matches.opt_present("platform") => platform::agent(),
        Command::Router => process::router(matches),
        Command::Agent => process::agent(matches),
        Command::Check if matches.opt_present("config") => check_config::run(matches),
        Command::Check if matches.opt_present("platform") => platform::check(matches),
        Command::Check => check::run(matches),
        Command::Diff => operate::diff(matches),
        Command::Apply => operate::apply(matches),
        Command::Get => operate::get(matches),
        Command::History => operate::history(matches),
        Command::Status => status::run(matches),
        Command::HashKey => process::hash_key(matches),
        Command::Replay => replay::run(matches),
        Command::Explain => explain::run(matches),
        Command::Account => account::run(matches),
    }
}
