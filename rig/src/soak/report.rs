//! Outcome of a run, as text.

use crate::soak::evidence::{ExchangeEnd, SoakEvidence};
use crate::soak::fault::{FaultPair, SoakFault};
use crate::soak::rules::RuleViolation;
use crate::soak::spec::SoakSpec;
use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

/// Time around a violation of which the faults are listed.
const TIMELINE_MARGIN: Duration = Duration::from_secs(6);
/// Violations of one rule that are printed in full.
const PRINTED_VIOLATIONS: usize = 3;

/// Outcome of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Seed.
    pub seed: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Folder with the daemons' logs.
    pub logs: PathBuf,
    /// Pairs of faults played.
    pub pairs: Vec<FaultPair>,
    /// Faults for which nothing was free.
    pub skipped: Vec<SoakFault>,
    /// Broken rules.
    pub violations: Vec<RuleViolation>,
    /// Everything seen.
    pub evidence: SoakEvidence,
}

impl SoakReport {
    /// Requests answered with status 200.
    pub fn served(&self) -> usize {
        let exchanges = self.evidence.exchanges.iter();
        let is_served =
            |end: &ExchangeEnd| matches!(end, ExchangeEnd::Answered(a) if a.status() == 200);
        exchanges
            .filter(|exchange| is_served(&exchange.end))
            .count()
    }

    /// Reasons for which the run fails; none when it passes. A run in which nothing was served or no
    /// fault was played shows nothing, so it fails too.
    pub fn failures(&self) -> Vec<String> {
        let mut failures = Vec::new();
        if self.served() == 0 {
            failures.push("no request was served".to_owned());
        }
        if self.evidence.faults.is_empty() {
            failures.push("no fault was played".to_owned());
        }
        let mut rules: BTreeMap<&str, usize> = BTreeMap::new();
        for violation in &self.violations {
            *rules.entry(violation.rule.0).or_default() += 1;
        }
        failures.extend(
            rules
                .iter()
                .map(|(rule, count)| format!("{rule}: {count} times")),
        );
        failures
    }

    /// Requests whose daemon was in touch all the while; the others are judged by fewer rules.
    pub fn in_touch(&self) -> usize {
        let exchanges = self.evidence.exchanges.iter();
        let in_touch = exchanges.filter(|e| self.evidence.in_touch(e.daemon, e.sent, e.ended));
        in_touch.count()
    }

    /// Number of requests with each outcome.
    fn outcomes(&self) -> BTreeMap<String, usize> {
        let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
        for exchange in &self.evidence.exchanges {
            let name = match &exchange.end {
                ExchangeEnd::Answered(answer) => answer.status().to_string(),
                ExchangeEnd::Broken(_) if exchange.half_closed => "half-closed broken".to_owned(),
                ExchangeEnd::Broken(None) => "closed".to_owned(),
                ExchangeEnd::Broken(Some(_)) => "cut short".to_owned(),
                ExchangeEnd::TimedOut(_) => "timed out".to_owned(),
                ExchangeEnd::Left => "left".to_owned(),
                ExchangeEnd::Unsent | ExchangeEnd::Waiting => "unsent".to_owned(),
            };
            *outcomes.entry(name).or_default() += 1;
        }
        outcomes
    }

    fn write_violation(
        &self,
        f: &mut fmt::Formatter<'_>,
        violation: &RuleViolation,
    ) -> fmt::Result {
        let RuleViolation {
            rule,
            subject,
            at,
            detail,
        } = violation;
        writeln!(
            f,
            "  {rule}: seed {}, request {subject}, at {at:.3?}: {detail}",
            self.seed
        )?;
        self.write_request(f, subject)?;
        let from = at.saturating_sub(TIMELINE_MARGIN);
        let near = self.evidence.faults.iter();
        for span in near.filter(|span| span.overlaps(from, *at + TIMELINE_MARGIN / 3)) {
            let end = span
                .end
                .map_or("still lasting".to_owned(), |end| format!("{end:.3?}"));
            writeln!(
                f,
                "    {:.3?} to {end}: {} at {}",
                span.begin, span.kind, span.subject
            )?;
        }
        Ok(())
    }

    /// Writes what callers and servers saw of a request.
    fn write_request(&self, f: &mut fmt::Formatter<'_>, attempt: &str) -> fmt::Result {
        let exchanges = self.evidence.exchanges.iter();
        for exchange in exchanges.filter(|exchange| exchange.attempt == attempt) {
            let end = match &exchange.end {
                ExchangeEnd::Answered(answer) => answer.first_line.clone(),
                ExchangeEnd::Broken(Some(partial)) => {
                    format!(
                        "cut short after {} bytes of {}",
                        partial.body.len(),
                        partial.first_line
                    )
                }
                other => format!("{other:.40?}"),
            };
            writeln!(
                f,
                "    {} {} by router-{}, kept {}: sent {:.3?}, ended {:.3?}: {end}",
                exchange.method,
                exchange.target,
                exchange.daemon,
                exchange.kept,
                exchange.sent,
                exchange.ended
            )?;
        }
        for run in self
            .evidence
            .runs
            .iter()
            .filter(|run| run.attempt == attempt)
        {
            let status = run.answer().map(super::message::HttpMessage::status);
            writeln!(
                f,
                "    at {} {:.3?} to {:.3?}: status {status:?}, dropped {}, broke off {}",
                run.server, run.at, run.ended, run.dropped, run.broke_off
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let failures = self.failures();
        let verdict = if failures.is_empty() {
            "passed"
        } else {
            "FAILED"
        };
        let requests = self.evidence.exchanges.len();
        writeln!(
            f,
            "seed {}: {verdict}; {} daemons, {} of {requests} requests served, {} in touch, {} faults played, skipped: {:?}",
            self.seed,
            self.daemons,
            self.served(),
            self.in_touch(),
            self.evidence.faults.len(),
            self.skipped
        )?;
        writeln!(f, "  outcomes: {:?}", self.outcomes())?;
        let pairs: Vec<String> = self.pairs.iter().map(ToString::to_string).collect();
        writeln!(f, "  pairs: {}", pairs.join(","))?;
        for failure in &failures {
            writeln!(f, "  failure: {failure}")?;
        }
        let mut printed: BTreeMap<&str, usize> = BTreeMap::new();
        for violation in &self.violations {
            let count = printed.entry(violation.rule.0).or_default();
            *count += 1;
            if *count <= PRINTED_VIOLATIONS {
                self.write_violation(f, violation)?;
            }
        }
        if !failures.is_empty() {
            writeln!(f, "  logs: {}", self.logs.display())?;
        }
        Ok(())
    }
}

impl SoakSpec {
    /// Folder with the settings files and logs of this run.
    pub fn folder(&self) -> PathBuf {
        self.out.join(format!("seed-{}", self.seed))
    }
}
