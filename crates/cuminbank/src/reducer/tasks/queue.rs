//! Tasks that wait for a start, by customer and priority.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    ids::{CustomerName, MonotonicTime},
    ledger::TaskId,
};

#[derive(Debug)]
struct QueuedTask {
    customer: CustomerName,
    priority: u8,
    since: MonotonicTime,
}

/// Order of starts.
#[derive(Debug, Default)]
pub struct StartQueue {
    tasks: HashMap<TaskId, QueuedTask>,
    customers: BTreeMap<CustomerName, BTreeSet<(u8, TaskId)>>,
    parked: BTreeSet<TaskId>,
}

impl StartQueue {
    /// Adds a task.
    pub fn push(&mut self, now: MonotonicTime, task: TaskId, customer: &str, priority: u8) {
        self.remove(task);
        let queued = QueuedTask { customer: customer.to_owned(), priority, since: now };
        self.customers.entry(queued.customer.clone()).or_default().insert((priority, task));
        self.tasks.insert(task, queued);
    }

    /// Removes a task.
    pub fn remove(&mut self, task: TaskId) {
        self.take_from_customer(task);
        self.tasks.remove(&task);
        self.parked.remove(&task);
    }

    /// Sets a task aside that no worker of the group can hold, so that it is not looked at again
    /// before [`Self::unpark`].
    pub fn park(&mut self, task: TaskId) {
        self.take_from_customer(task);
        self.parked.insert(task);
    }

    /// Brings all parked tasks back.
    pub fn unpark(&mut self) {
        for task in std::mem::take(&mut self.parked) {
            let Some(queued) = self.tasks.get(&task) else { continue };
            let entry = (queued.priority, task);
            self.customers.entry(queued.customer.clone()).or_default().insert(entry);
        }
    }

    /// Tells whether a task is parked.
    pub fn has_parked(&self) -> bool {
        !self.parked.is_empty()
    }

    /// Returns the customers with tasks to start.
    pub fn customers(&self) -> impl Iterator<Item = &str> {
        self.customers.keys().map(String::as_str)
    }

    /// Returns the first tasks of a customer in the order of starts.
    pub fn first(&self, customer: &str, count: usize) -> Vec<TaskId> {
        let tasks = self.customers.get(customer);
        tasks.into_iter().flatten().take(count).map(|(_, task)| *task).collect()
    }

    /// Returns since when a task waits.
    pub fn since(&self, task: TaskId) -> Option<MonotonicTime> {
        self.tasks.get(&task).map(|queued| queued.since)
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Tells whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    fn take_from_customer(&mut self, task: TaskId) {
        let Some(queued) = self.tasks.get(&task) else { return };
        let Some(tasks) = self.customers.get_mut(&queued.customer) else { return };
        tasks.remove(&(queued.priority, task));
        if tasks.is_empty() {
            self.customers.remove(&queued.customer);
        }
    }
}
