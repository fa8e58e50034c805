//! Keeps requests to targets within the rate limits that these have named.

use crate::limits::{
    LimitChange, LimitRow, LimitStatement, PermitAsk, PermitGrant, PermitReply, TakeOutcome,
    choose_keeper,
};
use crate::loads::ReservationDigest;
use crate::relay::context::RelayContext;
use crate::relay::metadata::ReplyMetadata;
use crate::targets::TargetEntry;
use crate::telemetry::EventLine;
use crate::units::{MonoTime, RequestRate};
use prost::Message;
use std::sync::Arc;
use std::time::Duration;

/// Share of the rate, in seconds, that a daemon asks for at once: of high limits several permits,
/// so that questions stay rare.
const ASK_SECONDS: f64 = 0.02;
/// Most permits that a daemon asks for at once.
const MAX_WANTED: u32 = 64;
/// Time for which a target gets nothing after its keeper did not reply.
const SILENT_KEEPER_TIME: Duration = Duration::from_millis(300);
/// Shortest time from one question to the next when the keeper had no permit.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest random addition to the time until the next question.
const MAX_ASK_SPREAD: Duration = Duration::from_millis(200);
/// Time for which other daemons are told that a limit has ended.
const ENDED_TIME: Duration = Duration::from_secs(10);
/// Time after a change in which other daemons are told in every message.
const NEWS_TIME: Duration = Duration::from_secs(1);
/// Later, they are told in one of this many messages.
const REMINDER_INTERVAL: u64 = 5;
/// Most limits in one message.
const MAX_ROWS: usize = 64;

/// Detail of a local reply to a request that targets did not get because of their limits.
pub(super) const AT_LIMIT: &str = "targets are at their rate limits";

/// Whether a request may be sent to a target now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PermitOutcome {
    /// It may.
    Granted,
    /// It may not; the target is not chosen for a while.
    HeldBack,
}

/// Takes a permit for one request to a target; asks the keeper if there is none at hand.
pub(super) async fn acquire_permit(context: &RelayContext, target: &TargetEntry) -> PermitOutcome {
    let limit = target.stats.limit();
    let outcome = match limit.take(context.clock.now()) {
        TakeOutcome::Taken => return PermitOutcome::Granted,
        TakeOutcome::HeldBack(_) => PermitOutcome::HeldBack,
        TakeOutcome::Ask(rate) => match ask_keeper(context, target, rate).await {
            // The target may have asked for rest meanwhile.
            PermitOutcome::Granted if is_resting(context, target) => PermitOutcome::HeldBack,
            outcome => outcome,
        },
    };
    if outcome == PermitOutcome::HeldBack {
        count_event(context, "held_back");
    }
    outcome
}

/// Gives back a permit that was not used.
pub(super) fn return_permit(context: &RelayContext, target: &TargetEntry) {
    target.stats.limit().give_back(context.clock.now());
}

/// True while the target rests.
pub(crate) fn is_resting(context: &RelayContext, target: &TargetEntry) -> bool {
    let now = context.clock.now();
    target.stats.limit().resting_until(now).is_some()
}

/// True when one of the targets gets no request because of its limit.
pub(super) fn any_held_back<'a>(
    mut targets: impl Iterator<Item = &'a Arc<TargetEntry>>,
    now: MonoTime,
) -> bool {
    targets.any(|target| target.stats.limit().is_held_back(now))
}

async fn ask_keeper(
    context: &RelayContext,
    target: &TargetEntry,
    rate: RequestRate,
) -> PermitOutcome {
    let limit = target.stats.limit();
    let wanted = ((rate.0 * ASK_SECONDS) as u32).clamp(1, MAX_WANTED);
    let Some(grant) = request_permits(context, target, rate, wanted).await else {
        count_event(context, "keeper_silent");
        limit.hold_back(context.clock.now().after(SILENT_KEEPER_TIME));
        return PermitOutcome::HeldBack;
    };
    let now = context.clock.now();
    if grant.count == 0 {
        // Daemons that were turned away at the same time come back at different ones.
        let pause = grant.retry_after.max(MIN_ASK_INTERVAL);
        let spread = pause.min(MAX_ASK_SPREAD).mul_f64(fastrand::f64());
        limit.hold_back(now.after(pause + spread));
        return PermitOutcome::HeldBack;
    }
    if grant.count > 1 {
        limit.add_permits(grant.count - 1, now);
    }
    PermitOutcome::Granted
}

