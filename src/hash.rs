//! Hash function whose result is the same in every process and every release, so that daemons can
//! compare hashes with each other.

use crate::ids::InstanceId;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// First multiplier of the `SplitMix64` finalizer.
const FIRST_MIX_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;
/// Second multiplier of the `SplitMix64` finalizer.
const SECOND_MIX_MULTIPLIER: u64 = 0x94d0_49bb_1331_11eb;

/// Hash that names one run of an instance, the same in all daemons. The incarnation tells apart the
/// runs that have the same identity.
pub(crate) fn run_hash(instance: &InstanceId, incarnation: u64) -> u64 {
    stable_hash(&[instance.as_str().as_bytes(), &incarnation.to_be_bytes()])
}

/// FNV-1a hash of the parts, each followed by the separator 0xff, with the finalizer of
/// `SplitMix64`.
pub(crate) fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for part in parts {
        for byte in part.iter().chain(&[0xff]) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(FIRST_MIX_MULTIPLIER);
    hash = (hash ^ (hash >> 27)).wrapping_mul(SECOND_MIX_MULTIPLIER);
    hash ^ (hash >> 31)
}
