//! Tests of the configuration.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

use crate::configuration::messages::ChangeReply;
use crate::configuration::{
    AccessEntry, Change, ConfigDocument, ConfigState, KeyHash, RouteRule, VersionedBatch,
    WorkspaceEntry,
};
use crate::ids::{ConfigVersion, DataCentreId, PlanName, ServiceName, WorkspaceId};

fn workspace(name: &str) -> WorkspaceEntry {
    WorkspaceEntry {
        workspace: WorkspaceId::from(name),
        plan: PlanName::from("standard"),
        rate: 1.0,
        burst: 2.0,
        weight: 1.0,
    }
}

fn batch(version: u64, changes: Vec<Change>) -> VersionedBatch {
    VersionedBatch { version: ConfigVersion(version), changes }
}

fn rule(path: &str, idempotent: bool) -> RouteRule {
    RouteRule { service: ServiceName::from("notices"), path: path.to_owned(), idempotent }
}

#[test]
fn invalid_batch_reports_all_errors_and_changes_nothing() {
    let mut document = ConfigDocument::default();
    let mut bad_rate = workspace("zlatnik");
    bad_rate.rate = f64::NAN;
    let changes = vec![
        Change::SetWorkspace(workspace("association")),
        Change::SetWorkspace(bad_rate),
        Change::SetWorkspace(workspace("no spaces")),
        Change::GiveKey(KeyHash::of("a"), WorkspaceId::from("nobody")),
        Change::WithdrawKey(KeyHash::of("b")),
        Change::RemoveAccess(PlanName::from("gold")),
        Change::SetAccess(AccessEntry {
            plan: PlanName::from("gold"),
            models: Vec::new(),
            routes: vec![rule("send", false)],
        }),
    ];
    let errors = document.apply(&batch(1, changes)).unwrap_err();
    insta::assert_json_snapshot!(errors, @r#"
    [
      "changes[1]: `rate` must be at least 0.001, not `NaN`",
      "changes[2]: workspace `no spaces` must have 1 to 64 letters, digits, `-`, `_` or `.`",
      "changes[3]: workspace `nobody` does not exist",
      "changes[4]: the key does not exist",
      "changes[5]: plan `gold` does not exist",
      "changes[6]: path `send` must start with `/` and not contain `..`"
    ]
    "#);
    assert_eq!(document, ConfigDocument::default());
}

#[test]
fn key_belongs_to_one_workspace() {
    let mut document = ConfigDocument::default();
    let key = KeyHash::of("secret");
    let (first, second) = (WorkspaceId::from("zlatnik"), WorkspaceId::from("association"));
    let changes = vec![
        Change::SetWorkspace(workspace("zlatnik")),
        Change::SetWorkspace(workspace("association")),
        Change::GiveKey(key, first.clone()),
    ];
    document.apply(&batch(1, changes)).unwrap();
    assert!(document.apply(&batch(2, vec![Change::GiveKey(key, second)])).is_err());
    assert_eq!(document.workspace_of(&key).map(|entry| &entry.workspace), Some(&first));
    document.apply(&batch(2, vec![Change::RemoveWorkspace(first)])).unwrap();
    assert_eq!(document.workspace_of(&key), None);
}

#[parameterized(
    below_prefix = { "/send/pickup", Some(false) },
    exact_path = { "/send", Some(false) },
    longest_prefix_wins = { "/send/safe/a", Some(true) },
    not_at_segment_boundary = { "/sender", None },
    unrelated_path = { "/other", None },
)]
fn routes(path: &str, idempotent: Option<bool>) {
    let mut document = ConfigDocument::default();
    let access = AccessEntry {
        plan: PlanName::from("standard"),
        models: Vec::new(),
        routes: vec![rule("/send", false), rule("/send/safe", true)],
    };
    document.apply(&batch(1, vec![Change::SetAccess(access)])).unwrap();
    let entry = workspace("zlatnik");
    let call = document.service_call(Some(&entry), &ServiceName::from("notices"), path);
    assert_eq!(call.map(|call| call.idempotent), idempotent);
    assert_eq!(document.service_call(None, &ServiceName::from("notices"), path), None);
}

#[test]
fn key_hash_round_trips_and_rejects_invalid_text() {
    let hash = KeyHash::of("secret");
    assert_eq!(hash.to_string().parse(), Ok(hash));
    assert!("zz".repeat(32).parse::<KeyHash>().is_err());
    assert!("abc".parse::<KeyHash>().is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Batches arrive late, twice and out of order. Versions never decrease, and the final state is the
    /// same.
    #[test]
    fn versions_never_decrease(order in prop::collection::vec((0u64..20, 1usize..6), 1..60)) {
        let out = |version: u64| {
            let id = DataCentreId::from(format!("dc-{}", version % 5));
            if version.is_multiple_of(2) { Change::DataCentreOut(id) } else { Change::DataCentreBack(id) }
        };
        let all: Vec<VersionedBatch> = (1..=20).map(|v| batch(v, vec![out(v)])).collect();
        let mut state = ConfigState::default();
        let mut last = ConfigVersion::default();
        for (start, length) in order {
            let some = all.iter().skip(start as usize).take(length).cloned().collect();
            state.advance(ChangeReply::Batches(some));
            prop_assert!(state.document().version >= last);
            last = state.document().version;
        }
        let mut source = ConfigState::default();
        source.advance(ChangeReply::Batches(all));
        let reply = source.reply_after(state.document().version);
        state.advance(reply);
        prop_assert_eq!(state.document(), source.document());
        let mut late = ConfigState::default();
        late.advance(ChangeReply::Snapshot(Box::new(source.document().clone())));
        late.advance(ChangeReply::Snapshot(Box::default()));
        prop_assert_eq!(late.document(), source.document());
    }
}
