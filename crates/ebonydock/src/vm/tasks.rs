//! The background tasks of a VM, each of which runs at its own interval.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::configuration::ConfigStore;
use crate::configuration::messages::ChangeQuery;
use crate::ids::{ConfigVersion, ModelName, TargetId, VmId};
use crate::jobs::{JobLeaders, scan_jobs};
use crate::limits::admission::{compact, release_buckets};
use crate::membership::messages::{DataCentreDigest, Heartbeat, VmAddress};
use crate::operators::{announce, apply_reply};
use crate::ownership::ranked;
use crate::peers::messages::{PeerDatagram, PeerReply, PeerRequest};
use crate::platform::FleetListing;
use crate::routing::{pool_key, send_in_background, send_revocations};
use crate::scheduling::messages::HeldLeasesRequest;
use crate::vm::VmContext;

const FLEET_INTERVAL: Duration = Duration::from_secs(1);
const CONFIG_INTERVAL: Duration = Duration::from_secs(1);
const POOL_INTERVAL: Duration = Duration::from_millis(25);
const COMPACT_INTERVAL: Duration = Duration::from_secs(5);
const COLD_STATUS_INTERVAL: Duration = Duration::from_millis(500);
const WARM_STATUS_ROUNDS: u32 = 4;
const JOB_SCAN_INTERVAL: Duration = Duration::from_secs(5);
const RECONCILE_INTERVAL: Duration = Duration::from_secs(3);
const PEER_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(500);
const DIGEST_INTERVAL_PER_DATA_CENTRE: Duration = Duration::from_millis(100);
/// Number of VMs per data centre that read the configuration from the platform.
const CONFIG_READERS: usize = 2;

/// Starts all background tasks on the current thread.
pub(super) fn spawn_all(context: &Rc<VmContext>, leaders: &Rc<JobLeaders>) {
    let cloned = |context: &Rc<VmContext>| Rc::clone(context);
    ntex::rt::spawn(run_heartbeats(cloned(context)));
    ntex::rt::spawn(poll_fleet(cloned(context)));
    ntex::rt::spawn(poll_config(cloned(context)));
    ntex::rt::spawn(schedule_pools(cloned(context)));
    ntex::rt::spawn(poll_targets(cloned(context)));
    ntex::rt::spawn(reconcile_leases(cloned(context)));
    ntex::rt::spawn(send_digests(cloned(context)));
    ntex::rt::spawn(compact_limits(cloned(context)));
    ntex::rt::spawn(scan_for_jobs(cloned(context), Rc::clone(leaders)));
}

async fn run_heartbeats(context: Rc<VmContext>) {
    loop {
        send_heartbeats(&context);
        let lost = context.shared.membership().expire(monotonic());
        for vm in &lost {
            log::warn!("membership: Lost VM `{vm}`.");
            context.shared.peers.disconnect(vm);
            context.shared.pools.on_holder_lost(monotonic(), vm);
        }
        if !lost.is_empty() {
            on_view_change(&context);
        }
        let interval = context.shared.membership().timeouts().interval;
        tokio::time::sleep(interval).await;
    }
}

/// Sends one heartbeat to each heartbeat target.
pub(super) fn send_heartbeats(context: &VmContext) {
    let shared = &context.shared;
    let now = monotonic();
    let pools = shared.pools.summaries();
    for pool in &pools {
        shared.fleet().record_pool(pool.clone());
    }
    let config_version = shared.with_config(|config| config.version);
    let (phase, targets) = {
        let mut membership = shared.membership();
        (membership.phase(now), membership.heartbeat_targets())
    };
    for VmAddress { vm, address } in targets {
        let (sequence, echo) = shared.membership().next_heartbeat(now, &vm);
        let heartbeat = Heartbeat {
            address: shared.peer_address,
            incarnation: shared.incarnation,
            sequence,
            echo,
            config_version,
            phase,
            pools: pools.clone(),
        };
        shared.peers.send_datagram(&vm, address, &PeerDatagram::Heartbeat(heartbeat));
    }
}

