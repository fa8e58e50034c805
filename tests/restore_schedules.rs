//! Leadership and the mirror's order through restores of the store, in seeded schedules without
//! sockets: answers that arrive late, leases given out again, daemons that restart, and daemons that
//! hear of a restore at different times.

use arbutusmount::{
    CommitOutcome, EraCell, EraReading, FenceNumber, ItemPage, LeaseGrant, LeaseId, LeaseSession,
    LeaseStep, MonoTime, PortError, PortResult, PrefixMirror, PresenceRow, RenewOutcome, StoreEra,
    StoreItem, StorePort, StoreTransaction, StoreVersion,
};
use async_std::task;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use test_case::test_case;

/// Key that names the leader.
const LEADER_KEY: &str = "arbutusmount/leader";
/// Number of daemons in a schedule.
const DAEMONS: usize = 4;
/// Schedules of one test case.
const SEEDS: u64 = 40;
/// Steps of a schedule.
const STEPS: usize = 3_000;
/// Time between two steps.
const STEP: Duration = Duration::from_millis(20);
/// Time between two renewals of a daemon's lease.
const RENEW_STEPS: usize = 35;

#[derive(Debug, Clone)]
struct ModelItem {
    value: Arc<[u8]>,
    revision: u64,
    created: u64,
    lease: i64,
}

/// A store whose copies are taken now and then.
#[derive(Debug, Clone, Default)]
struct ModelCopy {
    items: BTreeMap<Arc<str>, ModelItem>,
    revision: u64,
    next_lease: i64,
}

#[derive(Debug, Default)]
struct ModelStore {
    now: MonoTime,
    era: u64,
    state: ModelCopy,
    copy: ModelCopy,
    /// Expiry and time to live of each lease.
    leases: BTreeMap<i64, (MonoTime, Duration)>,
    /// Daemons that the store does not answer.
    cut_off: [bool; DAEMONS],
}

impl ModelStore {
    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        self.state.items.retain(|_, item| item.lease != id);
        self.state.revision += 1;
    }

    fn advance(&mut self, by: Duration) {
        self.now = self.now.after(by);
        let now = self.now;
        let ended = self.leases.iter().filter(|(_, (expiry, _))| *expiry <= now);
        let ended: Vec<i64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn restore(&mut self) {
        self.era += 1;
        self.state = self.copy.clone();
        self.state.items.retain(|_, item| item.lease == 0);
        self.leases.clear();
    }

    fn commit(&mut self, transaction: &StoreTransaction) -> CommitOutcome {
        let era = StoreEra(self.era);
        let holds = transaction.guards.iter().all(|guard| {
            let found = self.state.items.get(&guard.key).map(|item| item.revision);
            let expected = guard.expected.map(|version| version.revision().into());
            found == expected
        });
        if !holds {
            return CommitOutcome::Conflict(Vec::new());
        }
        let mut leases = transaction.writes.iter().filter_map(|write| write.lease);
        if leases.any(|lease| !self.leases.contains_key(&lease.0)) {
            return CommitOutcome::LeaseExpired;
        }
        for write in &transaction.writes {
            self.state.revision += 1;
            let revision = self.state.revision;
            let known = self.state.items.get(&write.key);
            let item = ModelItem {
                value: Arc::clone(&write.value),
                revision,
                created: known.map_or(revision, |item| item.created),
                lease: write.lease.map_or(0, |lease| lease.0),
            };
            self.state.items.insert(Arc::clone(&write.key), item);
        }
        for key in &transaction.removals {
            self.state.items.remove(key);
            self.state.revision += 1;
        }
        CommitOutcome::Done(StoreVersion::new(era, self.state.revision))
    }

    fn page(&self) -> ItemPage {
        let era = StoreEra(self.era);
        let items = self.state.items.iter().map(|(key, item)| StoreItem {
            key: Arc::clone(key),
            value: Arc::clone(&item.value),
            version: StoreVersion::new(era, item.revision),
            created: StoreVersion::new(era, item.created),
            lease: LeaseId(item.lease),
        });
        ItemPage {
            items: items.collect(),
            has_more: false,
            version: StoreVersion::new(era, self.state.revision),
        }
    }
}

type SharedStore = Arc<Mutex<ModelStore>>;

fn lock(store: &SharedStore) -> MutexGuard<'_, ModelStore> {
    store.lock().expect("the model store is never poisoned")
}

