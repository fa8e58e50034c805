//! Refuses a request: the local reply, and when its caller should return.

use crate::relay::capacity::book_return;
use crate::relay::exchange::{ActiveRequest, DEFAULT_TIMEOUT, ExchangeEnd};
use crate::relay::local_reply::{LocalReply, RefusalCause};
use crate::relay::notices::rest_left;
use crate::relay::return_time::return_delay;
use std::time::Duration;

/// Base of `Retry-After`, see [`ActiveRequest::reply_locally`]. In most cases, the layers of a lost
/// target have been loaded on another one within this time.
const RETRY_AFTER: Duration = Duration::from_millis(1_800);
/// The same during draining, when another daemon can serve the request at once.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Upper limit of the base, as a share of the caller's timeout. The value sent is between the base
/// and twice the base.
pub(super) const RETRY_AFTER_SHARE: f64 = 0.15;
/// Longest `Retry-After` of a request that targets had no room for, as a share of the time that its caller
/// has left. Callers honour up to a third.
const MAX_RETURN_SHARE: f64 = 0.32;
/// Time after the end of a rest over which refused callers return.
const REST_SPREAD: Duration = Duration::from_secs(1);

impl ActiveRequest<'_> {
    /// Sends a local reply and logs it with `detail`. One with status 503 carries a `Retry-After`,
    /// see [`Self::retry_delay`].
    pub(super) async fn reply_locally(&self, cause: RefusalCause, detail: &str) -> ExchangeEnd {
        let mut reply = LocalReply::new(cause);
        reply.is_for_peer = self.origin.is_some();
        reply.is_for_head = self.head.method() == "HEAD";
        if cause.status() == 503 {
            reply = self.with_retry_after(reply);
        }
        let retry_ms = reply.retry_after.map(|delay| delay.as_millis() as u64);
        let line = self
            .log_line("answered")
            .with("cause", cause.name())
            .with("detail", detail)
            .with("refused_for", self.refusal_reasons(cause));
        self.context
            .events
            .emit(line.with("retry_after_ms", retry_ms));
        if self.send(&reply.encode(self.close)).await {
            ExchangeEnd::LocalReply(cause)
        } else {
            ExchangeEnd::Truncated
        }
    }

    /// Adds the time after which the caller should return. While all targets rest, none is served before
    /// the first of them has rested.
    fn with_retry_after(&self, mut reply: LocalReply) -> LocalReply {
        let mut rng = fastrand::Rng::new();
        let depends_on_targets = [RefusalCause::NoTarget, RefusalCause::NotExecuted];
        let rest = depends_on_targets
            .contains(&reply.cause)
            .then(|| rest_left(self))
            .flatten();
        match rest {
            Some(rest) => {
                reply.retry_after = Some(rest + REST_SPREAD.mul_f64(rng.f64()));
                reply
            }
            None if depends_on_targets.contains(&reply.cause) => {
                reply.retry_after = Some(self.return_delay(&mut rng));
                reply
            }
            None => reply.with_retry_after(self.retry_delay(reply.cause), &mut rng),
        }
    }

    /// Time after which the caller should return when targets had no room for its request.
    fn return_delay(&self, rng: &mut fastrand::Rng) -> Duration {
        let service = &self.service.name;
        let now = self.context.clock.now();
        self.context.pressure.on_refusal(service, now);
        let share = self.context.pressure.share(service, now);
        let base = self.retry_delay(RefusalCause::NoTarget);
        let limit = self.deadline.since(now).mul_f64(MAX_RETURN_SHARE);
        if self.is_by_priority() {
            return book_return(self, limit, rng);
        }
        return_delay(base, limit, share, rng)
    }

    /// For the log: the fingerprints for which a request is refused with this cause, separated by
    /// commas.
    fn refusal_reasons(&self, cause: RefusalCause) -> Option<String> {
        if cause != RefusalCause::Poison {
            return None;
        }
        let now = self.context.clock.now();
        let poison = &self.context.poison;
        let reasons = poison.refusal_reasons(&self.fingerprints(), now);
        let reasons: Vec<String> = reasons.iter().map(ToString::to_string).collect();
        Some(reasons.join(","))
    }

    /// Base of `Retry-After`; the value sent is between it and twice as much. Limited to a share of
    /// the caller's timeout, unless no earlier retry can be served.
    fn retry_delay(&self, cause: RefusalCause) -> Duration {
        let timeout = self.metadata.time_left.unwrap_or(DEFAULT_TIMEOUT);
        let base = match cause {
            RefusalCause::Poison => {
                return self.refusal_time().unwrap_or_default();
            }
            RefusalCause::Draining => DRAINING_RETRY_AFTER,
            _ => RETRY_AFTER,
        };
        base.min(timeout.mul_f64(RETRY_AFTER_SHARE))
    }
}
