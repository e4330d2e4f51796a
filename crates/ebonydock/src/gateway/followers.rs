//! Following tables of the platform: the operators' records, the targets, the VMs and the jobs.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::gateway::catalog::GatewayConfig;
use crate::gateway::runtime::GatewayCore;
use crate::gateway::slots::ServingTarget;
use crate::ids::DataCentreId;
use crate::platform::rows::{RowError, RowResult, StoredRow, read_all};

/// A feed answers after this time also without a change. Connections may fall silent without a word, and
/// what operators and callers change is to be known within two to three seconds all the same.
const FEED_WAIT: Duration = Duration::from_millis(1500);
/// The same for members, whose connections tell sooner than the store that one is gone.
const MEMBER_FEED_WAIT: Duration = Duration::from_secs(8);
/// Pauses after failed calls: the first one, doubled up to the longest one.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
/// Targets whose entries lapsed while the store was away register again within two seconds. A target
/// that left just then may be sent requests for as long, so the grace ends sooner.
const RETURN_GRACE: Duration = Duration::from_millis(1700);

/// After changes a follower waits before it asks for the next ones, by this much for each member: all
/// members ask again after each change, and their calls share the store's rate.
const FEED_PAUSE_PER_MEMBER: Duration = Duration::from_micros(1200);
/// The same for jobs, which change several times a second and whose readers come back anyway.
const JOB_PAUSE_PER_MEMBER: Duration = Duration::from_millis(6);
/// News are seen this late at most on account of the pause.
const LONGEST_FEED_PAUSE: Duration = Duration::from_millis(500);

/// How long news of a table may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FeedPacing {
    /// Configuration and targets.
    Prompt,
    /// Jobs.
    Relaxed,
    /// Members.
    Rare,
}

impl FeedPacing {
    fn pause(self, members: usize) -> Duration {
        let each = match self {
            Self::Prompt | Self::Rare => FEED_PAUSE_PER_MEMBER,
            Self::Relaxed => JOB_PAUSE_PER_MEMBER,
        };
        (each * members as u32).min(LONGEST_FEED_PAUSE)
    }

    fn wait(self) -> Duration {
        match self {
            Self::Prompt | Self::Relaxed => FEED_WAIT,
            Self::Rare => MEMBER_FEED_WAIT,
        }
    }
}

/// What a row of the operators' table says.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// The configuration.
    Config(Box<GatewayConfig>),
    /// The targets of a data centre are to get nothing.
    DataCentreOut(DataCentreId),
    /// Something that the gateway does not act on.
    Other,
}

/// Reads the platform's rows.
pub trait RowDecoder {
    /// The table in which targets register.
    fn target_table(&self) -> &'static str;
    /// The table that operators write.
    fn operator_table(&self) -> &'static str;
    /// Reads the entry of a target.
    ///
    /// # Errors
    ///
    /// Why the entry names no target.
    fn decode_target(&self, row: &StoredRow) -> Result<ServingTarget, String>;
    /// Reads a record of the operators.
    ///
    /// # Errors
    ///
    /// What cannot be read.
    fn decode_operator_record(&self, row: &StoredRow) -> Result<OperatorRecord, String>;
}

/// What a follower tells about its table.
pub(crate) enum TableUpdate {
    /// All rows, after the start or after changes were missed.
    Snapshot(Vec<StoredRow>),
    /// Rows that changed.
    Changed(Vec<StoredRow>),
}

/// Follows one table for as long as the VM runs.
pub(crate) struct TableFollower {
    core: Rc<GatewayCore>,
    table: &'static str,
    /// The parts that hold the table's rows.
    parts: Vec<String>,
    urgency: FeedPacing,
    pause: Duration,
    lost_since: Option<Duration>,
    seen: u64,
    /// When this follower heard from the store last.
    last_response_at: Rc<Cell<Option<Duration>>>,
}

