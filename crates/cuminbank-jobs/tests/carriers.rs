//! Tests of starts relayed through other instances.

use std::{net::SocketAddr, time::Duration};

use cuminbank_jobs::{
    job::TaskName,
    order::{ExecutorOrder, OrderFailure, OrderReply, OrderRequest, RejectReason},
    relay::{uses_relay, RelayPool, RelayedResult, SortedOrders, StartBundle},
};

const NOW: Duration = Duration::from_secs(50);

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn start(id: u64, job: u64) -> ExecutorOrder {
    let task = TaskName { job, occurrence: 0, step: 0, index: id as u32 };
    let request = OrderRequest::Start {
        task,
        run: 3,
        payload: format!("payload {job}"),
        lease_until: 9_000,
        checkpoint: Some("c".to_owned()),
        ticket: None,
    };
    ExecutorOrder {
        id,
        executor: format!("i-{id}"),
        address: address(1),
        epoch: 7,
        request,
        timeout: Duration::from_millis(350),
        valid_until: NOW + Duration::from_secs(9),
    }
}

fn stop(id: u64) -> ExecutorOrder {
    let task = TaskName { job: 1, occurrence: 0, step: 0, index: 0 };
    ExecutorOrder { request: OrderRequest::Stop { task, run: 1 }, ..start(id, 1) }
}

// Guards against sending the payload over a narrow link once per task, and against bundles so large
// that they occupy the relay's link for longer than an order is valid.
#[test]
fn starts_of_a_job_share_their_payload() {
    let mut orders: Vec<_> = (0..19).map(|id| start(id, 1)).collect();
    orders.extend([start(19, 2), stop(20)]);
    let sorted = SortedOrders::new(orders);
    let sizes: Vec<usize> = sorted.groups.iter().map(Vec::len).collect();
    assert_eq!(sizes, [8, 8, 3]);
    let mut direct: Vec<u64> = sorted.direct.iter().map(|order| order.id).collect();
    direct.sort_unstable();
    assert_eq!(direct, [19, 20]);
    assert!(uses_relay(2.0) && uses_relay(20.0) && !uses_relay(200.0));
}

// Guards against a relay changing an order.
#[test]
fn relayed_start_equals_the_original_order() {
    let group: Vec<_> = (0..3).map(|id| start(id, 1)).collect();
    let received = NOW + Duration::from_secs(1_000);
    let relayed = StartBundle::new(NOW, &group).into_orders(received);
    for (order, original) in relayed.iter().zip(&group) {
        assert_eq!(order.request, original.request);
        assert_eq!((order.epoch, order.address), (original.epoch, original.address));
        assert_eq!(order.executor, original.executor);
        // The clocks of two machines are unrelated, so the bundle only contains the remaining time.
        assert!(order.valid_until > received);
        assert!(order.valid_until <= received + Duration::from_secs(1));
    }
}

// Guards against a relay sending starts after the owner's authority has expired.
#[test]
fn bundle_expires_with_the_authority_of_its_owner() {
    let mut order = start(1, 1);
    order.valid_until = NOW + Duration::from_millis(100);
    let bundle = StartBundle::new(NOW, &[order.clone(), order.clone()]);
    assert_eq!(bundle.valid, Duration::from_millis(100));
    let late = StartBundle::new(NOW + Duration::from_secs(1), &[order.clone(), order]);
    let received = Duration::from_secs(7);
    assert_eq!(late.into_orders(received)[0].valid_until, received);
}

// Guards against a relay changing a result: a start that may have taken effect must not be reported
// as not sent.
#[test]
fn relayed_result_equals_the_original_result() {
    let done = Ok(OrderReply::Done { clock: None });
    let results = [
        done,
        Ok(OrderReply::Rejected { reason: RejectReason::Stale }),
        Ok(OrderReply::Rejected { reason: RejectReason::Fence }),
        Err(OrderFailure::NotSent),
        Err(OrderFailure::Lost),
        Err(OrderFailure::Replaced),
    ];
    for result in results {
        assert_eq!(RelayedResult::new(&result).into_result(), result);
    }
}

// Guards against sending starts to an instance that no longer runs.
#[test]
fn only_live_instances_are_relays() {
    let mut relays = RelayPool::default();
    assert_eq!(relays.next_relay(NOW), None);
    (1..4).for_each(|port| relays.mark_live(NOW, address(port)));
    let mut addresses: Vec<_> = (0..3).filter_map(|_| relays.next_relay(NOW)).collect();
    addresses.sort_unstable();
    assert_eq!(addresses, [address(1), address(2), address(3)]);
    let later = NOW + Duration::from_millis(900);
    relays.mark_live(later, address(2));
    relays.remove(address(3));
    assert_eq!(relays.next_relay(NOW + Duration::from_secs(2)), Some(address(2)));
    assert_eq!(relays.next_relay(NOW + Duration::from_secs(4)), None);
}
