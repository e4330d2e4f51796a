//! Platform tables as used by the gateway: partitions, conditional writes and change feeds.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;

/// Row with the version that conditional writes compare.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Partition of the table.
    pub partition: String,
    /// Key, unique in its partition.
    pub key: String,
    /// Content; empty if the row was deleted.
    pub value: Vec<u8>,
    /// Version, which increases with every write.
    pub version: u64,
    /// Whether the row was deleted. Only feeds return deleted rows.
    pub deleted: bool,
}

/// Table and key of a row in the partition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowId {
    /// Name of the table.
    pub table: &'static str,
    /// Key of the row.
    pub key: String,
}

/// Atomic transaction in one partition: conditions, writes and deletions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowTransaction {
    /// Partition.
    pub partition: String,
    /// Rows with their required versions; 0 requires that the row is absent.
    pub expected: Vec<(RowId, u64)>,
    /// Rows to write, with their new content.
    pub writes: Vec<(RowId, Vec<u8>)>,
    /// Rows to delete.
    pub deletes: Vec<RowId>,
}

impl RowTransaction {
    /// Creates an empty transaction in a partition.
    pub fn in_partition(partition: &str) -> Self {
        Self { partition: partition.to_owned(), ..Self::default() }
    }

    /// Adds a condition on the version of a row.
    #[must_use]
    pub fn expect(mut self, table: &'static str, key: &str, version: u64) -> Self {
        self.expected.push((RowId { table, key: key.to_owned() }, version));
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn write(mut self, table: &'static str, key: &str, value: Vec<u8>) -> Self {
        self.writes.push((RowId { table, key: key.to_owned() }, value));
        self
    }

    /// Adds a deletion.
    #[must_use]
    pub fn delete(mut self, table: &'static str, key: &str) -> Self {
        self.deletes.push(RowId { table, key: key.to_owned() });
        self
    }
}

/// Page of rows, read at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// Rows ordered by key, or for a feed in the order of their changes.
    pub rows: Vec<StoredRow>,
    /// Newest version that the page covers.
    pub version: u64,
    /// Monotonic clock of the store when it read the rows.
    pub store_time: Duration,
    /// Whether more rows follow.
    pub has_more: bool,
}

/// Error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RowError {
    /// A condition did not hold; nothing was written.
    #[error("a row has another version")]
    Conflict,
    /// The requested changes are beyond the retention of the feed.
    #[error("the store no longer keeps these changes")]
    HistoryLost,
    /// The store refused the call; nothing was written.
    #[error("the store refused the call: {0}")]
    Refused(String),
    /// The outcome is unknown: a write may have taken effect, or may still take effect.
    #[error("the store did not answer: {0}")]
    Unknown(String),
}

/// Result of a call to the store.
pub type RowResult<T> = Result<T, RowError>;

/// Reads all rows of a partition with keys from `from` (included) to `to` (excluded), page by page.
///
/// The version of the result is the lowest of all pages, so that a feed from that version misses no
/// change made between two pages.
pub(crate) async fn read_all(
    store: &dyn RowStore,
    table: &str,
    partition: &str,
    from: &str,
    to: &str,
) -> RowResult<RowPage> {
    let mut all = store.range(table, partition, from, to).await?;
    while all.has_more {
        let Some(last) = all.rows.last() else { break };
        let from = row_key_after(&last.key);
        let page = store.range(table, partition, &from, to).await?;
        all.rows.extend(page.rows);
        all.version = all.version.min(page.version);
        all.store_time = page.store_time;
        all.has_more = page.has_more;
    }
    Ok(all)
}

/// Returns the smallest possible key after another one: keys contain no character that sorts before the space.
pub(crate) fn row_key_after(key: &str) -> String {
    format!("{key} ")
}

/// Store of the platform's rows.
pub trait RowStore {
    /// Runs a transaction and returns the new version of all rows that it wrote.
    fn transact<'a>(
        &'a self,
        transaction: &'a RowTransaction,
    ) -> LocalBoxFuture<'a, RowResult<u64>>;
    /// Reads a page of rows of a partition with keys from `from` (included) to `to` (excluded). An empty
    /// key means no bound.
    fn range<'a>(
        &'a self,
        table: &'a str,
        partition: &'a str,
        from: &'a str,
        to: &'a str,
    ) -> LocalBoxFuture<'a, RowResult<RowPage>>;
    /// Returns the changes of a table after a version, over all partitions; waits up to `wait` for some.
    fn feed<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, RowResult<RowPage>>;
}
