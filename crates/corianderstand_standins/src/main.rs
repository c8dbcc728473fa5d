//! Simulated external systems for tests, demonstrations and measurements. Not shipped.
//!
//! The subcommands are `engine`, `service`, `weights`, `log`, `hosts` and `relay`. Faults are
//! injected by `POST /fault` with a JSON object of the fields of the subcommand's `Fault` type.

mod batch;
mod cache;
mod engine;
mod hosts;
mod log;
mod relay;
mod serve;
mod service;
mod text;
mod weights;

use getopts::Options;
use std::process::ExitCode;

const USAGE: &str = "corianderstand-standins engine|service|weights|log|hosts|relay [options]";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "listen", "address and port to listen on", "ADDRESS");
    options.optopt("", "memory-mib", "engine: memory for models", "MIB");
    options.optopt("", "token-us", "engine: time of one token", "MICROSECONDS");
    options.optopt("", "batch", "engine: requests that run at once", "COUNT");
    options.optopt("", "prefill-us", "engine: time of one prompt token", "MICROSECONDS");
    options.optopt("", "cache-blocks", "engine: blocks of 16 tokens cached", "COUNT");
    options.optopt("", "event-lag-ms", "engine: how late cache events are", "MILLISECONDS");
    options.optopt("", "report-lag-ms", "engine: how late load reports are", "MILLISECONDS");
    options.optopt("", "load-ms", "engine: time of one load", "MILLISECONDS");
    options.optopt("", "weights", "engine: base URL of the weight store", "URL");
    options.optflag("", "check-fencing", "engine: reject stale fencing tokens");
    options.optopt("", "concurrent", "weights: loads at full speed", "COUNT");
    options.optopt("", "rate", "weights: loads started per second", "COUNT");
    options.optopt("", "retention-ms", "log: how long records are kept", "MILLISECONDS");
    options.optopt("", "lag-ms", "hosts: how far the list lags", "MILLISECONDS");
    options.optopt("", "to", "relay: address and port to forward to", "ADDRESS");
    options.optopt("", "control", "relay: address and port for POST /fault", "ADDRESS");
    options
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let command = args.next().unwrap_or_default();
    let options = options();
    let matches = match options.parse(args) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage(USAGE));
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be created");
    let run = async {
        match command.as_str() {
            "engine" => engine::run(&matches).await,
            "service" => service::run(&matches).await,
            "weights" => weights::run(&matches).await,
            "log" => log::run(&matches).await,
            "hosts" => hosts::run(&matches).await,
            "relay" => relay::run(&matches).await,
            _ => Err(options.usage(USAGE)),
        }
    };
    match runtime.block_on(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
