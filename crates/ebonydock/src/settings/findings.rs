//! Findings in a settings file, which are reported together.

use std::fmt;
use std::ops::Range;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

/// Problem in a settings file, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Byte range in the file.
    pub span: Range<usize>,
    /// Description of the problem.
    pub message: String,
}

/// All findings in a settings file, ordered by location.
#[derive(Debug)]
pub struct SettingsFindings {
    source: NamedSource<String>,
    findings: Vec<Finding>,
}

impl SettingsFindings {
    pub(crate) fn new(name: &str, text: &str, mut findings: Vec<Finding>) -> Self {
        findings.sort_by_key(|finding| finding.span.start);
        Self { source: NamedSource::new(name, text.to_owned()), findings }
    }

    /// Returns the findings, ordered by location.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Returns one line per finding: `file:line:column: message`.
    pub fn lines(&self) -> Vec<String> {
        let text = self.source.inner();
        let line = |finding: &Finding| {
            let before = &text[..finding.span.start.min(text.len())];
            let row = before.matches('\n').count() + 1;
            let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
            format!("{}:{row}:{column}: {}", self.source.name(), finding.message)
        };
        self.findings.iter().map(line).collect()
    }
}

impl fmt::Display for SettingsFindings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} finding(s) in `{}`", self.findings.len(), self.source.name())
    }
}

impl std::error::Error for SettingsFindings {}

impl Diagnostic for SettingsFindings {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = |finding: &Finding| {
            LabeledSpan::new_with_span(Some(finding.message.clone()), finding.span.clone())
        };
        Some(Box::new(self.findings.iter().map(label)))
    }
}