impl TableFollower {
    /// A follower of a table whose rows are in `parts`.
    pub(crate) fn open(
        core: &Rc<GatewayCore>,
        table: &'static str,
        parts: Vec<String>,
        urgency: FeedPacing,
    ) -> Self {
        Self {
            core: Rc::clone(core),
            table,
            parts,
            urgency,
            pause: RETRY_PAUSES.0,
            lost_since: None,
            seen: 0,
            last_response_at: Rc::default(),
        }
    }

    /// The time at which this follower heard from the store last.
    pub(crate) fn last_response_at(&self) -> Rc<Cell<Option<Duration>>> {
        Rc::clone(&self.last_response_at)
    }

    /// Tells `on_news` of all rows and of each change.
    pub(crate) async fn run(
        mut self,
        on_news: impl Fn(&Rc<GatewayCore>, TableUpdate, Option<Duration>),
    ) {
        loop {
            let listed = self.list().await;
            let Some((rows, mut version)) = self.checked(listed).await else { continue };
            let back_at = self.note_heard();
            on_news(&self.core, TableUpdate::Snapshot(rows), back_at);
            loop {
                let page = self.core.rows.feed(self.table, version, self.urgency.wait()).await;
                if page == Err(RowError::HistoryLost) {
                    log::info!(table = self.table, version = version; "store history lost");
                    // An outage may hide in the gap, with lapsed entries.
                    self.lost_since.get_or_insert_with(monotonic);
                    break;
                }
                let Some(page) = self.checked(page).await else { continue };
                let back_at = self.note_heard();
                self.core.record_store_time(page.store_time);
                version = page.version.max(version);
                self.seen = version;
                if !page.rows.is_empty() || back_at.is_some() {
                    on_news(&self.core, TableUpdate::Changed(page.rows), back_at);
                    let members = self.core.peering.member_count();
                    tokio::time::sleep(self.urgency.pause(members)).await;
                }
            }
        }
    }

    async fn list(&self) -> RowResult<(Vec<StoredRow>, u64)> {
        let mut rows = Vec::new();
        let mut version = u64::MAX;
        for part in &self.parts {
            let page = read_all(&*self.core.rows, self.table, part, "", "").await?;
            self.core.record_store_time(page.store_time);
            if page.version < self.seen {
                // A stale read would take back what is known.
                return Err(RowError::Refused(format!("stale at version {}", page.version)));
            }
            version = version.min(page.version);
            rows.extend(page.rows);
        }
        Ok((rows, version))
    }

    /// The result, or after a pause `None`.
    async fn checked<T>(&mut self, result: RowResult<T>) -> Option<T> {
        match result {
            Ok(value) => {
                self.pause = RETRY_PAUSES.0;
                Some(value)
            }
            Err(error) => {
                if self.lost_since.is_none() {
                    self.lost_since = Some(monotonic());
                    log::warn!(table = self.table, error = error.to_string(); "store lost");
                }
                tokio::time::sleep(self.pause).await;
                self.pause = (self.pause * 2).min(RETRY_PAUSES.1);
                None
            }
        }
    }

    /// Notes that the store answered; returns the time if it had not for a while.
    fn note_heard(&mut self) -> Option<Duration> {
        let now = monotonic();
        self.last_response_at.set(Some(now));
        let lost = self.lost_since.take()?;
        let away = now.saturating_sub(lost).as_millis() as u64;
        log::info!(table = self.table, away_ms = away; "store back");
        Some(now)
    }
}

/// The targets that are listed, with those that may still register again.
#[derive(Debug, Default)]
pub(crate) struct TargetListing {
    targets: HashMap<String, ServingTarget>,
    /// Entries that went away around an outage of the store, with the time until which they count.
    lapsed: HashMap<String, Duration>,
    grace_until: Duration,
}

