//! Changes that daemons compress for each other.

use arbutusmount::{
    FeedError, FeedFrame, FeedInbox, FeedPart, FeedParts, FeedStep, LeaseId, MirrorDelta, MonoTime,
    PackingError, StoreEra, StoreItem, StoreVersion, WatchChange, pack_message, unpack_message,
};
use proptest::prelude::*;
use std::sync::Arc;
use test_case::test_case;

const PREFIX: &str = "op/";
/// Slowest link of a daemon, in bytes a second.
const LINK_RATE: usize = 20_000_000 / 8;
/// Followers of a reader on the largest sites.
const FOLLOWERS: usize = 13;

fn version(revision: u64) -> StoreVersion {
    StoreVersion::new(StoreEra::default(), revision)
}

/// A configuration with this many routes, written at revision 12.
fn config_change(routes: usize) -> MirrorDelta {
    let mut rng = fastrand::Rng::with_seed(5);
    let route = |number: usize, rng: &mut fastrand::Rng| {
        serde_json::json!({
            "Name": format!("r-{:x}", rng.u64(..)), "Host": format!("h{number}.example"),
            "Path": format!("/p{:x}/", rng.u32(..)), "Service": "desk", "TimeoutMs": 20_000,
            "Attempts": 2, "Kind": "stream", "Priority": 1,
        })
    };
    let routes: Vec<_> = (0..routes).map(|number| route(number, &mut rng)).collect();
    let item = StoreItem {
        key: Arc::from("op/config"),
        value: Arc::from(
            serde_json::json!({ "Routes": routes })
                .to_string()
                .as_bytes(),
        ),
        version: version(12),
        created: version(12),
        lease: LeaseId(0),
    };
    MirrorDelta {
        listed: None,
        changes: vec![WatchChange::Written(item)],
        version: version(12),
    }
}

fn parts(delta: &MirrorDelta) -> FeedParts {
    FeedParts {
        parts: vec![FeedPart::new(PREFIX, delta)],
    }
}

fn packed_frame(packed: Vec<u8>) -> FeedFrame {
    FeedFrame {
        accepted: true,
        packed: Some(packed.into()),
        ..FeedFrame::default()
    }
}

fn open_inbox() -> FeedInbox {
    let inbox = FeedInbox::default();
    inbox.open(&[(Arc::from(PREFIX), version(10))]);
    inbox
}

/// Pattern: an operator adds 1,600 routes at 195 daemons. Guards against followers that take their feed
/// for silent, and all list the store, while their reader sends the configuration to twelve
/// others.
#[test]
fn large_configuration_reaches_all_followers_of_a_slow_reader_within_half_a_second() {
    let changes = parts(&config_change(1_730));

    let packed = pack_message(&changes).expect("it is large");

    let seconds = (packed.len() * FOLLOWERS) as f64 / LINK_RATE as f64;
    assert!(seconds < 0.5, "{seconds} s for {} bytes", packed.len());
}

#[test]
fn packed_changes_are_applied() {
    let change = config_change(200);
    let packed = pack_message(&parts(&change)).expect("it is large");
    let inbox = open_inbox();

    let recorded = inbox.record(packed_frame(packed.to_vec()), MonoTime(0));

    assert_eq!(recorded, Ok(()));
    let step = inbox.next_step(PREFIX, version(10), MonoTime(500_000), MonoTime(0));
    assert_eq!(step, FeedStep::Apply(vec![change]));
}

#[test]
fn small_changes_are_sent_as_they_are() {
    assert!(pack_message(&parts(&config_change(1))).is_none());
}

/// Bytes that unpack to more than any value of the store.
fn bomb() -> Vec<u8> {
    use std::io::Write;
    let mut encoder = flate2::write::ZlibEncoder::new(Vec::new(), flate2::Compression::best());
    let zeros = vec![0_u8; 1 << 20];
    for _ in 0..16 {
        encoder.write_all(&zeros).expect("memory does not fail");
    }
    encoder.finish().expect("memory does not fail")
}

#[test_case(b"no changes at all".to_vec(), |cause| matches!(cause, PackingError::Damaged(_)) ; "not compressed")]
#[test_case(bomb(), |cause| matches!(cause, PackingError::TooLarge) ; "far too large")]
fn unusable_changes_are_rejected(packed: Vec<u8>, is_expected: fn(&PackingError) -> bool) {
    let inbox = open_inbox();

    let recorded = inbox.record(packed_frame(packed), MonoTime(0));

    let Err(FeedError::Packing(cause)) = recorded else {
        panic!("{recorded:?}");
    };
    assert!(is_expected(&cause), "{cause}");
    let step = inbox.next_step(PREFIX, version(10), MonoTime(1), MonoTime(0));
    assert_eq!(step, FeedStep::AskStore);
}

proptest! {
    /// Truncated or changed bytes never panic, and never unpack to other changes unnoticed.
    #[test]
    fn damaged_bytes_are_noticed(cut in 0_usize..4_000, flip in 0_usize..4_000, bit in 0_u8..8) {
        let changes = parts(&config_change(100));
        let packed = pack_message(&changes).expect("it is large").to_vec();
        let mut damaged = packed.clone();
        damaged.truncate(packed.len().saturating_sub(cut % packed.len()).max(1));
        let index = flip % damaged.len();
        damaged[index] ^= 1 << bit;

        if let Ok(read) = unpack_message::<FeedParts>(&damaged) {
            prop_assert_eq!(read, changes);
        }
    }
}
