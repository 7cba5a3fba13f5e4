//! Delivery slots that reserve and confirm act on.

use std::collections::BTreeMap;

/// Delivery slots of one executor fleet.
#[derive(Clone, Debug, Default)]
pub struct BookingTable {
    slots: BTreeMap<String, BookingState>,
}

#[derive(Clone, Debug)]
struct BookingState {
    holder: String,
    confirmations: u64,
}

impl BookingTable {
    /// Reserves a slot for `holder`; false if somebody else holds it.
    pub fn reserve(&mut self, slot: &str, holder: &str) -> bool {
        let fresh = || BookingState { holder: holder.to_owned(), confirmations: 0 };
        self.slots.entry(slot.to_owned()).or_insert_with(fresh).holder == holder
    }

    /// Confirms a slot; false if it was not reserved by `holder`.
    pub fn confirm(&mut self, slot: &str, holder: &str) -> bool {
        let Some(state) = self.slots.get_mut(slot).filter(|state| state.holder == holder) else {
            return false;
        };
        state.confirmations += 1;
        true
    }

    /// Returns the slots with the number of their confirmations; more than one is a duplicate.
    pub fn confirmations(&self) -> impl Iterator<Item = (&str, u64)> {
        self.slots.iter().map(|(slot, state)| (slot.as_str(), state.confirmations))
    }
}
