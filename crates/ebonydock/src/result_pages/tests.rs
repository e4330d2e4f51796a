use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;

use crate::gateway::JobItemResult;
use crate::memory::{MemoryBudget, MemoryKind, MemoryLedger, MemorySettings, MemoryShortage};
use crate::result_pages::{HeldPage, PageLedger};

const MIB: u64 = 1024 * 1024;
const TEXT_BYTES: usize = 9000;
const ITEMS: u32 = 95;

/// Settings of a VM of 120 MB.
fn settings() -> MemorySettings {
    MemorySettings::derive(Some(120 * MIB), Some(3075)).unwrap()
}

fn results(from: u32) -> Vec<Rc<JobItemResult>> {
    let result = |index| {
        let text = vec![b'x'; TEXT_BYTES];
        Rc::new(JobItemResult { index, id: format!("i{index}"), completed: true, text })
    };
    (from..ITEMS).map(result).collect()
}

struct PageSite {
    memory: MemoryLedger,
    pages: PageLedger,
}

impl PageSite {
    fn open() -> Self {
        let memory = MemoryLedger::open(settings());
        Self { pages: PageLedger::open(memory.clone()), memory }
    }

    fn hold(&self, job: &str, owner: u64, from: u32) -> Result<HeldPage, MemoryShortage> {
        self.pages.hold(job, owner, from, results(from))
    }

    fn held(&self) -> u64 {
        self.memory.held_by_kind(MemoryKind::ResultPage)
    }
}

// Guards against a copy of the texts for each reader of a job, whatever positions they read from.
#[test]
fn readers_of_one_job_hold_its_texts_once() {
    let site = PageSite::open();
    let whole = site.hold("j1", 1, 0).unwrap();
    let held = site.held();
    let pages: Vec<_> =
        (0..200).map(|number| site.hold("j1", 1, number % ITEMS).unwrap()).collect();
    assert_eq!(site.held(), held);
    assert!(
        pages.iter().enumerate().all(|(n, page)| page.len() == (ITEMS - n as u32 % ITEMS) as usize)
    );
    drop(whole);
    assert_eq!(site.held(), held);
    drop(pages);
    assert_eq!(site.held(), 0);
}

// Guards against memory that is given back before the response is sent.
#[test]
fn page_holds_its_texts_until_it_is_dropped() {
    let site = PageSite::open();
    let page = site.hold("j1", 1, 90).unwrap();
    let text = page.result(0).unwrap();
    page.record_sent(TEXT_BYTES);
    assert!(site.held() >= 5 * TEXT_BYTES as u64);
    assert_eq!(Rc::strong_count(&text), 2);
    drop(page);
    assert_eq!((site.held(), Rc::strong_count(&text)), (0, 1));
}

// Guards against a workspace whose readers take all memory, and against refusals where a smaller page would do.
#[test]
fn pages_become_smaller_for_workspace_at_its_share() {
    let site = PageSite::open();
    let mut pages = Vec::new();
    let refused = loop {
        match site.hold(&format!("j{}", pages.len()), 1, 0) {
            Ok(page) => pages.push(page),
            Err(shortage) => break shortage,
        }
    };
    assert_eq!(refused, MemoryShortage);
    assert!(site.held() <= settings().owner_result_bytes);
    let sizes: Vec<usize> = pages.iter().map(HeldPage::len).collect();
    let share = settings().owner_result_bytes as usize / (ITEMS as usize * TEXT_BYTES);
    assert!(sizes.iter().filter(|size| **size == ITEMS as usize).count() >= share - 1, "{sizes:?}");
    assert!(sizes.iter().any(|size| (1..ITEMS as usize).contains(size)), "{sizes:?}");
    let other = site.hold("other", 2, 0).unwrap();
    assert_eq!(other.len(), ITEMS as usize);
}

/// What readers that lost their responses left.
type Aborted = Rc<RefCell<Vec<&'static str>>>;

fn watch(page: &HeldPage, name: &'static str, aborted: &Aborted) {
    let aborted = Rc::clone(aborted);
    page.on_reclaim(move || aborted.borrow_mut().push(name));
}

