//! The daemon that runs on every VM.

mod logs;
mod options;

use std::io::Write;

use ebonydock::{VmHandle, VmSettings};
use miette::{IntoDiagnostic, Report, miette};
use tokio::signal::unix::{SignalKind, signal};

use crate::options::DaemonOptions;

fn main() -> miette::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some(options) = DaemonOptions::parse(&arguments).map_err(|error| miette!(error))? else {
        return Ok(());
    };
    let text = std::fs::read_to_string(&options.settings)
        .map_err(|error| miette!("cannot read `{}`: {error}", options.settings))?;
    let settings = VmSettings::parse(&options.settings, &text).map_err(Report::new)?;
    if options.check {
        println!("`{}` is valid", options.settings);
        return Ok(());
    }
    logs::init(&options)?;
    let handle = VmHandle::spawn(settings).map_err(|error| miette!(error))?;
    let addresses = handle.addresses();
    let lines = format!(
        "callers {}\noperators {}\npeers {}\n",
        addresses.callers, addresses.operators, addresses.peers
    );
    // The parent process may have closed the pipe, so a failed write isn't an error.
    let _ = std::io::stdout().write_all(lines.as_bytes());
    let _ = std::io::stdout().flush();
    wait_for_signal()?;
    handle.stop();
    Ok(())
}

/// Waits for SIGTERM or SIGINT, which request a planned stop.
fn wait_for_signal() -> miette::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.into_diagnostic()?.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
        let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
