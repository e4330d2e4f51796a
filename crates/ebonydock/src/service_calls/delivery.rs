//! Delivers calls to the targets of their service.

use std::rc::Rc;

use rand::seq::SliceRandom;

use crate::ids::{ServiceName, WorkspaceId};
use crate::service_calls::reservation::{
    CallReservation, ReserveOutcome, call_digest, call_key, reserve_call,
};
use crate::service_calls::{CallError, CallState};
use crate::targets::{ServiceRequest, ServiceResponse, TargetError};
use crate::vm::VmContext;

/// Maximum number of targets on which an idempotent call is attempted.
const MAX_TARGETS: usize = 3;

/// Call of a plain service.
pub(crate) struct OutgoingCall {
    /// Workspace of the caller; `None` on a route that needs no key.
    pub(crate) workspace: Option<WorkspaceId>,
    /// Service to call.
    pub(crate) service: ServiceName,
    /// Whether the call may be retried when its outcome is unknown.
    pub(crate) idempotent: bool,
    /// Key chosen by the caller that identifies the call across retries.
    pub(crate) idempotency_key: Option<String>,
    /// Request to send.
    pub(crate) request: ServiceRequest,
}

/// Why an attempt on one target got no response.
enum AttemptFailure {
    /// No byte was sent.
    NotSent,
    /// Bytes may have been sent.
    MaybeSent,
}

/// Delivers a call. A call that is not idempotent continues when its caller disconnects, so that its
/// outcome is stored.
pub(crate) async fn deliver_call(
    context: &Rc<VmContext>,
    call: OutgoingCall,
) -> Result<ServiceResponse, CallError> {
    if call.idempotent {
        return call_idempotent(context, &call).await;
    }
    let context = Rc::clone(context);
    let running = context.start_request();
    let task = ntex::rt::spawn(async move {
        let result = call_once(&context, &call).await;
        drop(running);
        result
    });
    task.await.unwrap_or(Err(CallError::OutcomeUnknown))
}

/// Returns the addresses of the service's targets in random order, those of the local data centre first.
fn target_addresses(context: &VmContext, service: &ServiceName) -> Vec<String> {
    let is_out_of_service =
        |id: &_| context.shared.with_config(|config| config.is_out_of_service(id));
    let local_data_centre = &context.settings().data_centre;
    let fleet = context.shared.fleet();
    let mut targets = fleet.services(service);
    targets.retain(|target| !is_out_of_service(&target.data_centre));
    targets.shuffle(&mut rand::rng());
    targets.sort_by_key(|target| target.data_centre != *local_data_centre);
    targets.into_iter().map(|target| target.address.clone()).collect()
}

async fn call_idempotent(
    context: &VmContext,
    call: &OutgoingCall,
) -> Result<ServiceResponse, CallError> {
    let addresses = target_addresses(context, &call.service);
    if addresses.is_empty() {
        return Err(CallError::NoTarget);
    }
    let mut error = CallError::NotSent;
    for address in addresses.iter().take(MAX_TARGETS) {
        match attempt_call(context, address, call).await {
            Ok(response) => return Ok(response),
            Err(AttemptFailure::NotSent) => {}
            Err(AttemptFailure::MaybeSent) => error = CallError::OutcomeUnknown,
        }
        if !context.shared.retry_budget().try_acquire() {
            break;
        }
    }
    Err(error)
}

async fn call_once(context: &VmContext, call: &OutgoingCall) -> Result<ServiceResponse, CallError> {
    let (Some(workspace), Some(idempotency_key)) = (&call.workspace, &call.idempotency_key) else {
        return send_once(context, call, None).await;
    };
    if target_addresses(context, &call.service).is_empty() {
        return Err(CallError::NoTarget);
    }
    let key = call_key(workspace, idempotency_key);
    let digest = call_digest(call.service.as_str(), &call.request);
    match reserve_call(context.table.as_ref(), &key, &digest).await? {
        ReserveOutcome::Replayed(response) => Ok(response),
        ReserveOutcome::Reserved(mut reservation) => {
            reservation.mark_sending().await?;
            send_once(context, call, Some(&reservation)).await
        }
    }
}

/// Sends a call to the first reachable target. Never retries once bytes may have been sent.
async fn send_once(
    context: &VmContext,
    call: &OutgoingCall,
    reservation: Option<&CallReservation<'_>>,
) -> Result<ServiceResponse, CallError> {
    let addresses = target_addresses(context, &call.service);
    let has_targets = !addresses.is_empty();
    for address in addresses {
        match attempt_call(context, &address, call).await {
            Ok(response) => {
                if let Some(reservation) = reservation {
                    reservation.record_outcome(CallState::Answered(response.clone())).await;
                }
                return Ok(response);
            }
            Err(AttemptFailure::NotSent) => {}
            Err(AttemptFailure::MaybeSent) => {
                if let Some(reservation) = reservation {
                    reservation.record_outcome(CallState::Unknown).await;
                }
                return Err(CallError::OutcomeUnknown);
            }
        }
    }
    if let Some(reservation) = reservation {
        reservation.release().await;
    }
    Err(if has_targets { CallError::NotSent } else { CallError::NoTarget })
}

async fn attempt_call(
    context: &VmContext,
    address: &str,
    call: &OutgoingCall,
) -> Result<ServiceResponse, AttemptFailure> {
    match context.services.call(address, &call.request).await {
        Ok(response) => Ok(response),
        Err(TargetError::NotSent) => Err(AttemptFailure::NotSent),
        Err(error) => {
            log::warn!(
                "notices: Call of service `{}` at {address} may have been handled but failed: {error}.",
                call.service
            );
            Err(AttemptFailure::MaybeSent)
        }
    }
}
