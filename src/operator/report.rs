//! Plans and states as text for people.

use crate::api::{ModelStatus, StatusResponse};
use crate::config::{CapacityChange, FleetPlan, PlanCost};
use crate::units::ByteSize;

/// Changes shown before the rest is only counted.
const SHOWN_CHANGES: usize = 40;

/// What a plan changes and costs.
pub fn format_plan(plan: &FleetPlan) -> String {
    let mut lines = vec![format!(
        "plan {} against revision {}",
        plan.document.plan, plan.base
    )];
    if plan.changes.is_empty() {
        lines.push("  changes nothing".to_owned());
    }
    let shown = plan.changes.iter().take(SHOWN_CHANGES);
    lines.extend(shown.map(|change| format!("  {change}")));
    let rest = plan.changes.len().saturating_sub(SHOWN_CHANGES);
    if rest > 0 {
        lines.push(format!("  and {rest} more changes"));
    }
    lines.extend(cost_lines(&plan.cost));
    join(&lines)
}

fn cost_lines(cost: &PlanCost) -> Vec<String> {
    let mut lines = vec![format!(
        "cost: {} from the weight store, {:.1} s at its rate limit; {} engines load first, \
         {} requests finish before",
        ByteSize(cost.weight_bytes),
        cost.load_seconds,
        cost.engines_loading,
        cost.requests_to_drain,
    )];
    if !cost.capacity.is_empty() {
        lines.push(format!(
            "  {:<24} {:>8} {:>8} {:>8}  serving meanwhile",
            "complete copies", "before", "during", "after"
        ));
    }
    lines.extend(cost.capacity.iter().map(capacity_line));
    lines
}

fn capacity_line(change: &CapacityChange) -> String {
    format!(
        "  {:<24} {:>8} {:>8} {:>8}  {}",
        change.model.as_str(),
        change.before,
        change.during,
        change.after,
        change.serving
    )
}

/// State of a daemon and of the models.
pub fn format_status(status: &StatusResponse) -> String {
    let mut lines = vec![format!(
        "{} is {}, revision {} is in force",
        status.instance, status.phase, status.revision
    )];
    lines.extend(status.models.iter().map(model_line));
    join(&lines)
}

fn model_line(model: &ModelStatus) -> String {
    let (name, version) = (&model.model, &model.version);
    let line = format!(
        "  {name} {version}: {} of {} stages loaded",
        model.ready, model.stages
    );
    match &model.next {
        None => line,
        Some(next) => {
            let (version, ready, stages) = (&next.version, next.ready, next.stages);
            format!("{line}; {version} is loading, {ready} of {stages} stages")
        }
    }
}

fn join(lines: &[String]) -> String {
    let mut text = lines.join("\n");
    text.push('\n');
    text
}
