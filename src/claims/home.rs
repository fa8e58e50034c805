//! Which daemon is the home of a shard: it writes the shard's pages in batches.

use crate::ids::InstanceId;
use sha2::{Digest, Sha256};

/// The home of a shard by rendezvous hashing: all daemons with the same list of members choose the
/// same one, and a change of the list moves only the shards of members that came or went.
pub fn choose_home(shard: usize, members: &[InstanceId]) -> Option<&InstanceId> {
    members
        .iter()
        .max_by_key(|member| rendezvous_weight(shard, member))
}

fn rendezvous_weight(shard: usize, member: &InstanceId) -> u64 {
    let mut hash = Sha256::new();
    hash.update((shard as u64).to_be_bytes());
    hash.update(member.as_str());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.finalize()[..8]);
    u64::from_be_bytes(prefix)
}
