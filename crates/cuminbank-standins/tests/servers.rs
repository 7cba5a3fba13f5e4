//! Tests of the stand-in servers and their fault modes with the clients of `cuminbank-net`, in one
//! process.

use std::time::{Duration, Instant};

use cuminbank::{
    event::ExchangeError,
    store::{StoreReply, StoreRequest, StoreWrite},
};
use cuminbank_net::{
    client::{ClientRequest, HttpPool},
    etcd::StoreClient,
    runtime,
};
use cuminbank_standins::{
    control::FaultMode,
    list::{ListServer, ListSettings},
    store::{StoreLimits, StoreServer},
};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_millis(500);

fn put(key: &str) -> StoreRequest {
    let key = key.to_owned();
    let then = vec![StoreWrite::Put { key, value: "v".into(), lease: None }];
    StoreRequest::Txn { compares: vec![], then, otherwise: vec![] }
}

/// A write whose response is lost must take effect; a write to a store that is down or fails every
/// request must not.
#[test]
fn lost_answer_took_effect_and_down_did_not() {
    runtime::run(async {
        let listener = runtime::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let client = StoreClient::new(vec![listener.local_addr().unwrap()]);
        let server = StoreServer::new(StoreLimits::default(), 1);
        let control = server.control();
        monoio::spawn(server.serve(listener));
        for (mode, key) in [
            (FaultMode::LoseAnswers { percent: 100 }, "/lost"),
            (FaultMode::Down, "/down"),
            (FaultMode::FailAll, "/refused"),
        ] {
            control.set_mode(mode);
            let expected = match mode {
                FaultMode::FailAll => ExchangeError::Refused(500),
                _ => ExchangeError::Lost,
            };
            assert_eq!(client.call(&put(key), TIMEOUT).await, Err(expected), "{mode:?}");
        }
        control.set_mode(FaultMode::Normal);
        let range = StoreRequest::Range { key: "/".to_owned(), prefix: true };
        let StoreReply::Range { values, .. } = client.call(&range, TIMEOUT).await.unwrap() else {
            panic!("the reply to a range read is not a range");
        };
        let keys: Vec<_> = values.iter().map(|value| value.key.as_str()).collect();
        assert_eq!(keys, ["/lost"]);
    });
}

/// Guards against connections that stay silent after the fault has ended: a request on one of them
/// must be answered then, and requests after it too.
#[test]
fn silent_connection_answers_after_the_end_of_the_fault() {
    runtime::run(async {
        let listener = runtime::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.local_addr().unwrap();
        let server = ListServer::new(ListSettings::default(), 1);
        let control = server.control();
        monoio::spawn(server.serve(listener, || json!({})));
        let get = || ClientRequest::new_get("/v1/health/service/cuminbank");
        let pool = HttpPool::new();
        pool.exchange(address, get(), TIMEOUT).await.unwrap();
        control.set_mode(FaultMode::Silent);
        let end_fault = async {
            monoio::time::sleep(TIMEOUT / 2).await;
            control.set_mode(FaultMode::Normal);
        };
        let (waiting, ()) = monoio::join!(pool.exchange(address, get(), TIMEOUT * 4), end_fault);
        assert_eq!(waiting.map(|answer| answer.status), Ok(200), "the waiting request");
        let later = pool.exchange(address, get(), TIMEOUT).await;
        assert_eq!(later.map(|answer| answer.status), Ok(200), "the next request");
    });
}

/// In silent mode, connections that were open must neither respond nor be closed, and new
/// connections must work.
#[test]
fn silent_connection_stays_silent_while_new_ones_work() {
    runtime::run(async {
        let listener = runtime::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.local_addr().unwrap();
        let server = ListServer::new(ListSettings::default(), 1);
        let control = server.control();
        monoio::spawn(server.serve(listener, || json!({})));
        let get = || ClientRequest::new_get("/v1/health/service/cuminbank");
        let pool = HttpPool::new();
        pool.exchange(address, get(), TIMEOUT).await.unwrap();
        control.set_mode(FaultMode::Silent);
        let sent = Instant::now();
        let old = pool.exchange(address, get(), TIMEOUT).await;
        assert_eq!(old.unwrap_err(), ExchangeError::Lost, "the old connection answered");
        assert!(sent.elapsed() >= TIMEOUT, "the old connection was closed");
        let new = HttpPool::new().exchange(address, get(), TIMEOUT).await.unwrap();
        assert_eq!((new.status, &new.body[..]), (200, &b"[]"[..]));
    });
}
