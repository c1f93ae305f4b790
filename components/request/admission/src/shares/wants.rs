//! What the instances of a data centre want of each customer's limits.

use types::prelude::*;

/// Sums over instances, kept up to date so that a grant does not have to visit all instances.
#[derive(Debug, Default)]
pub(crate) struct Wants {
    customers: BTreeMap<CustomerId, Want>,
}

#[derive(Debug, Default)]
struct Want {
    length: u64,
    /// Instances that list the customer. Never zero.
    instances: u64,
}

impl Wants {
    pub(crate) fn add(&mut self, wanted: &BTreeMap<CustomerId, u64>) {
        for (customer, length) in wanted {
            if !self.customers.contains_key(customer) {
                self.customers.insert(customer.clone(), Want::default());
            }
            if let Some(want) = self.customers.get_mut(customer) {
                want.length += length;
                want.instances += 1;
            }
        }
    }

    /// Takes back what was added for one instance.
    pub(crate) fn remove(&mut self, wanted: &BTreeMap<CustomerId, u64>) {
        for (customer, length) in wanted {
            let Some(want) = self.customers.get_mut(customer) else { continue };
            want.length -= length;
            want.instances -= 1;
            if want.instances == 0 {
                self.customers.remove(customer);
            }
        }
    }

    /// Sum of the lengths wanted of one customer's limits.
    pub(crate) fn total(&self, customer: &str) -> u64 {
        self.customers.get(customer).map_or(0, |want| want.length)
    }

    /// Instances that list a customer.
    pub(crate) fn instances(&self, customer: &str) -> u64 {
        self.customers.get(customer).map_or(0, |want| want.instances)
    }

    pub(crate) fn totals(&self) -> impl Iterator<Item = (&CustomerId, u64)> {
        self.customers.iter().map(|(customer, want)| (customer, want.length))
    }
}

/// Length up to which every want can be met out of `total`, by max-min fairness.
pub(crate) fn level(mut wants: Vec<u64>, total: u64) -> u64 {
    wants.sort_unstable();
    let mut left = total;
    for (index, &wanted) in wants.iter().enumerate() {
        let even = left / (wants.len() - index) as u64;
        if wanted > even {
            return even;
        }
        left -= wanted;
    }
    u64::MAX
}
