//! Findings in a settings file, reported together.

use std::fmt;
use std::ops::Range;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

/// One finding with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The bytes of the file that the finding is about.
    pub span: Range<usize>,
    /// What is wrong.
    pub message: String,
}

/// All findings in one file.
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

    /// The findings in order of their place.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// One line for each finding: `file:line:column: message`.
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
