//! Settings of the command line, and its connections to the store and the instances.

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

/// Timeout of a request to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a call or a submitted task, above the longest deadline of a call (60 s).
pub const CALL_TIMEOUT: Duration = Duration::from_secs(65);
/// Timeout of every other request to an instance.
pub const STATE_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings of the command line, read from the JSON file of `--settings`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct CliSettings {
    /// Addresses of the store's servers.
    pub store: Vec<SocketAddr>,
    /// HTTP addresses of the entry instances.
    pub entry: Vec<SocketAddr>,
    /// Operator addresses (HTTP) of the job daemon's instances.
    pub operator: Vec<SocketAddr>,
    /// Name of the operator, recorded in the history of profiles.
    pub by: Option<String>,
}

impl CliSettings {
    /// Parses settings from JSON; an error names `file` and the path of the wrong field.
    pub fn from_json(file: &str, text: &[u8]) -> Result<Self, String> {
        let deserializer = &mut serde_json::Deserializer::from_slice(text);
        let settings = serde_path_to_error::deserialize(&mut *deserializer)
            .map_err(|error| format!("{file}: {}: {}", error.path(), error.inner()))?;
        deserializer.end().map_err(|error| format!("{file}: {error}"))?;
        Ok(settings)
    }

    /// Reads settings from a file; returns the defaults if `path` is `None`.
    pub fn from_file(path: Option<&Path>) -> Result<Self, String> {
        let Some(path) = path else { return Ok(Self::default()) };
        let file = path.display().to_string();
        let text = std::fs::read(path).map_err(|error| format!("{file}: {error}"))?;
        Self::from_json(&file, &text)
    }
}

/// The first answer to a request that may have been sent several times.
#[derive(Clone, Debug)]
pub struct FirstAnswer {
    /// Answer of the instance.
    pub answer: ClientAnswer,
    /// Whether the answer to an earlier attempt was lost, so that it may have taken effect.
    pub earlier_attempt_lost: bool,
}

/// Settings and HTTP clients of one run of the command line.
#[derive(Debug)]
pub struct CliSession {
    /// Settings of the file, with the flags applied.
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

    /// Returns a usage error if no store address is configured.
    pub fn require_store(&self) -> Result<(), CommandOutcome> {
        require(&self.settings.store, "--store ADDR or the field \"store\" of --settings")
    }

    /// Returns a usage error if no address of an entry instance is configured.
    pub fn require_entry(&self) -> Result<(), CommandOutcome> {
        require(&self.settings.entry, "--entry ADDR or the field \"entry\" of --settings")
    }

    /// Returns a usage error if no operator address of a job daemon is configured.
    pub fn require_operator(&self) -> Result<(), CommandOutcome> {
        require(&self.settings.operator, "--operator ADDR or the field \"operator\" of --settings")
    }

    /// Sends one request to the store, without a retry.
    pub async fn call_store(&self, request: &StoreRequest) -> Result<StoreReply, ExchangeError> {
        self.store.call(request, STORE_TIMEOUT).await
    }

    /// Reads one key, or all keys with `key` as their prefix. Repeats the read once if its answer
    /// was lost.
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

    /// Reads up to `limit` keys with a prefix, in order from the first key above `after`. Repeats
    /// the read once if its answer was lost.
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

    /// Sends a request to one instance.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: ClientRequest,
        timeout: Duration,
    ) -> Result<ClientAnswer, ExchangeError> {
        self.pool.exchange(address, request, timeout).await
    }

    /// Sends a request to the entry instances in turn until one answers. The request must be
    /// idempotent, since an instance may receive it twice.
    ///
    /// # Errors
    ///
    /// `NotSent` if no attempt was sent, else the error of the last attempt that was sent.
    pub async fn send_any(
        &self,
        request: &ClientRequest,
        timeout: Duration,
    ) -> Result<FirstAnswer, ExchangeError> {
        let mut worst = ExchangeError::NotSent;
        // Two rounds, so that a single entry instance gets the request again after a lost answer.
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
        let text = format!("no address is configured: set {source}");
        return Err(CommandOutcome::new_failed(ExitStatus::Usage, text));
    }
    Ok(())
}

/// Returns the Unix time in seconds.
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
}
