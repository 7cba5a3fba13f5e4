//! Delivery slots that the operations `reserve` and `confirm` book. They are application data and
//! not the slots that an executor runs calls in.

use std::collections::BTreeMap;

/// Booked delivery slots, shared by all executors of a fleet.
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
    /// Reserves a slot for `holder`. Returns false if another holder has it.
    pub fn reserve(&mut self, slot: &str, holder: &str) -> bool {
        let fresh = || BookingState { holder: holder.to_owned(), confirmations: 0 };
        self.slots.entry(slot.to_owned()).or_insert_with(fresh).holder == holder
    }

    /// Confirms a slot. Returns false if `holder` has not reserved it.
    pub fn confirm(&mut self, slot: &str, holder: &str) -> bool {
        let Some(state) = self.slots.get_mut(slot).filter(|state| state.holder == holder) else {
            return false;
        };
        state.confirmations += 1;
        true
    }

    /// Returns the number of confirmations of each slot. More than one means that a confirmation ran
    /// twice.
    pub fn confirmations(&self) -> impl Iterator<Item = (&str, u64)> {
        self.slots.iter().map(|(slot, state)| (slot.as_str(), state.confirmations))
    }
}
