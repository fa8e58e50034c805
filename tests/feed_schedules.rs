//! Mirrors that follow the store themselves and mirrors that follow feeds, in seeded schedules without
//! sockets: frames that are lost with their feed, readers that fail and list again, followers that ask the
//! store in between, and a history that the store drops.

use arbutusmount::{
    FeedFrame, FeedInbox, FeedPart, FeedStep, ItemPage, LeaseId, MirrorChange, MirrorStep,
    MonoTime, PrefixMirror, StoreEra, StoreItem, StoreVersion, WatchChange, WatchOutcome,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use test_case::test_case;

const PREFIX: &str = "servers/";
/// Keys that are written and removed.
const KEYS: u64 = 12;
/// Schedules of one test case.
const SEEDS: u64 = 20;
/// Time between two steps, in microseconds.
const STEP_US: u64 = 20_000;

#[derive(Debug, Default)]
struct ModelStore {
    items: BTreeMap<Arc<str>, StoreItem>,
    history: Vec<WatchChange>,
    compacted: u64,
    revision: u64,
    era: u64,
}

impl ModelStore {
    fn version(&self) -> StoreVersion {
        StoreVersion::new(StoreEra(self.era), self.revision)
    }

    fn change(&mut self, rng: &mut fastrand::Rng) {
        let key: Arc<str> = Arc::from(format!("{PREFIX}{}", rng.u64(0..KEYS)));
        self.revision += 1;
        let version = self.version();
        if rng.bool() && self.items.remove(&key).is_some() {
            self.history.push(WatchChange::Removed(key, version));
            return;
        }
        let item = StoreItem {
            key: Arc::clone(&key),
            value: Arc::from(version.to_string().into_bytes()),
            version,
            created: version,
            lease: LeaseId(0),
        };
        self.items.insert(key, item.clone());
        self.history.push(WatchChange::Written(item));
    }

    fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    /// Goes back to an older copy: here the present items without one of them.
    fn restore(&mut self) {
        self.era += 1;
        self.revision = self.revision.saturating_sub(3).max(1);
        self.items.pop_first();
        let version = self.version();
        for item in self.items.values_mut() {
            item.version = StoreVersion::new(
                StoreEra(self.era),
                u64::from(item.version.revision()).min(u64::from(version.revision())),
            );
        }
        self.compact();
    }

    fn page(&self) -> ItemPage {
        ItemPage {
            items: self.items.values().cloned().collect(),
            has_more: false,
            version: self.version(),
        }
    }

    fn watch(&self, after: StoreVersion) -> WatchOutcome {
        let is_gone = u64::from(after.revision()) < self.compacted;
        if is_gone || after.era() != StoreEra(self.era) {
            return WatchOutcome::Compacted;
        }
        let events = self.history.iter();
        let events = events.filter(|change| change.version() > after).cloned();
        WatchOutcome::Changes(events.collect(), self.version())
    }
}

/// A mirror whose keys must never go back to an older version.
#[derive(Debug, Default)]
struct CheckedMirror {
    mirror: PrefixMirror,
    highest: BTreeMap<Arc<str>, StoreVersion>,
}

impl CheckedMirror {
    fn ask_store(&mut self, store: &ModelStore) {
        let changes = match self.mirror.next_step() {
            MirrorStep::List(_) => self.mirror.on_page(store.page()),
            MirrorStep::Watch(version) => self.mirror.on_watch(store.watch(version)),
        };
        self.check(&changes);
    }

    fn check(&mut self, changes: &[MirrorChange]) {
        for change in changes {
            if let MirrorChange::Written(item) = change {
                let known = self.highest.insert(Arc::clone(&item.key), item.version);
                assert!(known.is_none_or(|known| known < item.version), "{item:?}");
            }
        }
    }

    fn keys(&self) -> Vec<(Arc<str>, StoreVersion)> {
        let items = self.mirror.items();
        items
            .map(|item| (Arc::clone(&item.key), item.version))
            .collect()
    }
}

#[derive(Debug, Default)]
struct Follower {
    mirror: CheckedMirror,
    inbox: FeedInbox,
    /// Reader and the version that it has told, while a feed is open.
    feed: Option<(usize, StoreVersion)>,
}

impl Follower {
    fn open_feed(&mut self, reader: usize) {
        if let Some(version) = self.mirror.mirror.resume_version() {
            self.inbox.open(&[(Arc::from(PREFIX), version)]);
            self.feed = Some((reader, version));
        }
    }

    fn close_feed(&mut self) {
        self.inbox.close();
        self.feed = None;
    }

    /// Takes a frame of its reader.
    fn receive(&mut self, readers: &[CheckedMirror], now: MonoTime) {
        let Some((reader, told)) = self.feed else {
            return;
        };
        let Some(delta) = readers[reader].mirror.delta_since(told) else {
            return self.close_feed();
        };
        let covered = delta.version;
        let part = FeedPart::new(PREFIX, &delta);
        let frame = FeedFrame {
            accepted: true,
            age_ms: 0,
            failures: 0,
            parts: if covered > told {
                vec![part]
            } else {
                Vec::new()
            },
            packed: None,
        };
        self.inbox
            .record(frame, now)
            .expect("frames of a mirror are sound");
        self.feed = Some((reader, covered.max(told)));
    }

    /// Does the next step of the follow loop.
    fn step(&mut self, store: &ModelStore, now: MonoTime) {
        let resume = self.mirror.mirror.resume_version();
        if resume.is_some_and(|version| self.inbox.covers(PREFIX, version, now)) {
            self.mirror.mirror.resume();
        }
        let MirrorStep::Watch(version) = self.mirror.mirror.next_step() else {
            return self.mirror.ask_store(store);
        };
        match self.inbox.next_step(PREFIX, version, now, now) {
            FeedStep::Apply(deltas) => {
                for delta in deltas {
                    let changes = self.mirror.mirror.on_delta(delta);
                    self.mirror.check(&changes);
                }
            }
            FeedStep::AskStore => self.mirror.ask_store(store),
            FeedStep::Wait(_) | FeedStep::StoreFailed => {}
        }
    }
}

/// Lets one thing happen.
fn disturb(
    store: &mut ModelStore,
    readers: &mut [CheckedMirror],
    followers: &mut [Follower],
    rng: &mut fastrand::Rng,
    now: MonoTime,
) {
    let reader = rng.usize(0..readers.len());
    let follower = rng.usize(0..followers.len());
    match rng.u32(0..100) {
        0..35 => store.change(rng),
        35..60 => readers[reader].ask_store(store),
        60..63 => readers[reader].mirror.on_failure(),
        63..66 => followers[follower].mirror.mirror.on_failure(),
        66 => store.compact(),
        67 if rng.u32(0..20) == 0 => store.restore(),
        68..72 => followers[follower].close_feed(),
        72..80 => followers[follower].open_feed(reader),
        80..85 => followers[follower].mirror.ask_store(store),
        _ => {
            for follower in followers.iter_mut() {
                if rng.bool() {
                    follower.receive(readers, now);
                }
                follower.step(store, now);
            }
        }
    }
}

/// Guards against keys that return to an older value or stay although they were removed, when a daemon
/// changes between the store and the feeds of others.
#[test_case(1, 400)]
#[test_case(12, 400)]
#[test_case(140, 120; "a third of 430 daemons on one reader")]
fn followers_end_with_the_state_of_the_store(daemons: usize, steps: u64) {
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut store = ModelStore {
            revision: 1,
            era: 1,
            ..ModelStore::default()
        };
        let mut readers: Vec<CheckedMirror> = (0..3).map(|_| CheckedMirror::default()).collect();
        let mut followers: Vec<Follower> = (0..daemons).map(|_| Follower::default()).collect();
        for step in 0..steps {
            let now = MonoTime(step * STEP_US);
            disturb(&mut store, &mut readers, &mut followers, &mut rng, now);
        }

        let now = MonoTime(steps * STEP_US);
        for _ in 0..4 {
            for reader in &mut readers {
                reader.ask_store(&store);
            }
            for follower in &mut followers {
                follower.receive(&readers, now);
                follower.step(&store, now);
            }
        }

        let wanted: Vec<_> = store
            .items
            .values()
            .map(|item| (Arc::clone(&item.key), item.version))
            .collect();
        for follower in &followers {
            assert_eq!(follower.mirror.keys(), wanted, "seed {seed}");
        }
    }
}
