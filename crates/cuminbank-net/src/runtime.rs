//! The one constructor of the runtime.

use std::{future::Future, io, net::SocketAddr};

use monoio::{
    net::{udp::UdpSocket, ListenerOpts, TcpListener},
    LegacyDriver, RuntimeBuilder,
};

/// Runs a future on a new runtime of this thread.
///
/// The driver is named explicitly: the default of the library picks io_uring where the kernel has
/// it, and the machines that this runs on forbid io_uring.
pub fn run<F>(future: F) -> F::Output
where
    F: Future,
{
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("the kernel has epoll");
    runtime.block_on(future)
}

/// Listens on a TCP address that no other process uses. The library's default shares ports, and two
/// processes started with the same settings by mistake would each get a part of the requests.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_addr(true).reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}

/// Binds a UDP address that no other process uses.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}