/// Runs a call of a daemon and reads the era of the answer as the platform's adapter does.
fn answer<T>(
    store: &SharedStore,
    daemon: usize,
    era: &EraCell,
    run: impl FnOnce(&mut ModelStore) -> T,
) -> PortResult<T> {
    let mut store = lock(store);
    if store.cut_off[daemon] {
        return Err(PortError::NotExecuted("cut off".to_owned()));
    }
    let named = StoreEra(store.era);
    let result = run(&mut store);
    match era.observe(Some(named)) {
        EraReading::Current(_) => Ok(result),
        EraReading::Earlier(_) => Err(PortError::OutcomeUnknown("earlier era".to_owned())),
    }
}

fn model_port(store: &SharedStore, daemon: usize) -> StorePort {
    let era = Arc::new(EraCell::default());
    let call = || (Arc::clone(store), Arc::clone(&era));
    let (list, commit, grant, renew, revoke) = (call(), call(), call(), call(), call());
    StorePort {
        era: Arc::clone(&era),
        list: Arc::new(move |_range| {
            let page = answer(&list.0, daemon, &list.1, |store| store.page());
            Box::pin(async { page })
        }),
        watch: Arc::new(|_range| Box::pin(async { unreachable!("schedules list only") })),
        commit: Arc::new(move |transaction| {
            let run = |store: &mut ModelStore| store.commit(&transaction);
            let outcome = answer(&commit.0, daemon, &commit.1, run);
            Box::pin(async { outcome })
        }),
        grant: Arc::new(move |time_to_live| {
            let run = |store: &mut ModelStore| {
                store.state.next_lease += 1;
                let id = store.state.next_lease;
                let expiry = store.now.after(time_to_live);
                store.leases.insert(id, (expiry, time_to_live));
                LeaseGrant {
                    id: LeaseId(id),
                    era: StoreEra(store.era),
                    time_to_live,
                }
            };
            let granted = answer(&grant.0, daemon, &grant.1, run);
            Box::pin(async { granted })
        }),
        renew: Arc::new(move |lease| {
            let run = |store: &mut ModelStore| {
                let now = store.now;
                match store.leases.get_mut(&lease.0) {
                    Some((expiry, time_to_live)) => {
                        *expiry = now.after(*time_to_live);
                        RenewOutcome::Renewed
                    }
                    None => RenewOutcome::Expired,
                }
            };
            let renewed = answer(&renew.0, daemon, &renew.1, run);
            Box::pin(async { renewed })
        }),
        revoke: Arc::new(move |lease| {
            let ended = answer(&revoke.0, daemon, &revoke.1, |store| {
                store.end_lease(lease.0);
            });
            Box::pin(async { ended })
        }),
    }
}

/// A daemon with its lease and its mirror of the store.
struct ModelDaemon {
    port: StorePort,
    session: LeaseSession,
    mirror: PrefixMirror,
    era: StoreEra,
}

impl ModelDaemon {
    fn start(store: &SharedStore, index: usize) -> Self {
        let port = model_port(store, index);
        let row = PresenceRow {
            instance: format!("router-{index}").parse().expect("an identifier"),
            domain: "d0".parse().expect("an identifier"),
            callers: "127.0.0.1:9".parse().expect("an address"),
            peers: "127.0.0.1:9".parse().expect("an address"),
            relay: None,
        };
        Self {
            session: LeaseSession::new(port.clone(), row, Duration::from_secs(1)),
            port,
            mirror: PrefixMirror::default(),
            era: StoreEra::default(),
        }
    }

    fn renew(&self, now: MonoTime) {
        if let Ok(LeaseStep::Rejoin) = task::block_on(self.session.renew(now, true)) {
            // A daemon that is cut off rejoins with a later renewal.
            let _ = task::block_on(self.session.rejoin(now, true));
        }
    }

    /// Lists the store and applies the answer. Returns the version of the mirror's latest item.
    fn list(&mut self) -> Option<StoreVersion> {
        let page = task::block_on((self.port.list)((Arc::from("arbutusmount/"), None)));
        let known = self.port.era.current();
        if self.era != known {
            self.era = known;
            self.mirror.on_restore();
        }
        self.mirror.on_failure();
        self.mirror.on_page(page.ok()?);
        let leader = self.mirror.items().find(|item| &*item.key == LEADER_KEY);
        self.session.observe_leader(leader);
        let versions = self.mirror.items().map(|item| item.version);
        Some(versions.max().unwrap_or_default())
    }

    fn sees_leader(&self) -> bool {
        self.mirror.items().any(|item| &*item.key == LEADER_KEY)
    }
}

/// Guards against two leaders that act at the same time, and against fencing numbers that go back,
/// in whatever order daemons hear of a restore.
#[test_case(0)]
#[test_case(40)]
#[test_case(80)]
#[test_case(120)]
#[test_case(160)]
#[test_case(200)]
#[test_case(240)]
#[test_case(280)]
fn one_leader_acts_and_its_number_never_goes_back(first_seed: u64) {
    for seed in first_seed..first_seed + SEEDS {
        run_leader_schedule(seed);
    }
}

