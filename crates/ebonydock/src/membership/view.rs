//! View that one VM has of the VMs in its data centre.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{ConfigVersion, VmId};
use crate::membership::messages::{Heartbeat, MemberPhase, VmAddress};

/// Heartbeat interval and the timeouts derived from it. All three grow with the number of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatTimeouts {
    /// Time between two heartbeats to the same VM.
    pub interval: Duration,
    /// An owner stops acting when its last confirmed contact is older than this.
    pub confirmation_timeout: Duration,
    /// A VM that sent no heartbeat for this long counts as lost.
    pub loss_timeout: Duration,
}

const BASE_INTERVAL: Duration = Duration::from_millis(400);
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(25);

impl HeartbeatTimeouts {
    /// Returns the timeouts for a data centre of `members` VMs.
    ///
    /// `confirmation_timeout` is shorter than `loss_timeout`, so a paused owner stops before another VM
    /// takes over from it.
    pub fn for_members(members: usize) -> Self {
        let interval = BASE_INTERVAL.max(INTERVAL_PER_MEMBER * members as u32);
        Self { interval, confirmation_timeout: interval * 3, loss_timeout: interval * 4 }
    }
}

/// State of one member, as this VM knows it.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// Address at which the member receives messages.
    pub address: SocketAddr,
    /// Incarnation of the member; differs after each start.
    pub incarnation: u64,
    /// When the last heartbeat of the member arrived.
    pub last_seen_at: Duration,
    /// When this VM sent the latest heartbeat that the member has confirmed.
    pub confirmed_at: Option<Duration>,
    /// Since when contact has been confirmed without interruption.
    pub confirmed_since: Option<Duration>,
    /// Active configuration version of the member.
    pub config_version: ConfigVersion,
    /// Phase of the member, which decides whether it may own anything.
    pub phase: MemberPhase,
    received: u64,
    sent: u64,
    sent_at: BTreeMap<u64, Duration>,
}

/// Members of a data centre as one VM sees them; the VM itself is always a member.
#[derive(Debug)]
pub struct MembershipView {
    own: VmId,
    leaving: bool,
    started_at: Duration,
    serving_since: Option<Duration>,
    members: BTreeMap<VmId, MemberRecord>,
    roster: BTreeMap<VmId, SocketAddr>,
}

const MAX_SENT_HISTORY: usize = 16;

impl MembershipView {
    /// Opens a view that holds only the VM itself.
    pub fn open(own: &VmId, now: Duration) -> Self {
        Self {
            own: own.clone(),
            leaving: false,
            started_at: now,
            serving_since: None,
            members: BTreeMap::new(),
            roster: BTreeMap::new(),
        }
    }

    /// Replaces the VMs that the platform lists for the data centre; the VM itself is left out.
    pub fn set_roster(&mut self, roster: Vec<VmAddress>) {
        self.roster = roster.into_iter().map(|entry| (entry.vm, entry.address)).collect();
        self.roster.remove(&self.own);
    }

    /// Marks this VM as leaving.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Returns the timeouts for the current number of members.
    pub fn timeouts(&self) -> HeartbeatTimeouts {
        HeartbeatTimeouts::for_members(self.members.len() + 1)
    }

    /// Returns the phase to announce.
    ///
    /// A VM serves once it has run for `loss_timeout`, when a heartbeat of every live member has arrived.
    pub fn phase(&mut self, now: Duration) -> MemberPhase {
        if self.leaving {
            return MemberPhase::Leaving;
        }
        let settled = now.saturating_sub(self.started_at) >= self.timeouts().loss_timeout;
        if settled {
            self.serving_since.get_or_insert(now);
        }
        if settled { MemberPhase::Serving } else { MemberPhase::Joining }
    }

    /// Returns all VMs to send heartbeats to: the members and the rest of the roster.
    pub fn heartbeat_targets(&self) -> Vec<VmAddress> {
        let members = self.members.iter().map(|(vm, record)| (vm, record.address));
        let missing = self.roster.iter().filter(|(vm, _)| !self.members.contains_key(*vm));
        members
            .chain(missing.map(|(vm, address)| (vm, *address)))
            .map(|(vm, address)| VmAddress { vm: vm.clone(), address })
            .collect()
    }

    /// Numbers the next heartbeat to `vm`; returns its sequence number and the echo to send with it.
    pub fn next_heartbeat(&mut self, now: Duration, vm: &VmId) -> (u64, u64) {
        let Some(record) = self.members.get_mut(vm) else { return (0, 0) };
        record.sent += 1;
        record.sent_at.insert(record.sent, now);
        while record.sent_at.len() > MAX_SENT_HISTORY {
            record.sent_at.pop_first();
        }
        (record.sent, record.received)
    }

