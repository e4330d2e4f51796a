//! The platform's table of rows as the gateway uses it: parts, conditional writes and feeds of changes.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;

/// A row with the version that conditional writes compare.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The part of the table.
    pub part: String,
    /// The key, unique in its part.
    pub key: String,
    /// The content; empty when the row is deleted.
    pub value: Vec<u8>,
    /// Grows with every write.
    pub version: u64,
    /// Whether a feed tells of the row's deletion.
    pub deleted: bool,
}

/// A row of any table in the part that a transaction writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowId {
    /// The table.
    pub table: &'static str,
    /// The key.
    pub key: String,
}

/// Conditions, writes and deletions in one part that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowTransaction {
    /// The part.
    pub part: String,
    /// Versions that rows must have; 0 means that the row is absent.
    pub expected: Vec<(RowId, u64)>,
    /// New contents.
    pub writes: Vec<(RowId, Vec<u8>)>,
    /// Rows to delete.
    pub deletes: Vec<RowId>,
}

impl RowTransaction {
    /// A transaction in a part.
    pub fn in_part(part: &str) -> Self {
        Self { part: part.to_owned(), ..Self::default() }
    }

    /// Adds a condition.
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

/// Rows as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// The rows, in order of their keys, or for a feed in order of their changes.
    pub rows: Vec<StoredRow>,
    /// The newest version that the page covers.
    pub version: u64,
    /// The store's steady clock.
    pub store_time: Duration,
    /// Whether more rows follow.
    pub has_more: bool,
}

/// Why a call of the store did not do what was asked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RowError {
    /// A condition did not hold; nothing was written.
    #[error("a row has another version")]
    Conflict,
    /// The changes that a feed asked for are no longer kept.
    #[error("the store no longer keeps these changes")]
    HistoryLost,
    /// Nothing was done.
    #[error("the store refused the call: {0}")]
    Refused(String),
    /// A write may have taken effect, or may still.
    #[error("the store did not answer: {0}")]
    Unknown(String),
}

/// The outcome of a call of the store.
pub type RowResult<T> = Result<T, RowError>;

/// Reads all rows of a part from a key up to another one, page by page. The version is the lowest of all
/// pages, so that a feed from there on misses nothing.
pub(crate) async fn read_all(
    store: &dyn RowStore,
    table: &str,
    part: &str,
    from: &str,
    to: &str,
) -> RowResult<RowPage> {
    let mut all = store.range(table, part, from, to).await?;
    while all.has_more {
        let Some(last) = all.rows.last() else { break };
        // The least key that follows, among those that keys are made of.
        let from = format!("{} ", last.key);
        let page = store.range(table, part, &from, to).await?;
        all.rows.extend(page.rows);
        all.version = all.version.min(page.version);
        all.store_time = page.store_time;
        all.has_more = page.has_more;
    }
    Ok(all)
}

/// The platform's rows.
pub trait RowStore {
    /// Runs a transaction and returns its version, the new version of all rows that it wrote.
    fn transact<'a>(
        &'a self,
        transaction: &'a RowTransaction,
    ) -> LocalBoxFuture<'a, RowResult<u64>>;
    /// Reads rows of a part from a key up to another one, which is excluded; empty means no bound.
    fn range<'a>(
        &'a self,
        table: &'a str,
        part: &'a str,
        from: &'a str,
        to: &'a str,
    ) -> LocalBoxFuture<'a, RowResult<RowPage>>;
    /// Waits for changes of a table after a version, over all parts.
    fn feed<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, RowResult<RowPage>>;
}
