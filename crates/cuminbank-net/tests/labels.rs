//! Tests of connections with labels.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use cuminbank::event::ExchangeError;
use cuminbank_net::{
    client::{
        ClientAnswer, ClientRequest, ConnectionLabel, ConnectionLabels, HttpPool, LabelCheck,
    },
    runtime,
    server::{self, ServerAction, ServerGate, ServerLimits, ServerRequest, ServerResponse},
};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server that answers with the given status and body, and records the paths.
fn spawn_server(status: u16, body: &'static str, paths: &Rc<RefCell<Vec<String>>>) -> SocketAddr {
    let listener = runtime::listen(([127, 0, 0, 1], 0).into()).expect("loopback has a free port");
    let address = listener.local_addr().expect("the socket is bound");
    let paths = Rc::clone(paths);
    let handler = move |request: ServerRequest| {
        paths.borrow_mut().push(request.path.clone());
        async move { ServerAction::Respond(ServerResponse::new_json(status, body)) }
    };
    monoio::spawn(server::serve(listener, ServerLimits::default(), ServerGate::default(), handler));
    address
}

fn read_label(answer: &ClientAnswer, _: Duration) -> Option<ConnectionLabel> {
    std::str::from_utf8(&answer.body).ok()?.parse().ok()
}

async fn exchange(
    pool: &HttpPool,
    address: SocketAddr,
    expected: Option<ConnectionLabel>,
) -> Result<u16, ExchangeError> {
    let accepts = |label| Some(label) == expected;
    let probe = ClientRequest::new_get("/probe");
    let check = expected.map(|_| LabelCheck { probe, accepts: &accepts });
    let labels = ConnectionLabels { read: &read_label, check };
    let request = ClientRequest::new_get("/order");
    let answer = pool.exchange_labelled(address, request, TIMEOUT, || true, labels).await;
    answer.map(|answer| answer.status)
}

// Guards against an order that reaches another process than the one that it is meant for, because
// nothing is known yet of the process behind a new connection.
#[test]
fn request_is_only_sent_on_a_connection_with_the_right_label() {
    runtime::run(async {
        let paths = Rc::default();
        let (pool, address) = (HttpPool::new(), spawn_server(200, "7", &paths));
        assert_eq!(exchange(&pool, address, Some(7)).await, Ok(200));
        assert_eq!(paths.take(), ["/probe", "/order"]);
        // The label stays with the connection.
        assert_eq!(exchange(&pool, address, Some(7)).await, Ok(200));
        assert_eq!(paths.take(), ["/order"]);
        assert_eq!(exchange(&pool, address, Some(8)).await, Err(ExchangeError::NotSent));
        assert_eq!(paths.take(), Vec::<String>::new());
        // The connection was closed, and the next one is labelled by the first response on it.
        assert_eq!(exchange(&pool, address, None).await, Ok(200));
        assert_eq!(exchange(&pool, address, Some(7)).await, Ok(200));
        assert_eq!(paths.take(), ["/order", "/order"]);
    });
}

// Guards against a probe whose answer is taken for that of the request, and against the loss of an
// answer that tells why nothing can be sent.
#[test]
fn only_an_error_of_the_probe_is_returned() {
    runtime::run(async {
        let paths = Rc::default();
        let address = spawn_server(200, "no label", &paths);
        let outcome = exchange(&HttpPool::new(), address, Some(7)).await;
        assert_eq!(outcome, Err(ExchangeError::NotSent));
        let address = spawn_server(503, "7", &paths);
        assert_eq!(exchange(&HttpPool::new(), address, Some(7)).await, Ok(503));
        assert_eq!(paths.take(), ["/probe", "/probe"]);
    });
}
