//! Injects random faults: VMs are lost, replaced and started, engines restart, the platform and the
//! services fail or respond late.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonydock_standins::{PlatformFault, ServiceFault};
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::faults::FaultRun;

const FAULT_INTERVAL: Duration = Duration::from_secs(3);
const OUTAGE_DURATION: Duration = Duration::from_secs(2);
/// Number of VMs that faults leave serving, so that callers always have a VM to use.
const MIN_SERVING_VMS: usize = 2;
const READY_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    VmLost,
    VmReplaced,
    AllReplaced,
    DataCentreLost,
    EngineRestarts,
    PlatformDown,
    PlatformLosesResponses,
    PlatformSlow,
    ServiceLosesResponses,
    ServiceSlow,
}

const FAULT_KINDS: [FaultKind; 10] = [
    FaultKind::VmLost,
    FaultKind::VmReplaced,
    FaultKind::AllReplaced,
    FaultKind::DataCentreLost,
    FaultKind::EngineRestarts,
    FaultKind::PlatformDown,
    FaultKind::PlatformLosesResponses,
    FaultKind::PlatformSlow,
    FaultKind::ServiceLosesResponses,
    FaultKind::ServiceSlow,
];

/// Injects random faults into a run.
pub(crate) struct FaultInjector {
    run: Rc<FaultRun>,
    random: SmallRng,
}

impl FaultInjector {
    /// Creates an injector with the random numbers of the run's seed.
    pub(crate) fn open(run: &Rc<FaultRun>) -> Self {
        Self { run: Rc::clone(run), random: run.rng(400) }
    }

    /// Injects a fault, or two at once, every `FAULT_INTERVAL`, then waits until all have ended.
    pub(crate) async fn inject(mut self) {
        let start = Instant::now();
        let mut running = Vec::new();
        while start.elapsed() + OUTAGE_DURATION < self.run.length {
            ntex::time::sleep(FAULT_INTERVAL).await;
            let fault_count = if self.random.random_bool(0.3) { 2 } else { 1 };
            for _ in 0..fault_count {
                let kind = FAULT_KINDS[self.random.random_range(0..FAULT_KINDS.len())];
                let pick = self.random.random_range(0..1000);
                let run = Rc::clone(&self.run);
                running.push(tokio::task::spawn_local(async move {
                    inject_fault(&run, kind, pick).await;
                }));
            }
        }
        for fault in running {
            if let Err(error) = fault.await {
                self.run
                    .history
                    .borrow_mut()
                    .record_violation(format!("the task that injected a fault failed: {error}"));
            }
        }
    }
}

async fn inject_fault(run: &Rc<FaultRun>, kind: FaultKind, pick: usize) {
    {
        let mut history = run.history.borrow_mut();
        history.counts.faults += 1;
        history.record_event(&format!("{kind:?} {pick}"));
    }
    match kind {
        FaultKind::VmLost => lose_vms(run, |vm, vms| vm == pick % vms).await,
        FaultKind::DataCentreLost => lose_vms(run, |vm, vms| vm / (vms / 2) == pick % 2).await,
        FaultKind::VmReplaced => replace_vm(run, pick).await,
        FaultKind::AllReplaced => {
            let vms = run.site.borrow().vms.len();
            for vm in 0..vms {
                replace_vm(run, vm).await;
            }
        }
        FaultKind::EngineRestarts => {
            let site = run.site.borrow();
            if let Some(engine) = &site.engines[pick % site.engines.len()].engine {
                engine.restart();
            }
        }
        FaultKind::PlatformDown => {
            inject_platform_fault(run, PlatformFault { down: true, ..PlatformFault::default() })
                .await;
        }
        FaultKind::PlatformLosesResponses => {
            inject_platform_fault(
                run,
                PlatformFault { lost_responses: 0.3, ..PlatformFault::default() },
            )
            .await;
        }
        FaultKind::PlatformSlow => {
            inject_platform_fault(run, PlatformFault { slow_ms: 300, ..PlatformFault::default() })
                .await;
        }
        FaultKind::ServiceLosesResponses => {
            inject_service_fault(
                run,
                ServiceFault { lose_responses: true, ..ServiceFault::default() },
            )
            .await;
        }
        FaultKind::ServiceSlow => {
            inject_service_fault(run, ServiceFault { slow_ms: 500, ..ServiceFault::default() })
                .await;
        }
    }
}

