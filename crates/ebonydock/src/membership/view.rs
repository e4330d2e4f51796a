//! The view that a VM has of the VMs in its data centre.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{ConfigVersion, VmId};
use crate::membership::messages::{Heartbeat, MemberPhase, VmAddress};

/// How long silence is borne. All three grow with the number of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatTimeouts {
    /// Time between two heartbeats to the same VM.
    pub interval: Duration,
    /// An owner stops acting when its last confirmed contact is older.
    pub confirmation_timeout: Duration,
    /// A VM that was silent for this long is taken as lost.
    pub loss_timeout: Duration,
}

const BASE_INTERVAL: Duration = Duration::from_millis(400);
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(25);

impl HeartbeatTimeouts {
    /// The limits for a data centre of `members` VMs.
    ///
    /// `confirm_within` is shorter than `lost_after`, so a paused owner stops before another VM takes
    /// over from it.
    pub fn for_members(members: usize) -> Self {
        let interval = BASE_INTERVAL.max(INTERVAL_PER_MEMBER * members as u32);
        Self { interval, confirmation_timeout: interval * 3, loss_timeout: interval * 4 }
    }
}

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// Where the member takes messages.
    pub address: SocketAddr,
    /// Differs after each start of the member.
    pub incarnation: u64,
    /// When the member was last heard.
    pub last_seen_at: Duration,
    /// When the newest of this VM's heartbeats that the member has confirmed was sent.
    pub confirmed_at: Option<Duration>,
    /// Since when contact has been confirmed without a gap.
    pub confirmed_since: Option<Duration>,
    /// The configuration in force at the member.
    pub config_version: ConfigVersion,
    /// Whether the member may own something.
    pub phase: MemberPhase,
    received: u64,
    sent: u64,
    sent_at: BTreeMap<u64, Duration>,
}

/// The members of a data centre as one VM sees them; the VM itself is always a member.
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
    /// A view that holds only the VM itself.
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

    /// Replaces the VMs that the platform lists for the data centre, the VM itself left out.
    pub fn set_roster(&mut self, roster: Vec<VmAddress>) {
        self.roster = roster.into_iter().map(|entry| (entry.vm, entry.address)).collect();
        self.roster.remove(&self.own);
    }

    /// Marks this VM as leaving.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// The limits in force.
    pub fn timeouts(&self) -> HeartbeatTimeouts {
        HeartbeatTimeouts::for_members(self.members.len() + 1)
    }

    /// The phase to announce: a VM serves once it has listened for long enough to have heard every live
    /// member.
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

    /// Everyone to send a heartbeat to: the members and the rest of the roster.
    pub fn heartbeat_targets(&self) -> Vec<VmAddress> {
        let members = self.members.iter().map(|(vm, record)| (vm, record.address));
        let missing = self.roster.iter().filter(|(vm, _)| !self.members.contains_key(*vm));
        members
            .chain(missing.map(|(vm, address)| (vm, *address)))
            .map(|(vm, address)| VmAddress { vm: vm.clone(), address })
            .collect()
    }

    /// Numbers the next heartbeat to `vm`; returns its sequence and the echo to send with it.
    pub fn next_heartbeat(&mut self, now: Duration, vm: &VmId) -> (u64, u64) {
        let Some(record) = self.members.get_mut(vm) else { return (0, 0) };
        record.sent += 1;
        record.sent_at.insert(record.sent, now);
        while record.sent_at.len() > MAX_SENT_HISTORY {
            record.sent_at.pop_first();
        }
        (record.sent, record.received)
    }

    /// Takes a heartbeat. Returns whether the set of members changed.
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

    /// Removes members that were silent for too long and returns them.
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

    /// The record of a member.
    pub fn member(&self, vm: &VmId) -> Option<&MemberRecord> {
        self.members.get(vm)
    }

    /// The members besides the VM itself.
    pub fn members(&self) -> impl Iterator<Item = (&VmId, &MemberRecord)> {
        self.members.iter()
    }

    /// The VMs that may own something: serving members, in order of their names.
    ///
    /// The VM itself is one only after every member has confirmed that it heard so: a previous owner has
    /// then stopped.
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

    /// The share of the data centre's VMs whose contact is steady and confirmed, this VM included.
    ///
    /// Two halves of a divided data centre hold shares that add up to at most one, because a VM counts
    /// only after `lost_after` of steady contact, by which time an owner on its side has heard of this
    /// one and stopped. Leaving VMs count while they are heard.
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
