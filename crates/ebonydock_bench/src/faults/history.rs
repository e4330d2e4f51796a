//! What a run saw, and the verdict.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::SmallRng;

/// A notice and what its caller was told.
#[derive(Clone, Debug)]
pub(crate) struct NoticeRecord {
    /// The body, different for each notice.
    pub(crate) body: String,
    /// A success was answered.
    pub(crate) acknowledged: bool,
    /// Every answer said that nothing was run.
    pub(crate) never_run: bool,
}

/// What is printed at the end.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunCounts {
    /// Online answers that were whole.
    pub(crate) responses: u64,
    /// Online requests that were refused, and those of them that were not run.
    pub(crate) refused: u64,
    /// Refusals that said `not_run`.
    pub(crate) not_run: u64,
    /// Streams that ended with an error event.
    pub(crate) failed: u64,
    /// Streams that broke off because their VM was lost.
    pub(crate) lost_with_vm: u64,
    /// Notices that were acknowledged.
    pub(crate) notices_acknowledged: u64,
    /// Deliveries of notices.
    pub(crate) notices_delivered: u64,
    /// Jobs that were accepted.
    pub(crate) jobs: u64,
    /// Items of those jobs that were read back.
    pub(crate) items: u64,
    /// Changes of the configuration that were accepted.
    pub(crate) changes: u64,
    /// Faults.
    pub(crate) faults: u64,
}

/// What a run saw.
pub(crate) struct RunHistory {
    /// The VMs that callers may go to, by index.
    pub(crate) serving: Vec<(usize, SocketAddr)>,
    /// The addresses of VMs that were lost.
    pub(crate) lost: HashSet<SocketAddr>,
    /// The notices.
    pub(crate) notices: Vec<NoticeRecord>,
    /// Names of accepted jobs.
    pub(crate) jobs: Vec<String>,
    /// The newest version seen at each VM.
    pub(crate) versions: BTreeMap<SocketAddr, u64>,
    /// The newest version that was accepted.
    pub(crate) accepted_version: u64,
    /// The counts.
    pub(crate) counts: RunCounts,
    replacements: u64,
    start: Instant,
    violations: Vec<String>,
    trace: Vec<String>,
}

impl RunHistory {
    /// Empty books.
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

    /// A VM for the next request.
    pub(crate) fn pick_address(&self, random: &mut SmallRng) -> Option<SocketAddr> {
        if self.serving.is_empty() {
            return None;
        }
        Some(self.serving[random.random_range(0..self.serving.len())].1)
    }

    /// A name that no VM has had.
    pub(crate) fn next_vm_name(&mut self) -> String {
        self.replacements += 1;
        format!("replacement-{}", self.replacements)
    }

    /// Takes a notice whose sender is done with it.
    pub(crate) fn add_notice(&mut self, notice: NoticeRecord) {
        self.counts.notices_acknowledged += u64::from(notice.acknowledged);
        self.notices.push(notice);
    }

    /// Notes an event for the trace.
    pub(crate) fn record_event(&mut self, event: &str) {
        let at = self.start.elapsed();
        log::info!("faults: {event}.");
        self.trace.push(format!("{at:>8.2?} {event}"));
    }

    /// Notes a broken promise.
    pub(crate) fn record_violation(&mut self, violation: String) {
        self.record_event(&format!("BREACH {violation}"));
        self.violations.push(violation);
    }

    /// Prints the counts, and the trace if a promise was broken.
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
            println!("no promise was broken");
            return Ok(());
        }
        Err(format!(
            "{} promises were broken:\n{}\n\ntrace:\n{}",
            self.violations.len(),
            self.violations.join("\n"),
            self.trace.join("\n")
        ))
    }
}
