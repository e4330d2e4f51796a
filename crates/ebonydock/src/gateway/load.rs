//! Reports in which VMs tell each other their load on targets and their use of quotas.

use std::borrow::Cow;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::gateway::quarantine::PartSet;
use crate::gateway::report_routes::ReportInterest;
use crate::ids::{VmId, WorkspaceId};
use crate::placement::load::{ReportedLoad, ReportedWait, VmReport};
use crate::placement::outlier_ejection::ReportedOutlier;
use crate::rollouts::RolloutNews;

/// Quota that a VM has spent for a workspace in its current incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpentQuota {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Number of admitted requests without refunded ones.
    pub requests: u64,
    /// Time since the first of them in milliseconds, by which a VM that learns of them only now knows
    /// whether they all came after its own start.
    pub age_ms: u32,
}

/// Attempt that failed before its answer began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptFailure {
    /// Hash of the target's incarnation.
    pub target: u32,
    /// Hash of the service's name.
    pub service: u32,
    /// Parts of the prompt.
    pub parts: Vec<u64>,
    /// Time since the failure in milliseconds.
    pub age_ms: u16,
}

/// Answer that began on a request with a part of a failed prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAnswer {
    /// Part of the prompt.
    pub part: u64,
    /// Time since the answer began in milliseconds.
    pub age_ms: u16,
}

/// Answers of one service that began at a VM in its current incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCount {
    /// Hash of the service's name.
    pub service: u32,
    /// Number of answers.
    pub answers: u32,
}

/// Change of a quarantine of prompt parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedQuarantine {
    /// Requests that contain all of these parts are refused.
    pub parts: PartSet,
    /// Increases each time the parts are quarantined again.
    pub revision: u32,
    /// Whether the quarantine was lifted.
    pub is_lifted: bool,
}

/// Requests of a VM that failed before their answers began, and what is known of their prompts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptReport {
    /// Recent failures.
    pub failures: Vec<PromptFailure>,
    /// Recent answers on parts of failed prompts.
    pub answered: Vec<PartAnswer>,
    /// Answers by service, while there are failures.
    pub counts: Vec<AnswerCount>,
    /// Recent changes of quarantines.
    pub quarantines: Vec<ReportedQuarantine>,
}

impl PromptReport {
    /// Returns whether other VMs have to learn of this report before the next heartbeat.
    pub(crate) fn has_news(&self, previous: Option<&Self>) -> bool {
        let nothing = Self::default();
        let previous = previous.unwrap_or(&nothing);
        let is_new_failure = |failure: &PromptFailure| {
            let mut known = previous.failures.iter();
            !known.any(|known| known.target == failure.target && known.parts == failure.parts)
        };
        let is_new_answer =
            |answer: &PartAnswer| !previous.answered.iter().any(|known| known.part == answer.part);
        self.failures.iter().any(is_new_failure)
            || self.answered.iter().any(is_new_answer)
            || self.quarantines.iter().any(|changed| !previous.quarantines.contains(changed))
    }
}

/// Load of one VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Identifies the process lifetime of the VM; new after each restart. Sent in the frame of the report.
    #[serde(skip)]
    pub incarnation: u64,
    /// Increases with each report of an incarnation, because datagrams may arrive out of order. Sent in the
    /// frame of the report.
    #[serde(skip)]
    pub sequence: u64,
    /// Load by target; targets without requests of the VM are absent.
    pub targets: Vec<ReportedLoad>,
    /// Quotas recently spent by the VM.
    pub quotas: Vec<SpentQuota>,
    /// Waiting online requests by service; services without any are absent.
    pub waiting: Vec<ReportedWait>,
    /// Failed requests and quarantines of prompt parts; `None` if there are none.
    pub prompts: Option<Box<PromptReport>>,
    /// News of roll-outs; `None` if none runs. Sent as one of the [`ReportExtras`].
    #[serde(skip)]
    pub rollouts: Option<Box<RolloutNews>>,
    /// Targets at which requests of the VM failed recently. Sent as one of the [`ReportExtras`].
    #[serde(skip)]
    pub outliers: Vec<ReportedOutlier>,
}

