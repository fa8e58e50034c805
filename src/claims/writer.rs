//! Writer of one shard's pages. It batches queued changes to the same page into one
//! compare-and-swap.

use crate::claims::cache::{CachedPage, PageCache};
use crate::claims::key::PageSlot;
use crate::claims::page::{ClaimPage, ClaimVerdict, PageChange};
use crate::claims::writer_action::{ChangeOrigin, ClaimTime, Verdicts, WriterAction, WriterCounts};
use crate::store::{ExpectedRevision, StoreError, StoreRecord, SwapOutcome};
use crate::units::MonoTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of changes in the queue of one shard.
pub const MAX_QUEUED_CHANGES: usize = 2_048;
/// A conflict of this write of a batch, or of a later one, abandons the batch. Its changes are then
/// decided from the cached page, see [`PageWriter::answer_from_cache`].
const MAX_BATCH_WRITES: u32 = 6;
/// Number of failed reads and writes after which a batch is abandoned. Its changes and all queued
/// ones are then decided from the cached pages.
const MAX_FAILED_CALLS: u32 = 2;
/// Pause after a batch was abandoned because calls to the store failed; jitter is applied. While
/// the pause lasts, new changes are decided from the cache.
const STORE_DOWN_PAUSE: Duration = Duration::from_millis(500);
/// Age of the oldest queued change above which new ones are refused.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);

/// A change that waits for a write.
#[derive(Debug)]
struct QueuedChange {
    origin: ChangeOrigin,
    change: PageChange,
    queued_at: MonoTime,
}

/// A page that was sent to the store, with the verdicts that hold once it is committed.
#[derive(Debug)]
struct WrittenPage {
    page: ClaimPage,
    verdicts: Verdicts,
}

/// Batch of changes to one page that is being written.
#[derive(Debug)]
struct InFlightBatch {
    slot: PageSlot,
    changes: Vec<QueuedChange>,
    /// Latest write of the batch.
    written: Option<WrittenPage>,
    /// The cached page was read for this batch, or the store returned it with a conflict of one of
    /// its writes.
    is_read: bool,
    /// Number of writes sent to the store.
    write_count: u32,
    /// Number of reads and writes that failed.
    failed_calls: u32,
    /// Time of the next try to write; `None` while a call to the store is in flight.
    retry_at: Option<MonoTime>,
}

/// Writer of one shard's pages, as a state machine: the caller carries out its actions.
#[derive(Debug)]
pub struct PageWriter {
    write_spacing: Duration,
    queue: VecDeque<QueuedChange>,
    ready_verdicts: Verdicts,
    cache: PageCache,
    in_flight: Option<InFlightBatch>,
    /// Earliest start of the next batch.
    next_write_at: MonoTime,
    /// The last call to the store failed.
    is_store_failing: bool,
    /// End of the [`STORE_DOWN_PAUSE`].
    store_down_until: MonoTime,
    counts: WriterCounts,
}

impl PageWriter {
    /// Creates a writer that leaves at least `write_spacing` between two batches.
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

    /// Returns the counters since the last call and resets them.
    pub fn take_counts(&mut self) -> WriterCounts {
        std::mem::take(&mut self.counts)
    }

    /// Number of cached claims.
    pub fn cached_rows(&self) -> usize {
        self.cache.rows()
    }

    /// Queues a change; a later [`PageWriter::poll`] returns its verdict. If the last call to the
    /// store failed, a change is not queued but decided from the cache at once while a batch is in
    /// flight or the pause after an abandoned batch lasts.
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

    /// Time at which [`PageWriter::poll`] will have a new action without further input; `None` when
    /// only input can lead to one.
    pub fn next_poll(&self) -> Option<MonoTime> {
        match &self.in_flight {
            Some(in_flight) => in_flight.retry_at,
            None => (!self.queue.is_empty()).then_some(self.next_write_at),
        }
    }

    /// Returns the next action. Poll again after each action except `Idle` and `WaitUntil`.
    pub fn poll(&mut self, now: ClaimTime) -> WriterAction {
        if !self.ready_verdicts.is_empty() {
            return WriterAction::Deliver(std::mem::take(&mut self.ready_verdicts));
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

    /// Starts a batch of all queued changes to the page of the oldest one.
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
            write_count: 0,
            failed_calls: 0,
            retry_at: None,
        });
        self.write_batch(now)
    }

    /// Applies the batch to the cached page and writes the page, unless nothing changes.
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
                // The cached page may be stale and the claim released since, so read it again.
                self.counts.reads += 1;
                self.next_write_at = now.mono.after(self.write_spacing);
                return WriterAction::Read(in_flight.slot);
            }
            self.in_flight = None;
            return WriterAction::Deliver(verdicts);
        }
        let action = WriterAction::Swap {
            slot: in_flight.slot,
            expected: cached.expected,
            value: page.encode(),
        };
        in_flight.written = Some(WrittenPage { page, verdicts });
        in_flight.write_count += 1;
        self.counts.writes += 1;
        self.next_write_at = now.mono.after(self.write_spacing);
        action
    }

    /// Handles the result of [`WriterAction::Read`]; `rng` gives the jitter of retries.
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

    /// Handles the result of [`WriterAction::Swap`]; `rng` gives the jitter of retries.
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
                let write_count = self
                    .in_flight
                    .as_ref()
                    .map_or(0, |in_flight| in_flight.write_count);
                if !is_valid || write_count >= MAX_BATCH_WRITES {
                    self.abandon_batch();
                } else {
                    let pause = self.write_spacing.mul_f64(rng.f64());
                    self.schedule_retry(now.mono.after(pause));
                }
            }
        }
    }

    /// Caches the page that the store returned; false when it is malformed. If an earlier write of
    /// this batch took effect without a reply, the page already holds its claims with the same
    /// attempt identifiers, and applying the batch again grants them.
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

    /// Retries after a failed call, or abandons the batch and decides the queued changes from the
    /// cache. It is safe to retry a write that got no reply, as both expect the same revision: if
    /// the first one took effect, the retry conflicts and the returned page holds the claims. If
    /// the first one arrives after the retry, it conflicts, because the retry has changed the
    /// revision.
    fn handle_store_failure(&mut self, now: ClaimTime, rng: &mut fastrand::Rng) {
        self.counts.failures += 1;
        self.is_store_failing = true;
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        in_flight.failed_calls += 1;
        if in_flight.failed_calls < MAX_FAILED_CALLS {
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

    /// Ends the batch in flight and decides its changes from the cache.
    fn abandon_batch(&mut self) {
        let changes = self.in_flight.take().map(|in_flight| in_flight.changes);
        for queued in changes.unwrap_or_default() {
            let verdict = self.answer_from_cache(&queued.change);
            self.ready_verdicts.push((queued.origin, verdict));
        }
    }

    /// Verdict on a change without a call to the store. A claim in the cached page was committed,
    /// so the verdict is `Granted` if this attempt made it and `Taken` if another one did. A
    /// missing claim proves nothing, as the cached page may be stale: the verdict is `StoreDown`,
    /// as it is on every release.
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
