//! Writes the pages of one shard: changes that wait for the same page share one compare-and-swap.

use crate::claims::cache::{CachedPage, PageCache};
use crate::claims::key::PageSlot;
use crate::claims::page::{ClaimPage, ClaimVerdict, PageChange};
use crate::claims::step::{ChangeOrigin, ClaimTime, Verdicts, WriterCounts, WriterStep};
use crate::store::{ExpectedRevision, StoreError, StoreRecord, SwapOutcome};
use crate::units::MonoTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Changes that may wait for one shard.
pub const MAX_QUEUED: usize = 2_048;
/// Tries of one batch before its changes are refused.
const MAX_TRIES: u32 = 6;
/// Tries of one batch that the store failed to answer or refused.
const MAX_FAILED_TRIES: u32 = 2;
/// Time without tries after the store failed.
const DOWN_PAUSE: Duration = Duration::from_millis(500);
/// Age of the oldest waiting change from which on further ones are refused.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct QueuedChange {
    origin: ChangeOrigin,
    change: PageChange,
    since: MonoTime,
}

/// A page that was sent to the store, and what it means for the batch once it has taken effect.
#[derive(Debug)]
struct WrittenPage {
    page: ClaimPage,
    verdicts: Verdicts,
}

/// A batch on its way into a page.
#[derive(Debug)]
struct PageFlight {
    slot: PageSlot,
    batch: Vec<QueuedChange>,
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
    spacing: Duration,
    queue: VecDeque<QueuedChange>,
    answers: Verdicts,
    cache: PageCache,
    flight: Option<PageFlight>,
    next_write: MonoTime,
    /// The store's last answer was a failure.
    is_failing: bool,
    down_until: MonoTime,
    counts: WriterCounts,
}

impl PageWriter {
    /// Creates a writer that starts at most one batch in each `spacing`.
    pub fn new(spacing: Duration) -> Self {
        Self {
            spacing,
            queue: VecDeque::new(),
            answers: Vec::new(),
            cache: PageCache::default(),
            flight: None,
            next_write: MonoTime::default(),
            is_failing: false,
            down_until: MonoTime::default(),
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
        let is_passed_over = self.flight.is_some() || now.mono < self.down_until;
        let verdict = if self.is_failing && is_passed_over {
            self.answer_from_cache(&change)
        } else if self.is_overloaded(now) {
            ClaimVerdict::Overloaded
        } else {
            self.queue.push_back(QueuedChange {
                origin,
                change,
                since: now.mono,
            });
            return;
        };
        self.answers.push((origin, verdict));
    }

    fn is_overloaded(&self, now: ClaimTime) -> bool {
        let oldest = self.queue.front();
        self.queue.len() >= MAX_QUEUED
            || oldest.is_some_and(|oldest| now.mono.since(oldest.since) > MAX_QUEUE_WAIT)
    }

    /// When polling will next lead to a step by itself; `None` when only an event will.
    pub fn wait_until(&self) -> Option<MonoTime> {
        match &self.flight {
            Some(flight) => flight.retry_at,
            None => (!self.queue.is_empty()).then_some(self.next_write),
        }
    }

    /// What to do next. Poll again after each step but `Idle` and `WaitUntil`.
    pub fn poll(&mut self, now: ClaimTime) -> WriterStep {
        if !self.answers.is_empty() {
            return WriterStep::Answer(std::mem::take(&mut self.answers));
        }
        if self.flight.is_some() {
            return self.resume_flight(now);
        }
        if self.queue.is_empty() {
            return WriterStep::Idle;
        }
        if now.mono < self.next_write {
            return WriterStep::WaitUntil(self.next_write);
        }
        self.start_flight(now)
    }

    fn resume_flight(&mut self, now: ClaimTime) -> WriterStep {
        let Some(flight) = &mut self.flight else {
            return WriterStep::Idle;
        };
        match flight.retry_at {
            None => WriterStep::Idle,
            Some(at) if now.mono < at => WriterStep::WaitUntil(at),
            Some(_) => {
                flight.retry_at = None;
                self.write_flight(now)
            }
        }
    }

    /// Takes the changes for the page of the first one in the queue.
    fn start_flight(&mut self, now: ClaimTime) -> WriterStep {
        let Some(first) = self.queue.front() else {
            return WriterStep::Idle;
        };
        let slot = first.change.claim().slot();
        let (batch, rest) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|queued| queued.change.claim().slot() == slot);
        self.queue = rest;
        self.flight = Some(PageFlight {
            slot,
            batch: Vec::from(batch as VecDeque<QueuedChange>),
            written: None,
            is_read: false,
            tries: 0,
            failed_tries: 0,
            retry_at: None,
        });
        self.write_flight(now)
    }

