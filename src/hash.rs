//! A hash that is the same in every process and release.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const MIX_FIRST: u64 = 0xbf58_476d_1ce4_e5b9;
const MIX_SECOND: u64 = 0x94d0_49bb_1331_11eb;

/// FNV-1a over the parts, separated, with the finalizer of `SplitMix64`.
pub(crate) fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for byte in part.iter().chain(&[0xff]) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(MIX_FIRST);
    hash = (hash ^ (hash >> 27)).wrapping_mul(MIX_SECOND);
    hash ^ (hash >> 31)
}
