//! Finds the prompt parts that crash targets.
//!
//! A target that ends takes all of its requests along, and one of them may be the cause. VMs report the
//! requests that had not begun to be answered, by their prompt parts. A part is the likely cause if the
//! requests that share it failed at several targets, none of them was answered since, and that is improbable
//! given how often other requests fail at the same time.
//!
//! Targets that end at one moment may have lost their network, power or process together, and a part that most
//! requests share then fails at all of them. Such failures count as one, and the verdict is provisional.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::gateway::load::{AnswerCount, PartAnswer, PromptFailure, PromptReport};
use crate::gateway::quarantine::{PartSet, QuarantineList};
use crate::ids::VmId;

/// Period in which failures are compared.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(30);
/// Period in which a failure or an answer is repeated in reports, so that lost reports lose nothing.
const REPORTING_TIME: Duration = Duration::from_secs(3);
/// Minimum age of a failure that counts: by then VMs that answered the same parts have reported it.
pub(crate) const SETTLING_TIME: Duration = Duration::from_millis(200);
/// Minimum number of targets at which requests with a part failed.
const MIN_FAILURES: usize = 3;
/// The same for a part of a quarantined set, in requests without the rest of the set: a part of the set is known
/// to crash targets, and the question is which one.
const MIN_FAILURES_IN_SET: usize = 2;
/// Number of targets from which a request with a part is not sent again after a failure.
const MIN_SUSPECT_FAILURES: usize = 2;
/// Period after a failure in which requests with the same parts are held back or not sent again.
const SUSPICION_TIME: Duration = Duration::from_secs(2);
/// Natural logarithm of the factor by which so many failures in a row must be too many for chance, given the
/// number of requests in which chance may produce such a row.
const MIN_LOG_SURPRISE: f64 = 5.0;
/// Minimum odds against chance for a part of a quarantined set, as a natural logarithm.
const MIN_LOG_ODDS_IN_SET: f64 = 4.0;
/// Failures within this period after the first of them may have one cause that their targets share. VMs notice
/// and report the end of one target at times that differ by less.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(100);
/// Limit for failures that are compared; older ones are dropped.
const MAX_FAILURES: usize = 512;
/// Limit for parts whose last answer is known.
const MAX_ANSWERED_PARTS: usize = 8192;
/// Limit for the parts of one prompt that are compared.
const MAX_PROMPT_PARTS: usize = 16;
/// Limits for one report, which has to fit into a datagram.
const MAX_REPORTED_PARTS: usize = 32;
const MAX_REPORTED_ANSWERS: usize = 12;
/// Limit for the failures that the log line of a verdict lists.
const MAX_LOGGED_FAILURES: usize = 16;
/// Resolution of the counts of answers over time.
const ANSWER_BUCKET: Duration = Duration::from_millis(100);

/// A failed attempt of any VM.
#[derive(Debug)]
struct RecordedFailure {
    failure: PromptFailure,
    at: Duration,
    is_local: bool,
}

/// Last answers on requests with a part.
#[derive(Clone, Copy, Debug, Default)]
struct PartAnswers {
    /// By any VM.
    newest: Option<Duration>,
    /// By this VM.
    local: Option<Duration>,
    /// First answer of this VM after the last failure, which other VMs have to learn of.
    cleared: Option<Duration>,
}

/// Answers of a service over time.
#[derive(Debug, Default)]
struct AnswerHistory {
    buckets: VecDeque<(Duration, u32)>,
}

impl AnswerHistory {
    fn add(&mut self, now: Duration, answers: u32) {
        match self.buckets.back_mut() {
            Some((began, count)) if now < *began + ANSWER_BUCKET => *count += answers,
            _ => self.buckets.push_back((now, answers)),
        }
        while self.buckets.front().is_some_and(|(began, _)| *began + EVIDENCE_LIFETIME < now) {
            self.buckets.pop_front();
        }
    }

