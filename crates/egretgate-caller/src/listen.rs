//! Listening sockets of the HTTP servers.

use std::io;
use std::net::SocketAddr;

use salvo::conn::tcp::TcpAcceptor;
use tokio::net::TcpSocket;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Binds `address`. Accepted connections inherit the listening socket's `TCP_NODELAY` and so send
/// small parts of an answer without delay.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpAcceptor> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.try_into()
}
