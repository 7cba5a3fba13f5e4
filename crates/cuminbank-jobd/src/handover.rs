//! Hand-over of a cell whose traffic the link of its owner cannot carry.

use std::{rc::Rc, time::Duration};

use cuminbank::log::CELL_HANDED_OVER;
use cuminbank_jobs::{
    division::HandoverWatch,
    ids::MonotonicTime,
    peer::{OwnerAnswer, OwnerQuestion, PeerReply, PeerRequest},
    scheduler::DecisionRecord,
};
use monoio::time;

use crate::{cell::CellState, clock, daemon::DaemonState};

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of the question whether an instance is live. Its entry outlives it by up to 5 minutes.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without a reply of the store from which on nothing is handed over, since no other instance
/// could claim the cell.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(600);

/// Hands owned cells over to instances that can carry their traffic.
pub(crate) async fn hand_over_cells(state: Rc<DaemonState>) {
    let settings = &state.settings;
    if !settings.adaptive_division {
        return;
    }
    let mut watch = HandoverWatch::new(settings.resources());
    let mut owned_since: Vec<Option<MonotonicTime>> = Vec::new();
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let (now, cells) = (clock::now(), state.all_cells());
        let candidates = state.registry.borrow().handover_candidates();
        watch.note(now, &candidates);
        owned_since.resize(cells.len(), None);
        for (cell, since) in cells.iter().zip(&mut owned_since) {
            *since = since.or(Some(now)).filter(|_| cell.owns());
            let (Some(since), Some(tally)) = (*since, cell.tally()) else { continue };
            // A new owner starts no task of earlier jobs until it has reached every executor, or for
            // about 6 s.
            if tally.silent > 0 || tally.unsettled > 0 {
                continue;
            }
            let executors = tally.known;
            let Some(target) = watch.choose(now, since, executors, &candidates) else { continue };
            if !state.is_live(cell, target.peer_address).await
                || !cell.owns()
                || state.store.silence() > MAX_STORE_SILENCE
            {
                continue;
            }
            watch.on_handed_over(now);
            let detail = format!("cell={} executors={executors} to={}", cell.id, target.instance);
            state.log(&DecisionRecord { code: CELL_HANDED_OVER, job: None, detail });
            cell.hand_over(&state);
        }
    }
}

impl DaemonState {
    /// Returns whether an instance that does not own a cell replies.
    async fn is_live(&self, cell: &CellState, address: std::net::SocketAddr) -> bool {
        let asker = self.settings.peer_address;
        let question = PeerRequest::Ask(OwnerQuestion::Load { cell: cell.id, asker });
        let reply = self.peers.exchange(address, &question, OWNER_TIMEOUT).await;
        matches!(reply, Ok(PeerReply::Answer(OwnerAnswer::NotOwner)))
    }
}