impl TargetListing {
    /// Takes news; `back_at` is the time at which the store came back, if it was away.
    pub(crate) fn apply(
        &mut self,
        dialect: &dyn RowDecoder,
        news: TableUpdate,
        back_at: Option<Duration>,
        now: Duration,
    ) {
        if let Some(back_at) = back_at {
            self.grace_until = back_at + RETURN_GRACE;
        }
        match news {
            TableUpdate::Snapshot(rows) => {
                let present: HashSet<String> = rows.iter().map(|row| row.key.clone()).collect();
                let absent: Vec<String> =
                    self.targets.keys().filter(|key| !present.contains(*key)).cloned().collect();
                for key in absent {
                    self.remove(&key, now);
                }
                for row in rows {
                    self.insert(dialect, &row);
                }
            }
            TableUpdate::Changed(rows) => {
                for row in rows {
                    if row.deleted {
                        self.remove(&row.key, now);
                    } else {
                        self.insert(dialect, &row);
                    }
                }
            }
        }
    }

    fn insert(&mut self, dialect: &dyn RowDecoder, row: &StoredRow) {
        self.lapsed.remove(&row.key);
        match dialect.decode_target(row) {
            Ok(target) => {
                if self.targets.get(&row.key) != Some(&target) {
                    log::info!(
                        target_id = row.key, address = target.address.to_string(),
                        leaving = target.leaving, cold_ms = target.cold_for.as_millis() as u64,
                        version = row.version;
                        "target listed"
                    );
                }
                self.targets.insert(row.key.clone(), target);
            }
            Err(reason) => {
                log::warn!(target_id = row.key, version = row.version, reason = reason; "target entry unreadable");
                self.targets.remove(&row.key);
            }
        }
    }

    fn remove(&mut self, key: &str, now: Duration) {
        if now < self.grace_until && self.targets.contains_key(key) {
            self.lapsed.insert(key.to_owned(), self.grace_until);
        } else if self.targets.remove(key).is_some() {
            log::info!(target_id = key; "target gone");
        }
    }

    /// Drops entries that have not come back in time; true if there were any.
    pub(crate) fn expire(&mut self, now: Duration) -> bool {
        let expired: Vec<String> =
            self.lapsed.extract_if(|_, until| now >= *until).map(|(key, _)| key).collect();
        for key in &expired {
            log::info!(target_id = key; "target gone: did not register again");
            self.targets.remove(key);
        }
        !expired.is_empty()
    }

    /// The targets.
    pub(crate) fn targets(&self) -> Vec<ServingTarget> {
        self.targets.values().cloned().collect()
    }
}

/// The data centres out of service, by the key of the record.
#[derive(Debug, Default)]
pub(crate) struct ClosedListing(HashMap<String, DataCentreId>);

impl ClosedListing {
    /// Takes news; returns the newest configuration among them.
    pub(crate) fn apply(
        &mut self,
        dialect: &dyn RowDecoder,
        news: TableUpdate,
    ) -> Option<GatewayConfig> {
        let rows = match news {
            TableUpdate::Snapshot(rows) => {
                self.0.clear();
                rows
            }
            TableUpdate::Changed(rows) => rows,
        };
        let mut newest: Option<GatewayConfig> = None;
        for row in rows {
            if row.deleted {
                if let Some(data_centre) = self.0.remove(&row.key) {
                    log::info!(data_centre = data_centre.as_str(); "data centre back in service");
                }
                continue;
            }
            match dialect.decode_operator_record(&row) {
                Ok(OperatorRecord::Config(config)) => newest = Some(*config),
                Ok(OperatorRecord::DataCentreOut(data_centre)) => {
                    log::info!(data_centre = data_centre.as_str(); "data centre out of service");
                    self.0.insert(row.key, data_centre);
                }
                Ok(OperatorRecord::Other) => {}
                Err(reason) => {
                    log::error!(key = row.key, version = row.version, reason = reason; "operator record unreadable");
                }
            }
        }
        newest
    }

    /// The data centres.
    pub(crate) fn data_centres(&self) -> HashSet<DataCentreId> {
        self.0.values().cloned().collect()
    }
}