    /// Returns when the last counted answers began, with the resolution of the counts.
    fn newest(&self) -> Option<Duration> {
        self.buckets.back().map(|(began, _)| *began)
    }

    fn between(&self, from: Duration, to: Duration) -> u32 {
        let within = self.buckets.iter().filter(|(began, _)| (from..=to).contains(began));
        within.map(|(_, count)| count).sum()
    }
}

/// Failures of the requests that share a part.
#[derive(Clone, Debug, Default)]
struct PartFailures {
    /// Indexes into the settled failures.
    failures: Vec<usize>,
    targets: BTreeSet<u32>,
    services: BTreeSet<u32>,
    times: BTreeSet<Duration>,
}

impl PartFailures {
    fn add(&mut self, index: usize, known: &RecordedFailure) {
        self.failures.push(index);
        self.targets.insert(known.failure.target);
        self.services.insert(known.failure.service);
        self.times.insert(known.at);
    }

    /// Returns the number of failures that are too far apart in time for a cause that their targets share.
    fn independent_count(&self) -> usize {
        let mut count = 0;
        let mut window_end = None;
        for at in &self.times {
            if window_end.is_none_or(|end| *at > end) {
                count += 1;
                window_end = Some(*at + COMMON_CAUSE_WINDOW);
            }
        }
        count
    }
}

/// Parts that crash targets, with the evidence.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashVerdict {
    /// Parts that no failed request had without the others. At least one of them crashes targets.
    pub parts: PartSet,
    /// Number of targets at which requests with the parts failed.
    pub targets: usize,
    /// Number of failures that have no cause in common but the parts.
    pub independent_failures: usize,
    /// Whether the independent failures suffice as evidence. Otherwise a trial has to decide.
    pub is_confirmed: bool,
    /// Failures of other requests at about the same time.
    pub other_failures: usize,
    /// Answers to other requests at about the same time.
    pub answers: u32,
    /// Odds against any such failures by chance in the compared period, as a natural logarithm.
    pub log_surprise: f64,
    /// Failures of requests with the parts: hash of the target, and time before the judgement. In the order in
    /// which they became known.
    pub failures: Vec<(u32, Duration)>,
    /// Time since the last answer of the services to any request; `None` if none is known.
    pub last_answer: Option<Duration>,
}

impl CrashVerdict {
    /// Returns the first failures as they appear in logs: `target-milliseconds` for each.
    pub(crate) fn failure_list(&self) -> String {
        let entries = self.failures.iter().take(MAX_LOGGED_FAILURES);
        let entries = entries.map(|(target, age)| format!("{target:08x}-{}", age.as_millis()));
        entries.collect::<Vec<_>>().join(",")
    }
}

/// Failed attempts of all VMs at requests that had not begun to be answered.
#[derive(Debug, Default)]
pub struct FailureLedger {
    failures: VecDeque<RecordedFailure>,
    answered: FxHashMap<u64, PartAnswers>,
    answers: FxHashMap<u32, AnswerHistory>,
    /// Answers of this VM by service since its start.
    local_counts: FxHashMap<u32, u32>,
    /// Last reported counts of other VMs, with their incarnations.
    peer_counts: HashMap<VmId, (u64, FxHashMap<u32, u32>)>,
}

impl FailureLedger {
    /// Records that an attempt of this VM failed before its answer began.
    pub fn record_failure(&mut self, now: Duration, failure: PromptFailure) {
        self.insert(now, failure, true);
    }

    fn insert(&mut self, at: Duration, mut failure: PromptFailure, is_local: bool) {
        failure.parts.truncate(MAX_PROMPT_PARTS);
        let is_known = |known: &RecordedFailure| {
            known.failure.target == failure.target && known.failure.parts == failure.parts
        };
        if failure.parts.is_empty() || self.failures.iter().any(is_known) {
            return;
        }
        for part in &failure.parts {
            let Some(answers) = self.answered.get_mut(part) else { continue };
            answers.cleared = answers.local.filter(|local| *local > at);
        }
        if self.failures.len() >= MAX_FAILURES {
            self.failures.pop_front();
        }
        self.failures.push_back(RecordedFailure { failure, at, is_local });
    }

