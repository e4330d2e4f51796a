//! Set-up of a site in this process, shared by all experiments.

use std::str::FromStr;

use ebonydock_standins::{SiteClient, SitePlan, StandInSite};
use getopts::Matches;

/// Starts a site, runs `run` with it and a client in a new runtime, and removes the site's files at the end.
pub(crate) fn with_site<T, F>(
    command: &str,
    plan: &SitePlan,
    run: impl FnOnce(StandInSite, SiteClient) -> F + 'static,
) -> Result<T, String>
where
    T: 'static,
    F: Future<Output = Result<T, String>> + 'static,
{
    let folder = std::env::temp_dir().join(format!("ebonydock-{command}-{}", std::process::id()));
    let site = StandInSite::open(plan, &folder).map_err(|error| error.to_string())?;
    let system = ntex::rt::System::new(command, ntex::rt::DefaultRuntime);
    let result = system.block_on(async move { run(site, SiteClient::open().await).await });
    let _ = std::fs::remove_dir_all(&folder);
    result
}

/// Applies the initial configuration to a site.
pub(crate) async fn configure(site: &StandInSite, client: &SiteClient) -> Result<(), String> {
    site.configure(client).await.map_err(|error| error.to_string())
}

/// Returns the number given for an option, or `default` if the option is absent.
pub(crate) fn parse_number<T: FromStr>(
    matches: &Matches,
    option: &str,
    default: T,
) -> Result<T, String> {
    let Some(text) = matches.opt_str(option) else { return Ok(default) };
    text.parse()
        .map_err(|_| format!("invalid `--{option} {text}`: the value must be a whole number"))
}