/// Runs a test on the clock of the runtime, which is paused.
fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.unwrap().block_on(test);
}

// Guards against readers at a sound pace that lose their responses, and against slow ones that keep theirs while
// others need the memory.
#[test]
fn slow_readers_lose_their_responses_only_while_others_need_memory() {
    run(async {
        let site = PageSite::open();
        let aborted = Aborted::default();
        let slow = [site.hold("slow", 1, 0).unwrap(), site.hold("slow", 1, 50).unwrap()];
        watch(&slow[0], "slow", &aborted);
        watch(&slow[1], "slow too", &aborted);
        let mixed = [site.hold("mixed", 1, 0).unwrap(), site.hold("mixed", 1, 0).unwrap()];
        watch(&mixed[0], "beside a sound one", &aborted);
        watch(&mixed[1], "sound", &aborted);
        for _ in 0..60 {
            tokio::time::sleep(Duration::from_millis(500)).await;
            slow[0].record_sent(64);
            mixed[1].record_sent(8 * 1024);
        }
        assert!(aborted.borrow().is_empty());
        let mut others = Vec::new();
        while aborted.borrow().is_empty() {
            others.push(site.hold(&format!("o{}", others.len()), 1, 0).unwrap());
        }
        assert_eq!(*aborted.borrow(), ["slow", "slow too"]);
        assert!(slow.iter().all(|page| page.result(0).is_none()));
        assert!(mixed.iter().all(|page| page.result(0).is_some()));
        // A reader that comes later gets the results again.
        drop((slow, others));
        assert_eq!(site.hold("slow", 1, 0).unwrap().len(), ITEMS as usize);
    });
}

// Guards against Retry-After that is shorter than the time after which a reader may lose its response.
#[test]
fn refused_reader_is_told_when_memory_may_be_free() {
    run(async {
        let site = PageSite::open();
        let _page = site.hold("j1", 1, 0).unwrap();
        assert_eq!(site.memory.retry_after(), Duration::from_secs(2));
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(site.memory.retry_after(), Duration::from_secs(1));
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(site.memory.retry_after(), Duration::from_millis(500));
    });
}

// Guards against memory that is reclaimed from one owner for a limit of another one.
#[test]
fn share_of_a_workspace_is_reclaimed_from_its_own_readers() {
    let mut budget = MemoryBudget::open(settings());
    let (start, later) = (Duration::ZERO, Duration::from_secs(10));
    let share = settings().owner_result_bytes;
    let holders = [1, 2].map(|owner| budget.add_shared(MemoryKind::ResultPage, owner));
    for holder in holders {
        budget.begin_transfer(start, holder);
        assert_eq!(budget.resize(start, holder, share * 3 / 4), Ok(Vec::new()));
    }
    let next = budget.add_shared(MemoryKind::ResultPage, 2);
    budget.begin_transfer(later, next);
    assert_eq!(budget.resize(later, next, share / 2), Ok(vec![holders[1]]));
}

proptest! {
    // Guards against leaks and against pages over their limits, whatever readers do.
    #[test]
    fn pages_stay_within_their_limits(
        steps in prop::collection::vec((0..12_u64, 0..ITEMS, 0..4_u8, 0..6000_u64), 1..120),
    ) {
        let aborted = Rc::new(Cell::new(0));
        run(async {
            let site = PageSite::open();
            let mut pages: Vec<HeldPage> = Vec::new();
            for (job, from, action, wait) in steps {
                match action {
                    0 if !pages.is_empty() => drop(pages.swap_remove(from as usize % pages.len())),
                    1 if !pages.is_empty() => pages[from as usize % pages.len()].record_sent(40_000),
                    _ => {
                        let page = site.hold(&format!("j{job}"), job % 3, from);
                        if let Ok(page) = page {
                            let aborted = Rc::clone(&aborted);
                            page.on_reclaim(move || aborted.set(aborted.get() + 1));
                            pages.push(page);
                        }
                    }
                }
                assert!(site.held() <= settings().result_bytes, "{} held", site.held());
                tokio::time::sleep(Duration::from_millis(wait)).await;
            }
            pages.clear();
            assert_eq!(site.held(), 0);
        });
    }
}
