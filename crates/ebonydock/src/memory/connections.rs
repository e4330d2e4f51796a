//! Decides which connections of callers stay open when there are too many.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Identifies an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmittedConnection(u64);

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAdmission {
    /// It stays open.
    Admitted(AdmittedConnection),
    /// It stays open, and the second one, which is idle, is closed for it.
    AdmittedFor(AdmittedConnection, AdmittedConnection),
    /// It is closed, because requests run on all others.
    Refused,
}

/// The open connections of callers.
pub struct ConnectionTable {
    limit: usize,
    next_id: u64,
    /// The number of running requests by connection, and since when there is none.
    open: HashMap<AdmittedConnection, (usize, Duration)>,
    idle: BTreeSet<(Duration, AdmittedConnection)>,
}

impl ConnectionTable {
    /// Opens a table for at most `limit` connections.
    pub fn open(limit: usize) -> Self {
        Self { limit, next_id: 0, open: HashMap::new(), idle: BTreeSet::new() }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Decides about a new connection. The one that was idle for longest is closed for it at the limit; a
    /// connection that has not sent a complete head is idle.
    pub fn admit(&mut self, now: Duration) -> ConnectionAdmission {
        let mut closed = None;
        if self.open.len() >= self.limit {
            let Some((_, longest_idle)) = self.idle.pop_first() else {
                return ConnectionAdmission::Refused;
            };
            self.open.remove(&longest_idle);
            closed = Some(longest_idle);
        }
        let connection = AdmittedConnection(self.next_id);
        self.next_id += 1;
        self.open.insert(connection, (0, now));
        self.idle.insert((now, connection));
        match closed {
            Some(closed) => ConnectionAdmission::AdmittedFor(connection, closed),
            None => ConnectionAdmission::Admitted(connection),
        }
    }

    /// Records that a request begins.
    pub fn begin_request(&mut self, connection: AdmittedConnection) {
        if let Some((running, idle_since)) = self.open.get_mut(&connection) {
            self.idle.remove(&(*idle_since, connection));
            *running += 1;
        }
    }

    /// Records that a request ended.
    pub fn end_request(&mut self, now: Duration, connection: AdmittedConnection) {
        if let Some((running, idle_since)) = self.open.get_mut(&connection) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                *idle_since = now;
                self.idle.insert((now, connection));
            }
        }
    }

    /// Removes a closed connection. Removing it again has no effect.
    pub fn remove(&mut self, connection: AdmittedConnection) {
        if let Some((_, idle_since)) = self.open.remove(&connection) {
            self.idle.remove(&(idle_since, connection));
        }
    }
}
