//! Command-line options of the daemon.

use getopts::Options;

/// Parsed command-line options.
#[derive(Clone, Debug)]
pub(crate) struct DaemonOptions {
    /// Path of the settings file.
    pub(crate) settings: String,
    /// Whether to check the settings and exit.
    pub(crate) check: bool,
    /// Whether logs are written as JSON.
    pub(crate) json_logs: bool,
    /// The lowest level that is logged.
    pub(crate) log_level: log::LevelFilter,
}

impl DaemonOptions {
    /// Parses the command line. Returns `None` if it requested help, which is printed.
    pub(crate) fn parse(arguments: &[String]) -> Result<Option<Self>, String> {
        let mut options = Options::new();
        options.optopt("s", "settings", "settings file of this VM, JSON with comments", "FILE");
        options.optflag("c", "check", "check the settings and exit");
        options.optflag("", "json-logs", "write logs as JSON, one object per line");
        options.optopt("l", "log-level", "error, warn, info (default), debug or trace", "LEVEL");
        options.optflag("h", "help", "print this help");
        let matches = options.parse(arguments).map_err(|error| error.to_string())?;
        if matches.opt_present("help") {
            print!("{}", options.usage("Usage: ebonydockd --settings FILE [--check]"));
            return Ok(None);
        }
        if let Some(extra) = matches.free.first() {
            return Err(format!("unexpected argument `{extra}`"));
        }
        let level = matches.opt_str("log-level").unwrap_or_else(|| "info".to_owned());
        Ok(Some(Self {
            settings: matches.opt_str("settings").ok_or("`--settings FILE` is missing")?,
            check: matches.opt_present("check"),
            json_logs: matches.opt_present("json-logs"),
            log_level: level.parse().map_err(|_| format!("unknown log level `{level}`"))?,
        }))
    }
}