impl VmReport for LoadReport {
    fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn sequence(&self) -> u64 {
        self.sequence
    }

    fn targets(&self) -> &[ReportedLoad] {
        &self.targets
    }

    fn waiting(&self) -> &[ReportedWait] {
        &self.waiting
    }

    fn outliers(&self) -> &[ReportedOutlier] {
        &self.outliers
    }
}

/// Parts of a report that are rarely present. Encoded behind the rest of the report, so that reports without them do
/// not become larger.
#[derive(Serialize, Deserialize)]
struct ReportExtras<'a> {
    rollouts: Option<Cow<'a, Box<RolloutNews>>>,
    outliers: Cow<'a, [ReportedOutlier]>,
}

impl ReportExtras<'_> {
    fn is_empty(&self) -> bool {
        self.rollouts.is_none() && self.outliers.is_empty()
    }
}

/// Load report of one VM as sent. Every VM receives each report from two relays, so the content is decoded
/// only if the header shows that the report is new. Relays forward the content unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportFrame<'a> {
    /// VM that the report describes.
    pub vm: &'a str,
    /// [`LoadReport::incarnation`].
    pub incarnation: u64,
    /// [`LoadReport::sequence`].
    pub sequence: u64,
    /// The rest of the [`LoadReport`], encoded with `postcard`.
    pub content: &'a [u8],
}

impl ReportFrame<'_> {
    /// Decodes the report.
    pub(crate) fn decode(&self) -> Result<LoadReport, postcard::Error> {
        let (mut report, rest) = postcard::take_from_bytes::<LoadReport>(self.content)?;
        if !rest.is_empty() {
            let extras: ReportExtras<'_> = postcard::from_bytes(rest)?;
            report.rollouts = extras.rollouts.map(Cow::into_owned);
            report.outliers = extras.outliers.into_owned();
        }
        (report.incarnation, report.sequence) = (self.incarnation, self.sequence);
        Ok(report)
    }
}

/// Reports sent in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate<'a> {
    /// Reports that the sender subscribes to at the receiver.
    pub interest: ReportInterest,
    /// Reports of the sender or of the VMs that it relays for.
    #[serde(borrow)]
    pub reports: Vec<ReportFrame<'a>>,
}

/// Encoded load report that is kept to be forwarded.
#[derive(Clone, Debug)]
pub(crate) struct EncodedReport {
    pub(crate) vm: VmId,
    incarnation: u64,
    sequence: u64,
    content: Rc<[u8]>,
}

impl EncodedReport {
    /// Encodes the report of `vm`.
    pub(crate) fn encode(vm: &VmId, report: &LoadReport) -> Self {
        let failed = |error| unreachable!("reports always encode: {error}");
        let mut content = postcard::to_stdvec(report).unwrap_or_else(failed);
        let extras = ReportExtras {
            rollouts: report.rollouts.as_ref().map(Cow::Borrowed),
            outliers: Cow::Borrowed(&report.outliers),
        };
        if !extras.is_empty() {
            content.extend(postcard::to_stdvec(&extras).unwrap_or_else(failed));
        }
        Self {
            vm: vm.clone(),
            incarnation: report.incarnation,
            sequence: report.sequence,
            content: content.into(),
        }
    }

    /// Copies a received report of `vm`.
    pub(crate) fn copy(vm: &VmId, frame: &ReportFrame<'_>) -> Self {
        Self {
            vm: vm.clone(),
            incarnation: frame.incarnation,
            sequence: frame.sequence,
            content: frame.content.into(),
        }
    }

    /// Returns the report as sent.
    pub(crate) fn frame(&self) -> ReportFrame<'_> {
        ReportFrame {
            vm: self.vm.as_str(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            content: &self.content,
        }
    }
}