/// Hands over buckets and drops pools that other VMs own now, and triggers a scan for jobs.
///
/// Must be called whenever the set of candidates may have changed.
pub(super) fn on_view_change(context: &Rc<VmContext>) {
    for (vm, handover) in release_buckets(&context.shared) {
        send_in_background(context, vm, PeerRequest::Handover(handover));
    }
    let own = Some(&context.settings().vm);
    let owned = |model: &ModelName| context.shared.owner(&pool_key(model)).as_ref() == own;
    context.shared.pools.retain(owned);
    context.shared.wake_jobs();
}

async fn poll_fleet(context: Rc<VmContext>) {
    let settings = context.settings();
    context.shared.membership().set_roster(settings.seeds.clone());
    loop {
        match context.fleet_list.fetch().await {
            Ok(listing) => apply_listing(&context, listing),
            Err(error) => {
                log::debug!("fleet: Cannot read the list of VMs and targets: {error}.");
                fetch_listing_from_member(&context).await;
            }
        }
        tokio::time::sleep(FLEET_INTERVAL).await;
    }
}

fn apply_listing(context: &VmContext, listing: FleetListing) {
    let mut fleet = context.shared.fleet();
    let changed = fleet.set_listing(listing);
    let roster = fleet.vms_of(&context.settings().data_centre);
    drop(fleet);
    if changed {
        context.shared.membership().set_roster(roster);
        set_pool_targets(context);
    }
}

/// Fetches the list of VMs and targets from another VM if this VM knows no targets yet.
async fn fetch_listing_from_member(context: &VmContext) {
    let known = context.shared.fleet().listing().targets.len();
    let member = context.shared.membership().members().next().map(|(vm, _)| vm.clone());
    let Some(member) = member.filter(|_| known == 0) else { return };
    let reply = context.shared.request(&member, PeerRequest::Fleet, PEER_REQUEST_TIMEOUT).await;
    if let Ok(PeerReply::Fleet(listing)) = reply {
        apply_listing(context, listing);
    }
}

fn set_pool_targets(context: &VmContext) {
    for model in context.shared.pools.models() {
        let entries = context.shared.fleet().engines(&context.settings().data_centre, &model);
        let now = monotonic();
        context.shared.pools.update(&model, |scheduler| scheduler.set_targets(now, &entries));
    }
}

async fn poll_config(context: Rc<VmContext>) {
    let store = ConfigStore::open(Rc::clone(&context.table), Rc::clone(&context.objects));
    loop {
        if is_config_reader(&context) {
            read_config(&context, &store).await;
        }
        fetch_newer_config(&context).await;
        tokio::time::sleep(CONFIG_INTERVAL).await;
    }
}

/// Whether this VM reads the configuration from the platform: only [`CONFIG_READERS`] VMs of a data
/// centre do so, and any VM that has no configuration yet.
fn is_config_reader(context: &VmContext) -> bool {
    let candidates = context.shared.membership().candidates(monotonic());
    let readers = ranked("config", &candidates);
    let unconfigured =
        context.shared.with_config(|config| config.version) == ConfigVersion::default();
    unconfigured || readers.into_iter().take(CONFIG_READERS).any(|vm| *vm == context.settings().vm)
}

async fn read_config(context: &Rc<VmContext>, store: &ConfigStore) {
    let version = context.shared.with_config(|config| config.version);
    match store.read_after(version).await {
        Ok(None) => {}
        Ok(Some(reply)) => {
            let applied = apply_reply(context, reply);
            announce(context, &applied, false);
        }
        Err(error) => log::debug!("config: Cannot read from the platform: {error}."),
    }
}

