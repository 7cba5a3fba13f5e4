//! Quotas: the weighted share of cores that each customer has in use.

use std::collections::HashMap;

use crate::ids::CustomerName;

/// Cores in use of each customer, divided by its weight.
///
/// The customer with the least weighted use starts next. That gives each customer its share while
/// all have work waiting, and lends the share of one that has none.
#[derive(Debug, Default)]
pub struct QuotaTable {
    used: HashMap<CustomerName, u64>,
}

impl QuotaTable {
    /// Counts cores of a customer as in use and returns the charge, to be given back unchanged.
    pub fn charge(&mut self, customer: &str, millicores: u64, weight: u32) -> u64 {
        // The factor keeps the fraction of small tasks of customers with a large weight.
        let charge = millicores.saturating_mul(1_000) / u64::from(weight.max(1));
        *self.used.entry(customer.to_owned()).or_default() += charge;
        charge
    }

    /// Gives a charge back.
    pub fn release(&mut self, customer: &str, charge: u64) {
        let Some(used) = self.used.get_mut(customer) else { return };
        *used = used.saturating_sub(charge);
        if *used == 0 {
            self.used.remove(customer);
        }
    }

    /// Returns the weighted use of a customer.
    pub fn used(&self, customer: &str) -> u64 {
        self.used.get(customer).copied().unwrap_or(0)
    }

    /// Returns the customer with the least weighted use; the first by name if several have it.
    pub fn least_used<'a>(&self, customers: impl Iterator<Item = &'a str>) -> Option<&'a str> {
        customers.min_by_key(|customer| (self.used(customer), *customer))
    }
}
