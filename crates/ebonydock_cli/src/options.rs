//! The command line.

use getopts::Options;

/// How the command is used; tested against the commands that exist.
pub(crate) const USAGE: &str = "\
Usage: ebonydock [--address IP:PORT] [--key-file FILE] [--json] COMMAND

Commands:
  status                             the VM, its members, data centres and targets
  jobs                               the jobs and how far they are
  plans show                         the list of customers' plans
  plans set FILE                     add or replace workspaces, a JSON list
  plans remove WORKSPACE             remove a workspace and its keys
  access show                        the list of what each plan may use
  access set FILE                    add or replace plans, a JSON list
  access remove PLAN                 remove a plan
  keys show                          the keys, as hashes
  keys give WORKSPACE KEY            tie a key to a workspace
  keys withdraw KEY-OR-HASH          withdraw a key
  data-centre out NAME               take a data centre out of service
  data-centre back NAME              bring a data centre back
  explain ID FILE...                 what became of a request, item or job, by the logs of VMs

The operators' key is read from --key-file or from EBONYDOCK_OPERATOR_KEY; `explain` needs none.
With --base VERSION an edit fails if the configuration has changed since that version.
";

const DEFAULT_ADDRESS: &str = "127.0.0.1:8081";

/// What the command line says.
#[derive(Clone, Debug)]
pub(crate) struct CommandOptions {
    /// The address for operators of some VM.
    pub(crate) address: String,
    /// The operators' key; `None` for commands that ask no VM.
    pub(crate) key: Option<String>,
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// The version that an edit is based on; the current one if `None`.
    pub(crate) base: Option<u64>,
    /// The command and its arguments.
    pub(crate) words: Vec<String>,
}

impl CommandOptions {
    /// Parses the command line; `None` if it only asked for help.
    pub(crate) fn parse(arguments: &[String]) -> Result<Option<Self>, String> {
        let mut options = Options::new();
        options.optopt("a", "address", "the address for operators of some VM", "IP:PORT");
        options.optopt("k", "key-file", "the file with the operators' key", "FILE");
        options.optopt("", "base", "the version that an edit is based on", "VERSION");
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
        let base = matches.opt_str("base").map(|text| {
            text.parse().map_err(|_| format!("`--base` must be a whole number, not `{text}`"))
        });
        let asks_vm = matches.free[0] != "explain";
        let key = asks_vm.then(|| read_key(matches.opt_str("key-file"))).transpose()?;
        Ok(Some(Self {
            address: matches.opt_str("address").unwrap_or_else(|| DEFAULT_ADDRESS.to_owned()),
            key,
            json: matches.opt_present("json"),
            base: base.transpose()?,
            words: matches.free,
        }))
    }
}

fn read_key(file: Option<String>) -> Result<String, String> {
    let key = match file {
        Some(file) => std::fs::read_to_string(&file)
            .map_err(|error| format!("cannot read `{file}`: {error}"))?,
        None => std::env::var("EBONYDOCK_OPERATOR_KEY")
            .map_err(|_| "name the operators' key with `--key-file`".to_owned())?,
    };
    Ok(key.trim().to_owned())
}