/// Permits from the keeper of the target, which may be this daemon; `None` when it does not reply.
async fn request_permits(
    context: &RelayContext,
    target: &TargetEntry,
    rate: RequestRate,
    wanted: u32,
) -> Option<PermitGrant> {
    let rows = context.presence.rows();
    let run = target.run_hash();
    let now = context.clock.now();
    let Some(keeper) = choose_keeper(rows.values(), run) else {
        // Nobody is listed any more, as while the store is away: each daemon takes an equal share. A
        // daemon that has not read the list yet does not know how many there are.
        let daemons = context.presence.peak_count();
        let share = RequestRate(rate.0 / daemons as f64);
        return (daemons > 0).then(|| context.keeper.grant(run, share, wanted, now));
    };
    if keeper.instance == context.settings.instance {
        return Some(context.keeper.grant(run, rate, wanted, now));
    }
    let number = fastrand::u64(..);
    let ask = PermitAsk {
        number,
        limit: limit_row(target, now)?,
        wanted,
    };
    let datagram = ReservationDigest {
        ask: Some(ask),
        ..ReservationDigest::default()
    };
    let datagram = datagram.encode_to_vec();
    let reply = context.permits.ask(keeper.peers, number, &datagram).await?;
    Some(PermitGrant {
        count: reply.count,
        retry_after: Duration::from_millis(reply.retry_after_ms),
    })
}

/// Replies to another daemon that asks for permits.
pub(crate) fn answer_ask(context: &RelayContext, ask: &PermitAsk) -> PermitReply {
    merge_limits(context, &[ask.limit]);
    let now = context.clock.now();
    let statement = context.targets.load().run(ask.limit.target).map_or_else(
        || ask.limit.statement(),
        |target| target.stats.limit().statement(),
    );
    let without_keeper = |count| PermitGrant {
        count,
        retry_after: Duration::ZERO,
    };
    let grant = match statement {
        LimitStatement::Limited(rate) => {
            context
                .keeper
                .grant(ask.limit.target, rate, ask.wanted, now)
        }
        // The limit has ended; the asking daemon hears of it with the next digest.
        LimitStatement::Unlimited => without_keeper(1),
        LimitStatement::Malformed => without_keeper(0),
    };
    PermitReply {
        number: ask.number,
        count: grant.count,
        retry_after_ms: grant.retry_after.as_millis() as u64,
    }
}

/// Takes what the response to a request that was sent at `sent_at` says about the target's limit.
pub(super) fn observe_limit(
    context: &RelayContext,
    target: &TargetEntry,
    sent_at: MonoTime,
    status: u16,
    metadata: &ReplyMetadata,
) {
    // A 421 comes from another target. One that refuses a request may leave out its limit.
    let is_silent = metadata.not_executed && metadata.limit == LimitStatement::Unlimited;
    if status == 421 || is_silent {
        return;
    }
    let now = context.clock.now();
    let change = target.stats.limit().observe(metadata.limit, sent_at, now);
    log_change(context, target, change, "response");
}

/// Limits to tell other daemons in the message with this number.
pub(crate) fn known_limits(context: &RelayContext, sequence: u64) -> Vec<LimitRow> {
    let now = context.clock.now();
    let view = context.targets.load();
    let rows = view
        .targets()
        .filter_map(|target| limit_row(target, now))
        .filter(|row| is_due(row, sequence));
    rows.take(MAX_ROWS).collect()
}

fn is_due(row: &LimitRow, sequence: u64) -> bool {
    let age = Duration::from_millis(row.age_ms);
    let is_current = row.rate.is_some() || age < ENDED_TIME;
    let has_turn = (row.target.wrapping_add(sequence)).is_multiple_of(REMINDER_INTERVAL);
    is_current && (age < NEWS_TIME || has_turn)
}

fn limit_row(target: &TargetEntry, now: MonoTime) -> Option<LimitRow> {
    let (rate, at) = target.stats.limit().observation()?;
    Some(LimitRow {
        target: target.run_hash(),
        rate: rate.map(|rate| rate.0),
        age_ms: now.since(at).as_millis() as u64,
    })
}

/// Takes the limits that another daemon tells of.
pub(crate) fn merge_limits(context: &RelayContext, rows: &[LimitRow]) {
    if rows.is_empty() {
        return;
    }
    let now = context.clock.now();
    let view = context.targets.load();
    for row in rows {
        let Some(target) = view.run(row.target) else {
            continue;
        };
        let rate = match row.statement() {
            LimitStatement::Unlimited => None,
            LimitStatement::Limited(rate) => Some(rate),
            LimitStatement::Malformed => continue,
        };
        let at = MonoTime(now.0.saturating_sub(row.age_ms.saturating_mul(1_000)));
        let change = target.stats.limit().merge(rate, at);
        log_change(context, target, change, "peer");
    }
}

fn log_change(
    context: &RelayContext,
    target: &TargetEntry,
    change: LimitChange,
    source: &'static str,
) {
    let (event, before, rate) = match change {
        LimitChange::None => return,
        LimitChange::Learned(rate) => ("learned", None, Some(rate)),
        LimitChange::Changed(before, rate) => ("changed", Some(before), Some(rate)),
        LimitChange::Ended(before) => ("ended", Some(before), None),
    };
    count_event(context, event);
    let line = EventLine::new("target_limit")
        .with("outcome", event)
        .with_display("target", &target.id)
        .with("source", source)
        .with("before", before.map(|rate| rate.0));
    context
        .events
        .emit(line.with("rate", rate.map(|rate| rate.0)));
}

fn count_event(context: &RelayContext, event: &str) {
    context.metrics.limits.with_label_values(&[event]).inc();
}
