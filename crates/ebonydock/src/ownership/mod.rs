//! Assignment of pools, buckets and jobs to owner VMs.
//!
//! Uses rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
//! 1998): the candidate with the highest hash of key and name owns the key, so the loss of a VM moves only
//! the keys that it owned.

#[cfg(test)]
mod tests;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::VmId;

fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(candidate.as_bytes(), 0))
}

/// Returns the owner of `key` among `candidates`, independent of their order.
pub fn owner_of<'a>(key: &str, candidates: &'a [VmId]) -> Option<&'a VmId> {
    candidates.iter().max_by_key(|vm| (weight(key, vm.as_str()), vm.as_str()))
}

/// Returns all candidates by descending weight for `key`, the owner first.
pub fn ranked<'a, T: AsRef<str>>(key: &str, candidates: &'a [T]) -> Vec<&'a T> {
    let mut ranked: Vec<&T> = candidates.iter().collect();
    ranked.sort_by_key(|candidate| {
        (std::cmp::Reverse(weight(key, candidate.as_ref())), candidate.as_ref().to_owned())
    });
    ranked
}
