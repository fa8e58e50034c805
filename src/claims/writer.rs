//! Writes the pages of one shard: changes that wait for the same page share one compare-and-swap.

use crate::claims::cache::{CachedPage, PageCache};
use crate::claims::key::PageSlot;
use crate::claims::page::{ClaimPage, ClaimVerdict, PageChange};
use crate::claims::step::{ChangeOrigin, ClaimTime, Verdicts, WriterAction, WriterCounts};
use crate::store::{ExpectedRevision, StoreError, StoreRecord, SwapOutcome};
use crate::units::MonoTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Changes that may wait for one shard.
pub const MAX_QUEUED_CHANGES: usize = 2_048;
/// Tries of one batch before its changes are refused.
const MAX_BATCH_TRIES: u32 = 6;
/// Tries of one batch that the store failed to answer or refused.
const MAX_FAILED_TRIES: u32 = 2;
/// Time without tries after the store failed.
const STORE_DOWN_PAUSE: Duration = Duration::from_millis(500);
/// Age of the oldest waiting change from which on further ones are refused.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct QueuedChange {
    origin: ChangeOrigin,
    change: PageChange,
    queued_at: MonoTime,
}

/// A page that was sent to the store, and what it means for the batch once it has taken effect.
#[derive(Debug)]
struct WrittenPage {
    page: ClaimPage,
    verdicts: Verdicts,
}

/// A batch on its way into a page.
#[derive(Debug)]
struct InFlightBatch {
    slot: PageSlot,
    changes: Vec<QueuedChange>,
    written: Option<WrittenPage>,
    /// The page was read for this batch, or by another write's conflict.
    is_read: bool,
    tries: u32,
    failed_tries: u32,
    retry_at: Option<MonoTime>,
}

/// Writer of one shard's pages.
#[derive(Debug)]
pub struct PageWriter {
    write_spacing: Duration,
    queue: VecDeque<QueuedChange>,
    ready_verdicts: Verdicts,
    cache: PageCache,
    in_flight: Option<InFlightBatch>,
    next_write_at: MonoTime,
    /// The store's last answer was a failure.
    is_store_failing: bool,
    store_down_until: MonoTime,
    counts: WriterCounts,
}

impl PageWriter {
    /// Creates a writer that starts at most one batch in each `spacing`.
    pub fn new(write_spacing: Duration) -> Self {
        Self {
            write_spacing,
            queue: VecDeque::new(),
            ready_verdicts: Vec::new(),
            cache: PageCache::default(),
            in_flight: None,
            next_write_at: MonoTime::default(),
            is_store_failing: false,
            store_down_until: MonoTime::default(),
            counts: WriterCounts::default(),
        }
    }

    /// Counts since the last call.
    pub fn take_counts(&mut self) -> WriterCounts {
        std::mem::take(&mut self.counts)
    }

    /// Claims cached.
    pub fn cached_rows(&self) -> usize {
        self.cache.rows()
    }

    /// Queues a change; its verdict comes from a later [`PageWriter::poll`]. While the store fails,
    /// one batch at a time tries it, and further changes are refused at once.
    pub fn submit(&mut self, origin: ChangeOrigin, change: PageChange, now: ClaimTime) {
        let skips_store = self.in_flight.is_some() || now.mono < self.store_down_until;
        let verdict = if self.is_store_failing && skips_store {
            self.answer_from_cache(&change)
        } else if self.is_overloaded(now) {
            ClaimVerdict::Overloaded
        } else {
            self.queue.push_back(QueuedChange {
                origin,
                change,
                queued_at: now.mono,
            });
            return;
        };
        self.ready_verdicts.push((origin, verdict));
    }

    fn is_overloaded(&self, now: ClaimTime) -> bool {
        let oldest = self.queue.front();
        self.queue.len() >= MAX_QUEUED_CHANGES
            || oldest.is_some_and(|oldest| now.mono.since(oldest.queued_at) > MAX_QUEUE_WAIT)
    }

    /// When polling will next lead to a step by itself; `None` when only an event will.
    pub fn next_poll(&self) -> Option<MonoTime> {
        match &self.in_flight {
            Some(in_flight) => in_flight.retry_at,
            None => (!self.queue.is_empty()).then_some(self.next_write_at),
        }
    }

