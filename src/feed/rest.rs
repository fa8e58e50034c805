//! Rest of a daemon that has just listed a prefix: it waits a bounded time for a feed before it watches the
//! store.

use crate::units::MonoTime;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Rest after the first list of a prefix. A list is a contact with the store like one that a reader tells
/// of, and is relied on for as long as that.
pub const LIST_REST: Duration = Duration::from_millis(1_600);
/// The same for the presence of daemons, from which a daemon learns whose feed it can follow. Shorter, so
/// that a feed can begin while the other prefixes rest.
pub const PRESENCE_REST: Duration = Duration::from_secs(1);
/// Longest time between two checks whether a prefix may still rest: a leader has to watch at once.
const REST_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// How long a prefix rests, and while which condition.
#[derive(Clone)]
pub struct RestSpec {
    /// Longest rest, from the time at which the list was requested.
    pub limit: Duration,
    /// False once this daemon has to watch the store itself.
    pub may_rest: Arc<dyn Fn() -> bool + Send + Sync>,
}

impl fmt::Debug for RestSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RestSpec")
            .field("limit", &self.limit)
            .finish_non_exhaustive()
    }
}

/// Rest of one prefix. There is only one in the run of a daemon, and none after a failed call: after an
/// outage, changes have to be known at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRest {
    /// The prefix has not been listed.
    Unlisted,
    /// The prefix was listed by a request that was sent at this time.
    Resting(MonoTime),
    /// The prefix does not rest any more.
    Over,
}

impl ListRest {
    /// Begins the rest of a prefix whose list is complete and was requested at `sent`.
    pub fn on_listed(&mut self, sent: MonoTime) {
        if *self == Self::Unlisted {
            *self = Self::Resting(sent);
        }
    }

    /// Ends the rest: a call has failed, or a feed continues the prefix.
    pub fn end(&mut self) {
        *self = Self::Over;
    }

    /// Time to wait before the next decision; `None` if the prefix does not rest.
    pub fn next_wait(
        &mut self,
        limit: Duration,
        may_rest: bool,
        now: MonoTime,
    ) -> Option<Duration> {
        let Self::Resting(sent) = *self else {
            return None;
        };
        let left = limit.saturating_sub(now.since(sent));
        if left.is_zero() || !may_rest {
            self.end();
            return None;
        }
        Some(left.min(REST_CHECK_PERIOD))
    }

    /// Time of the list on which a resting prefix relies.
    pub fn listed_at(self) -> Option<MonoTime> {
        match self {
            Self::Resting(sent) => Some(sent),
            Self::Unlisted | Self::Over => None,
        }
    }
}
