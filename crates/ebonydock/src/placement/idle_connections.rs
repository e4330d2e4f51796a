//! Open connections to targets, as placement sees them.

use std::net::SocketAddr;

/// Knows to which addresses connections are open.
pub trait IdleConnections {
    /// Returns whether a request to the address would use an open connection.
    fn has_idle(&self, address: SocketAddr) -> bool;
}
