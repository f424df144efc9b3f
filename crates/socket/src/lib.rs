//! What every TCP connection of the tier has in common: socket options, and bounds
//! on the HTTP bodies that are read from it.
//!
//! A connection does not fail by itself when the peer loses power, or when a
//! device on the path, such as a firewall, drops its state of the connection.
//! Keep-alive probes and a limit on the time that written bytes stay
//! unacknowledged close such a connection, in addition to the timeouts that each
//! package has for its exchanges.
//!
//! # Example
//!
//! ```no_run
//! # async fn run() -> std::io::Result<()> {
//! let stream = tokio::net::TcpStream::connect("127.0.0.1:7000").await?;
//! endivevale_socket::set_tcp_options(&stream);
//! # Ok(())
//! # }
//! ```

mod body;

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

pub use self::body::{BodyError, read_body, read_stream};

/// Time for which written bytes may stay unacknowledged before the connection
/// is closed. A healthy peer in the same region acknowledges within
/// milliseconds.
pub const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without received data before the first keep-alive probe.
pub const KEEPALIVE_IDLE: Duration = Duration::from_secs(4);

/// Interval between keep-alive probes. The system supports whole seconds only.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which the connection is closed.
pub const KEEPALIVE_RETRIES: u32 = 3;

/// Disables Nagle's algorithm, and sets the limit on unacknowledged bytes and
/// the keep-alive probes. Logs an option that cannot be set: the connection
/// works without it, since the timeouts of its package still apply.
pub fn set_tcp_options(stream: &TcpStream) {
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
            log::debug!(
                target: "node",
                "Could not set the socket option {name}: {e}; continuing without it."
            );
        }
    }
}
