//! Limits the requests that a whole fleet sends to a target in cold start.
//!
//! A target in cold start handles a few requests per second from all VMs together, less than one for each VM
//! of a large fleet. The VMs take turns: a turn starts every `1 / rate` seconds, in an order of the VMs that all
//! of them derive from the member list, and allows one request. An unused turn lapses, so unused capacity
//! doesn't accumulate until a peak. VMs that are lost or cut off leave their turns unused.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::VmId;

/// Time for which a turn may be used. Within one second, a target gets at most the requests of the turns of
/// one second and of this time.
const TURN_LIFETIME: Duration = Duration::from_millis(500);
/// Number of VMs assumed until the member list is known. Larger than any real fleet, because too small a
/// number would overload the target.
const ASSUMED_FLEET_SIZE: usize = 300;

/// Order in which the VMs of a fleet take turns.
#[derive(Debug)]
pub(crate) struct TurnOrder {
    local: u64,
    /// Hashes of all VMs; `None` until the member list is known.
    members: Option<Vec<u64>>,
    assumed_rank: u32,
}

impl TurnOrder {
    /// Opens the order of a VM that doesn't know the other members yet.
    pub(crate) fn open(local_vm: &VmId) -> Self {
        Self {
            local: member_hash(local_vm),
            members: None,
            assumed_rank: rand::random_range(0..ASSUMED_FLEET_SIZE as u32),
        }
    }

    /// Sets the members of the fleet, including the local VM.
    pub(crate) fn set_members(&mut self, members: &[VmId]) {
        self.members = Some(members.iter().map(member_hash).collect());
    }

    /// Returns the number of VMs that take turns.
    pub(crate) fn vms(&self) -> usize {
        self.members.as_ref().map_or(ASSUMED_FLEET_SIZE, |members| members.len().max(1))
    }

    /// Returns the local VM's place in the order at a target. The order differs between targets, so that the
    /// first turns of targets that start together go to different VMs.
    pub(crate) fn rank(&self, target_hash: u32) -> u32 {
        let Some(members) = &self.members else { return self.assumed_rank };
        let local = place(self.local, target_hash);
        members.iter().filter(|member| place(**member, target_hash) < local).count() as u32
    }
}

fn member_hash(vm: &VmId) -> u64 {
    xxh3_64(vm.as_str().as_bytes())
}

fn place(member: u64, target_hash: u32) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&member.to_le_bytes());
    bytes[8..].copy_from_slice(&target_hash.to_le_bytes());
    xxh3_64(&bytes)
}

/// Capacity of a target in cold start, shared by all VMs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdStartCapacity {
    /// Requests per second over all VMs; 0 means no limit.
    pub(crate) rate: f64,
    /// Number of VMs that take turns.
    pub(crate) vms: usize,
}

/// Turns of the local VM at one target in cold start.
#[derive(Debug)]
pub(crate) struct ColdStartTurns {
    since: Duration,
    until: Duration,
    rank: u32,
    /// Number of the last turn that was used.
    used: Option<u64>,
}

impl ColdStartTurns {
    /// Opens the turns at a target that stays cold for `cold_for` from `now` on.
    pub(crate) fn open(now: Duration, cold_for: Duration) -> Self {
        Self { since: now, until: now + cold_for, rank: 0, used: None }
    }

    /// Applies a new listing of the same target. The turns go on unless the target has turned cold again.
    pub(crate) fn extend(&mut self, now: Duration, cold_for: Duration) {
        if self.is_cold(now) {
            self.until = now + cold_for;
        } else {
            *self = Self { rank: self.rank, ..Self::open(now, cold_for) };
        }
    }

    /// Sets the local VM's place in the order.
    pub(crate) fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Returns whether the target is in cold start.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns whether a request must wait for this VM's next turn.
    pub(crate) fn is_limited(&self, now: Duration, capacity: ColdStartCapacity) -> bool {
        if capacity.rate <= 0.0 || !self.is_cold(now) {
            return false;
        }
        let Some((turn, elapsed)) = self.turn(now, capacity) else { return true };
        elapsed >= TURN_LIFETIME || self.used == Some(turn)
    }

    /// Uses the current turn for a request.
    pub(crate) fn take(&mut self, now: Duration, capacity: ColdStartCapacity) {
        if capacity.rate > 0.0 && self.is_cold(now) {
            self.used = self.turn(now, capacity).map(|(turn, _)| turn);
        }
    }

    /// Returns the number of this VM's last turn that has started, and the time since its start.
    fn turn(&self, now: Duration, capacity: ColdStartCapacity) -> Option<(u64, Duration)> {
        let cycle_s = capacity.vms as f64 / capacity.rate;
        let first_s = f64::from(self.rank) / capacity.rate;
        let since_first_s = now.saturating_sub(self.since).as_secs_f64() - first_s;
        if since_first_s < 0.0 {
            return None;
        }
        let turn = (since_first_s / cycle_s).floor();
        Some((turn as u64, Duration::from_secs_f64((since_first_s - turn * cycle_s).max(0.0))))
    }
}
