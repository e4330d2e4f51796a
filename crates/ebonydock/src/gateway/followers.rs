//! Follows tables of the platform: operator records, targets, VMs and jobs.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::gateway::catalog::GatewayConfig;
use crate::gateway::runtime::GatewayCore;
use crate::ids::{DataCentreId, ServiceName, VersionName};
use crate::placement::slots::ServingTarget;
use crate::platform::rows::{RowError, RowResult, StoredRow, read_all};
use crate::rollouts::RolloutOrder;

/// Time after which the store responds to a feed request even without a change. Connections may stall
/// without an error, and changes by operators and callers must be seen within two to three seconds even
/// then.
const FEED_WAIT: Duration = Duration::from_millis(1500);
/// `FEED_WAIT` for members. Their connections show the loss of a member before the store does.
const MEMBER_FEED_WAIT: Duration = Duration::from_secs(8);
/// Initial and maximum delay before a failed call is retried; the delay doubles after each failure.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
/// How long targets whose entries expired during a store outage stay usable once the store is back. They
/// register again within two seconds. The period is shorter than that because a target that deregistered
/// on purpose must get no requests later than two seconds after its entry was removed.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(1700);

/// Delay between a change and the next feed request, for each member. All members send a feed request
/// after each change, and their calls share the store's rate limit.
const FEED_DELAY_PER_MEMBER: Duration = Duration::from_micros(1200);
/// `FEED_DELAY_PER_MEMBER` for jobs, which change several times a second and whose readers poll anyway.
const JOB_FEED_DELAY_PER_MEMBER: Duration = Duration::from_millis(6);
/// Upper bound of the delay between a change and the next feed request.
const MAX_FEED_DELAY: Duration = Duration::from_millis(500);

/// Limit for the text of an unreadable entry in a log line.
const MAX_LOGGED_CHARS: usize = 200;
/// Limit for unreadable entries that are not logged again.
const MAX_UNREADABLE_ENTRIES: usize = 1024;

/// How soon changes of a table must be seen.
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
    fn delay(self, members: usize) -> Duration {
        let each = match self {
            Self::Prompt | Self::Rare => FEED_DELAY_PER_MEMBER,
            Self::Relaxed => JOB_FEED_DELAY_PER_MEMBER,
        };
        (each * members as u32).min(MAX_FEED_DELAY)
    }

    fn wait(self) -> Duration {
        match self {
            Self::Prompt | Self::Relaxed => FEED_WAIT,
            Self::Rare => MEMBER_FEED_WAIT,
        }
    }
}

/// A decoded row of the operators' table.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// A version of the configuration.
    Config(Box<GatewayConfig>),
    /// A data centre is out of service: its targets get no requests.
    DataCentreOut(DataCentreId),
    /// An order to move a service to another version. Its service may not be configured.
    Rollout(RolloutOrder),
    /// A record that the gateway ignores.
    Other,
}

/// State of a roll-out as the platform sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The roll-out runs.
    Running,
    /// The new version has taken over, and the old targets may stop.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

/// What the platform is told of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutStatus<'a> {
    /// State.
    pub state: RolloutState,
    /// New version.
    pub to: &'a VersionName,
}

impl RolloutState {
    /// Returns the name of the state.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// Decodes the rows of the platform's tables.
pub trait RowDecoder {
    /// Returns the name of the table in which targets register.
    fn target_table(&self) -> &'static str;
    /// Returns the name of the table that operators write.
    fn operator_table(&self) -> &'static str;
    /// Returns the name of the table in which the platform reads the state of roll-outs.
    fn status_table(&self) -> &'static str;
    /// Returns the key of a service's order in the operators' table, which is also that of its status.
    fn rollout_key(&self, service: &ServiceName) -> String;
    /// Encodes the status of a roll-out.
    fn encode_rollout_status(&self, status: &RolloutStatus<'_>) -> Vec<u8>;
    /// Decodes the entry of a target.
    ///
    /// # Errors
    ///
    /// Returns the reason if the entry does not describe a target.
    fn decode_target(&self, row: &StoredRow) -> Result<ServingTarget, String>;
    /// Decodes an operator record.
    ///
    /// # Errors
    ///
    /// Returns the reason if the record cannot be decoded.
    fn decode_operator_record(&self, row: &StoredRow) -> Result<OperatorRecord, String>;
}

/// An update that a follower reports about its table.
pub(crate) enum TableUpdate {
    /// All rows, sent at the start and after changes were missed.
    Snapshot(Vec<StoredRow>),
    /// The rows that changed.
    Changed(Vec<StoredRow>),
}

/// How far a follower has come in its table.
#[derive(Debug, Default)]
pub(crate) struct FollowerProgress {
    version: Cell<u64>,
    responded_at: Cell<Option<Duration>>,
    /// Whether changes may have been missed: the last call failed, or the store no longer keeps them.
    has_gap: Cell<bool>,
}

impl FollowerProgress {
    /// Returns the store version up to which all changes of the table have been applied.
    pub(crate) fn version(&self) -> u64 {
        self.version.get()
    }

