//! Faults at random times: VMs are lost, stopped and started, engines restart, the platform and the
//! services misbehave.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonydock_standins::{PlatformFault, ServiceFault};
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::faults::FaultRun;

const FAULT_PAUSE: Duration = Duration::from_secs(3);
const OUTAGE: Duration = Duration::from_secs(2);
/// VMs that go on serving, so that callers have somebody to ask.
const LEAST_SERVING: usize = 2;
const READY_LIMIT: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    VmLost,
    VmReplaced,
    AllReplaced,
    DataCentreLost,
    EngineRestarts,
    PlatformDown,
    PlatformLosesAnswers,
    PlatformSlow,
    ServiceLosesAnswers,
    ServiceSlow,
}

const KINDS: [FaultKind; 10] = [
    FaultKind::VmLost,
    FaultKind::VmReplaced,
    FaultKind::AllReplaced,
    FaultKind::DataCentreLost,
    FaultKind::EngineRestarts,
    FaultKind::PlatformDown,
    FaultKind::PlatformLosesAnswers,
    FaultKind::PlatformSlow,
    FaultKind::ServiceLosesAnswers,
    FaultKind::ServiceSlow,
];

/// Injects faults into a run.
pub(crate) struct FaultInjector {
    run: Rc<FaultRun>,
    random: SmallRng,
}

impl FaultInjector {
    /// Prepares the faults of a run.
    pub(crate) fn open(run: &Rc<FaultRun>) -> Self {
        Self { run: Rc::clone(run), random: run.random(400) }
    }

    /// Injects a fault every few seconds, sometimes two at once, and waits until all are over.
    pub(crate) async fn inject(mut self) {
        let began = Instant::now();
        let mut running = Vec::new();
        while began.elapsed() + OUTAGE < self.run.length {
            ntex::time::sleep(FAULT_PAUSE).await;
            let together = if self.random.random_bool(0.3) { 2 } else { 1 };
            for _ in 0..together {
                let kind = KINDS[self.random.random_range(0..KINDS.len())];
                let pick = self.random.random_range(0..1000);
                let run = Rc::clone(&self.run);
                running
                    .push(tokio::task::spawn_local(async move { apply(&run, kind, pick).await }));
            }
        }
        for fault in running {
            if let Err(error) = fault.await {
                self.run.books.borrow_mut().breach(format!("a fault did not end: {error}"));
            }
        }
    }
}

async fn apply(run: &Rc<FaultRun>, kind: FaultKind, pick: usize) {
    {
        let mut books = run.books.borrow_mut();
        books.counts.faults += 1;
        books.note(&format!("{kind:?} {pick}"));
    }
    match kind {
        FaultKind::VmLost => lose(run, |vm, vms| vm == pick % vms).await,
        FaultKind::DataCentreLost => lose(run, |vm, vms| vm / (vms / 2) == pick % 2).await,
        FaultKind::VmReplaced => replace(run, pick).await,
        FaultKind::AllReplaced => {
            let vms = run.site.borrow().vms.len();
            for vm in 0..vms {
                replace(run, vm).await;
            }
        }
        FaultKind::EngineRestarts => {
            let site = run.site.borrow();
            if let Some(engine) = &site.engines[pick % site.engines.len()].engine {
                engine.restart();
            }
        }
        FaultKind::PlatformDown => {
            platform(run, PlatformFault { down: true, ..PlatformFault::default() }).await;
        }
        FaultKind::PlatformLosesAnswers => {
            platform(run, PlatformFault { lost_responses: 0.3, ..PlatformFault::default() }).await;
        }
        FaultKind::PlatformSlow => {
            platform(run, PlatformFault { slow_ms: 300, ..PlatformFault::default() }).await;
        }
        FaultKind::ServiceLosesAnswers => {
            services(run, ServiceFault { lose_responses: true, ..ServiceFault::default() }).await;
        }
        FaultKind::ServiceSlow => {
            services(run, ServiceFault { slow_ms: 500, ..ServiceFault::default() }).await;
        }
    }
}

async fn platform(run: &FaultRun, fault: PlatformFault) {
    run.site.borrow().platform.set_fault(fault);
    ntex::time::sleep(OUTAGE).await;
    run.site.borrow().platform.set_fault(PlatformFault::default());
}

async fn services(run: &FaultRun, fault: ServiceFault) {
    let set = |fault| run.site.borrow().services.iter().for_each(|(_, s)| s.set_fault(fault));
    set(fault);
    ntex::time::sleep(OUTAGE).await;
    set(ServiceFault::default());
}

/// Takes the chosen VMs from the callers; those that are left must be enough.
fn take_serving(run: &FaultRun, chosen: impl Fn(usize) -> bool, lost: bool) -> Vec<usize> {
    let mut books = run.books.borrow_mut();
    let (taken, kept): (Vec<_>, Vec<_>) =
        books.serving.iter().copied().partition(|(vm, _)| chosen(*vm));
    if kept.len() < LEAST_SERVING {
        return Vec::new();
    }
    books.serving = kept;
    if lost {
        books.lost.extend(taken.iter().map(|(_, address)| *address));
    }
    taken.into_iter().map(|(vm, _)| vm).collect()
}

async fn lose(run: &Rc<FaultRun>, chosen: impl Fn(usize, usize) -> bool) {
    let vms = run.site.borrow().vms.len();
    let taken = take_serving(run, |vm| chosen(vm, vms), true);
    for vm in &taken {
        run.site.borrow_mut().lose_vm(*vm);
    }
    ntex::time::sleep(OUTAGE).await;
    for vm in taken {
        start(run, vm).await;
    }
}

/// A planned stop, and another VM in its place.
async fn replace(run: &Rc<FaultRun>, pick: usize) {
    let vms = run.site.borrow().vms.len();
    for vm in take_serving(run, |vm| vm == pick % vms, false) {
        let handle = run.site.borrow_mut().vms[vm].handle.take();
        let stop = move || handle.into_iter().for_each(ebonydock::VmHandle::stop);
        let _ = tokio::task::spawn_blocking(stop).await;
        run.site.borrow().publish_fleet();
        run.books.borrow_mut().note(&format!("VM {vm} has stopped"));
        start(run, vm).await;
    }
}

/// Starts another VM in the place of one that is gone, under a name of its own.
async fn start(run: &Rc<FaultRun>, vm: usize) {
    let name = run.books.borrow_mut().next_vm_name();
    run.site.borrow_mut().vms[vm].name = name;
    let started = run.site.borrow_mut().start_vm(vm);
    let address = run.site.borrow().callers(vm);
    let (Ok(()), Some(address)) = (started, address) else {
        run.books.borrow_mut().breach(format!("VM {vm} did not start"));
        return;
    };
    let ready = run.client.wait_until_serving(address, READY_LIMIT).await;
    let mut books = run.books.borrow_mut();
    match ready {
        Ok(()) => {
            books.note(&format!("VM {vm} serves at {address}"));
            books.serving.push((vm, address));
        }
        Err(error) => books.breach(format!("VM {vm} did not serve: {error}")),
    }
}
