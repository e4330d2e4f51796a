//! The capacity page: projects the measured slopes to the load expected in two years, for each role.

use std::fmt::Write;

use crate::slopes::measure::MeasuredSlopes;

const TABLES_BEGIN: &str = "<!-- tables: begin, written by `slopes --write` -->\n";
const TABLES_END: &str = "<!-- tables: end -->\n";
/// Largest accepted ratio between a slope on the page and the same slope in a new run.
const TOLERANCE_FACTOR: f64 = 2.0;
/// Values, by unit, up to which any difference is accepted, since noise of the machine dominates.
const NOISE_FLOORS: [(&str, f64); 2] = [("ms/s", 2.0), ("ns", 200.0)];

// Load and fleet size that the page assumes.
const NODES: f64 = 980.0;
const DATA_CENTRES: f64 = 27.0;
const SERVERS: f64 = 12_000.0;
const MODELS: f64 = 12.0;
const WORKSPACES: f64 = 47_000.0;
const REQUESTS_PER_SECOND: f64 = 19_000.0;
const TOKENS_PER_SECOND: f64 = 7_100_000.0;
const ITEMS_PER_DAY: f64 = 1.6e9;
const JOBS_PER_DAY: f64 = 85_000.0;
const LARGEST_JOB_ITEMS: f64 = 290_000.0;
const CHANGES_PER_DAY: f64 = 59_000.0;
const VM_FAILURES_PER_DAY: f64 = 170.0;
const VM_REPLACEMENTS_PER_DAY: f64 = 770.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const CHUNK_ITEMS: f64 = 1000.0;
// Budgets of a node, then of the platform.
const CPU_BUDGET_MS_PER_SECOND: f64 = 14.0;
const BANDWIDTH_BUDGET_BYTES_PER_SECOND: f64 = 18_000.0;
const MEMORY_BUDGET_BYTES: f64 = 256e6;
const WRITES_PER_SECOND_BUDGET: f64 = 300.0;
const READS_PER_SECOND_BUDGET: f64 = 2000.0;
/// Overhead of QUIC and UDP for a message together with its acknowledgement.
const FRAME_OVERHEAD_BYTES: f64 = 110.0;
/// Load of the busiest data centre, pool or workspace, as a multiple of the mean.
const HOTSPOT_FACTOR: f64 = 4.0;

/// One row of the page's second table.
struct CapacityRow {
    quantity: String,
    mechanism: &'static str,
    value: f64,
    unit: &'static str,
    budget: Option<f64>,
    /// The mitigation if the row is over its budget; a remark if it has no budget.
    note: &'static str,
}

/// Contents of the generated tables of the page.
pub(crate) struct CapacityPage<'a> {
    slopes: &'a MeasuredSlopes,
    rows: Vec<CapacityRow>,
}

fn row(
    quantity: impl Into<String>,
    mechanism: &'static str,
    value: f64,
    unit: &'static str,
    budget: Option<f64>,
    note: &'static str,
) -> CapacityRow {
    CapacityRow { quantity: quantity.into(), mechanism, value, unit, budget, note }
}

impl<'a> CapacityPage<'a> {
    /// Computes all rows from the slopes.
    pub(crate) fn new(slopes: &'a MeasuredSlopes) -> Self {
        let mut rows = bandwidth(slopes);
        rows.extend(processor(slopes));
        rows.extend(memory(slopes));
        rows.extend(platform());
        rows.extend(recovery_times());
        Self { slopes, rows }
    }

    /// Returns the tables as Markdown.
    pub(crate) fn to_markdown(&self) -> String {
        let mut text =
            String::from("### Slopes\n\n| slope | value | unit |\n| --- | ---: | --- |\n");
        for slope in &self.slopes.slopes {
            let _ = writeln!(text, "| {} | {:.1} | {} |", slope.name, slope.value, slope.unit);
        }
        text.push_str("\n### At the full size\n\n");
        text.push_str("| what | mechanism | value | unit | budget | |\n");
        text.push_str("| --- | --- | ---: | --- | ---: | --- |\n");
        for row in &self.rows {
            let budget = row.budget.map_or_else(|| "-".to_owned(), |budget| format!("{budget:.0}"));
            let is_over_budget = row.budget.is_some_and(|budget| row.value > budget);
            let verdict = match (is_over_budget, row.budget) {
                (true, _) => format!("**over**: {}", row.note),
                (false, Some(_)) => "fits".to_owned(),
                (false, None) => row.note.to_owned(),
            };
            let _ = writeln!(
                text,
                "| {} | {} | {:.1} | {} | {budget} | {verdict} |",
                row.quantity, row.mechanism, row.value, row.unit
            );
        }
        text
    }

