//! The rules that a run checks, one function each, from what callers and servers have seen.
//!
//! A rule with a time bound is checked for daemons in touch only. Where a check is narrower than the
//! rule, its doc comment says so.

mod answers;
mod budget;
mod closing;
mod configuration;
mod facts;
mod leaving;
mod notices;
mod reach;
mod runs;
mod streams;
mod timing;

use crate::soak::evidence::SoakEvidence;
use facts::RuleFacts;
use std::fmt;
use std::time::Duration;

/// Name of a rule on the users' pages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RuleName(pub &'static str);

impl fmt::Display for RuleName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleViolation {
    /// Rule.
    pub rule: RuleName,
    /// Identity of the request, or of what else broke it.
    pub subject: String,
    /// Time at which it was broken.
    pub at: Duration,
    /// What was seen.
    pub detail: String,
}

/// A check of one rule.
type RuleCheck = fn(&RuleFacts<'_>) -> Vec<(String, Duration, String)>;

/// All checks, by the name of their rule.
const RULES: &[(&str, RuleCheck)] = &[
    ("MIXED", answers::foreign_success),
    ("MIXED", answers::foreign_failure),
    ("MIXED", answers::foreign_bytes),
    ("UNASKED", runs::unasked),
    ("TWICE", runs::run_twice),
    ("REFUSED", runs::refused_and_run),
    ("DENIED", configuration::denied),
    ("ROUTE", configuration::never_allowed),
    ("CONFIG", configuration::outdated),
    ("CONFIG timeout", timing::unanswered),
    ("BUDGET retries", budget::retries),
    ("BUDGET max attempts", budget::attempts),
    ("BUDGET deadline", budget::deadlines),
    ("BUDGET crashes", budget::crashes),
    ("GONE", leaving::work_for_nobody),
    ("LOST", closing::kept_connection),
    ("LOST planned work", closing::planned_work),
    ("DRAIN", leaving::left_server),
    ("ORDER", streams::broken_order),
    ("LAYERS", streams::broken_chain),
    ("LIMIT", timing::over_limit),
    ("BUDGET rest", notices::asked_in_a_rest),
    ("DRAIN answers", notices::asked_after_leaving),
    ("RECOVER cut off", reach::worse_served),
    ("RECOVER", timing::not_recovered),
    ("FAULT", timing::own_end),
];

/// Checks all rules.
pub fn check_rules(evidence: &SoakEvidence) -> Vec<RuleViolation> {
    let facts = RuleFacts::new(evidence);
    let mut violations = Vec::new();
    for (name, check) in RULES {
        let found = check(&facts).into_iter();
        violations.extend(found.map(|(subject, at, detail)| RuleViolation {
            rule: RuleName(name),
            subject,
            at,
            detail,
        }));
    }
    violations
}