    /// Records that a target began to answer a request of this VM.
    pub fn record_answer(&mut self, now: Duration, service: u32, parts: &[u64]) {
        let parts = &parts[..parts.len().min(MAX_PROMPT_PARTS)];
        *self.local_counts.entry(service).or_default() += 1;
        self.answers.entry(service).or_default().add(now, 1);
        if self.answered.len() + parts.len() > MAX_ANSWERED_PARTS {
            self.forget_old_answers(now);
        }
        for part in parts {
            let failed = self.failures.iter().any(|known| known.failure.parts.contains(part));
            let answers = self.answered.entry(*part).or_default();
            if failed && answers.cleared.is_none() {
                answers.cleared = Some(now);
            }
            answers.local = Some(now);
            answers.newest = Some(now);
        }
    }

    fn forget_old_answers(&mut self, now: Duration) {
        let failures = self.failures.iter().flat_map(|known| &known.failure.parts);
        let failed: FxHashSet<u64> = failures.copied().collect();
        self.answered.retain(|part, answers| {
            let is_recent = answers.newest.is_some_and(|newest| newest + REPORTING_TIME >= now);
            // Forgetting the answer to a failed part would make its failures count again.
            is_recent || failed.contains(part)
        });
        if self.answered.len() > MAX_ANSWERED_PARTS - MAX_PROMPT_PARTS {
            self.answered.retain(|part, _| failed.contains(part));
        }
    }

    /// Returns the number of parts whose last answer is known.
    #[cfg(test)]
    pub(crate) fn answered_parts(&self) -> usize {
        self.answered.len()
    }

    /// Records answers and failures that another VM reports.
    pub fn observe(
        &mut self,
        now: Duration,
        (vm, incarnation): (&VmId, u64),
        report: &PromptReport,
    ) {
        let time_of = |age_ms: u16| now.saturating_sub(Duration::from_millis(age_ms.into()));
        for failure in &report.failures {
            self.insert(time_of(failure.age_ms), failure.clone(), false);
        }
        for answer in &report.answered {
            let answers = self.answered.entry(answer.part).or_default();
            answers.newest = answers.newest.max(Some(time_of(answer.age_ms)));
        }
        if self.answered.len() > MAX_ANSWERED_PARTS {
            self.forget_old_answers(now);
        }
        let (known, counts) = self.peer_counts.entry(vm.clone()).or_default();
        if *known != incarnation {
            (*known, *counts) = (incarnation, FxHashMap::default());
        }
        for AnswerCount { service, answers } in &report.counts {
            // The first count includes answers from before the failures.
            if let Some(previous) = counts.insert(*service, *answers) {
                let new = answers.saturating_sub(previous);
                self.answers.entry(*service).or_default().add(now, new);
            }
        }
    }

