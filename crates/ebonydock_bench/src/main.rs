//! `ebonydock_bench`: demo, load generator and experiments.

mod bench_site;
mod demo;
mod faults;
mod mix;
mod overhead;
mod slopes;

use std::alloc::System;
use std::process::ExitCode;

use cap::Cap;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};

/// Counts allocated bytes, so that `slopes` can measure the size of a state.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const USAGE: &str = "\
Usage: ebonydock_bench COMMAND [OPTIONS]

Commands:
  demo [--keep]   a whole site in one process: a streamed response, a batch job and a notice
  faults [--seed N] [--seconds S]
                  a fault every few seconds under load; exits 1 if a guarantee was violated
  mix [--scenario FILE] [--seed N] [--json FILE] [--only TEXT]
                  online requests and batch jobs together, a report for each policy
  overhead [--requests N]
                  what a VM adds to a request, compared with a direct call of the engine
  slopes [--json FILE] [--write | --check]
                  cost of state and decisions, projected to the full size
";

/// Enables logging to standard error if `EBONYDOCK_LOG` names a level.
fn init_logging() {
    let Some(level) = std::env::var("EBONYDOCK_LOG").ok().and_then(|level| level.parse().ok())
    else {
        return;
    };
    let console = ConsoleAppender::builder().target(Target::Stderr).build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(console)))
        .logger(Logger::builder().build("ebonydock", level))
        .logger(Logger::builder().build("ebonydock_bench", level))
        .build(Root::builder().appender("stderr").build(log::LevelFilter::Warn));
    if let Ok(config) = config {
        let _ = log4rs::init_config(config);
    }
}

fn main() -> ExitCode {
    init_logging();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((command, rest)) = arguments.split_first() else {
        print!("{USAGE}");
        return ExitCode::from(2);
    };
    let result = match command.as_str() {
        "demo" => demo::run(rest),
        "faults" => faults::run(rest),
        "mix" => mix::run(rest),
        "overhead" => overhead::run(rest),
        "slopes" => slopes::run(rest),
        "help" | "--help" | "-h" => {
            print!("{USAGE}");
            Ok(())
        }
        other => Err(format!("unknown command `{other}`\n\n{USAGE}")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
