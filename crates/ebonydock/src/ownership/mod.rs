//! Which VM is responsible for a pool, a bucket or a job.
//!
//! Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998):
//! the candidate with the highest hash of key and name owns the key, so a lost VM moves only its keys.

#[cfg(test)]
mod tests;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::VmId;

/// The weight of a candidate for a key.
fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(candidate.as_bytes(), 0))
}

/// The owner of `key` among `candidates`, independent of their order.
pub fn owner_of<'a>(key: &str, candidates: &'a [VmId]) -> Option<&'a VmId> {
    candidates.iter().max_by_key(|vm| (weight(key, vm.as_str()), vm.as_str()))
}

/// All candidates in order of their weight for `key`, the owner first.
pub fn ranked<'a, T: AsRef<str>>(key: &str, candidates: &'a [T]) -> Vec<&'a T> {
    let mut ranked: Vec<&T> = candidates.iter().collect();
    ranked.sort_by_key(|candidate| {
        (std::cmp::Reverse(weight(key, candidate.as_ref())), candidate.as_ref().to_owned())
    });
    ranked
}