    /// Returns `page` with the text between its table markers replaced by these tables.
    ///
    /// Fails if a marker is missing.
    pub(crate) fn insert_into(&self, page: &str) -> Result<String, String> {
        let missing =
            || "the page lacks the comments that mark the begin and end of the tables".to_owned();
        let (head, rest) = page.split_once(TABLES_BEGIN).ok_or_else(missing)?;
        let (_, tail) = rest.split_once(TABLES_END).ok_or_else(missing)?;
        Ok(format!("{head}{TABLES_BEGIN}\n{}\n{TABLES_END}{tail}", self.to_markdown()))
    }

    /// Fails with the list of slopes that `page` lacks or whose value differs too much from this run.
    pub(crate) fn check(&self, page: &str) -> Result<(), String> {
        let mut findings = Vec::new();
        for slope in &self.slopes.slopes {
            let start = format!("| {} | ", slope.name);
            let recorded = page.lines().find_map(|line| line.strip_prefix(&start));
            let recorded = recorded.and_then(|rest| rest.split(" |").next()?.parse::<f64>().ok());
            let noise =
                NOISE_FLOORS.iter().find(|(unit, _)| *unit == slope.unit).map_or(0.0, |n| n.1);
            let matches = recorded.is_some_and(|recorded| {
                let (low, high) = (recorded.min(slope.value), recorded.max(slope.value));
                high <= low * TOLERANCE_FACTOR || high <= noise
            });
            if !matches {
                let (name, value) = (slope.name, slope.value);
                let recorded =
                    recorded.map_or("nothing".to_owned(), |recorded| recorded.to_string());
                findings.push(format!(
                    "`{name}`: the page has {recorded}, this run measured {value:.1}"
                ));
            }
        }
        if findings.is_empty() {
            println!(
                "every slope of the page is within a factor of {TOLERANCE_FACTOR} of this run"
            );
            return Ok(());
        }
        Err(findings.join("\n"))
    }
}

fn bandwidth(slopes: &MeasuredSlopes) -> Vec<CapacityRow> {
    let members = NODES / DATA_CENTRES;
    let hotspot_members = members * 2.0;
    let interval = |members: f64| (0.025 * members).max(0.4);
    let heartbeats = |members: f64| members / interval(members);
    let heartbeat = slopes.get("heartbeat message") + FRAME_OVERHEAD_BYTES;
    let items = ITEMS_PER_DAY / SECONDS_PER_DAY;
    let lease = slopes.get("acquire, request and reply")
        + slopes.get("release, request and reply")
        + 4.0 * FRAME_OVERHEAD_BYTES;
    let bucket_acquire = slopes.get("draw, request and reply") + 2.0 * FRAME_OVERHEAD_BYTES;
    let digests = (DATA_CENTRES - 1.0) / (0.1 * DATA_CENTRES);
    let digest = slopes.get("digest message") + 2.0 * FRAME_OVERHEAD_BYTES;
    let online = REQUESTS_PER_SECOND / NODES;
    let batch = items / NODES;
    let chunks = items / CHUNK_ITEMS / NODES;
    let chunk = slopes.get("chunk, order and report") + 2.0 * FRAME_OVERHEAD_BYTES;
    let sums = [
        heartbeats(members) * heartbeat,
        online * (lease / 2.0 + bucket_acquire),
        batch * lease / 2.0,
        digests * digest,
        chunks * chunk,
    ];
    let budget = Some(BANDWIDTH_BUDGET_BYTES_PER_SECOND);
    vec![
        row(
            "peer: heartbeats sent, mean data centre",
            "interval grows with members",
            sums[0],
            "bytes/s",
            budget,
            "",
        ),
        row(
            "peer: heartbeats sent, data centre of twice the mean",
            "interval grows with members",
            heartbeats(hotspot_members) * heartbeat,
            "bytes/s",
            budget,
            "",
        ),
        row(
            "entry: leases and draws of online requests",
            "one lease and at most one draw a request",
            sums[1],
            "bytes/s",
            budget,
            "",
        ),
        row(
            "entry: leases of batch items",
            "one lease an item",
            sums[2],
            "bytes/s",
            budget,
            "a lease kept over items of a chunk, returned when revoked",
        ),
        row(
            "peer: digests taken",
            "one VM takes it and relays",
            sums[3],
            "bytes/s",
            budget,
            "changes instead of the whole digest",
        ),
        row("job lead: chunks", "one order for 1000 items", sums[4], "bytes/s", budget, ""),
        row(
            "**sum a node, mean**",
            "",
            sums.iter().sum(),
            "bytes/s",
            budget,
            "leases kept over items, digests as changes",
        ),
        row(
            "configuration: changes announced to a node",
            "push of changes",
            CHANGES_PER_DAY / SECONDS_PER_DAY
                * (slopes.get("change announced") + FRAME_OVERHEAD_BYTES),
            "bytes/s",
            budget,
            "",
        ),
    ]
}

