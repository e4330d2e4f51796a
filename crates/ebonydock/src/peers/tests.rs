//! Tests of messages between VMs.

use std::time::Duration;

use crate::gateway::{LoadReport, LoadUpdate, ReportFrame, ReportInterest, SpentQuota};
use crate::ids::{VmId, WorkspaceId};
use crate::peers::drop_log::DropLog;
use crate::peers::messages::{Envelope, PeerDatagram};

#[test]
fn undecodable_messages_do_not_flood_the_log() {
    let mut drops = DropLog::default();
    let lines: Vec<u64> =
        (0..30_000).filter_map(|ms| drops.record(Duration::from_millis(ms))).collect();
    assert_eq!(lines, [1, 10_000, 10_000]);
    assert_eq!(drops.total(), 30_000);
}

fn load_datagram() -> Vec<u8> {
    let quotas = vec![SpentQuota { workspace: WorkspaceId::from("w"), requests: 300, age_ms: 7 }];
    let report = LoadReport { quotas, ..LoadReport::default() };
    let content = postcard::to_stdvec(&report).unwrap();
    let frame = ReportFrame { vm: "b", incarnation: 1 << 60, sequence: 9, content: &content };
    let interest = ReportInterest::All;
    let body = PeerDatagram::Load(LoadUpdate { interest, reports: vec![frame] });
    postcard::to_stdvec(&Envelope { from: VmId::from("a"), body }).unwrap()
}

#[test]
fn truncated_datagram_is_not_decoded_as_another_one() {
    let datagram = load_datagram();
    for length in 0..datagram.len() {
        let decoded = postcard::from_bytes::<Envelope<PeerDatagram<'_>>>(&datagram[..length]);
        assert!(decoded.is_err(), "{length} of {} bytes: {decoded:?}", datagram.len());
    }
}

#[test]
fn load_report_of_earlier_version_is_recognised() {
    // Variant 1 was the load update before reports had frames.
    let datagram = [1, b'a', 1, 0, 0];
    let decoded = postcard::from_bytes::<Envelope<PeerDatagram<'_>>>(&datagram).unwrap();
    assert!(matches!(decoded.body, PeerDatagram::EarlierLoad), "{decoded:?}");
}
