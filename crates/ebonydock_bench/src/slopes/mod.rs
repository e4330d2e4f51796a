//! `slopes`: measures the cost of state and decisions and projects it to the full size.

mod capacity;
mod measure;

pub(crate) use crate::slopes::measure::process_cpu_ms;

use getopts::Options;

use crate::slopes::capacity::CapacityPage;
use crate::slopes::measure::MeasuredSlopes;

const PAGE: &str = "docs/CAPACITY.md";

/// Measures the slopes, then prints the tables, writes them into the page or checks the page.
pub(crate) fn run(arguments: &[String]) -> Result<(), String> {
    let mut options = Options::new();
    options.optopt("", "json", "write the slopes as JSON", "FILE");
    options.optflag("", "write", "write the tables into docs/CAPACITY.md");
    options.optflag("", "check", "fail unless the page's slopes are within a factor of two");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    let slopes = MeasuredSlopes::measure()?;
    let page = CapacityPage::new(&slopes);
    if let Some(file) = matches.opt_str("json") {
        let json = serde_json::to_string_pretty(&slopes).map_err(|error| error.to_string())?;
        std::fs::write(&file, json).map_err(|error| format!("cannot write `{file}`: {error}"))?;
    }
    let (check, write) = (matches.opt_present("check"), matches.opt_present("write"));
    if check || write {
        let text =
            std::fs::read_to_string(PAGE).map_err(|e| format!("cannot read `{PAGE}`: {e}"))?;
        if check {
            return page.check(&text);
        }
        let text = page.insert_into(&text)?;
        return std::fs::write(PAGE, text).map_err(|e| format!("cannot write `{PAGE}`: {e}"));
    }
    print!("{}", page.to_markdown());
    Ok(())
}