    /// What to do next. Poll again after each step but `Idle` and `WaitUntil`.
    pub fn poll(&mut self, now: ClaimTime) -> WriterAction {
        if !self.ready_verdicts.is_empty() {
            return WriterAction::Answer(std::mem::take(&mut self.ready_verdicts));
        }
        if self.in_flight.is_some() {
            return self.resume_batch(now);
        }
        if self.queue.is_empty() {
            return WriterAction::Idle;
        }
        if now.mono < self.next_write_at {
            return WriterAction::WaitUntil(self.next_write_at);
        }
        self.start_batch(now)
    }

    fn resume_batch(&mut self, now: ClaimTime) -> WriterAction {
        let Some(in_flight) = &mut self.in_flight else {
            return WriterAction::Idle;
        };
        match in_flight.retry_at {
            None => WriterAction::Idle,
            Some(at) if now.mono < at => WriterAction::WaitUntil(at),
            Some(_) => {
                in_flight.retry_at = None;
                self.write_batch(now)
            }
        }
    }

    /// Takes the changes for the page of the first one in the queue.
    fn start_batch(&mut self, now: ClaimTime) -> WriterAction {
        let Some(first) = self.queue.front() else {
            return WriterAction::Idle;
        };
        let slot = first.change.claim().slot();
        let (changes, rest) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|queued| queued.change.claim().slot() == slot);
        self.queue = rest;
        self.in_flight = Some(InFlightBatch {
            slot,
            changes: Vec::from(changes as VecDeque<QueuedChange>),
            written: None,
            is_read: false,
            tries: 0,
            failed_tries: 0,
            retry_at: None,
        });
        self.write_batch(now)
    }

    /// Applies the batch to the page as last seen and writes it, unless nothing changes.
    fn write_batch(&mut self, now: ClaimTime) -> WriterAction {
        let Some(in_flight) = &mut self.in_flight else {
            return WriterAction::Idle;
        };
        let Some(cached) = self.cache.get(in_flight.slot) else {
            self.counts.reads += 1;
            return WriterAction::Read(in_flight.slot);
        };
        let mut page = cached.page.clone();
        let verdicts = apply_batch(&mut page, &in_flight.changes, now);
        if page == cached.page {
            if !in_flight.is_read && verdicts.iter().any(is_taken) {
                // The cached page may be old, and the claim released since.
                self.counts.reads += 1;
                self.next_write_at = now.mono.after(self.write_spacing);
                return WriterAction::Read(in_flight.slot);
            }
            self.in_flight = None;
            return WriterAction::Answer(verdicts);
        }
        let step = WriterAction::Swap {
            slot: in_flight.slot,
            expected: cached.expected,
            value: page.encode(),
        };
        in_flight.written = Some(WrittenPage { page, verdicts });
        in_flight.tries += 1;
        self.counts.writes += 1;
        self.next_write_at = now.mono.after(self.write_spacing);
        step
    }

    /// Takes the answer to [`WriterAction::Read`].
    pub fn page_read(
        &mut self,
        outcome: Result<Option<StoreRecord>, StoreError>,
        now: ClaimTime,
        rng: &mut fastrand::Rng,
    ) {
        match outcome {
            Err(_cause) => self.handle_store_failure(now, rng),
            Ok(present) => {
                self.is_store_failing = false;
                if self.cache_read_page(present.as_ref()) {
                    self.schedule_retry(now.mono);
                } else {
                    self.abandon_batch();
                }
            }
        }
    }

    /// Takes the answer to [`WriterAction::Swap`].
    pub fn page_swapped(
        &mut self,
        outcome: Result<SwapOutcome, StoreError>,
        now: ClaimTime,
        rng: &mut fastrand::Rng,
    ) {
        self.is_store_failing = outcome.is_err();
        match outcome {
            Err(_cause) => self.handle_store_failure(now, rng),
            Ok(SwapOutcome::Swapped(revision)) => self.commit_batch(revision),
            Ok(SwapOutcome::Conflict(present)) => {
                self.counts.conflicts += 1;
                let is_valid = self.cache_read_page(present.as_ref());
                let tries = self
                    .in_flight
                    .as_ref()
                    .map_or(0, |in_flight| in_flight.tries);
                if !is_valid || tries >= MAX_BATCH_TRIES {
                    self.abandon_batch();
                } else {
                    let pause = self.write_spacing.mul_f64(rng.f64());
                    self.schedule_retry(now.mono.after(pause));
                }
            }
        }
    }

    /// Takes over the page in the store; false when it is malformed. A lost write of this batch is
    /// found here: its claims already stand in the page under their own attempts.
    fn cache_read_page(&mut self, present: Option<&StoreRecord>) -> bool {
        let Some(in_flight) = &mut self.in_flight else {
            return true;
        };
        in_flight.is_read = true;
        let slot = in_flight.slot;
        let cached = match present {
            None => Some(CachedPage::new(
                ExpectedRevision::Absent,
                ClaimPage::default(),
            )),
            Some(record) => ClaimPage::decode(&record.value)
                .map(|page| CachedPage::new(ExpectedRevision::Exactly(record.revision), page)),
        };
        let is_valid = cached.is_some();
        if let Some(cached) = cached {
            self.cache.put(slot, cached);
        }
        is_valid
    }

    fn commit_batch(&mut self, revision: u64) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        let Some(written) = in_flight.written else {
            return;
        };
        self.counts.committed += 1;
        self.counts.changes += in_flight.changes.len() as u64;
        self.ready_verdicts.extend(written.verdicts);
        let expected = ExpectedRevision::Exactly(revision);
        self.cache
            .put(in_flight.slot, CachedPage::new(expected, written.page));
    }

    /// Tries the same write again: if the unanswered one took effect, this one conflicts and the
    /// page shows it; if not, it never will once this one has taken effect.
    fn handle_store_failure(&mut self, now: ClaimTime, rng: &mut fastrand::Rng) {
        self.counts.failures += 1;
        self.is_store_failing = true;
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        in_flight.failed_tries += 1;
        if in_flight.failed_tries < MAX_FAILED_TRIES {
            let pause = self.write_spacing.mul_f64(0.5 + rng.f64());
            self.schedule_retry(now.mono.after(pause));
            return;
        }
        self.store_down_until = now
            .mono
            .after(STORE_DOWN_PAUSE.mul_f64(0.75 + 0.5 * rng.f64()));
        self.abandon_batch();
        for queued in std::mem::take(&mut self.queue) {
            let verdict = self.answer_from_cache(&queued.change);
            self.ready_verdicts.push((queued.origin, verdict));
        }
    }

    fn schedule_retry(&mut self, at: MonoTime) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.retry_at = Some(at);
        }
    }

    /// Answers the batch without a write.
    fn abandon_batch(&mut self) {
        let changes = self.in_flight.take().map(|in_flight| in_flight.changes);
        for queued in changes.unwrap_or_default() {
            let verdict = self.answer_from_cache(&queued.change);
            self.ready_verdicts.push((queued.origin, verdict));
        }
    }

    /// The verdict while the store does not answer: a claim seen in the page stands there, but the
    /// lack of one proves nothing.
    fn answer_from_cache(&mut self, change: &PageChange) -> ClaimVerdict {
        let PageChange::Claim { claim, attempt, .. } = change else {
            return ClaimVerdict::StoreDown;
        };
        let cached = self.cache.get(claim.slot());
        match cached.and_then(|cached| cached.page.find(claim)) {
            Some(row) if row.attempt == *attempt => ClaimVerdict::Granted,
            Some(row) => ClaimVerdict::Taken(row.clone()),
            None => ClaimVerdict::StoreDown,
        }
    }
}

fn is_taken((_origin, verdict): &(ChangeOrigin, ClaimVerdict)) -> bool {
    matches!(verdict, ClaimVerdict::Taken(_))
}

fn apply_batch(page: &mut ClaimPage, changes: &[QueuedChange], now: ClaimTime) -> Verdicts {
    let now_s = now.unix_ms / 1_000;
    changes
        .iter()
        .map(|queued| (queued.origin, page.apply(&queued.change, now_s)))
        .collect()
}
