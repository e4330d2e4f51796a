//! The operators' command-line tool.

mod commands;
mod explain;
mod options;
mod output;

use std::process::ExitCode;

use crate::options::CommandOptions;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match CommandOptions::parse(&arguments) {
        Ok(Some(options)) => options,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(2);
        }
    };
    let system = ntex::rt::System::new("ebonydock", ntex::rt::DefaultRuntime);
    match system.block_on(async move { commands::run(&options).await }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", miette::miette!(error));
            ExitCode::FAILURE
        }
    }
}
