//! Observations of a run: requests, notices, jobs and versions as callers saw them, and the violations found.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::SmallRng;

/// A notice with what the responses told its caller.
#[derive(Clone, Debug)]
pub(crate) struct NoticeRecord {
    /// Body, unique for each notice.
    pub(crate) body: String,
    /// Whether a response reported success.
    pub(crate) acknowledged: bool,
    /// Whether every response said `not_run`.
    pub(crate) never_run: bool,
}

/// Counts printed at the end of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunCounts {
    /// Online responses that were complete.
    pub(crate) responses: u64,
    /// Online requests that were refused.
    pub(crate) refused: u64,
    /// Refusals and error events that said `not_run`.
    pub(crate) not_run: u64,
    /// Streams that ended with an error event.
    pub(crate) failed: u64,
    /// Streams that were interrupted because their VM was lost.
    pub(crate) lost_with_vm: u64,
    /// Notices that were acknowledged.
    pub(crate) notices_acknowledged: u64,
    /// Deliveries of notices.
    pub(crate) notices_delivered: u64,
    /// Accepted jobs.
    pub(crate) jobs: u64,
    /// Items of accepted jobs whose results were read and are correct.
    pub(crate) items: u64,
    /// Accepted changes of the configuration.
    pub(crate) changes: u64,
    /// Injected faults.
    pub(crate) faults: u64,
}

/// Observations of a run.
pub(crate) struct RunHistory {
    /// Index and caller address of the VMs that callers may use.
    pub(crate) serving: Vec<(usize, SocketAddr)>,
    /// Caller addresses of lost VMs; a connection to these may end early.
    pub(crate) lost: HashSet<SocketAddr>,
    /// Notices whose sender has finished.
    pub(crate) notices: Vec<NoticeRecord>,
    /// Names of accepted jobs.
    pub(crate) jobs: Vec<String>,
    /// Configuration version last read from each VM.
    pub(crate) versions: BTreeMap<SocketAddr, u64>,
    /// Configuration version accepted last.
    pub(crate) accepted_version: u64,
    /// Counts so far.
    pub(crate) counts: RunCounts,
    replacements: u64,
    start: Instant,
    violations: Vec<String>,
    trace: Vec<String>,
}

impl RunHistory {
    /// Creates an empty history that starts now.
    pub(crate) fn open() -> Self {
        Self {
            serving: Vec::new(),
            lost: HashSet::new(),
            notices: Vec::new(),
            jobs: Vec::new(),
            versions: BTreeMap::new(),
            accepted_version: 0,
            counts: RunCounts::default(),
            replacements: 0,
            start: Instant::now(),
            violations: Vec::new(),
            trace: Vec::new(),
        }
    }

    /// Returns the caller address of a random serving VM, or `None` if no VM serves.
    pub(crate) fn pick_address(&self, random: &mut SmallRng) -> Option<SocketAddr> {
        if self.serving.is_empty() {
            return None;
        }
        Some(self.serving[random.random_range(0..self.serving.len())].1)
    }

    /// Returns a name that no earlier VM had.
    pub(crate) fn next_vm_name(&mut self) -> String {
        self.replacements += 1;
        format!("replacement-{}", self.replacements)
    }

    /// Records a notice that its sender no longer retries.
    pub(crate) fn add_notice(&mut self, notice: NoticeRecord) {
        self.counts.notices_acknowledged += u64::from(notice.acknowledged);
        self.notices.push(notice);
    }

    /// Logs an event and appends it to the trace, with the time since the start.
    pub(crate) fn record_event(&mut self, event: &str) {
        let at = self.start.elapsed();
        log::info!("faults: {event}");
        self.trace.push(format!("{at:>8.2?} {event}"));
    }

    /// Records a violated guarantee; the run fails at its end.
    pub(crate) fn record_violation(&mut self, violation: String) {
        self.record_event(&format!("VIOLATION {violation}"));
        self.violations.push(violation);
    }

    /// Prints the counts. Fails with the violations and the trace if a guarantee was violated.
    pub(crate) fn report_verdict(&self) -> Result<(), String> {
        let counts = &self.counts;
        println!(
            "{} faults; {} whole answers, {} refused ({} not run), {} ended with an error, {} lost with \
             their VM",
            counts.faults,
            counts.responses,
            counts.refused,
            counts.not_run,
            counts.failed,
            counts.lost_with_vm
        );
        println!(
            "{} notices acknowledged, {} delivered; {} jobs with {} items read back; {} changes",
            counts.notices_acknowledged,
            counts.notices_delivered,
            counts.jobs,
            counts.items,
            counts.changes
        );
        if self.violations.is_empty() {
            println!("no guarantee was violated");
            return Ok(());
        }
        Err(format!(
            "{} guarantees were violated:\n{}\n\ntrace:\n{}",
            self.violations.len(),
            self.violations.join("\n"),
            self.trace.join("\n")
        ))
    }
}
