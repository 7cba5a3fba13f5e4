//! Sending of orders, either directly or, if the own link is narrow, through a relay instance.

use std::{net::SocketAddr, rc::Rc};

use cuminbank::{event::ExchangeError, log::STARTS_NOT_RELAYED};
use cuminbank_jobs::{
    order::{ExecutorOrder, OrderFailure},
    peer::{PeerReply, PeerRequest},
    relay::{uses_relay, RelayedResult, SortedOrders, StartBundle},
    scheduler::{DecisionRecord, JobEvent},
};

use crate::{cell::CellState, clock, daemon::DaemonState};

/// Sends the orders that a cell's scheduler issued for one event. The scheduler receives a result
/// for each, unless the generation is over by then.
pub(crate) fn send_orders(
    state: &Rc<DaemonState>,
    cell: &Rc<CellState>,
    generation: u64,
    orders: Vec<ExecutorOrder>,
) {
    if !uses_relay(state.settings.link_mbps) {
        return orders.into_iter().for_each(|order| send_one(state, cell, generation, order));
    }
    let sorted = SortedOrders::new(orders);
    sorted.direct.into_iter().for_each(|order| send_one(state, cell, generation, order));
    for group in sorted.groups {
        let relay = state.relays.borrow_mut().next_relay(clock::now());
        match relay {
            Some(relay) => send_group(state, cell, generation, relay, group),
            None => group.into_iter().for_each(|order| send_one(state, cell, generation, order)),
        }
    }
}

fn send_one(state: &Rc<DaemonState>, cell: &Rc<CellState>, generation: u64, order: ExecutorOrder) {
    let (state, cell) = (Rc::clone(state), Rc::clone(cell));
    monoio::spawn(async move {
        let id = order.id;
        let result = state.send_order(order).await;
        cell.apply_if_current(&state, generation, JobEvent::OrderCompleted { id, result });
    });
}

fn send_group(
    state: &Rc<DaemonState>,
    cell: &Rc<CellState>,
    generation: u64,
    relay: SocketAddr,
    group: Vec<ExecutorOrder>,
) {
    let (state, cell) = (Rc::clone(state), Rc::clone(cell));
    let now = clock::now();
    let bundle = StartBundle::new(now, &group);
    let send_until = now + bundle.valid;
    let ids: Vec<_> = group.iter().map(|order| order.id).collect();
    monoio::spawn(async move {
        let wait = bundle.wait();
        let request = PeerRequest::Carry(bundle);
        // The relay measures the validity from the arrival of the bundle, and this process may have
        // been suspended since the decision. So the send time is checked as well.
        let may_send = || clock::now() < send_until;
        let reply = state.peers.exchange_if(relay, &request, wait, may_send).await;
        let relayed = match &reply {
            Ok(PeerReply::Carried(results)) => results.len() == ids.len(),
            _ => false,
        };
        if !relayed {
            state.relays.borrow_mut().remove(relay);
            let detail = format!("carrier={relay} starts={} cause={reply:?}", ids.len());
            state.log(&DecisionRecord { code: STARTS_NOT_RELAYED, job: None, detail });
        }
        let results = match reply {
            Ok(PeerReply::Carried(results)) if relayed => results,
            Ok(PeerReply::Unsupported { .. }) | Err(ExchangeError::NotSent)
                if clock::now() < send_until =>
            {
                // The relay has sent nothing, so the orders can go directly.
                return group
                    .into_iter()
                    .for_each(|order| send_one(&state, &cell, generation, order));
            }
            Ok(PeerReply::Unsupported { .. }) | Err(ExchangeError::NotSent) => {
                vec![RelayedResult::Failed(OrderFailure::NotSent); ids.len()]
            }
            // Each start may have been sent. The scheduler repeats it under the same run number.
            _ => vec![RelayedResult::Failed(OrderFailure::Lost); ids.len()],
        };
        for (id, result) in ids.into_iter().zip(results) {
            let result = result.into_result();
            cell.apply_if_current(&state, generation, JobEvent::OrderCompleted { id, result });
        }
    });
}

impl DaemonState {
    /// Sends the starts of another instance and returns the result of each, in order.
    pub(crate) async fn relay_starts(self: &Rc<Self>, bundle: StartBundle) -> Vec<RelayedResult> {
        self.metrics.count("bundle.carried", "");
        let orders = bundle.into_orders(clock::now());
        let sent: Vec<_> = orders
            .into_iter()
            .map(|order| {
                let state = Rc::clone(self);
                monoio::spawn(async move { RelayedResult::new(&state.send_order(order).await) })
            })
            .collect();
        let mut results = Vec::with_capacity(sent.len());
        for result in sent {
            results.push(result.await);
        }
        results
    }
}
