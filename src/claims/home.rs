//! Choice of a shard's home: the daemon to which the others forward changes to the shard's pages,
//! so that they are written in batches. This is only an optimisation: any daemon may write any page
//! by compare-and-swap.

use crate::ids::InstanceId;
use sha2::{Digest, Sha256};

/// Chooses the home of a shard by rendezvous hashing. Daemons with the same list of members choose
/// the same home, and a change of the list moves only the shards of members that joined or left.
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
