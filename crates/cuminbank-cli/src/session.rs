//! Settings of the command line, and its clients of the store and the entry instances.

use std::{
    net::SocketAddr,
    path::Path,
    time::{Duration, SystemTime},
};

use cuminbank::{
    event::ExchangeError,
    store::{StoreReply, StoreRequest, StoreValue},
};
use cuminbank_net::{
    client::{ClientAnswer, ClientRequest, HttpPool},
    etcd::StoreClient,
};
use serde::Deserialize;

use crate::exit::{CommandOutcome, ExitStatus};

/// Longest time to wait for the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time to wait for an entry instance, above the longest deadline of a call (60 s).
pub const CALL_TIMEOUT: Duration = Duration::from_secs(65);
/// Longest time to wait for the state of an entry instance.
pub const STATE_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings of the command line.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct CliSettings {
    /// Addresses of the store.
    pub store: Vec<SocketAddr>,
    /// HTTP addresses of the entry instances.
    pub entry: Vec<SocketAddr>,
    /// Operators' addresses of the instances of the job daemon.
    pub operator: Vec<SocketAddr>,
    /// Operator named in the history of profiles.
    pub by: Option<String>,
}

impl CliSettings {
    /// Reads settings from JSON; an error names the file and the path.
    pub fn from_json(file: &str, text: &[u8]) -> Result<Self, String> {
        let deserializer = &mut serde_json::Deserializer::from_slice(text);
        let settings = serde_path_to_error::deserialize(&mut *deserializer)
            .map_err(|error| format!("{file}: {}: {}", error.path(), error.inner()))?;
        deserializer.end().map_err(|error| format!("{file}: {error}"))?;
        Ok(settings)
    }

    /// Reads settings from a file, or returns the defaults without one.
    pub fn from_file(path: Option<&Path>) -> Result<Self, String> {
        let Some(path) = path else { return Ok(Self::default()) };
        let file = path.display().to_string();
        let text = std::fs::read(path).map_err(|error| format!("{file}: {error}"))?;
        Self::from_json(&file, &text)
    }
}

/// The first answer of several attempts.
#[derive(Clone, Debug)]
pub struct FirstAnswer {
    /// The answer.
    pub answer: ClientAnswer,
    /// Whether an earlier try was sent and not answered.
    pub earlier_attempt_lost: bool,
}

/// Clients of one run of the command line.
#[derive(Debug)]
pub struct CliSession {
    /// Settings in effect.
    pub settings: CliSettings,
    store: StoreClient,
    pool: HttpPool,
}

impl CliSession {
    /// Creates the clients; no connection is opened yet.
    pub fn new(settings: CliSettings) -> Self {
        let store = StoreClient::new(settings.store.clone());
        Self { settings, store, pool: HttpPool::new() }
    }

    /// Fails unless an address of the store is known.
    pub fn require_store(&self) -> Result<(), CommandOutcome> {
        require(&self.settings.store, "--store ADDR or the field \"store\" of --settings")
    }

    /// Fails unless an address of an entry instance is known.
    pub fn require_entry(&self) -> Result<(), CommandOutcome> {
        require(&self.settings.entry, "--entry ADDR or the field \"entry\" of --settings")
    }

    /// Fails unless an operators' address of a job daemon is known.
    pub fn require_operator(&self) -> Result<(), CommandOutcome> {
        require(&self.settings.operator, "--operator ADDR or the field \"operator\" of --settings")
    }

    /// Calls the store once.
    pub async fn call_store(&self, request: &StoreRequest) -> Result<StoreReply, ExchangeError> {
        self.store.call(request, STORE_TIMEOUT).await
    }

    /// Reads one key, or all keys below it. A read is repeated once if its answer was lost.
    pub async fn read(&self, key: &str, prefix: bool) -> Result<Vec<StoreValue>, CommandOutcome> {
        self.require_store()?;
        let request = StoreRequest::Range { key: key.to_owned(), prefix };
        let mut result = self.call_store(&request).await;
        if result == Err(ExchangeError::Lost) {
            result = self.call_store(&request).await;
        }
        match result {
            Ok(StoreReply::Range { values, .. }) => Ok(values),
            Ok(_) => Err(CommandOutcome::from_error("the store", ExchangeError::Lost)),
            Err(error) => Err(CommandOutcome::from_error("the store", error)),
        }
    }

    /// Reads a page of the keys below a prefix, repeated once if its answer was lost.
    pub async fn read_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: u32,
    ) -> Result<Vec<StoreValue>, CommandOutcome> {
        self.require_store()?;
        let mut result = self.store.read_page(prefix, after, limit, STORE_TIMEOUT).await;
        if result == Err(ExchangeError::Lost) {
            result = self.store.read_page(prefix, after, limit, STORE_TIMEOUT).await;
        }
        result.map_err(|error| CommandOutcome::from_error("the store", error))
    }

    /// Sends a request to one entry instance.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: ClientRequest,
        timeout: Duration,
    ) -> Result<ClientAnswer, ExchangeError> {
        self.pool.exchange(address, request, timeout).await
    }

    /// Sends a request to the entry instances in turn until one answers. Only for requests that
    /// have the same effect when they arrive twice.
    pub async fn send_any(
        &self,
        request: &ClientRequest,
        timeout: Duration,
    ) -> Result<FirstAnswer, ExchangeError> {
        let mut worst = ExchangeError::NotSent;
        // Two rounds, so that a single entry instance is asked again after a lost answer.
        for address in self.settings.entry.iter().chain(&self.settings.entry) {
            match self.send(*address, request.clone(), timeout).await {
                Ok(answer) => {
                    let earlier_attempt_lost = worst == ExchangeError::Lost;
                    return Ok(FirstAnswer { answer, earlier_attempt_lost });
                }
                Err(ExchangeError::NotSent) => {}
                Err(error) => worst = error,
            }
        }
        Err(worst)
    }
}

fn require(addresses: &[SocketAddr], source: &str) -> Result<(), CommandOutcome> {
    if addresses.is_empty() {
        let text = format!("an address is missing: give {source}");
        return Err(CommandOutcome::new_failed(ExitStatus::Usage, text));
    }
    Ok(())
}

/// Returns the seconds since 1970.
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
}