    /// Drops failures that are too old to be compared. Returns whether any are left.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.failures.retain(|known| known.at + EVIDENCE_LIFETIME >= now);
        if self.failures.is_empty() {
            self.peer_counts.clear();
        }
        !self.failures.is_empty()
    }

    /// Returns what other VMs have to know, without the quarantined parts.
    pub fn report(&self, now: Duration) -> PromptReport {
        if self.failures.is_empty() {
            return PromptReport::default();
        }
        let age_of = |at: Duration| now.saturating_sub(at).as_millis() as u16;
        let is_recent = |at: Duration| at + REPORTING_TIME >= now;
        let mut parts = 0;
        let local =
            self.failures.iter().rev().filter(|known| known.is_local && is_recent(known.at));
        let local = local.take_while(|known| {
            parts += known.failure.parts.len();
            parts <= MAX_REPORTED_PARTS
        });
        let failures =
            local.map(|known| PromptFailure { age_ms: age_of(known.at), ..known.failure.clone() });
        let cleared = self.answered.iter().filter_map(|(part, answers)| {
            let cleared = answers.cleared.filter(|at| is_recent(*at))?;
            Some(PartAnswer { part: *part, age_ms: age_of(cleared) })
        });
        let mut answered: Vec<_> = cleared.collect();
        answered.sort_unstable_by_key(|answer| (answer.age_ms, answer.part));
        answered.truncate(MAX_REPORTED_ANSWERS);
        let services: BTreeSet<u32> =
            self.failures.iter().map(|known| known.failure.service).collect();
        let counts = services.into_iter().map(|service| AnswerCount {
            service,
            answers: self.local_counts.get(&service).copied().unwrap_or_default(),
        });
        PromptReport {
            failures: failures.collect(),
            answered,
            counts: counts.collect(),
            quarantines: Vec::new(),
        }
    }

    fn is_live(&self, part: u64, failed_at: Duration) -> bool {
        let newest = self.answered.get(&part).and_then(|answers| answers.newest);
        newest.is_none_or(|newest| newest < failed_at)
    }

    /// Returns whether each of the parts was answered after a time, so that none of them crashes targets.
    pub fn are_answered(&self, parts: &PartSet, after: Duration) -> bool {
        let newest = |part| self.answered.get(part).and_then(|answers| answers.newest);
        parts.parts().iter().all(|part| newest(part).is_some_and(|newest| newest > after))
    }

    /// Returns whether requests like this one failed at several targets: it contains all parts that they have in
    /// common and that were never answered. Targets that crash together for another reason have failed requests
    /// in common too, but mostly with parts that were answered before.
    pub fn is_suspect(&self, now: Duration, prompt: &[u64]) -> bool {
        prompt.iter().any(|part| {
            let failures = self.failures.iter().filter(|known| {
                known.at + SUSPICION_TIME >= now && self.may_be_cause(*part, known)
            });
            let failures: Vec<_> = failures.collect();
            let targets: BTreeSet<u32> =
                failures.iter().map(|known| known.failure.target).collect();
            let Some(first) = failures.first() else { return false };
            let is_common =
                |part: &&u64| failures.iter().all(|known| self.may_be_cause(**part, known));
            let mut common = first.failure.parts.iter().filter(is_common);
            targets.len() >= MIN_SUSPECT_FAILURES && common.all(|part| prompt.contains(part))
        })
    }

    fn may_be_cause(&self, part: u64, known: &RecordedFailure) -> bool {
        let is_answered = self.answered.get(&part).is_some_and(|answers| answers.newest.is_some());
        known.failure.parts.contains(&part) && !is_answered
    }

    /// Returns the parts that are most likely to crash targets, if any are likely enough. Failures that
    /// quarantined parts explain are left out.
    pub fn judge(&self, now: Duration, quarantines: &QuarantineList) -> Option<CrashVerdict> {
        let settled: Vec<&RecordedFailure> = self
            .failures
            .iter()
            .filter(|known| known.at + SETTLING_TIME <= now)
            .filter(|known| !quarantines.is_quarantined(&known.failure.parts))
            .collect();
        let mut by_part: FxHashMap<u64, PartFailures> = FxHashMap::default();
        for (index, known) in settled.iter().enumerate() {
            let failure = &known.failure;
            for part in failure.parts.iter().filter(|part| self.is_live(**part, known.at)) {
                by_part.entry(*part).or_default().add(index, known);
            }
        }
        let verdicts = by_part.iter().filter_map(|(part, failures)| {
            let companions = quarantines.companions(*part);
            let verdict = self.weigh(now, &settled, failures, !companions.parts().is_empty())?;
            Some((verdict, failures, companions))
        });
        let (verdict, failures, companions) = verdicts.max_by(|(a, ..), (b, ..)| {
            (a.targets, a.log_surprise)
                .partial_cmp(&(b.targets, b.log_surprise))
                .unwrap_or(std::cmp::Ordering::Equal)
        })?;
        let inseparable = by_part.iter().filter(|(_, other)| other.failures == failures.failures);
        // If one part of a quarantined set crashes targets, the parts outside of the set do not.
        let is_candidate =
            |part: &u64| companions.parts().is_empty() || companions.parts().contains(part);
        let parts = inseparable.map(|(part, _)| *part).filter(is_candidate);
        let parts = PartSet::of(parts);
        Some(CrashVerdict { parts, ..verdict })
    }

    /// Returns whether the failures of requests with quarantined parts show that these crash targets.
    pub fn confirms(&self, now: Duration, parts: &PartSet) -> bool {
        let settled: Vec<&RecordedFailure> =
            self.failures.iter().filter(|known| known.at + SETTLING_TIME <= now).collect();
        let mut failures = PartFailures::default();
        for (index, known) in settled.iter().enumerate() {
            let is_live = parts.parts().iter().all(|part| self.is_live(*part, known.at));
            if is_live && parts.is_within(&known.failure.parts) {
                failures.add(index, known);
            }
        }
        let verdict = self.weigh(now, &settled, &failures, false);
        verdict.is_some_and(|verdict| verdict.is_confirmed)
    }

    fn weigh(
        &self,
        now: Duration,
        settled: &[&RecordedFailure],
        failures: &PartFailures,
        is_in_set: bool,
    ) -> Option<CrashVerdict> {
        let min_failures = if is_in_set { MIN_FAILURES_IN_SET } else { MIN_FAILURES };
        if failures.targets.len() < min_failures {
            return None;
        }
        // Later answers to other requests say nothing about requests with the part that nobody sent.
        let (first_at, last_at) = (*failures.times.first()?, *failures.times.last()?);
        let from = first_at.saturating_sub(SETTLING_TIME);
        let to = last_at + SETTLING_TIME;
        let compared = settled.iter().enumerate().filter(|(_, known)| {
            (from..=to).contains(&known.at) && failures.services.contains(&known.failure.service)
        });
        let other_failures =
            compared.filter(|(index, _)| !failures.failures.contains(index)).count();
        let answers = failures.services.iter().filter_map(|service| self.answers.get(service));
        let answers = answers.map(|history| history.between(from, to)).sum::<u32>();
        let all_answers: u32 =
            self.answers.values().map(|history| history.between(Duration::ZERO, to)).sum();
        let all_failures = settled.len() - failures.failures.len();
        // Chance clusters failures, so the rate at the time of the failures alone would be too low.
        let rate =
            failure_rate(other_failures, answers).max(failure_rate(all_failures, all_answers));
        let requests = settled.len() as f64 + f64::from(all_answers);
        let log_odds = |failures: usize| failures as f64 * -rate.ln();
        let log_surprise = log_odds(failures.targets.len()) - requests.ln();
        let are_too_many = |failures: usize| {
            failures >= min_failures
                && (log_odds(failures) - requests.ln() >= MIN_LOG_SURPRISE
                    || (is_in_set && log_odds(failures) >= MIN_LOG_ODDS_IN_SET))
        };
        let independent_failures = failures.independent_count();
        let answered = failures.services.iter().filter_map(|service| self.answers.get(service));
        let last_answer = answered.filter_map(AnswerHistory::newest).max();
        are_too_many(failures.targets.len()).then(|| CrashVerdict {
            parts: PartSet::default(),
            targets: failures.targets.len(),
            independent_failures,
            is_confirmed: are_too_many(independent_failures),
            other_failures,
            answers,
            log_surprise,
            failures: failures
                .failures
                .iter()
                .map(|index| {
                    (settled[*index].failure.target, now.saturating_sub(settled[*index].at))
                })
                .collect(),
            last_answer: last_answer.map(|at| now.saturating_sub(at)),
        })
    }
}

fn failure_rate(failures: usize, answers: u32) -> f64 {
    let failures = failures as f64 + 1.0;
    failures / (failures + f64::from(answers))
}
