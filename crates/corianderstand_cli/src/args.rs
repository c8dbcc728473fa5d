//! Subcommands and their options.

use corianderstand_derives::derives;
use getopts::{Matches, Options};

#[derives(key)]
pub enum Command {
    Router,
    Agent,
    Check,
    Diff,
    Apply,
    Get,
    History,
    Status,
    HashKey,
    Replay,
    Explain,
    Account,
}

const ALL_COMMANDS: [Command; 12] = [
    Command::Router,
    Command::Agent,
    Command::Check,
    Command::Diff,
    Command::Apply,
    Command::Get,
    Command::History,
    Command::Status,
    Command::HashKey,
    Command::Replay,
    Command::Explain,
    Command::Account,
];

impl Command {
    const fn name(self) -> &'static str {
        match self {
            Self::Router => "router",
            Self::Agent => "agent",
            Self::Check => "check",
            Self::Diff => "diff",
            Self::Apply => "apply",
            Self::Get => "get",
            Self::History => "history",
            Self::Status => "status",
            Self::HashKey => "hash-key",
            Self::Replay => "replay",
            Self::Explain => "explain",
            Self::Account => "account",
        }
    }

    const fn help_text(self) -> (&'static str, &'static str) {
        match self {
            Self::Router => ("FILE", "run a router with the process settings in FILE"),
            Self::Agent => ("FILE", "run an agent with the process settings in FILE"),
            Self::Check => ("PATH…", "check settings directories and process settings files"),
            Self::Diff => ("DIR", "show what applying DIR would change"),
            Self::Apply => ("DIR", "put the settings in DIR in force"),
            Self::Get => ("[PATH]", "show the documents in force at or below PATH"),
            Self::History => {
                ("PATH", "show the last changes at or below PATH: when, by whom, accepted or not")
            }
            Self::Status => (
                "",
                "show what is in force where, which models are warm, loading or cold, and who \
                holds the lease",
            ),
            Self::Replay => ("FILE", "replay a trace through the scheduler and print its outcome"),
            Self::Explain => (
                "ID FILE…",
                "show the log lines and the outcome of request ID, from the log files of processes",
            ),
            Self::Account => (
                "FILE…",
                "count requests by route, outcome and time, from the log files of routers",
            ),
            Self::HashKey => (
                "FILE",
                "hash the bearer key on standard input for the settings; \
                FILE is a router's settings",
            ),
        }
    }

    pub fn from_name(name: &str) -> Option<Self> {
        ALL_COMMANDS.into_iter().find(|command| command.name() == name)
    }

    const fn runs_process(self) -> bool {
        matches!(self, Self::Router | Self::Agent)
    }

    const fn queries_router(self) -> bool {
        matches!(self, Self::Diff | Self::Apply | Self::Get | Self::History | Self::Status)
    }
}

pub fn overview() -> String {
    let mut text = String::from("corianderstand COMMAND [options]\n\nCommands:\n");
    for command in ALL_COMMANDS {
        let (operand, help_text) = command.help_text();
        let head = format!("{} {operand}", command.name());
        text.push_str(&format!("  {head:<18} {help_text}\n"));
    }
    text.push_str("\nEach command has --help. Exit codes: 0 done, 1 fault found, 2 usage, ");
    text.push_str("3 conflict, 4 undecided, 5 unreachable.");
    text
}

fn options(command: Command) -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "show this help");
    if command.runs_process() {
        options.optflag("p", "platform", "run on the users' platform, with its settings file");
    }
    if command == Command::Router {
        options.optopt("f", "features", "features of a router on the platform", "FILE");
    }
    if command == Command::Check {
        options.optflag("p", "platform", "the files are settings of the users' platform");
        options.optflag("c", "config", "the file is a configuration of the users' platform");
        options.optopt("a", "against", "with --config: the configuration in force", "FILE");
        options.optopt(
            "",
            "against-store",
            "with --config: read the configuration in force from the platform's store",
            "ADDRESS",
        );
        options.optopt(
            "s",
            "settings",
            "with --config: settings of a router on the platform, whose retry budget holds",
            "FILE",
        );
    }
    if command.queries_router()
        || matches!(command, Command::Check | Command::Explain | Command::Account)
    {
        options.optflag("j", "json", "print JSON");
    }
    if command.queries_router() {
        options.optopt("r", "router", "address and port of any router", "ADDRESS");
        options.optopt("k", "key-file", "file with the operators' bearer key", "FILE");
    }
    if command == Command::Replay {
        options.optopt("s", "settings", "settings that override those of the trace", "DIR");
        options.optflag("c", "compare", "also replay all baselines");
        options.optflag("j", "json", "print JSON");
    }
    if command == Command::Apply {
        options.optopt("a", "author", "author recorded in the history", "NAME");
        options.optflag("", "prune", "also remove documents missing from DIR");
        options.optflag("", "wait", "wait until the change is in force on all responsive routers");
    }
    if command == Command::Status {
        options.optflag("w", "watch", "refresh until interrupted");
        options.optopt(
            "i",
            "interval-ms",
            "refresh interval of --watch, default 2000",
            "MILLISECONDS",
        );
    }
    options
}

fn usage(command: Command) -> String {
    let (operand, help_text) = command.help_text();
    let brief = format!("corianderstand {} {operand} [options]\n\n{help_text}", command.name());
    options(command).usage(&brief)
}

/// Help of all commands as Markdown.
pub fn reference() -> String {
    let mut text = format!("```text\n{}\n```\n", overview());
    for command in ALL_COMMANDS {
        let usage = usage(command);
        text.push_str(&format!("\n## {}\n\n```text\n{}\n```\n", command.name(), usage.trim()));
    }
    text
}

/// Returns `None` after printing the help of the subcommand.
pub fn parse(
    command: Command,
    args: impl Iterator<Item = String>,
) -> Result<Option<Matches>, String> {
    let usage = usage(command);
    let matches = options(command).parse(args).map_err(|error| format!("{error}\n\n{usage}"))?;
    if matches.opt_present("help") {
        println!("{usage}");
        return Ok(None);
    }
    let operands = match command {
        _ if command.runs_process() && matches.opt_present("platform") => 0..=0,
        Command::Check | Command::Account => 1..=usize::MAX,
        Command::Explain => 2..=usize::MAX,
        Command::Get => 0..=1,
        Command::Status => 0..=0,
        _ => 1..=1,
    };
    if !operands.contains(&matches.free.len()) {
        return Err(format!("wrong number of operands\n\n{usage}"));
    }
    Ok(Some(matches))
}
