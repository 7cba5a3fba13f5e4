//! Set of the profiles in force. Of several versions of a profile, the highest revision wins.

use std::collections::BTreeMap;

use crate::{
    ids::{ProfileName, StoreRevision},
    profile::{DocumentError, ProfileChange, WorkProfile},
};

/// Result of merging a change into a [`ProfileSet`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The set already has this or a newer revision of the profile.
    Known,
    /// The change is now in force.
    InForce,
    /// The profile is not valid. Its revision is recorded, and the last valid profile stays in
    /// force.
    Rejected(DocumentError),
}

#[derive(Clone, Debug)]
struct ProfileEntry {
    revision: StoreRevision,
    /// Profile as committed, in JSON; `None` if it was deleted.
    text: Option<String>,
    in_force: Option<WorkProfile>,
}

/// Profiles by name with their revisions, including deleted profiles.
#[derive(Clone, Debug, Default)]
pub struct ProfileSet {
    entries: BTreeMap<ProfileName, ProfileEntry>,
    revision: StoreRevision,
    checksum: u32,
}

impl ProfileSet {
    /// Returns the profile that is in force for a name.
    pub fn profile(&self, name: &str) -> Option<&WorkProfile> {
        self.entries.get(name)?.in_force.as_ref()
    }

    /// Returns the highest revision among all profiles and deletions.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the CRC-32 checksum of all names, revisions and texts.
    pub fn checksum(&self) -> u32 {
        self.checksum
    }

    /// Returns all profiles as changes, including deletions.
    pub fn changes(&self) -> Vec<ProfileChange> {
        let change = |(name, entry): (&ProfileName, &ProfileEntry)| ProfileChange {
            name: name.clone(),
            revision: entry.revision,
            profile: entry.text.clone(),
        };
        self.entries.iter().map(change).collect()
    }

    /// Merges a committed change. A change whose revision is not higher than the known one has no
    /// effect.
    pub fn merge(&mut self, change: ProfileChange) -> MergeOutcome {
        let known = self.entries.get(&change.name);
        if known.is_some_and(|entry| change.revision <= entry.revision) {
            return MergeOutcome::Known;
        }
        self.put(change)
    }

    /// Applies a change without comparing its revision. Outside of tests only [`Self::merge`] may
    /// call this.
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

    /// Returns the deletions that follow from a full read of all profiles at `revision`: the known
    /// profiles that the read does not contain and whose revision is at most `revision`.
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