fn processor(slopes: &MeasuredSlopes) -> Vec<CapacityRow> {
    let micro = 1e-6;
    let items = ITEMS_PER_DAY / SECONDS_PER_DAY;
    let pools = MODELS * DATA_CENTRES;
    let decisions_per_pool = (REQUESTS_PER_SECOND + items) / pools;
    let decision = slopes.get("acquire and release, 100 targets");
    let budget = Some(CPU_BUDGET_MS_PER_SECOND);
    let idle = slopes.get("idle VM, processor, 48 VMs");
    let apply_change = slopes.get("change applied, 47000 workspaces");
    let bucket_acquires = REQUESTS_PER_SECOND / NODES;
    vec![
        row(
            "peer: idle VM among 48",
            "heartbeats, polls, ticks",
            idle,
            "ms/s",
            budget,
            "ticks of pools only while something waits or runs",
        ),
        row(
            "pool scheduler: decisions of a mean pool",
            "order by load, fair queue",
            decisions_per_pool * decision * micro,
            "ms/s",
            budget,
            "",
        ),
        row(
            "pool scheduler: decisions of the busiest pool",
            "order by load, fair queue",
            HOTSPOT_FACTOR * decisions_per_pool * decision * micro,
            "ms/s",
            budget,
            "",
        ),
        row(
            "owner of buckets: draws",
            "map by workspace",
            bucket_acquires * slopes.get("draw, 47000 workspaces") * micro,
            "ms/s",
            budget,
            "",
        ),
        row(
            "owner of buckets: busiest workspace, a tenth of all",
            "map by workspace",
            REQUESTS_PER_SECOND / 10.0 * slopes.get("draw, 100 workspaces") * micro,
            "ms/s",
            budget,
            "spread over data centres by its share",
        ),
        row(
            "configuration: changes applied",
            "checked as a whole",
            CHANGES_PER_DAY / SECONDS_PER_DAY * apply_change * micro,
            "ms/s",
            budget,
            "undoing a rejected batch instead of copying the document",
        ),
        row(
            "job lead: chunks",
            "ledger of a job",
            items / CHUNK_ITEMS * slopes.get("chunk assigned and committed") * micro,
            "ms/s",
            budget,
            "",
        ),
        row(
            "entry: tokens passed on by a node",
            "streams, not control",
            TOKENS_PER_SECOND / NODES,
            "tokens/s",
            None,
            "the node's own work; not measured here",
        ),
    ]
}

