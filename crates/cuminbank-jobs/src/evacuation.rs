//! Availability zones that operators have asked to evacuate.
//!
//! The store has one key per zone for as long as its evacuation lasts. Every instance follows these
//! keys, so that a new owner of a cell knows them before its first start.

use std::collections::BTreeSet;

use crate::ids::ZoneName;

/// Zones under evacuation, as last read from the store.
#[derive(Clone, Debug, Default)]
pub struct ZoneEvacuations {
    zones: Option<BTreeSet<ZoneName>>,
}

impl ZoneEvacuations {
    /// Returns the zones under evacuation, or `None` until they have been read once.
    pub fn zones(&self) -> Option<&BTreeSet<ZoneName>> {
        self.zones.as_ref()
    }

    /// Replaces all zones after a full read. Returns whether anything changed.
    pub fn replace(&mut self, zones: BTreeSet<ZoneName>) -> bool {
        if self.zones.as_ref() == Some(&zones) {
            return false;
        }
        self.zones = Some(zones);
        true
    }

    /// Records that the evacuation of a zone was requested or, if `evacuated` is false, taken back.
    /// Returns whether anything changed. A change before the first full read is ignored, since that
    /// read will include it.
    pub fn update(&mut self, zone: &str, evacuated: bool) -> bool {
        let Some(zones) = &mut self.zones else { return false };
        match evacuated {
            true => zones.insert(zone.to_owned()),
            false => zones.remove(zone),
        }
    }
}
