//! Tests of routing.

use yare::parameterized;

use crate::ids::{DataCentreId, ModelName};
use crate::membership::messages::PoolSummary;
use crate::routing::{DataCentreLoad, RetryBudget, rank_data_centres};

fn load(name: &str, is_local: bool, free: u32, waiting: u32) -> DataCentreLoad {
    let model = ModelName::from("clerk-8b");
    let pool = Some(PoolSummary { model, free, waiting });
    DataCentreLoad { data_centre: DataCentreId::from(name), is_local, pool }
}

#[parameterized(
    own_first = { (3, 0), (50, 0), (9, 0), "own far near" },
    own_full_but_nobody_waits = { (0, 0), (50, 0), (9, 0), "own far near" },
    spill_over_when_requests_wait = { (0, 2), (5, 0), (9, 0), "near far own" },
    all_full_shortest_queue = { (0, 9), (0, 3), (0, 7), "far near own" },
)]
fn data_centre_ranking(own: (u32, u32), far: (u32, u32), near: (u32, u32), expected: &str) {
    let loads = vec![
        load("far", false, far.0, far.1),
        load("own", true, own.0, own.1),
        load("near", false, near.0, near.1),
    ];
    let order: Vec<String> = rank_data_centres(loads).iter().map(ToString::to_string).collect();
    assert_eq!(order.join(" "), expected);
}

#[test]
fn retries_are_a_fraction_of_requests() {
    let mut budget = RetryBudget::default();
    while budget.try_acquire() {}
    let mut retries = 0;
    for _ in 0..1000 {
        budget.record_request();
        retries += usize::from(budget.try_acquire());
    }
    assert!((180..=220).contains(&retries), "{retries}");
}
