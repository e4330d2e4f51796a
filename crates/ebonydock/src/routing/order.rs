//! The order in which data centres are tried.

use crate::ids::DataCentreId;
use crate::membership::messages::PoolSummary;

/// What is known of a model's pool in one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreLoad {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Whether it is the own one.
    pub own: bool,
    /// The load of the pool, if known.
    pub pool: Option<PoolSummary>,
}

impl DataCentreLoad {
    /// Lower is better: free pools before full ones, the own data centre before others, then the most
    /// free sequences.
    fn rank(&self) -> (u8, u32, std::cmp::Reverse<u32>) {
        let Some(pool) = &self.pool else { return (3, 0, std::cmp::Reverse(0)) };
        let full = pool.free == 0 && pool.waiting > 0;
        let class = match (full, self.own) {
            (false, true) => 0,
            (false, false) => 1,
            (true, _) => 2,
        };
        let waiting = if full { pool.waiting } else { 0 };
        (class, waiting, std::cmp::Reverse(pool.free))
    }
}

/// The data centres in the order in which a request should try them.
pub fn rank_data_centres(mut loads: Vec<DataCentreLoad>) -> Vec<DataCentreId> {
    loads.sort_by(|a, b| {
        a.rank().cmp(&b.rank()).then(b.own.cmp(&a.own)).then(a.data_centre.cmp(&b.data_centre))
    });
    loads.into_iter().map(|load| load.data_centre).collect()
}
