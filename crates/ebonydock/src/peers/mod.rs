//! Messages between VMs over QUIC with mutual TLS.
//!
//! A request and its reply share one bidirectional stream; dropping the request cancels it at the other
//! end. Heartbeats and digests are datagrams: losing one costs less than repeating it.

mod endpoint;
pub mod messages;
mod tls;

pub(crate) use endpoint::{PeerEndpoint, PeerEvents};
pub(crate) use tls::TlsIdentity;

/// Why a request to another VM failed.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum PeerError {
    /// The VM has no known address.
    #[error("VM `{0}` is unknown")]
    UnknownVm(crate::ids::VmId),
    /// No connection could be made; the request was not sent.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// The connection broke or the time ran out; the request may have been handled.
    #[error("no reply: {0}")]
    NoReply(String),
}
