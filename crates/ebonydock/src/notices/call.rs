//! Delivering a call to a target of its service.

use std::rc::Rc;

use rand::seq::SliceRandom;

use crate::ids::{ServiceName, WorkspaceId};
use crate::notices::ledger::{NoticeEntry, NoticeTicket, call_digest, enter, notice_key};
use crate::notices::{NoticeError, NoticeState};
use crate::targets::{ServiceRequest, ServiceResponse, TargetError};
use crate::vm::VmContext;

/// An idempotent call is tried on this many targets.
const MOST_TARGETS: usize = 3;

/// A call of a plain service.
pub(crate) struct CallOrder {
    /// The workspace that calls; `None` on a route open to all.
    pub(crate) workspace: Option<WorkspaceId>,
    /// The service.
    pub(crate) service: ServiceName,
    /// Whether the call may be sent again when its outcome is unknown.
    pub(crate) idempotent: bool,
    /// Names the call over resends.
    pub(crate) idempotency_key: Option<String>,
    /// The call.
    pub(crate) request: ServiceRequest,
}

/// How a try on one target ended, when there was no answer.
enum FailedTry {
    NotSent,
    MaybeSent,
}

/// Delivers a call. A call that must not be repeated goes on even when its caller disconnects, so that
/// its outcome is kept.
pub(crate) async fn deliver_call(
    context: &Rc<VmContext>,
    order: CallOrder,
) -> Result<ServiceResponse, NoticeError> {
    if order.idempotent {
        return call_idempotent(context, &order).await;
    }
    let context = Rc::clone(context);
    let running = context.start_request();
    let call = ntex::rt::spawn(async move {
        let result = call_once(&context, &order).await;
        drop(running);
        result
    });
    call.await.unwrap_or(Err(NoticeError::OutcomeUnknown))
}

/// The addresses of the service's targets, own data centre first, otherwise in random order.
fn addresses(context: &VmContext, service: &ServiceName) -> Vec<String> {
    let out = |id: &_| context.shared.with_config(|config| config.is_out(id));
    let own = &context.settings().data_centre;
    let fleet = context.shared.fleet();
    let mut targets = fleet.services(service);
    targets.retain(|target| !out(&target.data_centre));
    targets.shuffle(&mut rand::rng());
    targets.sort_by_key(|target| target.data_centre != *own);
    targets.into_iter().map(|target| target.address.clone()).collect()
}

async fn call_idempotent(
    context: &VmContext,
    order: &CallOrder,
) -> Result<ServiceResponse, NoticeError> {
    let addresses = addresses(context, &order.service);
    if addresses.is_empty() {
        return Err(NoticeError::NoTarget);
    }
    let mut error = NoticeError::NotSent;
    for address in addresses.iter().take(MOST_TARGETS) {
        match try_target(context, address, order).await {
            Ok(response) => return Ok(response),
            Err(FailedTry::NotSent) => {}
            Err(FailedTry::MaybeSent) => error = NoticeError::OutcomeUnknown,
        }
        if !context.shared.retry_budget().spend() {
            break;
        }
    }
    Err(error)
}

async fn call_once(context: &VmContext, order: &CallOrder) -> Result<ServiceResponse, NoticeError> {
    let (Some(workspace), Some(idempotency_key)) = (&order.workspace, &order.idempotency_key)
    else {
        return send_once(context, order, None).await;
    };
    if addresses(context, &order.service).is_empty() {
        return Err(NoticeError::NoTarget);
    }
    let key = notice_key(workspace, idempotency_key);
    let digest = call_digest(order.service.as_str(), &order.request);
    match enter(context.table.as_ref(), &key, &digest).await? {
        NoticeEntry::Replayed(response) => Ok(response),
        NoticeEntry::Open(mut ticket) => {
            ticket.mark_sending().await?;
            send_once(context, order, Some(&ticket)).await
        }
    }
}

/// Sends a call to the first target that can be reached, and never again once bytes may have been sent.
async fn send_once(
    context: &VmContext,
    order: &CallOrder,
    ticket: Option<&NoticeTicket<'_>>,
) -> Result<ServiceResponse, NoticeError> {
    let addresses = addresses(context, &order.service);
    let known = !addresses.is_empty();
    for address in addresses {
        match try_target(context, &address, order).await {
            Ok(response) => {
                if let Some(ticket) = ticket {
                    ticket.settle(NoticeState::Answered(response.clone())).await;
                }
                return Ok(response);
            }
            Err(FailedTry::NotSent) => {}
            Err(FailedTry::MaybeSent) => {
                if let Some(ticket) = ticket {
                    ticket.settle(NoticeState::Unknown).await;
                }
                return Err(NoticeError::OutcomeUnknown);
            }
        }
    }
    if let Some(ticket) = ticket {
        ticket.abandon().await;
    }
    Err(if known { NoticeError::NotSent } else { NoticeError::NoTarget })
}

async fn try_target(
    context: &VmContext,
    address: &str,
    order: &CallOrder,
) -> Result<ServiceResponse, FailedTry> {
    match context.services.call(address, &order.request).await {
        Ok(response) => Ok(response),
        Err(TargetError::NotSent) => Err(FailedTry::NotSent),
        Err(error) => {
            log::warn!("notices: Service `{}` at {address}: {error}.", order.service);
            Err(FailedTry::MaybeSent)
        }
    }
}
