//! Command-line options.

use getopts::Options;

/// Usage text. It must list every command that `commands::run` matches.
pub(crate) const USAGE: &str = "\
Usage: ebonydock [--address IP:PORT] [--key-file FILE] [--json] COMMAND

Commands:
  status                             the VM, its members, data centres and targets
  jobs                               the batch jobs and their progress
  plans show                         the workspaces with their plans and limits
  plans set FILE                     add or replace workspaces, a JSON list
  plans remove WORKSPACE             remove a workspace and its keys
  access show                        the models and routes that each plan may use
  access set FILE                    add or replace plans, a JSON list
  access remove PLAN                 remove a plan
  keys show                          the keys, as hashes
  keys give WORKSPACE KEY            assign a key to a workspace
  keys withdraw KEY-OR-HASH          withdraw a key
  data-centre out NAME               take a data centre out of service
  data-centre back NAME              return a data centre to service
  explain ID FILE...                 the timeline and cause of a request's, item's or job's outcome,
                                     from the logs of VMs, one file per VM

The operators' key is read from --key-file or from EBONYDOCK_OPERATOR_KEY; `explain` needs none.
With --base VERSION an edit fails if the configuration has changed since that version.
";

const DEFAULT_ADDRESS: &str = "127.0.0.1:8081";

/// Parsed command-line options.
#[derive(Clone, Debug)]
pub(crate) struct CommandOptions {
    /// Operator address of any VM, as `IP:PORT`.
    pub(crate) address: String,
    /// Operators' key; `None` for commands that send no request to a VM.
    pub(crate) key: Option<String>,
    /// Whether replies are printed as JSON.
    pub(crate) json: bool,
    /// Configuration version that an edit is based on; `None` means the current one.
    pub(crate) base_version: Option<u64>,
    /// Words of the command and its arguments.
    pub(crate) command: Vec<String>,
}

impl CommandOptions {
    /// Parses the command line. Returns `None` if it requested help, which is printed.
    pub(crate) fn parse(arguments: &[String]) -> Result<Option<Self>, String> {
        let mut options = Options::new();
        options.optopt("a", "address", "operator address of any VM", "IP:PORT");
        options.optopt("k", "key-file", "file with the operators' key", "FILE");
        options.optopt("", "base", "configuration version that an edit is based on", "VERSION");
        options.optflag("", "json", "print JSON");
        options.optflag("h", "help", "print this help");
        let matches = options.parse(arguments).map_err(|error| error.to_string())?;
        if matches.opt_present("help") {
            print!("{USAGE}");
            return Ok(None);
        }
        if matches.free.is_empty() {
            return Err(format!("a command is missing\n\n{USAGE}"));
        }
        let base_version = matches.opt_str("base").map(|text| {
            text.parse().map_err(|_| format!("`--base` must be a whole number, not `{text}`"))
        });
        let uses_vm = matches.free[0] != "explain";
        let key = uses_vm.then(|| read_key(matches.opt_str("key-file"))).transpose()?;
        Ok(Some(Self {
            address: matches.opt_str("address").unwrap_or_else(|| DEFAULT_ADDRESS.to_owned()),
            key,
            json: matches.opt_present("json"),
            base_version: base_version.transpose()?,
            command: matches.free,
        }))
    }
}

fn read_key(file: Option<String>) -> Result<String, String> {
    let key = match file {
        Some(file) => std::fs::read_to_string(&file)
            .map_err(|error| format!("cannot read `{file}`: {error}"))?,
        None => std::env::var("EBONYDOCK_OPERATOR_KEY").map_err(|_| {
            "the operators' key is missing: use `--key-file` or `EBONYDOCK_OPERATOR_KEY`".to_owned()
        })?,
    };
    Ok(key.trim().to_owned())
}