fn memory(slopes: &MeasuredSlopes) -> Vec<CapacityRow> {
    let budget = Some(MEMORY_BUDGET_BYTES);
    let config = WORKSPACES * slopes.get("configuration, for a workspace");
    let buckets = WORKSPACES * DATA_CENTRES / NODES * slopes.get("bucket, for a workspace");
    let targets = SERVERS / NODES * slopes.get("target and its leases");
    vec![
        row("entry: configuration with keys", "one copy a VM", config, "bytes", budget, ""),
        row(
            "owner of buckets: buckets in use, all workspaces in all data centres",
            "dropped when full",
            buckets,
            "bytes",
            budget,
            "",
        ),
        row(
            "pool scheduler: a node's part of the targets",
            "sums and order kept up to date",
            targets,
            "bytes",
            budget,
            "",
        ),
        row(
            "pool scheduler: busiest pool, 4 times the mean",
            "sums and order kept up to date",
            HOTSPOT_FACTOR * SERVERS / (MODELS * DATA_CENTRES)
                * slopes.get("target and its leases"),
            "bytes",
            budget,
            "",
        ),
        row(
            "job lead: largest job's ledger",
            "a chunk is 1000 items",
            LARGEST_JOB_ITEMS / CHUNK_ITEMS * 200.0,
            "bytes",
            budget,
            "",
        ),
    ]
}

fn platform() -> Vec<CapacityRow> {
    let items = ITEMS_PER_DAY / SECONDS_PER_DAY;
    let chunks = items / CHUNK_ITEMS;
    let jobs = JOBS_PER_DAY / SECONDS_PER_DAY;
    let mean_job = ITEMS_PER_DAY / JOBS_PER_DAY;
    let writes = Some(WRITES_PER_SECOND_BUDGET);
    let reads = Some(READS_PER_SECOND_BUDGET);
    let commits = chunks;
    vec![
        row(
            "job lead: objects written, items and results",
            "chunks of 1000 items",
            2.0 * chunks,
            "writes/s",
            writes,
            "",
        ),
        row(
            "job lead: rows written, acceptance, claim, commits at most one a chunk",
            "many chunks in one conditional write",
            2.0 * jobs + commits,
            "writes/s",
            writes,
            "",
        ),
        row(
            format!("job lead: writes for 1000 items of a mean job of {mean_job:.0}"),
            "chunks of 1000 items",
            (2.0 * chunks + 2.0 * jobs + commits) / items * 1000.0,
            "writes",
            Some(5.0),
            "",
        ),
        row(
            "configuration: edits",
            "one conditional write",
            CHANGES_PER_DAY / SECONDS_PER_DAY,
            "writes/s",
            writes,
            "",
        ),
        row(
            "configuration readers: head polled",
            "two readers a data centre, once a second",
            2.0 * DATA_CENTRES,
            "reads/s",
            reads,
            "",
        ),
        row("peer: list of VMs polled", "every VM once a second", NODES, "reads/s", reads, ""),
        row(
            "job lead: active jobs listed, which also tells a lead that its job has ended or gone",
            "every VM every 5 s",
            NODES / 5.0,
            "reads/s",
            reads,
            "",
        ),
        row("**sum of reads**", "", 2.0 * DATA_CENTRES + NODES + NODES / 5.0, "reads/s", reads, ""),
        row(
            "notices: named calls that the rest of the writes allows",
            "three conditional writes a call",
            (WRITES_PER_SECOND_BUDGET
                - 3.0 * chunks
                - 2.0 * jobs
                - CHANGES_PER_DAY / SECONDS_PER_DAY)
                / 3.0,
            "calls/s",
            None,
            "more only with a larger table",
        ),
    ]
}

fn recovery_times() -> Vec<CapacityRow> {
    let members = NODES / DATA_CENTRES;
    let loss_timeout = 4.0 * (0.025 * members).max(0.4);
    vec![
        row(
            "a VM fails: until its keys have a new owner",
            "silence of four heartbeats",
            loss_timeout,
            "s",
            None,
            "its buckets start empty, its pools ask every VM for its leases",
        ),
        row(
            "VMs lost or replaced",
            "rendezvous hashing moves only their keys",
            (VM_FAILURES_PER_DAY + VM_REPLACEMENTS_PER_DAY) / SECONDS_PER_DAY * 3600.0,
            "an hour",
            None,
            "each moves 1/36 of a data centre's keys",
        ),
        row(
            "a configuration change in force, poll of the head at worst",
            "push, then poll, then heartbeats",
            1.0 + 1.0 + (0.025 * members).max(0.4),
            "s",
            Some(17.0),
            "",
        ),
        row(
            "a data centre is lost: until its jobs are led elsewhere",
            "silence of its digests",
            20.0 + 5.0,
            "s",
            None,
            "the fence keeps a lead that was only cut off from committing",
        ),
    ]
}
