//! Tests of ownership.

use crate::ids::VmId;
use crate::ownership::{owner_of, ranked};

fn vms(count: usize) -> Vec<VmId> {
    (0..count).map(|index| VmId::from(format!("vm-{index}"))).collect()
}

#[test]
fn lost_candidate_moves_only_its_keys() {
    let all = vms(12);
    let fewer: Vec<VmId> = all.iter().filter(|vm| vm.as_str() != "vm-5").cloned().collect();
    let mut counts = vec![0; all.len()];
    for key in 0..6000 {
        let key = format!("bucket/{key}");
        let owner = owner_of(&key, &all).unwrap();
        counts[all.iter().position(|vm| vm == owner).unwrap()] += 1;
        if owner.as_str() != "vm-5" {
            assert_eq!(owner_of(&key, &fewer), Some(owner));
        }
    }
    assert!(counts.iter().all(|count| (350..650).contains(count)), "{counts:?}");
}

#[test]
fn owner_is_independent_of_candidate_order() {
    let mut all = vms(7);
    let owner = owner_of("pool/clerk-8b", &all).cloned();
    let first = ranked("pool/clerk-8b", &all).first().copied().cloned();
    assert_eq!(owner, first);
    all.reverse();
    assert_eq!(owner, owner_of("pool/clerk-8b", &all).cloned());
}
