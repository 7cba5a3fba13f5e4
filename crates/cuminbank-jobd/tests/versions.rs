//! Tests of daemon processes that meet records and messages of later builds.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::Stdio,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use cuminbank::message::{decode, encode};
use cuminbank_jobs::{
    formats::{encode_versioned, SUPPORTED_FORMATS},
    peer::{OwnerAnswer, OwnerQuestion, PeerReply, PeerRequest},
};
use serde_json::{json, Value};

use support::{call, read_text, Deployment, PoolShape};

fn job() -> Value {
    json!({ "spec": "p", "steps": [
        { "count": 2, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 300 },
    ]})
}

fn status(deployment: &Deployment, number: usize) -> Option<Value> {
    call(deployment.operators[number], "GET", "/v1/status", "").map(|(_, status)| status)
}

/// Sends a message to an instance and returns the bytes of the reply.
fn exchange(stream: &mut TcpStream, message: &[u8]) -> Vec<u8> {
    let length = u32::try_from(message.len()).expect("a short message").to_be_bytes();
    stream.write_all(&[&length, message].concat()).expect("the instance accepts messages");
    let mut prefix = [0; 4];
    stream.read_exact(&mut prefix).expect("the instance replies");
    let mut reply = vec![0; u32::from_be_bytes(prefix) as usize];
    stream.read_exact(&mut reply).expect("the reply has the length that it states");
    reply
}

// Guards against an asker of a later build that cannot tell an unknown request from a lost one, and
// against an instance that breaks on one.
#[test]
fn unknown_requests_are_answered_as_unsupported() {
    let deployment = Deployment::start(1, 100, Stdio::null);
    // The port before the one for operators is for other instances.
    let operator = deployment.operators[0];
    let peer = SocketAddr::new(operator.ip(), operator.port() - 1);
    let mut stream = TcpStream::connect(peer).expect("the instance listens");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("the timeout is valid");
    let question = OwnerQuestion::Pending { cell: 0, queue: "plans".to_owned() };
    let known = encode(&PeerRequest::Ask(question.clone())).to_vec();
    let mut longer = known.clone();
    longer.push(1);
    let unknown: [Vec<u8>; 6] = [
        vec![2],
        vec![0, 5, 0],
        vec![0xff; 40],
        Vec::new(),
        longer,
        encode_versioned(2, &PeerRequest::Ask(question)),
    ];
    let unsupported = PeerReply::Unsupported { newest: SUPPORTED_FORMATS.newest };
    for message in unknown {
        let reply = exchange(&mut stream, &message);
        assert_eq!(decode(&reply), Some(unsupported.clone()), "{message:?}");
    }
    let reply = exchange(&mut stream, &known);
    assert_eq!(decode(&reply), Some(PeerReply::Answer(OwnerAnswer::Pending(0))));
}

// Guards against an instance that serves records which it may not be able to read, or writes beside
// builds that can: at once when the version is raised, and when it starts later.
#[test]
fn instance_of_an_older_build_than_the_records_serves_nothing() {
    let mut deployment = Deployment::start(2, 100, Stdio::null);
    deployment.submit(1, &job());
    deployment.wait("job 1 is not completed", |deployment| deployment.is_completed(1));
    let version = SUPPORTED_FORMATS.newest + 1;
    // The base64 text of the version as one byte.
    assert_eq!(version, 2);
    let raise = json!({ "expected-revision": [], "remove": [], "puts": [
        { "key": "cuminbank/owner/format", "value": "Ag==" },
    ]});
    call(deployment.store, "POST", "/kv-txn", &raise.to_string()).expect("the stand-in replies");
    let serves_nothing = |deployment: &Deployment, number: usize| {
        status(deployment, number).is_some_and(|status| {
            status["formats"]["pool"] == json!(version)
                && status["ready"] == json!(false)
                && status["owns_pool"] == json!(false)
        })
    };
    deployment.wait("an instance still serves", |deployment| {
        (0..2).all(|number| serves_nothing(deployment, number))
    });
    deployment.instances[1].kill();
    deployment.instances[1].restart();
    deployment.wait("the late instance serves", |deployment| serves_nothing(deployment, 1));
    let before = records(&deployment);
    // Longer than a claim takes.
    thread::sleep(Duration::from_secs(2));
    for client in &deployment.clients {
        let answer = call(*client, "POST", "/p/0000000000000002", &job().to_string());
        assert_eq!(answer.map(|(status, _)| status), Some(503));
    }
    assert!((0..2).all(|number| serves_nothing(&deployment, number)));
    assert_eq!(records(&deployment), before);
}

/// Starts a peer at an address that knows no request, and records the questions that it gets.
fn start_unknowing_peer(address: SocketAddr) -> Arc<Mutex<Vec<OwnerQuestion>>> {
    let listener = TcpListener::bind(address).expect("the address of the killed instance is free");
    let questions = Arc::new(Mutex::new(Vec::new()));
    let asked = Arc::clone(&questions);
    // The thread ends with the test process.
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, asked) = (stream.expect("the listener accepts"), Arc::clone(&asked));
            thread::spawn(move || loop {
                let mut prefix = [0; 4];
                if stream.read_exact(&mut prefix).is_err() {
                    return;
                }
                let mut message = vec![0; u32::from_be_bytes(prefix) as usize];
                stream.read_exact(&mut message).expect("a message has the length that it states");
                if let Some(PeerRequest::Ask(question)) = decode(&message) {
                    asked.lock().expect("no other thread panics").push(question);
                }
                let bytes = encode(&PeerReply::Unsupported { newest: SUPPORTED_FORMATS.newest });
                let length = u32::try_from(bytes.len()).expect("a short reply").to_be_bytes();
                if stream.write_all(&[&length, &bytes[..]].concat()).is_err() {
                    return;
                }
            });
        }
    });
    questions
}