async fn inject_platform_fault(run: &FaultRun, fault: PlatformFault) {
    run.site.borrow().platform.set_fault(fault);
    ntex::time::sleep(OUTAGE_DURATION).await;
    run.site.borrow().platform.set_fault(PlatformFault::default());
}

async fn inject_service_fault(run: &FaultRun, fault: ServiceFault) {
    let set = |fault| run.site.borrow().services.iter().for_each(|(_, s)| s.set_fault(fault));
    set(fault);
    ntex::time::sleep(OUTAGE_DURATION).await;
    set(ServiceFault::default());
}

/// Removes the chosen VMs from those that callers use and returns their indexes.
///
/// Removes none if fewer than `MIN_SERVING_VMS` would remain.
fn remove_serving(run: &FaultRun, chosen: impl Fn(usize) -> bool, are_lost: bool) -> Vec<usize> {
    let mut history = run.history.borrow_mut();
    let (removed, remaining): (Vec<_>, Vec<_>) =
        history.serving.iter().copied().partition(|(vm, _)| chosen(*vm));
    if remaining.len() < MIN_SERVING_VMS {
        return Vec::new();
    }
    history.serving = remaining;
    if are_lost {
        history.lost.extend(removed.iter().map(|(_, address)| *address));
    }
    removed.into_iter().map(|(vm, _)| vm).collect()
}

/// Stops the chosen VMs without notice and starts replacements after `OUTAGE_DURATION`.
async fn lose_vms(run: &Rc<FaultRun>, chosen: impl Fn(usize, usize) -> bool) {
    let vms = run.site.borrow().vms.len();
    let removed = remove_serving(run, |vm| chosen(vm, vms), true);
    for vm in &removed {
        run.site.borrow_mut().lose_vm(*vm);
    }
    ntex::time::sleep(OUTAGE_DURATION).await;
    for vm in removed {
        start_replacement(run, vm).await;
    }
}

/// Stops a VM as planned, then starts a replacement.
async fn replace_vm(run: &Rc<FaultRun>, pick: usize) {
    let vms = run.site.borrow().vms.len();
    for vm in remove_serving(run, |vm| vm == pick % vms, false) {
        let handle = run.site.borrow_mut().vms[vm].handle.take();
        let stop = move || handle.into_iter().for_each(ebonydock::VmHandle::stop);
        let _ = tokio::task::spawn_blocking(stop).await;
        run.site.borrow().publish_fleet();
        run.history.borrow_mut().record_event(&format!("VM {vm} has stopped"));
        start_replacement(run, vm).await;
    }
}

/// Starts a VM with a new name in place of one that stopped, and waits until it serves.
async fn start_replacement(run: &Rc<FaultRun>, vm: usize) {
    let name = run.history.borrow_mut().next_vm_name();
    run.site.borrow_mut().vms[vm].name = name;
    let started = run.site.borrow_mut().start_vm(vm);
    let address = run.site.borrow().callers(vm);
    let (Ok(()), Some(address)) = (started, address) else {
        run.history.borrow_mut().record_violation(format!("replacement of VM {vm} did not start"));
        return;
    };
    let ready = run.client.wait_until_serving(address, READY_TIMEOUT).await;
    let mut history = run.history.borrow_mut();
    match ready {
        Ok(()) => {
            history.record_event(&format!("VM {vm} serves at {address}"));
            history.serving.push((vm, address));
        }
        Err(error) => history
            .record_violation(format!("replacement of VM {vm} did not become ready: {error}")),
    }
}
