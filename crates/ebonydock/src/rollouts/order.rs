//! Orders of operators to move a service to another version.

use std::time::Duration;

use thiserror::Error;

use crate::ids::{ServiceName, VersionName};

/// Longest duration that an order may name.
const MAX_DURATION: Duration = Duration::from_hours(24);

/// Bounds of all roll-outs of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Largest part of a service's requests between the order and the deadline that a bad version may get.
    pub exposure_share: f64,
    /// Number of requests that a bad version may get in addition.
    pub exposure_slack: u32,
    /// Time after the 50th bad response from which a bad version gets no requests.
    pub rollback_time: Duration,
}

/// Order to move the traffic of a service to the targets of another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service.
    pub service: ServiceName,
    /// New version.
    pub to: VersionName,
    /// Time from the write of the order to its deadline.
    pub duration: Duration,
    /// Version of the order's row in the store.
    pub revision: u64,
}

/// Why an order changes no traffic.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderFault {
    /// The row cannot be decoded.
    #[error("row cannot be decoded: {0}")]
    Unreadable(String),
    /// No service has this name.
    #[error("no service `{0}`")]
    UnknownService(ServiceName),
    /// The name of the version is empty.
    #[error("`to` is empty")]
    NoVersion,
    /// The duration is zero, negative, not a number or too long.
    #[error("`duration_s` is {0}, must be more than 0 and at most 86400")]
    InvalidDuration(String),
}

impl RolloutOrder {
    /// Validates the fields of an order's row.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the order.
    pub fn read(
        service: &ServiceName,
        is_known: bool,
        to: &str,
        duration_s: f64,
        revision: u64,
    ) -> Result<Self, OrderFault> {
        if !is_known {
            return Err(OrderFault::UnknownService(service.clone()));
        }
        if to.is_empty() {
            return Err(OrderFault::NoVersion);
        }
        let invalid_duration = || OrderFault::InvalidDuration(duration_s.to_string());
        let duration = Duration::try_from_secs_f64(duration_s).map_err(|_| invalid_duration())?;
        if duration.is_zero() || duration > MAX_DURATION {
            return Err(invalid_duration());
        }
        Ok(Self { service: service.clone(), to: VersionName::from(to), duration, revision })
    }
}
