//! The set of profiles in force, merged by the highest revision of each name.

use std::collections::BTreeMap;

use crate::{
    ids::{ProfileName, StoreRevision},
    profile::{DocumentError, ProfileChange, WorkProfile},
};

/// What a merge did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The change is not newer than what is known.
    Known,
    /// The change is in force.
    InForce,
    /// The change is known but not valid; the last valid profile stays in force.
    Rejected(DocumentError),
}

#[derive(Clone, Debug)]
struct ProfileEntry {
    revision: StoreRevision,
    /// The profile as committed; absent if it was deleted.
    text: Option<String>,
    in_force: Option<WorkProfile>,
}

/// Profiles by name with their revisions, deleted ones included.
#[derive(Clone, Debug, Default)]
pub struct ProfileSet {
    entries: BTreeMap<ProfileName, ProfileEntry>,
    revision: StoreRevision,
    checksum: u32,
}

impl ProfileSet {
    /// Returns a profile in force.
    pub fn profile(&self, name: &str) -> Option<&WorkProfile> {
        self.entries.get(name)?.in_force.as_ref()
    }

    /// Returns the highest revision of a profile or a deletion.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the CRC-32 of all names, revisions and texts.
    pub fn checksum(&self) -> u32 {
        self.checksum
    }

    /// Returns all profiles, deleted ones included.
    pub fn changes(&self) -> Vec<ProfileChange> {
        let change = |(name, entry): (&ProfileName, &ProfileEntry)| ProfileChange {
            name: name.clone(),
            revision: entry.revision,
            profile: entry.text.clone(),
        };
        self.entries.iter().map(change).collect()
    }

    /// Merges a committed change. Older and repeated changes have no effect.
    pub fn merge(&mut self, change: ProfileChange) -> MergeOutcome {
        let known = self.entries.get(&change.name);
        if known.is_some_and(|entry| change.revision <= entry.revision) {
            return MergeOutcome::Known;
        }
        self.put(change)
    }

    /// Puts a change into force whatever its revision is; only [`Self::merge`] may do so outside of
    /// tests.
    pub(crate) fn put(&mut self, change: ProfileChange) -> MergeOutcome {
        let known = self.entries.get(&change.name);
        let parsed = change.profile.as_ref().map(|text| parse_named(&change.name, text));
        let (in_force, outcome) = match parsed {
            None => (None, MergeOutcome::InForce),
            Some(Ok(profile)) => (Some(profile), MergeOutcome::InForce),
            Some(Err(error)) => {
                let last_valid = known.and_then(|entry| entry.in_force.clone());
                (last_valid, MergeOutcome::Rejected(error))
            }
        };
        let entry = ProfileEntry { revision: change.revision, text: change.profile, in_force };
        self.entries.insert(change.name, entry);
        self.revision = self.revision.max(change.revision);
        self.checksum = self.compute_checksum();
        outcome
    }

    /// Returns the deletions that a full read at `revision` shows: names that are known from no
    /// later revision and that the read lacks.
    pub fn deletions(
        &self,
        found: &[ProfileChange],
        revision: StoreRevision,
    ) -> Vec<ProfileChange> {
        let found = |name: &str| found.iter().any(|change| change.name == name);
        let deleted = self.entries.iter().filter(|(name, entry)| {
            entry.text.is_some() && entry.revision <= revision && !found(name)
        });
        let deletion = |(name, _): (&ProfileName, &ProfileEntry)| ProfileChange {
            name: name.clone(),
            revision,
            profile: None,
        };
        deleted.map(deletion).collect()
    }

    fn compute_checksum(&self) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        for (name, entry) in &self.entries {
            hasher.update(name.as_bytes());
            hasher.update(&[0, u8::from(entry.text.is_some())]);
            hasher.update(&entry.revision.to_le_bytes());
            hasher.update(entry.text.as_deref().unwrap_or_default().as_bytes());
        }
        hasher.finalize()
    }
}

fn parse_named(name: &str, text: &str) -> Result<WorkProfile, DocumentError> {
    let profile = WorkProfile::from_json(text.as_bytes())?;
    if profile.name == name {
        return Ok(profile);
    }
    Err(DocumentError {
        path: "name".to_owned(),
        value: profile.name,
        allowed: format!("the name of its key, {name}"),
    })
}
