//! Cooperation between the tasks of a thread.

use std::{future::poll_fn, task::Poll};

/// Lets all other tasks that are ready run first, and the runtime poll its sockets.
///
/// An operation on a socket that is ready completes at once, so that a task of a busy connection would
/// otherwise never pause.
pub(crate) async fn yield_now() {
    let mut yielded = false;
    poll_fn(|context| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
