//! Entries of the live instances, and the format version that all of them can read.
//!
//! Each instance stores an entry under a lease. The pool has one format version, which is only ever
//! raised, and only to a version that all live instances can read. Writers use no higher version.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::{
    division::{DivisionEntries, HandoverCandidate, InstanceResources},
    formats::{FormatSupport, FormatVersion, UNVERSIONED},
    ids::{CellId, InstanceName, LeaseId, StoreRevision},
    keys::{parse_owner_cell, FORMAT_KEY, INSTANCE_PREFIX, REGISTRATION_KEY},
    ownership::OwnerRecord,
    store::{decode_value, encode_value, StoreChange, StoreItem, StorePut, StoreTxn},
};

/// Time to live of an entry. Outlasts the time for which an instance may be cut off from the store
/// and be used again afterwards.
pub const ENTRY_TTL: Duration = Duration::from_secs(300);
/// Interval between renewals of an entry.
pub const ENTRY_RENEW_INTERVAL: Duration = Duration::from_secs(60);

/// Entry of an instance. Fields may only be appended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Start number of its process.
    pub start: u64,
    /// Address at which other instances reach it.
    pub peer_address: SocketAddr,
    /// Name of its build.
    pub build: String,
    /// Versions of its build.
    pub formats: FormatSupport,
}

impl InstanceEntry {
    /// Returns the write that registers the instance with its resources, which builds before them
    /// ignore.
    pub fn registration_with(&self, resources: &InstanceResources, lease: LeaseId) -> StoreTxn {
        let mut txn = self.registration(lease);
        txn.puts[0].value.extend(encode_value(resources));
        txn
    }

    /// Returns the write that registers the instance. It also replaces a value that all
    /// registrations share, so that the pool's version is not raised at the same time.
    pub fn registration(&self, lease: LeaseId) -> StoreTxn {
        let key = format!("{INSTANCE_PREFIX}{}", self.instance);
        let name = self.instance.as_bytes().to_vec();
        StoreTxn {
            puts: vec![
                StorePut::new(key, encode_value(self)).with_lease(lease),
                StorePut::new(REGISTRATION_KEY, name),
            ],
            ..StoreTxn::default()
        }
    }
}

/// Decodes a record to which later builds may append fields.
fn decode_shared<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().map(|(value, _)| value)
}

/// Decodes the resources that follow the fields of an entry, if there are any.
fn decode_resources(bytes: &[u8]) -> Option<InstanceResources> {
    let (_, rest) = postcard::take_from_bytes::<InstanceEntry>(bytes).ok()?;
    decode_shared(rest)
}

/// Entries of the live instances as seen by one of them.
#[derive(Clone, Debug)]
pub struct InstanceRegistry {
    own: FormatSupport,
    /// Entry of each instance; `None` if it cannot be read.
    entries: BTreeMap<InstanceName, Option<InstanceEntry>>,
    /// Resources of the instances whose entries have them.
    resources: BTreeMap<InstanceName, InstanceResources>,
    /// Owner of each cell; `None` if its record cannot be read.
    owners: BTreeMap<CellId, Option<OwnerRecord>>,
    /// Addresses of instances that have sent requests.
    peers: BTreeSet<SocketAddr>,
    pool_version: FormatVersion,
    pool_revision: StoreRevision,
    registration_revision: StoreRevision,
    /// Whether the entries have been read.
    known: bool,
}