fn run_leader_schedule(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let store: SharedStore = Arc::default();
    let mut daemons: Vec<ModelDaemon> = (0..DAEMONS)
        .map(|index| ModelDaemon::start(&store, index))
        .collect();
    let mut highest = FenceNumber::default();
    let (mut orders, mut restores) = (0, 0);

    for step in 0..STEPS {
        lock(&store).advance(STEP);
        let now = lock(&store).now;
        let index = rng.usize(..DAEMONS);
        match rng.u32(..100) {
            0..2 => {
                let mut store = lock(&store);
                store.copy = store.state.clone();
            }
            2 if rng.bool() => {
                lock(&store).restore();
                restores += 1;
            }
            3..6 => lock(&store).cut_off[index] ^= true,
            6 => daemons[index] = ModelDaemon::start(&store, index),
            _ => {}
        }
        for (number, daemon) in daemons.iter_mut().enumerate() {
            if (step + number * 7).is_multiple_of(RENEW_STEPS) {
                daemon.renew(now);
            }
            if rng.u32(..10) == 0 {
                daemon.list();
            }
            if daemon.mirror.is_complete() && !daemon.sees_leader() && rng.u32(..10) == 0 {
                // A failed campaign is made again.
                let _ = task::block_on(daemon.session.campaign());
            }
        }

        let acting: Vec<FenceNumber> = daemons
            .iter()
            .filter_map(|daemon| daemon.session.fence(now))
            .collect();
        assert!(acting.len() < 2, "seed {seed}, step {step}: {acting:?}");
        if let Some(fence) = acting.first() {
            assert!(*fence >= highest, "seed {seed}, step {step}: {fence}");
            highest = *fence;
            orders += 1;
        }
    }

    assert!(
        restores > 5 && orders > STEPS / 10,
        "{restores} restores, {orders} orders"
    );
}

/// A key with this daemon's name counts under its own lease, or if the store does not tell the lease;
/// not under that of an earlier run, nor from an earlier era.
#[test_case(1, 1, true)]
#[test_case(0, 1, true)]
#[test_case(2, 1, false)]
#[test_case(1, 0, false)]
fn leader_key_counts_under_the_own_lease(lease: i64, era: u64, leads: bool) {
    let store: SharedStore = Arc::default();
    lock(&store).era = 1;
    let daemon = ModelDaemon::start(&store, 0);
    daemon.renew(MonoTime(0));
    let version = StoreVersion::new(StoreEra(era), 5);
    let item = StoreItem {
        key: Arc::from(LEADER_KEY),
        value: Arc::from(b"router-0".as_slice()),
        version,
        created: version,
        lease: LeaseId(lease),
    };

    daemon.session.observe_leader(Some(&item));

    assert_eq!(daemon.session.leads(MonoTime(0)), leads);
}

/// Guards against a mirror that goes back, or that stays behind the store once it answers.
#[test_case(11)]
#[test_case(12)]
#[test_case(13)]
#[test_case(14)]
fn mirror_follows_the_store_through_restores(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let store: SharedStore = Arc::default();
    let mut daemon = ModelDaemon::start(&store, 0);
    let mut latest = StoreVersion::default();
    let mut late: Vec<ItemPage> = Vec::new();

    for _ in 0..STEPS {
        match rng.u32(..20) {
            0 => {
                let mut store = lock(&store);
                store.copy = store.state.clone();
            }
            1 => lock(&store).restore(),
            2 => late.push(lock(&store).page()),
            3 if !late.is_empty() => {
                let page = late.swap_remove(rng.usize(..late.len()));
                if page.version.era() < daemon.port.era.current() {
                    daemon.mirror.on_page(page);
                }
            }
            4..8 => {
                let key = format!("arbutusmount/key-{}", rng.u32(..6));
                let mut store = lock(&store);
                store.state.revision += 1;
                let revision = store.state.revision;
                let item = ModelItem {
                    value: Arc::from(revision.to_string().as_bytes()),
                    revision,
                    created: revision,
                    lease: 0,
                };
                store.state.items.insert(Arc::from(key), item);
            }
            8 => {
                let key = format!("arbutusmount/key-{}", rng.u32(..6));
                let mut store = lock(&store);
                store.state.items.remove(key.as_str());
                store.state.revision += 1;
            }
            9..12 => {
                let version = daemon.list().expect("the store answers");
                let expected = lock(&store).page();
                let mirrored: Vec<StoreItem> = daemon.mirror.items().cloned().collect();
                assert_eq!(mirrored, expected.items);
                assert!(expected.version >= latest && version <= expected.version);
                latest = expected.version;
            }
            _ => {}
        }
    }
}
