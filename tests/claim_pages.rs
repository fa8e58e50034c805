//! Pages of claims: which claims they grant, drop and refuse, and that a full page fits the store.

use arbutusmount::{
    ClaimAction, ClaimAttempt, ClaimDecision, ClaimEvent, ClaimNode, ClaimPage, ClaimRefusal,
    ClaimRequest, ClaimSettings, ClaimTime, ClaimVerdict, DATED_SLOT_COUNT, InstanceId, KeyDigest,
    MAX_PAGE_CLAIMS, MonoTime, PageChange, PageSlot, SHARD_COUNT, UNDATED_PAGE_COUNT,
    UNDATED_RETENTION_S, WINDOW_MS,
};
use test_case::test_case;

/// Largest value that the store accepts, in bytes.
const STORE_VALUE_BYTES: usize = 1 << 20;
/// Current Unix time in the tests, in milliseconds.
const NOW_MS: u64 = 1_790_000_000_000;
const HOUR_MS: u64 = 3_600_000;

fn claim(number: u64, window: Option<u64>) -> ClaimRequest {
    let mut digest = KeyDigest([0; 16]);
    digest.0[8..].copy_from_slice(&number.to_be_bytes());
    ClaimRequest {
        digest,
        window,
        fingerprint: 1,
    }
}

fn change(claim: ClaimRequest, attempt: u64) -> PageChange {
    let owner: InstanceId = "a-router-with-a-name-of-48-bytes-of-failure-dom"
        .parse()
        .unwrap();
    PageChange::Claim {
        claim,
        attempt: ClaimAttempt(attempt),
        owner,
        supersedes: None,
    }
}

#[test]
fn page_advanced_to_a_later_window_refuses_keys_of_an_earlier_one() {
    // Arrange
    let mut page = ClaimPage::default();
    let (early, late) = (claim(1, Some(100)), claim(2, Some(100 + DATED_SLOT_COUNT)));
    assert_eq!(page.apply(&change(early, 1), 0), ClaimVerdict::Granted);

    // Act
    let turned = page.apply(&change(late, 2), 0);
    let mut decoded = ClaimPage::decode(&page.encode()).unwrap();
    let again = decoded.apply(&change(early, 3), 0);

    // Assert
    assert_eq!(turned, ClaimVerdict::Granted);
    assert_eq!(again, ClaimVerdict::TooOld);
    assert_eq!(decoded, page);
}

#[test_case(UNDATED_RETENTION_S, false; "kept for the whole time")]
#[test_case(UNDATED_RETENTION_S + 1, true; "dropped after it")]
fn undated_claim_is(age_s: u64, dropped: bool) {
    // Arrange
    let mut page = ClaimPage::default();
    let now_s = NOW_MS / 1_000;
    page.apply(&change(claim(1, None), 1), now_s);

    // Act: the claim on another key drops expired claims.
    page.apply(&change(claim(2, None), 2), now_s + age_s);

    // Assert
    assert_eq!(page.find(&claim(1, None)).is_none(), dropped);
}

#[test]
fn full_page_fits_the_store_and_refuses_more() {
    // Arrange
    let mut page = ClaimPage::default();
    let now_s = NOW_MS / 1_000;
    for number in 0..MAX_PAGE_CLAIMS as u64 {
        let attempt = u64::MAX - number;
        let verdict = page.apply(&change(claim(number, None), attempt), now_s);
        assert_eq!(verdict, ClaimVerdict::Granted);
    }

    // Act
    let more = page.apply(&change(claim(u64::MAX, None), 1), now_s);
    let value = page.encode();

    // Assert
    assert_eq!(more, ClaimVerdict::PageFull);
    assert!(value.len() < STORE_VALUE_BYTES, "{} bytes", value.len());
    println!("{} bytes a claim", value.len() / MAX_PAGE_CLAIMS);
}

#[test_case("0197f2a4-8c00-7abc-8def-0123456789ab", true; "version 7")]
#[test_case("0197f2a4-8c00-4abc-8def-0123456789ab", false; "version 4")]
#[test_case("0197f2a48c007abc8def0123456789ab", false; "without hyphens")]
#[test_case("order-17", false; "an order number")]
#[test_case("0197f2a4-8c00-7abc-8def-0123456789aé", false; "not ASCII")]
fn key_carries_a_time(key: &str, dated: bool) {
    let (team, service) = ("dispatch".parse().unwrap(), "bays".parse().unwrap());

    let claim = ClaimRequest::new(&team, &service, key, 1);

    assert_eq!(claim.window.is_some(), dated);
    match claim.slot() {
        PageSlot::Dated { shard, slot } => {
            assert!(usize::from(shard) < SHARD_COUNT && slot < DATED_SLOT_COUNT);
        }
        PageSlot::Undated { bucket } => assert!(bucket < UNDATED_PAGE_COUNT),
    }
}

#[test_case(NOW_MS - 2 * HOUR_MS - 2 * WINDOW_MS, Some(ClaimRefusal::KeyTooOld); "too old")]
#[test_case(NOW_MS - 2 * HOUR_MS, None; "old")]
#[test_case(NOW_MS + 60_000, None; "a little ahead")]
#[test_case(NOW_MS + 80_000, Some(ClaimRefusal::KeyAhead); "too far ahead")]
fn dated_key_is_checked_against_the_clock(key_ms: u64, refusal: Option<ClaimRefusal>) {
    // Arrange
    let (rng, settings) = (fastrand::Rng::with_seed(1), ClaimSettings::default());
    let mut node = ClaimNode::new("router-0".parse().unwrap(), settings, rng);
    let now = ClaimTime {
        mono: MonoTime(1),
        unix_ms: NOW_MS,
    };

    // Act
    let call = ClaimEvent::Call {
        claim: claim(1, Some(key_ms / WINDOW_MS)),
        attempt: ClaimAttempt(1),
    };
    let actions = node.handle(call, now);

    // Assert
    let refused = actions.iter().find_map(|action| match action {
        ClaimAction::Decide {
            decision: ClaimDecision::Refuse(refusal),
            ..
        } => Some(*refusal),
        _ => None,
    });
    assert_eq!(refused, refusal, "{actions:?}");
}