    /// Applies a heartbeat. Returns whether the sender is new, has restarted or has changed its phase.
    pub fn receive(&mut self, now: Duration, from: &VmId, heartbeat: &Heartbeat) -> bool {
        if *from == self.own {
            return false;
        }
        let known = self.members.get(from).map(|record| (record.incarnation, record.phase));
        let restarted = known.is_none_or(|(incarnation, _)| incarnation != heartbeat.incarnation);
        if restarted {
            self.members.insert(from.clone(), MemberRecord::first_contact(now, heartbeat));
        }
        let Some(record) = self.members.get_mut(from) else { return false };
        record.update(now, heartbeat);
        restarted || known.is_some_and(|(_, phase)| phase != heartbeat.phase)
    }

    /// Removes the members that sent no heartbeat for `loss_timeout` and returns them.
    pub fn expire(&mut self, now: Duration) -> Vec<VmId> {
        let timeouts = self.timeouts();
        let silent = |record: &MemberRecord| {
            now.saturating_sub(record.last_seen_at) >= timeouts.loss_timeout
        };
        let lost: Vec<VmId> =
            self.members.iter().filter(|(_, m)| silent(m)).map(|(vm, _)| vm.clone()).collect();
        for vm in &lost {
            self.members.remove(vm);
        }
        for record in self.members.values_mut() {
            if !record.is_confirmed(now, timeouts.confirmation_timeout) {
                record.confirmed_since = None;
            }
        }
        lost
    }

    /// Returns the record of a member.
    pub fn member(&self, vm: &VmId) -> Option<&MemberRecord> {
        self.members.get(vm)
    }

    /// Iterates over the members other than the VM itself.
    pub fn members(&self) -> impl Iterator<Item = (&VmId, &MemberRecord)> {
        self.members.iter()
    }

    /// Returns the VMs that may own something: the serving members, sorted by name.
    ///
    /// The VM itself is included only after every member with confirmed contact has acknowledged that this
    /// VM serves, because a previous owner has stopped by then.
    pub fn candidates(&self, now: Duration) -> Vec<VmId> {
        let serving = |record: &MemberRecord| record.phase == MemberPhase::Serving;
        let others = self.members.iter().filter(|(_, m)| serving(m)).map(|(vm, _)| vm.clone());
        let own = self.is_acknowledged(now).then(|| self.own.clone());
        let mut candidates: Vec<VmId> = others.chain(own).collect();
        candidates.sort();
        candidates
    }

    fn is_acknowledged(&self, now: Duration) -> bool {
        let Some(since) = self.serving_since.filter(|_| !self.leaving) else { return false };
        let timeout = self.timeouts().confirmation_timeout;
        let mut confirmed_members =
            self.members.values().filter(|record| record.is_confirmed(now, timeout));
        confirmed_members.all(|record| record.confirmed_at >= Some(since))
    }

    /// Returns the fraction of the data centre's VMs with stable, confirmed contact, this VM included.
    ///
    /// The fractions of the two sides of a partition add up to at most 1, because a VM counts only after
    /// `loss_timeout` of stable contact. By then, an owner on the side of that VM has seen this VM and
    /// stopped. Leaving VMs count while they are live.
    pub fn confirmed_share(&self, now: Duration) -> f64 {
        let timeouts = self.timeouts();
        let confirmed =
            self.members.values().filter(|record| record.is_stable(now, &timeouts)).count();
        let unseen = self.roster.keys().filter(|vm| !self.members.contains_key(*vm)).count();
        let all = self.members.len() + unseen;
        (confirmed + 1) as f64 / (all + 1) as f64
    }
}

impl MemberRecord {
    fn first_contact(now: Duration, heartbeat: &Heartbeat) -> Self {
        Self {
            address: heartbeat.address,
            incarnation: heartbeat.incarnation,
            last_seen_at: now,
            confirmed_at: None,
            confirmed_since: None,
            config_version: heartbeat.config_version,
            phase: heartbeat.phase,
            received: 0,
            sent: 0,
            sent_at: BTreeMap::new(),
        }
    }

    fn update(&mut self, now: Duration, heartbeat: &Heartbeat) {
        self.last_seen_at = now;
        self.address = heartbeat.address;
        self.phase = heartbeat.phase;
        self.config_version = self.config_version.max(heartbeat.config_version);
        self.received = self.received.max(heartbeat.sequence);
        let Some(sent_at) = self.sent_at.get(&heartbeat.echo).copied() else { return };
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        self.confirmed_since.get_or_insert(now);
    }

    fn is_confirmed(&self, now: Duration, timeout: Duration) -> bool {
        self.confirmed_at.is_some_and(|at| now.saturating_sub(at) < timeout)
    }

    fn is_stable(&self, now: Duration, timeouts: &HeartbeatTimeouts) -> bool {
        let stable = self
            .confirmed_since
            .is_some_and(|since| now.saturating_sub(since) >= timeouts.loss_timeout);
        stable && self.is_confirmed(now, timeouts.confirmation_timeout)
    }
}
