//! How crashes spread over many daemons, with the tables and outboxes of each and no sockets.

use arbutusmount::{
    CrashOutbox, CrashState, CrashedRun, MonoTime, OutboxRow, PoisonEntry, PoisonFingerprint,
    PoisonRow, PoisonTable,
};
use prost::Message;
use std::time::Duration;
use test_case::test_case;

/// Period of messages between daemons.
const ROUND: Duration = Duration::from_millis(200);
/// Daemons that one message goes to.
const FAN_OUT: usize = 16;
/// Crashes in one message.
const MESSAGE_ROWS: usize = 32;
/// Bytes of a message that pass a network in one packet beside the reservations.
const MAX_MESSAGE_BYTES: usize = 1_400;
const TTL: Duration = Duration::from_secs(600);
/// Time until which all daemons have to know.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after which a crash of a peer is passed on.
const PEER_DELAY: Duration = Duration::from_secs(2);

#[derive(Default)]
struct TestDaemon {
    table: PoisonTable,
    outbox: CrashOutbox,
}

impl TestDaemon {
    fn record(&self, fingerprint: PoisonFingerprint, run: u64, now: MonoTime) {
        let run = CrashedRun(run);
        let entry = PoisonEntry::new([run], CrashState::Counted, now.after(TTL));
        self.table.merge(fingerprint, &entry, now);
        let state = CrashState::Counted;
        let row = OutboxRow {
            fingerprint,
            run,
            state,
        };
        self.outbox.add(row, now.after(Duration::from_secs(1)));
    }

    fn message(&self, now: MonoTime) -> Vec<PoisonRow> {
        let known_runs = |one| self.table.known_runs(one, now);
        let rows = self.outbox.rows(MESSAGE_ROWS, now, known_runs).into_iter();
        let row = |row: OutboxRow| {
            let entry = PoisonEntry::new([row.run], row.state, now.after(TTL));
            PoisonRow::new(row.fingerprint, &entry, now)
        };
        rows.map(row).collect()
    }

    fn hear(&self, rows: &[PoisonRow], now: MonoTime) {
        for row in rows {
            let (fingerprint, entry) = (row.fingerprint(), row.entry(now, TTL));
            let unknown_runs = self.table.unknown_runs(fingerprint, &entry, now);
            self.table.merge(fingerprint, &entry, now);
            for (run, state) in unknown_runs {
                let row = OutboxRow {
                    fingerprint,
                    run,
                    state,
                };
                self.outbox.add_from_peer(row, now.after(PEER_DELAY));
            }
        }
    }
}

/// Five crashes under one part, each with a batch of requests beside it, at different daemons while
/// the store is away: all daemons refuse the part within the contact time after the fifth.
#[test_case(8; "a small fleet")]
#[test_case(83; "a large fleet")]
fn all_daemons_learn_of_a_part_that_crashes_targets(fleet: usize) {
    // Arrange
    let daemons: Vec<TestDaemon> = (0..fleet).map(|_| TestDaemon::default()).collect();
    let bad_part = PoisonFingerprint::new(&[b"part", b"bad"]);
    let start = MonoTime(1_000_000);

    // Act: one crash a round in the first five rounds, seen by two daemons each.
    let rounds = 5 + (CONTACT_TIME.as_millis() / ROUND.as_millis()) as u32;
    let mut largest_message = 0;
    for round in 0..rounds {
        let now = start.after(ROUND * round);
        if round < 5 {
            for seen_by in [round as usize, fleet - 1 - round as usize % 3] {
                daemons[seen_by].record(bad_part, u64::from(round), now);
                for beside in 0..40_usize {
                    let text = format!("{seen_by}-{round}-{beside}");
                    let request = PoisonFingerprint::new(&[text.as_bytes()]);
                    daemons[seen_by].record(request, u64::from(round), now);
                }
            }
        }
        for (index, daemon) in daemons.iter().enumerate() {
            let rows = daemon.message(now);
            let bytes: usize = rows.iter().map(|row| row.encoded_len() + 2).sum();
            largest_message = largest_message.max(bytes);
            for step in 0..FAN_OUT.min(fleet - 1) {
                let peer = (index + 1 + (round as usize * FAN_OUT + step) % (fleet - 1)) % fleet;
                daemons[peer].hear(&rows, now);
            }
        }
    }

    // Assert
    let end = start.after(ROUND * rounds);
    let refusing = daemons
        .iter()
        .filter(|daemon| daemon.table.refusal_time(&[bad_part], end).is_some())
        .count();
    assert_eq!(refusing, fleet);
    assert!(largest_message <= MAX_MESSAGE_BYTES, "{largest_message}");
}