// Guards against decisions by the report of an earlier owner once the owner has replied that it does
// not know the question for the room.
#[test]
fn room_is_unknown_once_the_owner_does_not_know_the_question() {
    let shape = PoolShape { admission: true, ..PoolShape::default() };
    let mut deployment = Deployment::start_with_shape(2, 100, shape);
    let metrics = |deployment: &Deployment, number: usize| {
        read_text(deployment.operators[number], "/metrics").unwrap_or_default()
    };
    deployment.wait("the room is not known", |deployment| {
        (0..2).all(|number| metrics(deployment, number).contains("admission.room"))
    });
    let owner = deployment.owner().expect("an instance owns the pool");
    let operator = deployment.operators[owner];
    deployment.instances[owner].kill();
    let questions = start_unknowing_peer(SocketAddr::new(operator.ip(), operator.port() - 1));
    // With the last report in use, the instance would go on asking only for the room for 1.8 s.
    let mut polls = Vec::new();
    deployment.wait("the owner is not asked", |_| {
        let asked = questions.lock().expect("no other thread panics");
        let is_poll = |question: &&OwnerQuestion| {
            matches!(question, OwnerQuestion::Room { .. } | OwnerQuestion::Load { .. })
        };
        polls = asked.iter().filter(is_poll).take(2).cloned().collect();
        polls.len() == 2
    });
    assert!(
        matches!(polls[..], [OwnerQuestion::Room { .. }, OwnerQuestion::Load { .. }]),
        "{polls:?}"
    );
}

/// Starts a peer that knows no bundle of starts, and counts those that it gets. It answers with
/// `reply`, or closes the connection without one.
fn start_peer(reply: Option<PeerReply>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let bundles = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&bundles);
    // The thread ends with the test process.
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, reply) = (stream.expect("the listener accepts"), reply.clone());
            let counter = Arc::clone(&counter);
            thread::spawn(move || loop {
                let mut prefix = [0; 4];
                if stream.read_exact(&mut prefix).is_err() {
                    return;
                }
                let mut message = vec![0; u32::from_be_bytes(prefix) as usize];
                stream.read_exact(&mut message).expect("a message has the length that it states");
                assert!(matches!(decode(&message), Some(PeerRequest::Carry(_))));
                counter.fetch_add(1, Ordering::SeqCst);
                let Some(reply) = &reply else { return };
                let bytes = encode(reply);
                let length = u32::try_from(bytes.len()).expect("a short reply").to_be_bytes();
                stream.write_all(&[&length, &bytes[..]].concat()).expect("the owner reads");
            });
        }
    });
    (address, bundles)
}

// Guards against starts that are lost or repeated because the relay is of a build that does not
// know the request: one that says so, and one that closes the connection.
#[test]
fn starts_reach_executors_without_a_relay_that_knows_them() {
    let unsupported = PeerReply::Unsupported { newest: SUPPORTED_FORMATS.newest };
    for reply in [Some(unsupported), None] {
        let shape = PoolShape { link_mbps: 2.0, ..PoolShape::default() };
        let deployment = Deployment::start_with_shape(1, 100, shape);
        let (relay, bundles) = start_peer(reply.clone());
        let operator = deployment.operators[0];
        let peer = SocketAddr::new(operator.ip(), operator.port() - 1);
        let mut stream = TcpStream::connect(peer).expect("the instance listens");
        let question = OwnerQuestion::Load { cell: 0, asker: relay };
        let mut jobs = 0;
        deployment.wait("the relay gets no starts", |deployment| {
            exchange(&mut stream, &encode(&PeerRequest::Ask(question.clone())));
            jobs += 1;
            deployment.submit(jobs, &job());
            deployment.wait("a job is not completed", |deployment| deployment.is_completed(jobs));
            bundles.load(Ordering::SeqCst) > 2
        });
        let mut starts = deployment.starts();
        let count = starts.len();
        starts.sort();
        starts.dedup();
        assert_eq!((starts.len(), count), (2 * jobs as usize, 2 * jobs as usize), "{reply:?}");
    }
}

/// Returns the records of jobs and their progress.
fn records(deployment: &Deployment) -> Vec<Value> {
    let read = |prefix: &str| {
        let path = format!("/kv-range?prefix=cuminbank/{prefix}/");
        call(deployment.store, "GET", &path, "").expect("the stand-in replies").1["items"].clone()
    };
    ["accepted", "pool", "ledger"].map(read).to_vec()
}

// Guards against entries that are missing or that are not understood by the other instances.
#[test]
fn instances_know_the_versions_of_each_other() {
    let deployment = Deployment::start(2, 100, Stdio::null);
    deployment.wait("an instance has no entry", |deployment| {
        let path = "/kv-range?prefix=cuminbank/owner/instance/";
        let (_, body) = call(deployment.store, "GET", path, "").expect("the stand-in replies");
        body["items"].as_array().is_some_and(|items| items.len() == 2)
    });
    for number in 0..2 {
        let status = status(&deployment, number).expect("the instance replies");
        let newest = SUPPORTED_FORMATS.newest;
        assert_eq!(status["formats"]["floor"], json!(newest));
        assert_eq!(status["formats"]["held_by"], json!([]));
        assert!(status["build"].as_str().is_some_and(|build| !build.is_empty()));
    }
}
