//! Options of sockets.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use rustix::net::sockopt;

/// The silence after which a connection is probed, and the pause between two probes. A peer in the
/// same region answers within milliseconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The probes without an answer that end a connection.
const PROBES: u32 = 2;

/// How long sent bytes may stay without an acknowledgement, in milliseconds.
const UNACKNOWLEDGED_MILLIS: u32 = 3000;

/// Has the kernel end a connection whose other side no longer answers, also one that went silent
/// without a reset.
///
/// # Errors
///
/// Why an option cannot be set.
pub fn detect_dead_peer<F>(socket: &F) -> io::Result<()>
where
    F: AsFd,
{
    sockopt::set_socket_keepalive(socket, true)?;
    sockopt::set_tcp_keepidle(socket, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(socket, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(socket, PROBES)?;
    sockopt::set_tcp_user_timeout(socket, UNACKNOWLEDGED_MILLIS)?;
    Ok(())
}
