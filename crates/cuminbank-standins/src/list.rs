//! Stand-in for the platform's list of instances, which has the form of Consul's health API.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use cuminbank::{
    event::{ListedInstance, ListedRole},
    ids::MonotonicTime,
};
use cuminbank_net::server::{ServerAction, ServerRequest, ServerResponse};
use http::Method;
use monoio::net::TcpListener;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::{
    clock::StandinClock,
    control::{self, error_response, json_response, FaultControl},
};

/// Settings of a list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListSettings {
    /// Delay until a change becomes visible, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// Instances that are visible from the start.
    #[serde(default)]
    pub instances: Vec<ListedInstance>,
}

/// A change to the list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// Adds an instance, or replaces the one with the same name.
    Register(ListedInstance),
    /// Sets or clears the `leaving` state of the named instance.
    SetLeaving(String, bool),
    /// Removes the named instance.
    Remove(String),
}

/// State of the list, without clock or I/O.
#[derive(Clone, Debug, Default)]
pub struct ListCore {
    lag: Duration,
    visible: BTreeMap<String, ListedInstance>,
    pending: VecDeque<(MonotonicTime, ListChange)>,
}

impl ListCore {
    /// Creates a list in which the configured instances are visible without delay.
    pub fn new(settings: ListSettings) -> Self {
        let named =
            settings.instances.into_iter().map(|instance| (instance.name.clone(), instance));
        Self {
            lag: Duration::from_millis(settings.lag_ms),
            visible: named.collect(),
            pending: VecDeque::new(),
        }
    }

    /// Queues a change that becomes visible after the configured lag.
    pub fn change(&mut self, now: MonotonicTime, change: ListChange) {
        self.pending.push_back((now + self.lag, change));
    }

    /// Applies the changes that are due by `now` and returns the visible instances.
    pub fn instances(&mut self, now: MonotonicTime) -> impl Iterator<Item = &ListedInstance> {
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, change)) = self.pending.pop_front() {
                self.apply(change);
            }
        }
        self.visible.values()
    }

    fn apply(&mut self, change: ListChange) {
        match change {
            ListChange::Register(instance) => {
                self.visible.insert(instance.name.clone(), instance);
            }
            ListChange::SetLeaving(name, leaving) => {
                if let Some(instance) = self.visible.get_mut(&name) {
                    instance.leaving = leaving;
                }
            }
            ListChange::Remove(name) => {
                self.visible.remove(&name);
            }
        }
    }
}

/// HTTP server of the list.
#[derive(Clone)]
pub struct ListServer(Rc<ListState>);

struct ListState {
    core: RefCell<ListCore>,
    clock: StandinClock,
    control: Rc<FaultControl>,
}

impl ListServer {
    /// Creates a list with a clock of its own. `seed` determines which responses are lost.
    pub fn new(settings: ListSettings, seed: u64) -> Self {
        Self(Rc::new(ListState {
            core: RefCell::new(ListCore::new(settings)),
            clock: StandinClock::new(),
            control: FaultControl::new(seed),
        }))
    }

    /// Returns the fault control.
    pub fn control(&self) -> Rc<FaultControl> {
        Rc::clone(&self.0.control)
    }

    /// Queues a change that becomes visible after the configured lag.
    pub fn change(&self, change: ListChange) {
        self.0.core.borrow_mut().change(self.0.clock.now(), change);
    }

    /// Serves forever. `counters` returns a JSON object that `GET /control` includes in its
    /// counters.
    pub async fn serve<C>(self, listener: TcpListener, counters: C)
    where
        C: Fn() -> Value + Clone + 'static,
    {
        let reporter = self.clone();
        let counters = move || {
            let mut counters = counters();
            let now = reporter.0.clock.now();
            counters["instances"] = json!(reporter.0.core.borrow_mut().instances(now).count());
            counters
        };
        let control = self.control();
        let handler = move |request, _| {
            let server = self.clone();
            async move { ServerAction::Respond(server.handle(&request)) }
        };
        control::serve(listener, control, counters, handler).await;
    }

    fn handle(&self, request: &ServerRequest) -> ServerResponse {
        if self.0.control.fails_all() {
            return error_response(500, "the list fails everything");
        }
        let segments: Vec<_> = request.path.trim_matches('/').split('/').collect();
        match (&request.method, segments.as_slice()) {
            (&Method::GET, ["v1", "health", "service", "cuminbank"]) => {
                let mut core = self.0.core.borrow_mut();
                let tag = request.query.strip_prefix("tag=");
                let listed = core.instances(self.0.clock.now());
                let tagged = listed.filter(|instance| tag.is_none_or(|tag| instance.zone == tag));
                json_response(200, &tagged.map(health_entry).collect::<Vec<_>>())
            }
            // Consul returns an empty list for an unknown service, not an error.
            (&Method::GET, ["v1", "health", "service", _]) => json_response(200, &json!([])),
            (&Method::POST, ["v1", "instances"]) => self.register(&request.body),
            (&Method::POST, ["v1", "instances", name, "leaving"]) => {
                self.accept(ListChange::SetLeaving((*name).to_owned(), true))
            }
            (&Method::POST, ["v1", "instances", name, "staying"]) => {
                self.accept(ListChange::SetLeaving((*name).to_owned(), false))
            }
            (&Method::POST, ["v1", "instances", name, "remove"]) => {
                self.accept(ListChange::Remove((*name).to_owned()))
            }
            _ => error_response(404, "no such path"),
        }
    }

    fn register(&self, body: &[u8]) -> ServerResponse {
        match serde_json::from_slice(body) {
            Ok(instance) => self.accept(ListChange::Register(instance)),
            Err(error) => error_response(400, &error.to_string()),
        }
    }

    fn accept(&self, change: ListChange) -> ServerResponse {
        self.change(change);
        json_response(200, &json!({"visible_in_ms": self.0.core.borrow().lag.as_millis() as u64}))
    }
}

fn health_entry(instance: &ListedInstance) -> Value {
    let mut meta = json!({
        "zone": instance.zone,
        "rack": instance.rack,
        "machine": instance.machine,
        "state": if instance.leaving { "leaving" } else { "live" },
    });
    match &instance.role {
        ListedRole::Entry => meta["role"] = json!("entry"),
        ListedRole::Executor { slots, connections } => {
            meta["role"] = json!("executor");
            meta["slots"] = json!(slots.to_string());
            meta["connections"] = json!(connections.to_string());
        }
        ListedRole::Worker { size } => {
            meta["role"] = json!("worker");
            meta["millicores"] = json!(size.millicores.to_string());
            meta["memory_mib"] = json!(size.memory_mib.to_string());
            meta["accelerators"] = json!(size.accelerators.to_string());
        }
    }
    let address = instance.address.ip().to_string();
    json!({
        "Node": {"Node": instance.machine, "Address": address},
        "Service": {
            "ID": instance.name, "Service": "cuminbank", "Address": address,
            "Port": instance.address.port(), "Tags": [meta["role"], instance.zone], "Meta": meta,
        },
        "Checks": [{"Status": "passing"}],
    })
}
