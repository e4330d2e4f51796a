//! Order in which a request tries data centres.

use crate::ids::DataCentreId;
use crate::membership::messages::PoolSummary;

/// Load of a model's pool in one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreLoad {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Whether it is the data centre of this VM.
    pub is_local: bool,
    /// The load of the pool, if known.
    pub pool: Option<PoolSummary>,
}

impl DataCentreLoad {
    /// Returns the rank, lower is better: pools that are not full first, then the local data
    /// centre, then the pool with the most free sequences. Full pools rank by the length of their
    /// queue.
    fn rank(&self) -> (u8, u32, std::cmp::Reverse<u32>) {
        let Some(pool) = &self.pool else { return (3, 0, std::cmp::Reverse(0)) };
        let full = pool.free == 0 && pool.waiting > 0;
        let class = match (full, self.is_local) {
            (false, true) => 0,
            (false, false) => 1,
            (true, _) => 2,
        };
        let waiting = if full { pool.waiting } else { 0 };
        (class, waiting, std::cmp::Reverse(pool.free))
    }
}

/// Returns the data centres in the order in which a request should try them.
pub fn rank_data_centres(mut loads: Vec<DataCentreLoad>) -> Vec<DataCentreId> {
    loads.sort_by(|a, b| {
        a.rank()
            .cmp(&b.rank())
            .then(b.is_local.cmp(&a.is_local))
            .then(a.data_centre.cmp(&b.data_centre))
    });
    loads.into_iter().map(|load| load.data_centre).collect()
}
