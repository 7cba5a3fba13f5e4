//! Construction of the async runtime and its sockets.

use std::{future::Future, io, net::SocketAddr};

use monoio::{
    net::{udp::UdpSocket, ListenerOpts, TcpListener},
    LegacyDriver, RuntimeBuilder,
};

/// Runs a future on a new runtime of this thread.
///
/// The epoll driver is selected explicitly: by default the library uses io_uring if the kernel
/// supports it, and the production machines forbid io_uring.
pub fn run<F>(future: F) -> F::Output
where
    F: Future,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the kernel supports epoll");
    runtime.block_on(future)
}

/// Listens on a TCP address, without port sharing. The library shares ports by default, and two
/// processes started with the same settings by mistake would each get a part of the requests.
///
/// Fails if the address is in use or cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(address, &listener_options())
}

/// Like [`listen`], with a bound on what the kernel holds for connections: `backlog` connections that
/// have not been accepted, and socket buffers of a size that accepted connections inherit.
///
/// The kernel takes up to twice the size. Without it, the buffers grow to megabytes.
pub fn listen_bounded(
    address: SocketAddr,
    backlog: usize,
    socket_buffer: usize,
) -> io::Result<TcpListener> {
    let options = listener_options()
        .backlog(i32::try_from(backlog).unwrap_or(i32::MAX))
        .recv_buf_size(socket_buffer)
        .send_buf_size(socket_buffer);
    TcpListener::bind_with_config(address, &options)
}

fn listener_options() -> ListenerOpts {
    ListenerOpts::new().reuse_addr(true).reuse_port(false)
}

/// Binds a UDP socket, without port sharing.
///
/// Fails if the address is in use or cannot be bound.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}
