//! Socket options.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use rustix::net::sockopt;

/// The idle time after which the kernel sends a keep-alive probe, and the interval between probes.
/// A peer in the same region responds within milliseconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keep-alive probes after which a connection is closed.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// How long sent bytes may remain unacknowledged.
const USER_TIMEOUT_MS: u32 = 3000;

/// Makes the kernel close a connection whose peer no longer responds, including a peer that stopped
/// without a reset.
///
/// # Errors
///
/// The error of the system if an option cannot be set.
pub fn detect_dead_peer<F>(socket: &F) -> io::Result<()>
where
    F: AsFd,
{
    sockopt::set_socket_keepalive(socket, true)?;
    sockopt::set_tcp_keepidle(socket, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(socket, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(socket, MAX_UNANSWERED_PROBES)?;
    sockopt::set_tcp_user_timeout(socket, USER_TIMEOUT_MS)?;
    Ok(())
}

/// Makes the kernel discard bytes that were not delivered, and reset the connection, when the socket
/// is closed or when sent bytes remain unacknowledged for `timeout`.
///
/// # Errors
///
/// The error of the system if an option cannot be set.
pub fn reset_on_close<F>(socket: &F, timeout: Duration) -> io::Result<()>
where
    F: AsFd,
{
    // Zero would mean the default of the system.
    let millis = u32::try_from(timeout.as_millis())
        .unwrap_or(u32::MAX)
        .max(1);
    sockopt::set_tcp_user_timeout(socket, millis)?;
    sockopt::set_socket_linger(socket, Some(Duration::ZERO))?;
    Ok(())
}

/// Undoes the effect of [`reset_on_close`] on closing.
///
/// # Errors
///
/// The error of the system if the option cannot be set.
pub fn close_without_reset<F>(socket: &F) -> io::Result<()>
where
    F: AsFd,
{
    sockopt::set_socket_linger(socket, None)?;
    Ok(())
}
