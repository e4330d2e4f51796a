//! The limits of a VM's memory and descriptors, and what is derived from them.

use std::time::Duration;

/// Memory if the settings name none: more than any VM has, so that the budget refuses nothing.
const DEFAULT_MEMORY_BYTES: u64 = 16 * 1024 * 1024 * 1024;
/// Descriptors if the settings name none; the limit of the server library for connections is lower.
const DEFAULT_DESCRIPTORS: usize = 65_536;
/// The smallest valid limits. A process without callers takes about 20 MB.
const MIN_MEMORY_BYTES: u64 = 48 * 1024 * 1024;
const MIN_DESCRIPTORS: usize = 400;
/// The part of the memory from which everything for callers and targets is allocated. The rest is for the program,
/// its tables, the buffers of connections and what the allocator can't reuse, which is up to the same again.
const BUDGET_FRACTION: f64 = 0.3;
/// The part of the budget that only small request bodies may use.
const SMALL_RESERVE_FRACTION: f64 = 0.25;
/// The part of the budget that unread responses may use.
const RESPONSE_FRACTION: f64 = 0.35;
/// The part of the budget that results of jobs may use while their readers take them, and the part of it that the
/// readers of one workspace may use.
const RESULT_FRACTION: f64 = 0.35;
const OWNER_RESULT_FRACTION: f64 = 0.5;
/// Bodies up to this size are small. Requests of ordinary callers have a few KB.
const SMALL_BYTES: u64 = 64 * 1024;
/// Descriptors for files.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors for the store, listeners, readiness checks, metrics and other VMs.
const OWN_DESCRIPTORS: usize = 60;
/// Callers send a body of 4 MB within a deadline of 5 s over a link of 22 Mbit/s that they share; this is a
/// hundredth of that.
const MIN_BODY_RATE: u64 = 8 * 1024;
/// A path that loses packets can stall for several retransmission timeouts.
const BODY_STALL_TIME: Duration = Duration::from_secs(1);
/// A connection takes a response in pieces of up to 32 KB, which are 4 s apart at the minimum rate.
const RESPONSE_STALL_TIME: Duration = Duration::from_secs(4);

/// Limits of what a VM holds for callers and targets.
#[derive(Clone, Debug, PartialEq)]
pub struct MemorySettings {
    /// Bytes that everything held for callers and targets may have together.
    pub budget_bytes: u64,
    /// The part of the budget that is reserved for request bodies of at most `small_bytes`.
    pub small_reserve_bytes: u64,
    /// The largest request body that may use the reserve, in bytes.
    pub small_bytes: u64,
    /// Bytes that responses that callers have not read may have together.
    pub response_bytes: u64,
    /// Bytes that results of jobs may have together while their readers take them.
    pub result_bytes: u64,
    /// The part of `result_bytes` that the readers of one workspace may use.
    pub owner_result_bytes: u64,
    /// A body that arrives, or a page of results that is read, more slowly loses its allocation when another one needs
    /// it, in bytes per second.
    pub min_body_rate: u64,
    /// A body of which nothing arrives for this long does so as well.
    pub body_stall_time: Duration,
    /// A page of results of which nothing is read for this long does so as well.
    pub response_stall_time: Duration,
    /// Limit for connections of callers.
    pub max_caller_connections: usize,
    /// Limit for idle connections to targets and to the platform.
    pub max_idle_connections: usize,
    /// Size of the kernel's receive buffer of a connection in bytes; `None` leaves it to the kernel.
    pub receive_buffer_bytes: Option<usize>,
}

impl MemorySettings {
    /// Derives all limits from the memory in bytes and the number of descriptors that the process may use. `None`
    /// stands for a limit that is never reached.
    ///
    /// # Errors
    ///
    /// Returns a message that names the limit that is too low.
    pub fn derive(memory_bytes: Option<u64>, descriptors: Option<usize>) -> Result<Self, String> {
        let memory = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        if memory < MIN_MEMORY_BYTES {
            return Err(format!("memory: {memory} bytes, at least {MIN_MEMORY_BYTES} are needed"));
        }
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        if descriptors < MIN_DESCRIPTORS {
            return Err(format!(
                "descriptors: {descriptors}, at least {MIN_DESCRIPTORS} are needed"
            ));
        }
        let budget_bytes = (memory as f64 * BUDGET_FRACTION) as u64;
        let part = |fraction: f64| (budget_bytes as f64 * fraction) as u64;
        // A forwarded request takes one connection of a caller and one to a target.
        let for_connections = descriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS;
        let max_caller_connections = for_connections * 2 / 5;
        Ok(Self {
            budget_bytes,
            small_reserve_bytes: part(SMALL_RESERVE_FRACTION),
            small_bytes: SMALL_BYTES,
            response_bytes: part(RESPONSE_FRACTION),
            result_bytes: part(RESULT_FRACTION),
            owner_result_bytes: part(RESULT_FRACTION * OWNER_RESULT_FRACTION),
            min_body_rate: MIN_BODY_RATE,
            body_stall_time: BODY_STALL_TIME,
            response_stall_time: RESPONSE_STALL_TIME,
            max_caller_connections,
            max_idle_connections: for_connections - 2 * max_caller_connections,
            // At the limit of connections, unread bytes then take less than a tenth of the memory.
            receive_buffer_bytes: memory_bytes
                .map(|bytes| (bytes / 2048).clamp(32 * 1024, 256 * 1024) as usize),
        })
    }
}

impl MemorySettings {
    /// Checks the limits against each other.
    ///
    /// # Errors
    ///
    /// Returns a message that names the limit that is not valid.
    pub fn check(&self) -> Result<(), String> {
        let parts = [
            ("small_reserve_bytes", self.small_reserve_bytes),
            ("response_bytes", self.response_bytes),
            ("result_bytes", self.result_bytes),
            ("owner_result_bytes", self.owner_result_bytes),
            ("small_bytes", self.small_bytes),
        ];
        if let Some((name, bytes)) = parts.into_iter().find(|(_, bytes)| *bytes > self.budget_bytes)
        {
            let budget = self.budget_bytes;
            return Err(format!("{name}: {bytes} bytes are more than the budget of {budget}"));
        }
        if self.max_caller_connections == 0 || self.max_idle_connections == 0 {
            return Err("no connection is permitted".to_owned());
        }
        Ok(())
    }
}

impl Default for MemorySettings {
    fn default() -> Self {
        Self {
            budget_bytes: (DEFAULT_MEMORY_BYTES as f64 * BUDGET_FRACTION) as u64,
            small_reserve_bytes: 0,
            small_bytes: SMALL_BYTES,
            response_bytes: (DEFAULT_MEMORY_BYTES as f64 * BUDGET_FRACTION) as u64,
            result_bytes: (DEFAULT_MEMORY_BYTES as f64 * BUDGET_FRACTION) as u64,
            owner_result_bytes: (DEFAULT_MEMORY_BYTES as f64 * BUDGET_FRACTION) as u64,
            min_body_rate: MIN_BODY_RATE,
            body_stall_time: BODY_STALL_TIME,
            response_stall_time: RESPONSE_STALL_TIME,
            max_caller_connections: DEFAULT_DESCRIPTORS,
            max_idle_connections: DEFAULT_DESCRIPTORS,
            receive_buffer_bytes: None,
        }
    }
}