    /// Returns whether the store responded to the follower at most `max_age` ago.
    pub(crate) fn is_fresh(&self, now: Duration, max_age: Duration) -> bool {
        self.responded_at.get().is_some_and(|at| now.saturating_sub(at) <= max_age)
    }

    /// Returns whether the follower waits for changes after such a response, so that it misses none.
    pub(crate) fn is_following(&self, now: Duration, max_age: Duration) -> bool {
        !self.has_gap.get() && self.is_fresh(now, max_age)
    }
}

/// Reports the rows of one table and their changes for as long as the VM runs.
pub(crate) struct TableFollower {
    core: Rc<GatewayCore>,
    table: &'static str,
    /// The partitions that hold the table's rows.
    partitions: Vec<String>,
    pacing: FeedPacing,
    retry_delay: Duration,
    unavailable_since: Option<Duration>,
    progress: Rc<FollowerProgress>,
}

impl TableFollower {
    /// Creates a follower of a table whose rows are in `partitions`.
    pub(crate) fn open(
        core: &Rc<GatewayCore>,
        table: &'static str,
        partitions: Vec<String>,
        pacing: FeedPacing,
    ) -> Self {
        Self {
            core: Rc::clone(core),
            table,
            partitions,
            pacing,
            retry_delay: RETRY_DELAYS.0,
            unavailable_since: None,
            progress: Rc::default(),
        }
    }

    /// Reports how far the follower has come to a handle that others read.
    pub(crate) fn with_progress(mut self, progress: &Rc<FollowerProgress>) -> Self {
        self.progress = Rc::clone(progress);
        self
    }

    /// Calls `on_update` with all rows and then with each change. In the first update after an outage, the
    /// third argument is the time at which the store became available again.
    pub(crate) async fn run(
        mut self,
        on_update: impl Fn(&Rc<GatewayCore>, TableUpdate, Option<Duration>),
    ) {
        loop {
            let listed = self.list().await;
            let Some((rows, mut version)) = self.value_or_delay(listed).await else { continue };
            let restored_at = self.record_response();
            on_update(&self.core, TableUpdate::Snapshot(rows), restored_at);
            self.progress.version.set(version);
            loop {
                let page = self.core.rows.feed(self.table, version, self.pacing.wait()).await;
                if page == Err(RowError::HistoryLost) {
                    log::info!(table = self.table, version = version; "store history lost");
                    self.progress.has_gap.set(true);
                    // The missing history may cover an outage in which entries expired.
                    self.unavailable_since.get_or_insert_with(monotonic);
                    break;
                }
                let Some(page) = self.value_or_delay(page).await else { continue };
                let restored_at = self.record_response();
                self.core.record_store_time(page.store_time);
                version = page.version.max(version);
                let has_update = !page.rows.is_empty() || restored_at.is_some();
                if has_update {
                    on_update(&self.core, TableUpdate::Changed(page.rows), restored_at);
                }
                self.progress.version.set(version);
                if has_update {
                    let members = self.core.peering.member_count();
                    tokio::time::sleep(self.pacing.delay(members)).await;
                }
            }
        }
    }

    async fn list(&self) -> RowResult<(Vec<StoredRow>, u64)> {
        let mut rows = Vec::new();
        let mut version = u64::MAX;
        for partition in &self.partitions {
            let page = read_all(&*self.core.rows, self.table, partition, "", "").await?;
            self.core.record_store_time(page.store_time);
            if page.version < self.progress.version() {
                // Applying a stale read would undo newer updates.
                return Err(RowError::Refused(format!("stale read at version {}", page.version)));
            }
            version = version.min(page.version);
            rows.extend(page.rows);
        }
        Ok((rows, version))
    }

    /// Returns the value of a successful call. After a failure, waits for the retry delay and returns
    /// `None`.
    async fn value_or_delay<T>(&mut self, result: RowResult<T>) -> Option<T> {
        match result {
            Ok(value) => {
                self.retry_delay = RETRY_DELAYS.0;
                Some(value)
            }
            Err(error) => {
                self.progress.has_gap.set(true);
                if self.unavailable_since.is_none() {
                    self.unavailable_since = Some(monotonic());
                    log::warn!(table = self.table, error = error.to_string(); "store lost");
                }
                tokio::time::sleep(self.retry_delay).await;
                self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAYS.1);
                None
            }
        }
    }