impl InstanceRegistry {
    /// Creates the registry of an instance that has not read the entries yet.
    pub fn new(own: FormatSupport) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            resources: BTreeMap::new(),
            owners: BTreeMap::new(),
            peers: BTreeSet::new(),
            pool_version: UNVERSIONED,
            pool_revision: 0,
            registration_revision: 0,
            known: false,
        }
    }

    /// Returns the number of live instances, this one included.
    pub fn count(&self) -> usize {
        self.entries.len().max(1)
    }

    /// Replaces everything by the items under the prefix of owners, read from a revision on. Later
    /// items are ignored, since the watch delivers them in order.
    pub fn replace(&mut self, items: &[StoreItem], revision: StoreRevision) {
        let peers = std::mem::take(&mut self.peers);
        *self = Self { peers, known: true, ..Self::new(self.own) };
        items.iter().filter(|item| item.revision <= revision).for_each(|item| self.write(item));
    }

    /// Applies a change under the prefix of owners.
    pub fn apply(&mut self, change: &StoreChange) {
        match change {
            StoreChange::Written(item) => self.write(item),
            StoreChange::Removed { key, .. } => {
                if let Some(name) = key.strip_prefix(INSTANCE_PREFIX) {
                    self.entries.remove(name);
                    self.resources.remove(name);
                }
                if let Some(cell) = parse_owner_cell(key) {
                    self.owners.remove(&cell);
                }
            }
        }
    }

    fn write(&mut self, item: &StoreItem) {
        if item.key == FORMAT_KEY {
            self.pool_revision = item.revision;
            // An unreadable version must not be taken for one that this build knows.
            self.pool_version = decode_shared(&item.value).unwrap_or(FormatVersion::MAX);
        } else if item.key == REGISTRATION_KEY {
            self.registration_revision = item.revision;
        } else if let Some(name) = item.key.strip_prefix(INSTANCE_PREFIX) {
            self.entries.insert(name.to_owned(), decode_shared(&item.value));
            match decode_resources(&item.value) {
                Some(resources) => _ = self.resources.insert(name.to_owned(), resources),
                None => _ = self.resources.remove(name),
            }
        } else if let Some(cell) = parse_owner_cell(&item.key) {
            self.owners.insert(cell, decode_value(&item.value));
        }
    }

    /// Sets the addresses of the instances that have recently sent requests.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = SocketAddr>) {
        self.peers = peers.into_iter().collect();
    }

    /// Returns whether the store has this entry.
    pub fn contains(&self, entry: &InstanceEntry) -> bool {
        self.entries.get(&entry.instance).is_some_and(|stored| stored.as_ref() == Some(entry))
    }

    /// Returns whether every live instance has an entry with its resources. One without them does not
    /// know that jobs move between cells.
    pub fn all_have_resources(&self) -> bool {
        self.known
            && self.unregistered().is_empty()
            && self.entries.keys().all(|name| self.resources.contains_key(name))
    }

    /// Returns the registered instances that have resources in their entries and own no cell.
    pub fn handover_candidates(&self) -> Vec<HandoverCandidate> {
        let owns = |entry: &InstanceEntry| {
            self.owners.values().flatten().any(|owner| owner.instance == entry.instance)
        };
        let entries = self.entries.values().flatten().filter(|entry| !owns(entry));
        let candidates = entries.filter_map(|entry| {
            Some(HandoverCandidate {
                instance: entry.instance.clone(),
                start: entry.start,
                peer_address: entry.peer_address,
                resources: *self.resources.get(&entry.instance)?,
            })
        });
        candidates.collect()
    }

    /// Returns what the entries say about the division. `instance` and `start` are the name and the
    /// start number of this process.
    pub fn division_entries(&self, instance: &InstanceName, start: u64) -> DivisionEntries {
        let own = self.entries.get(instance).and_then(Option::as_ref);
        DivisionEntries {
            resources: self.resources.values().copied().collect(),
            has_own: own.is_some_and(|entry| entry.start == start),
            registration: self.registration_revision,
        }
    }

    /// Returns the version that this instance writes.
    pub fn write_version(&self) -> FormatVersion {
        self.own.written.min(self.pool_version)
    }

    /// Returns the highest version that any instance may have written.
    pub fn pool_version(&self) -> FormatVersion {
        self.pool_version
    }

    /// Returns whether the store may contain records that this build cannot read.
    pub fn is_behind(&self) -> bool {
        self.pool_version > self.own.newest
    }

    /// Returns the highest version that all live instances can read. An instance without a readable
    /// entry is of a build that only reads values without a version.
    pub fn floor(&self) -> FormatVersion {
        if !self.known || !self.unregistered().is_empty() {
            return UNVERSIONED;
        }
        let newest = |entry: &Option<InstanceEntry>| {
            entry.as_ref().map_or(UNVERSIONED, |e| e.formats.newest)
        };
        self.entries.values().map(newest).min().unwrap_or(UNVERSIONED).min(self.own.newest)
    }

    /// Returns what holds the floor below the newest version of any live instance: names of
    /// instances, or addresses of those without an entry.
    pub fn holders(&self) -> Vec<String> {
        let floor = self.floor();
        let read = |entry: &Option<InstanceEntry>| entry.as_ref().map(|entry| entry.formats.newest);
        let newest = self.entries.values().filter_map(read).max().unwrap_or(UNVERSIONED);
        if floor >= newest.max(self.own.newest) {
            return Vec::new();
        }
        let holds = |entry: &Option<InstanceEntry>| read(entry).unwrap_or(UNVERSIONED) <= floor;
        let entries = self.entries.iter().filter(|(_, entry)| holds(entry));
        let mut holders = self.unregistered();
        holders.extend(entries.map(|(name, _)| name.clone()));
        holders.into_iter().collect()
    }

    /// Returns the live instances without an entry.
    fn unregistered(&self) -> BTreeSet<String> {
        let entries = || self.entries.values().flatten();
        let registered = |owner: &OwnerRecord| {
            entries().any(|e| e.instance == owner.instance && e.start == owner.start)
        };
        let mut names: BTreeSet<String> = BTreeSet::new();
        for (cell, owner) in &self.owners {
            match owner {
                Some(owner) if registered(owner) => {}
                Some(owner) => _ = names.insert(owner.instance.clone()),
                None => _ = names.insert(format!("owner of cell {cell}")),
            }
        }
        let known = |peer: &SocketAddr| entries().any(|entry| entry.peer_address == *peer);
        let named = |peer: &SocketAddr| {
            self.owners.values().flatten().any(|owner| owner.peer_address == *peer)
        };
        names.extend(self.peers.iter().filter(|p| !known(p) && !named(p)).map(ToString::to_string));
        names
    }

    /// Returns the write that raises the pool's version, if it can be raised. It fails if an
    /// instance has registered meanwhile.
    pub fn raise(&self) -> Option<StoreTxn> {
        let version = self.own.written.min(self.floor());
        (version > self.pool_version).then(|| StoreTxn {
            expected: vec![
                (FORMAT_KEY.to_owned(), self.pool_revision),
                (REGISTRATION_KEY.to_owned(), self.registration_revision),
            ],
            puts: vec![StorePut::new(FORMAT_KEY, encode_value(&version))],
            removes: Vec::new(),
        })
    }
}
