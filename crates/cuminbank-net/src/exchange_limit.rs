//! Limit on concurrent exchanges with one address.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use local_sync::semaphore::{OwnedSemaphorePermit, Semaphore};
use monoio::time;

/// Permits for exchanges, for each address. Connections are reused, so this also limits the open
/// connections to an address.
#[derive(Debug)]
pub(crate) struct ExchangeLimit {
    permits: Cell<usize>,
    addresses: RefCell<HashMap<SocketAddr, Rc<Semaphore>>>,
}

impl ExchangeLimit {
    pub(crate) fn new(permits: usize) -> Self {
        Self { permits: Cell::new(permits), addresses: RefCell::default() }
    }

    /// Changes the limit. Exchanges in progress do not count towards the new one.
    pub(crate) fn set(&self, permits: usize) {
        if self.permits.replace(permits) != permits {
            self.addresses.borrow_mut().clear();
        }
    }

    /// Waits for a permit in the order of the calls. Returns `None` if there is none within
    /// `timeout`.
    pub(crate) async fn acquire(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Option<OwnedSemaphorePermit> {
        let semaphore = {
            let mut addresses = self.addresses.borrow_mut();
            let new = || Rc::new(Semaphore::new(self.permits.get()));
            Rc::clone(addresses.entry(address).or_insert_with(new))
        };
        time::timeout(timeout, semaphore.acquire_owned()).await.ok()?.ok()
    }

    /// Forgets the addresses without exchanges.
    pub(crate) fn forget_unused(&self) {
        self.addresses.borrow_mut().retain(|_, semaphore| Rc::strong_count(semaphore) > 1);
    }
}
