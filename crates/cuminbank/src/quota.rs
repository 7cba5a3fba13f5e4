//! Quotas: weighted fair sharing of cores among customers.

use std::collections::HashMap;

use crate::ids::CustomerName;

/// Millicores in use by each customer, divided by its weight.
///
/// The customer with the lowest weighted use starts next. Each customer thus gets its share while
/// all have work waiting, and the others use the share of an idle customer.
#[derive(Debug, Default)]
pub struct QuotaTable {
    used: HashMap<CustomerName, u64>,
}

impl QuotaTable {
    /// Charges millicores to a customer and returns the charge, in thousandths of a millicore per
    /// unit of weight. The same value must be passed to [`Self::release`].
    pub fn charge(&mut self, customer: &str, millicores: u64, weight: u32) -> u64 {
        // The factor keeps precision for small tasks of customers with a large weight.
        let charge = millicores.saturating_mul(1_000) / u64::from(weight.max(1));
        *self.used.entry(customer.to_owned()).or_default() += charge;
        charge
    }

    /// Releases a charge.
    pub fn release(&mut self, customer: &str, charge: u64) {
        let Some(used) = self.used.get_mut(customer) else { return };
        *used = used.saturating_sub(charge);
        if *used == 0 {
            self.used.remove(customer);
        }
    }

    /// Returns the weighted use of a customer, in the unit of a charge.
    pub fn used(&self, customer: &str) -> u64 {
        self.used.get(customer).copied().unwrap_or(0)
    }

    /// Returns the customer with the lowest weighted use; among equal ones, the first by name.
    pub fn least_used<'a>(&self, customers: impl Iterator<Item = &'a str>) -> Option<&'a str> {
        customers.min_by_key(|customer| (self.used(customer), *customer))
    }
}
