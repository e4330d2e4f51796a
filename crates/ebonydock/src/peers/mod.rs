//! Messages between VMs over QUIC with mutual TLS.
//!
//! A request and its reply share one bidirectional stream. Dropping the request future cancels the
//! request on the remote VM. Heartbeats and digests are datagrams: losing one costs less than
//! retransmitting it.

mod drop_log;
mod endpoint;
pub mod messages;
#[cfg(test)]
mod tests;
mod tls;

pub(crate) use endpoint::{PeerEndpoint, PeerEvents};
pub(crate) use tls::TlsIdentity;

/// Why a request to another VM failed.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum PeerError {
    /// The address of the VM is not known.
    #[error("VM `{0}` is unknown")]
    UnknownVm(crate::ids::VmId),
    /// Connecting failed; the request was not sent.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// The connection failed or the request timed out; the request may have been handled.
    #[error("no reply: {0}")]
    NoReply(String),
}