    /// Records a response of the store. Returns the current time if an outage ended with it.
    fn record_response(&mut self) -> Option<Duration> {
        let now = monotonic();
        self.progress.responded_at.set(Some(now));
        self.progress.has_gap.set(false);
        let lost = self.unavailable_since.take()?;
        let away = now.saturating_sub(lost).as_millis() as u64;
        log::info!(table = self.table, away_ms = away; "store back");
        Some(now)
    }
}

/// The registered targets, and those that may still register again after a store outage.
#[derive(Debug, Default)]
pub(crate) struct TargetListing {
    targets: HashMap<String, ServingTarget>,
    /// Keys of entries that disappeared around a store outage, with the time until which their targets
    /// stay usable.
    missing: HashMap<String, Duration>,
    grace_until: Duration,
    /// Reasons why entries could not be decoded, by key. An entry is logged again if its reason changes.
    unreadable: HashMap<String, String>,
}

impl TargetListing {
    /// Applies an update. `restored_at` is the time at which the store became available again, if there
    /// was an outage.
    pub(crate) fn apply(
        &mut self,
        decoder: &dyn RowDecoder,
        update: TableUpdate,
        restored_at: Option<Duration>,
        now: Duration,
    ) {
        if let Some(restored_at) = restored_at {
            self.grace_until = restored_at + REREGISTRATION_GRACE;
        }
        match update {
            TableUpdate::Snapshot(rows) => {
                let present: HashSet<String> = rows.iter().map(|row| row.key.clone()).collect();
                let absent: Vec<String> =
                    self.targets.keys().filter(|key| !present.contains(*key)).cloned().collect();
                for key in absent {
                    self.remove(&key, now);
                }
                for row in rows {
                    self.insert(decoder, &row);
                }
            }
            TableUpdate::Changed(rows) => {
                for row in rows {
                    if row.deleted {
                        self.remove(&row.key, now);
                    } else {
                        self.insert(decoder, &row);
                    }
                }
            }
        }
    }

    fn insert(&mut self, decoder: &dyn RowDecoder, row: &StoredRow) {
        self.missing.remove(&row.key);
        match decoder.decode_target(row) {
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
                self.targets.remove(&row.key);
                self.log_unreadable(row, &reason);
            }
        }
    }

    fn log_unreadable(&mut self, row: &StoredRow, reason: &str) {
        let shorten = |text: &str| text.chars().take(MAX_LOGGED_CHARS).collect::<String>();
        let (key, reason) = (shorten(&row.key), shorten(reason));
        if self.unreadable.get(&key) == Some(&reason) {
            return;
        }
        log::warn!(
            target_id = key, version = row.version, reason = reason;
            "target entry unreadable; it names no target"
        );
        if self.unreadable.len() >= MAX_UNREADABLE_ENTRIES {
            self.unreadable.clear();
        }
        self.unreadable.insert(key, reason);
    }

    fn remove(&mut self, key: &str, now: Duration) {
        if now < self.grace_until && self.targets.contains_key(key) {
            self.missing.insert(key.to_owned(), self.grace_until);
        } else if self.targets.remove(key).is_some() {
            log::info!(target_id = key; "target gone");
        }
    }

    /// Drops targets that did not register again in time. Returns whether there were any.
    pub(crate) fn expire(&mut self, now: Duration) -> bool {
        let expired: Vec<String> =
            self.missing.extract_if(|_, until| now >= *until).map(|(key, _)| key).collect();
        for key in &expired {
            log::info!(target_id = key; "target gone: did not register again");
            self.targets.remove(key);
        }
        !expired.is_empty()
    }

    /// Returns the usable targets.
    pub(crate) fn targets(&self) -> Vec<ServingTarget> {
        self.targets.values().cloned().collect()
    }
}

/// What the operators' records say apart from configurations and orders, by the key of the record.
#[derive(Debug, Default)]
pub(crate) struct OperatorListing {
    /// Data centres out of service.
    out_of_service: HashMap<String, DataCentreId>,
    unreadable: HashSet<String>,
}

impl OperatorListing {
    /// Applies an update. Returns the last configuration in it.
    pub(crate) fn apply(
        &mut self,
        decoder: &dyn RowDecoder,
        update: TableUpdate,
    ) -> Option<GatewayConfig> {
        let rows = match update {
            TableUpdate::Snapshot(rows) => {
                *self = Self::default();
                rows
            }
            TableUpdate::Changed(rows) => rows,
        };
        let mut newest: Option<GatewayConfig> = None;
        for row in rows {
            self.unreadable.remove(&row.key);
            if row.deleted {
                if let Some(data_centre) = self.out_of_service.remove(&row.key) {
                    log::info!(data_centre = data_centre.as_str(); "data centre back in service");
                }
                continue;
            }
            match decoder.decode_operator_record(&row) {
                Ok(OperatorRecord::Config(config)) => newest = Some(*config),
                Ok(OperatorRecord::DataCentreOut(data_centre)) => {
                    log::info!(data_centre = data_centre.as_str(); "data centre out of service");
                    self.out_of_service.insert(row.key, data_centre);
                }
                Ok(OperatorRecord::Rollout(_) | OperatorRecord::Other) => {}
                Err(reason) => {
                    log::error!(key = row.key, version = row.version, reason = reason; "operator record unreadable");
                    self.unreadable.insert(row.key);
                }
            }
        }
        newest
    }

    /// Returns the data centres out of service.
    pub(crate) fn data_centres(&self) -> HashSet<DataCentreId> {
        self.out_of_service.values().cloned().collect()
    }

    /// Returns whether a record cannot be read, so that the configuration in force may not be the newest.
    pub(crate) fn has_unreadable(&self) -> bool {
        !self.unreadable.is_empty()
    }
}