/// Fetches the missing configuration changes from a VM with a newer version, as seen in heartbeats
/// and digests.
async fn fetch_newer_config(context: &Rc<VmContext>) {
    let version = context.shared.with_config(|config| config.version);
    let Some(vm) = vm_with_newer_config(context, version) else { return };
    let query = PeerRequest::Changes(ChangeQuery { after: version });
    if let Ok(PeerReply::Changes(reply)) =
        context.shared.request(&vm, query, PEER_REQUEST_TIMEOUT).await
    {
        apply_reply(context, reply);
    }
}

fn vm_with_newer_config(context: &VmContext, version: ConfigVersion) -> Option<VmId> {
    let membership = context.shared.membership();
    let newer = membership.members().filter(|(_, record)| record.config_version > version);
    let member = newer.max_by_key(|(_, record)| record.config_version).map(|(vm, _)| vm.clone());
    drop(membership);
    member.or_else(|| {
        let settings = context.settings();
        let fleet = context.shared.fleet();
        let digests = settings.data_centres.iter().filter_map(|id| fleet.digest(monotonic(), id));
        let remote = digests.into_iter().find(|digest| digest.config_version > version)?;
        remote.vms.first().map(|entry| entry.vm.clone())
    })
}

async fn schedule_pools(context: Rc<VmContext>) {
    loop {
        take_over_pools(&context);
        let out_of_service = context.shared.is_out_of_service();
        let revocations = context.shared.pools.tick(monotonic(), out_of_service);
        send_revocations(&context, revocations);
        tokio::time::sleep(POOL_INTERVAL).await;
    }
}

/// Starts scheduling each pool that this VM has come to own.
fn take_over_pools(context: &Rc<VmContext>) {
    let own = &context.settings().vm;
    let data_centre = &context.settings().data_centre;
    let models = context.shared.fleet().models_of(data_centre);
    for model in models {
        if context.shared.owner(&pool_key(&model)).as_ref() != Some(own) {
            continue;
        }
        let members = holders(context);
        if !context.shared.pools.take_over(monotonic(), &model, members) {
            continue;
        }
        log::info!("scheduling: Took over the pool of `{model}`.");
        let entries = context.shared.fleet().engines(data_centre, &model);
        let now = monotonic();
        context.shared.pools.update(&model, |scheduler| scheduler.set_targets(now, &entries));
        ntex::rt::spawn(reconcile_pool(Rc::clone(context), model));
    }
}

/// Returns all VMs that may hold leases of this data centre's pools, including this VM.
fn holders(context: &VmContext) -> Vec<VmId> {
    let members = context.shared.membership();
    members.members().map(|(vm, _)| vm.clone()).chain([context.settings().vm.clone()]).collect()
}

async fn reconcile_leases(context: Rc<VmContext>) {
    loop {
        tokio::time::sleep(RECONCILE_INTERVAL).await;
        for model in context.shared.pools.models() {
            reconcile_pool(Rc::clone(&context), model).await;
        }
    }
}

/// Reconciles the leases of a pool with those that their holders report.
async fn reconcile_pool(context: Rc<VmContext>, model: ModelName) {
    for holder in holders(&context) {
        let held = if holder == context.settings().vm {
            context.shared.held.list(&model)
        } else {
            let query = PeerRequest::Held(HeldLeasesRequest { model: model.clone() });
            match context.shared.request(&holder, query, PEER_REQUEST_TIMEOUT).await {
                Ok(PeerReply::Held(held)) => held,
                Ok(_) | Err(_) => continue,
            }
        };
        let revocations = context.shared.pools.reconcile(monotonic(), &model, &holder, &held.held);
        send_revocations(&context, revocations);
    }
}

async fn poll_targets(context: Rc<VmContext>) {
    let mut round = 0;
    loop {
        round += 1;
        for model in context.shared.pools.models() {
            let due = |state: &crate::scheduling::TargetState| {
                let cold = state.warmup != crate::scheduling::WarmupState::Warm;
                (cold || round % WARM_STATUS_ROUNDS == 0)
                    .then(|| (state.target.clone(), state.address.clone()))
            };
            let targets = context.shared.pools.update(&model, |scheduler| {
                scheduler.targets().filter_map(due).collect::<Vec<_>>()
            });
            for (target, address) in targets.unwrap_or_default() {
                ntex::rt::spawn(poll_target(Rc::clone(&context), model.clone(), target, address));
            }
        }
        tokio::time::sleep(COLD_STATUS_INTERVAL).await;
    }
}

