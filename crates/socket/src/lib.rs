//! The options that every TCP connection of the tier has.
//!
//! A connection whose other end has lost power, or that something between
//! the two ends has lost track of, gives no sign of it. The system's own
//! probes and its limit on unacknowledged bytes end such a connection, beside
//! the timeouts that each package has for its exchanges.
//!
//! # Example
//!
//! ```no_run
//! # async fn run() -> std::io::Result<()> {
//! let stream = tokio::net::TcpStream::connect("127.0.0.1:7000").await?;
//! endivevale_socket::set_options(&stream);
//! # Ok(())
//! # }
//! ```

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long written bytes may stay unacknowledged. A healthy peer of the same
/// region acknowledges within milliseconds.
pub const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a connection is silent before the system probes it.
pub const KEEPALIVE_IDLE: Duration = Duration::from_secs(4);

/// The time between two probes; the system counts it in whole seconds.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The probes without an answer after which a connection is dead.
pub const KEEPALIVE_RETRIES: u32 = 3;

/// Sets the options. One that the system refuses is logged: the connection
/// works without it, and the timeouts of its package remain.
pub fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let results = [
        ("TCP_NODELAY", stream.set_nodelay(true)),
        ("TCP_USER_TIMEOUT", socket.set_tcp_user_timeout(Some(USER_TIMEOUT))),
        ("SO_KEEPALIVE", socket.set_tcp_keepalive(&keepalive)),
    ];
    for (name, result) in results {
        if let Err(e) = result {
            log::debug!(target: "node", "The system refuses {name}: {e}.");
        }
    }
}
