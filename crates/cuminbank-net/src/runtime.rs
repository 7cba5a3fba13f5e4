//! The one constructor of the runtime.

use std::{future::Future, io, net::SocketAddr};

use monoio::{net::TcpListener, LegacyDriver, RuntimeBuilder};

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

/// Listens on a TCP address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
}