async fn poll_target(context: Rc<VmContext>, model: ModelName, target: TargetId, address: String) {
    let engines = &context.engines;
    if let Ok(status) = engines.status(&address).await {
        let pools = &context.shared.pools;
        send_revocations(&context, pools.record_status(monotonic(), &model, &target, &status));
    }
    let after =
        context.shared.pools.update(&model, |scheduler| scheduler.next_cache_event(&target));
    let Ok(report) = engines.cache(&address, after).await else { return };
    if context.shared.pools.record_cache_report(&model, &target, report)
        && let Ok(listing) = engines.cache(&address, None).await
    {
        context.shared.pools.record_cache_report(&model, &target, listing);
    }
}

async fn send_digests(context: Rc<VmContext>) {
    let settings = context.settings();
    let data_centre_count = settings.data_centres.len() as u32;
    let interval = MIN_DIGEST_INTERVAL.max(DIGEST_INTERVAL_PER_DATA_CENTRE * data_centre_count);
    loop {
        for data_centre in &settings.data_centres {
            let key = format!("digest/{data_centre}");
            let is_sender = context.shared.owner(&key).as_ref() == Some(&settings.vm);
            if *data_centre == settings.data_centre || !is_sender {
                continue;
            }
            if let Some(vm) = digest_receiver(&context, data_centre) {
                send_in_background(&context, vm, PeerRequest::Digest(local_digest(&context)));
            }
        }
        tokio::time::sleep(interval).await;
    }
}

/// Returns a random VM of another data centre, so that a lost VM misses only some of the digests.
fn digest_receiver(context: &VmContext, data_centre: &crate::ids::DataCentreId) -> Option<VmId> {
    let fleet = context.shared.fleet();
    let known = fleet.digest(monotonic(), data_centre).map(|digest| digest.vms.clone());
    let vms = known.unwrap_or_else(|| fleet.vms_of(data_centre));
    let index = rand::random_range(0..vms.len().max(1));
    vms.get(index).map(|entry| entry.vm.clone())
}

fn local_digest(context: &VmContext) -> DataCentreDigest {
    let shared = &context.shared;
    let candidates = shared.membership().candidates(monotonic());
    let membership = shared.membership();
    let local_version = shared.with_config(|config| config.version);
    let versions = membership.members().map(|(_, record)| record.config_version);
    let config_version = versions.min().map_or(local_version, |min| min.min(local_version));
    let address = |vm: &VmId| match membership.member(vm) {
        Some(record) => record.address,
        None => shared.peer_address,
    };
    let vms = candidates.iter().map(|vm| VmAddress { vm: vm.clone(), address: address(vm) });
    DataCentreDigest {
        data_centre: shared.settings.data_centre.clone(),
        sequence: crate::clock::unix_millis(),
        vms: vms.collect(),
        config_version,
        pools: shared.fleet().local_pools().cloned().collect(),
        relay: true,
    }
}

async fn compact_limits(context: Rc<VmContext>) {
    loop {
        tokio::time::sleep(COMPACT_INTERVAL).await;
        compact(&context.shared);
    }
}

async fn scan_for_jobs(context: Rc<VmContext>, leaders: Rc<JobLeaders>) {
    loop {
        if !context.shared.is_stopping()
            && let Err(error) = scan_jobs(&context, &leaders).await
        {
            log::debug!("jobs: Cannot read the active jobs: {error}.");
        }
        for job in context.shared.wait_for_woken_jobs(JOB_SCAN_INTERVAL).await {
            leaders.wake(&job);
        }
    }
}
