//! Tests of member entries: calls that take effect late, restarts, and two processes under one name.

use std::net::SocketAddr;
use std::time::Duration;

use yare::parameterized;

use crate::gateway::member_entry::{
    EntryAction, GatewayMember, MemberGeneration, entry_action, new_incarnation,
};
use crate::gateway::tests::fakes::{FakeSite, FakeTargets, TargetBehavior, run};
use crate::ids::{DataCentreId, VmId};

const MEMBERS: &str = "gateway_members";

fn idle_site() -> FakeSite {
    FakeSite::open(FakeTargets::open(|_, _| TargetBehavior::Hangs))
}

fn published_incarnation(site: &FakeSite, vm: &str) -> Option<u64> {
    let row = site.store.row(MEMBERS, vm)?;
    Some(GatewayMember::decode(&row).unwrap().1.incarnation)
}

/// Review case 1: the late deletion removed the entry of the running successor for good.
#[test]
fn late_deletion_of_stopped_vm_leaves_entry_of_successor() {
    run(async {
        let site = idle_site();
        let first = site.gateway("vm1").await;
        site.store.withheld_table.set(MEMBERS);
        first.stop().await;
        let _second = site.gateway("vm1").await;
        let successor = published_incarnation(&site, "vm1");
        site.store.apply_withheld();
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(successor.is_some());
        assert_eq!(published_incarnation(&site, "vm1"), successor);
    });
}

/// An entry that is gone for any reason stayed away, because publication ended with its first success.
#[test]
fn removed_entry_is_published_again_within_two_seconds() {
    run(async {
        let site = idle_site();
        let _gateway = site.gateway("vm1").await;
        let incarnation = published_incarnation(&site, "vm1");
        site.store.remove(MEMBERS, "vm1");
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(incarnation.is_some());
        assert_eq!(published_incarnation(&site, "vm1"), incarnation);
    });
}

/// The late publication of a process that was killed replaced the entry of its successor.
#[test]
fn late_publication_of_killed_vm_leaves_entry_of_successor() {
    run(async {
        let site = idle_site();
        site.store.withheld_table.set(MEMBERS);
        let first = site.gateway("vm1").await;
        let _second = site.gateway("vm1").await;
        let successor = published_incarnation(&site, "vm1");
        drop(first);
        site.store.apply_withheld();
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert!(successor.is_some());
        assert_eq!(published_incarnation(&site, "vm1"), successor);
    });
}

#[test]
fn stopped_vm_removes_its_entry() {
    run(async {
        let site = idle_site();
        let gateway = site.gateway("vm1").await;
        assert!(published_incarnation(&site, "vm1").is_some());
        gateway.stop().await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(published_incarnation(&site, "vm1"), None);
    });
}

/// The response to the publication is lost, so the stopping VM does not know the version of its entry.
#[test]
fn stopped_vm_removes_entry_of_unknown_version() {
    run(async {
        let site = idle_site();
        site.store.lost_responses.set(1);
        let gateway = site.gateway("vm1").await;
        assert!(published_incarnation(&site, "vm1").is_some());
        gateway.stop().await;
        assert_eq!(published_incarnation(&site, "vm1"), None);
    });
}

/// Two processes under one name: the entry settles on the later one and is not written any more.
#[test]
fn earlier_of_two_processes_under_one_name_gives_way() {
    run(async {
        let site = idle_site();
        let _earlier = site.gateway("vm1").await;
        let _later = site.gateway("vm1").await;
        let later = published_incarnation(&site, "vm1");
        tokio::time::sleep(Duration::from_secs(2)).await;
        let settled = site.store.row(MEMBERS, "vm1");
        assert!(later.is_some());
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert_eq!(published_incarnation(&site, "vm1"), later);
        assert_eq!(site.store.row(MEMBERS, "vm1"), settled);
    });
}

fn generation(first_version: u64, incarnation: u64) -> MemberGeneration {
    MemberGeneration { first_version, incarnation }
}

#[parameterized(
    absent = { None, EntryAction::Publish { expected: 0 } },
    own = { Some(generation(10, 7)), EntryAction::Keep },
    earlier = { Some(generation(9, 99)), EntryAction::Publish { expected: 40 } },
    earlier_release = { Some(generation(0, 99)), EntryAction::Publish { expected: 40 } },
    later = { Some(generation(11, 1)), EntryAction::Yield },
    later_at_same_version = { Some(generation(10, 8)), EntryAction::Yield },
)]
fn entry_of_later_incarnation_wins(stored: Option<MemberGeneration>, action: EntryAction) {
    let stored = stored.map(|generation| (generation, 40));
    assert_eq!(entry_action(generation(10, 7), stored), action);
}

/// A VM gave way to its predecessor if both had read the same version and its random number was lower.
#[test]
fn later_incarnation_wins_if_nothing_was_written_in_between() {
    let next = |_| {
        std::thread::sleep(Duration::from_micros(50));
        new_incarnation()
    };
    let numbers: Vec<u64> = (0..100).map(next).collect();
    assert!(numbers.is_sorted(), "{numbers:?}");
}

#[test]
fn entry_of_earlier_release_is_decoded() {
    let address: SocketAddr = "127.0.0.1:7660".parse().unwrap();
    let member = GatewayMember {
        vm: VmId::from("vm1"),
        incarnation: 7,
        data_centre: DataCentreId::from("a"),
        capacity: 500,
        address,
        certificate: "certificate".to_owned(),
    };
    let earlier = postcard::to_stdvec(&member).unwrap();
    assert_eq!(GatewayMember::decode(&earlier), Ok((member.clone(), generation(0, 7))));
    let row = member.encode(300);
    assert_eq!(GatewayMember::decode(&row), Ok((member.clone(), generation(300, 7))));
    // Earlier releases read the entry without the version.
    assert_eq!(postcard::from_bytes::<GatewayMember>(&row), Ok(member));
}