    /// Applies the batch to the page as last seen and writes it, unless nothing changes.
    fn write_flight(&mut self, now: ClaimTime) -> WriterStep {
        let Some(flight) = &mut self.flight else {
            return WriterStep::Idle;
        };
        let Some(cached) = self.cache.get(flight.slot) else {
            self.counts.reads += 1;
            return WriterStep::Read(flight.slot);
        };
        let mut page = cached.page.clone();
        let verdicts = apply_batch(&mut page, &flight.batch, now);
        if page == cached.page {
            if !flight.is_read && verdicts.iter().any(is_taken) {
                // The cached page may be old, and the claim released since.
                self.counts.reads += 1;
                self.next_write = now.mono.after(self.spacing);
                return WriterStep::Read(flight.slot);
            }
            self.flight = None;
            return WriterStep::Answer(verdicts);
        }
        let step = WriterStep::Swap {
            slot: flight.slot,
            expected: cached.expected,
            value: page.encode(),
        };
        flight.written = Some(WrittenPage { page, verdicts });
        flight.tries += 1;
        self.counts.writes += 1;
        self.next_write = now.mono.after(self.spacing);
        step
    }

    /// Takes the answer to [`WriterStep::Read`].
    pub fn page_read(
        &mut self,
        outcome: Result<Option<StoreRecord>, StoreError>,
        now: ClaimTime,
        rng: &mut fastrand::Rng,
    ) {
        match outcome {
            Err(_cause) => self.fail_flight(now, rng),
            Ok(present) => {
                self.is_failing = false;
                if self.learn(present.as_ref()) {
                    self.retry_flight(now.mono);
                } else {
                    self.give_up();
                }
            }
        }
    }

    /// Takes the answer to [`WriterStep::Swap`].
    pub fn page_swapped(
        &mut self,
        outcome: Result<SwapOutcome, StoreError>,
        now: ClaimTime,
        rng: &mut fastrand::Rng,
    ) {
        self.is_failing = outcome.is_err();
        match outcome {
            Err(_cause) => self.fail_flight(now, rng),
            Ok(SwapOutcome::Swapped(revision)) => self.commit_flight(revision),
            Ok(SwapOutcome::Conflict(present)) => {
                self.counts.conflicts += 1;
                let is_known = self.learn(present.as_ref());
                let tries = self.flight.as_ref().map_or(0, |flight| flight.tries);
                if !is_known || tries >= MAX_TRIES {
                    self.give_up();
                } else {
                    let pause = self.spacing.mul_f64(rng.f64());
                    self.retry_flight(now.mono.after(pause));
                }
            }
        }
    }

    /// Takes over the page in the store; false when it is malformed. A lost write of this batch is
    /// found here: its claims already stand in the page under their own attempts.
    fn learn(&mut self, present: Option<&StoreRecord>) -> bool {
        let Some(flight) = &mut self.flight else {
            return true;
        };
        flight.is_read = true;
        let slot = flight.slot;
        let cached = match present {
            None => Some(CachedPage::new(
                ExpectedRevision::Absent,
                ClaimPage::default(),
            )),
            Some(record) => ClaimPage::decode(&record.value)
                .map(|page| CachedPage::new(ExpectedRevision::Exactly(record.revision), page)),
        };
        let is_known = cached.is_some();
        if let Some(cached) = cached {
            self.cache.put(slot, cached);
        }
        is_known
    }

    fn commit_flight(&mut self, revision: u64) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        let Some(written) = flight.written else {
            return;
        };
        self.counts.committed += 1;
        self.counts.changes += flight.batch.len() as u64;
        self.answers.extend(written.verdicts);
        let expected = ExpectedRevision::Exactly(revision);
        self.cache
            .put(flight.slot, CachedPage::new(expected, written.page));
    }

    /// Tries the same write again: if the unanswered one took effect, this one conflicts and the
    /// page shows it; if not, it never will once this one has taken effect.
    fn fail_flight(&mut self, now: ClaimTime, rng: &mut fastrand::Rng) {
        self.counts.failures += 1;
        self.is_failing = true;
        let Some(flight) = &mut self.flight else {
            return;
        };
        flight.failed_tries += 1;
        if flight.failed_tries < MAX_FAILED_TRIES {
            let pause = self.spacing.mul_f64(0.5 + rng.f64());
            self.retry_flight(now.mono.after(pause));
            return;
        }
        self.down_until = now.mono.after(DOWN_PAUSE.mul_f64(0.75 + 0.5 * rng.f64()));
        self.give_up();
        for queued in std::mem::take(&mut self.queue) {
            let verdict = self.answer_from_cache(&queued.change);
            self.answers.push((queued.origin, verdict));
        }
    }

    fn retry_flight(&mut self, at: MonoTime) {
        if let Some(flight) = &mut self.flight {
            flight.retry_at = Some(at);
        }
    }

    /// Answers the batch without a write.
    fn give_up(&mut self) {
        let batch = self.flight.take().map(|flight| flight.batch);
        for queued in batch.unwrap_or_default() {
            let verdict = self.answer_from_cache(&queued.change);
            self.answers.push((queued.origin, verdict));
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

fn apply_batch(page: &mut ClaimPage, batch: &[QueuedChange], now: ClaimTime) -> Verdicts {
    let now_s = now.unix_ms / 1_000;
    batch
        .iter()
        .map(|queued| (queued.origin, page.apply(&queued.change, now_s)))
        .collect()
}
