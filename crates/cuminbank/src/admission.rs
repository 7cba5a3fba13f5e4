//! Admission of calls: the queue of waiting calls, the retry delays of refused callers, and the
//! budget for retries.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use rand::Rng;

use crate::ids::{CustomerName, MonotonicTime};

/// Minimum retry delay that a refused caller gets.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum retry delay that a refused caller gets.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Length of the window over which the retry budget counts calls and retries, in seconds.
const BUDGET_WINDOW_SECONDS: u64 = 10;
/// Number of calls in the window that allow one retry.
const CALLS_PER_RETRY: u64 = 10;
/// Minimum number of retries per window, so that a customer with few calls can retry too.
const MIN_RETRIES: u64 = 3;
/// Maximum number of customers with a retry budget of their own; all others share one. Callers
/// choose the names of customers, so the number needs a limit.
const MAX_CUSTOMERS: usize = 1_000;

/// Order in which the queue starts waiting calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// Short calls before long ones. Within each kind, weighted fair sharing among customers, and
    /// the earliest deadline first for each customer.
    Deadline,
    /// First come, first served.
    Arrival,
}

/// Call that waits for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueItem<K> {
    /// Key that identifies the call.
    pub key: K,
    /// Customer to whose share the call is charged.
    pub customer: CustomerName,
    /// Weight of the customer.
    pub weight: u32,
    /// Expected run time of the call.
    pub cost: Duration,
    /// Time by which the caller needs the answer.
    pub deadline: MonotonicTime,
    /// Latest start that is expected to meet the deadline.
    pub latest_start: MonotonicTime,
    /// Whether the call is expected to be long.
    pub long: bool,
}

/// Waiting calls of one customer, with its position in weighted fair queueing.
#[derive(Debug, Default)]
struct CustomerFlow {
    /// Ids of the waiting calls by sort key.
    waiting: BTreeMap<(MonotonicTime, u64), u64>,
    cost: Duration,
    weight: u32,
    /// Expected run time of the calls started for the customer, in seconds divided by its weight.
    virtual_time: f64,
}

/// Queue of either the short or the long calls.
#[derive(Debug, Default)]
struct QueueClass {
    flows: BTreeMap<CustomerName, CustomerFlow>,
    cost: Duration,
    count: usize,
    /// Largest virtual time of a flow when one of its calls started. When a flow without waiting
    /// calls gets one, its virtual time becomes at least this value, so that a customer without
    /// calls does not accumulate a share to use later.
    virtual_clock: f64,
}

/// Queue of the waiting calls of a group.
#[derive(Debug)]
pub struct CallQueue<K> {
    order: QueueOrder,
    classes: [QueueClass; 2],
    items: HashMap<u64, QueueItem<K>>,
    by_latest_start: BTreeSet<(MonotonicTime, u64)>,
    next_id: u64,
}

impl QueueClass {
    fn push(
        &mut self,
        customer: &str,
        weight: u32,
        cost: Duration,
        sort_key: (MonotonicTime, u64),
    ) {
        let virtual_clock = self.virtual_clock;
        let flow = self.flows.entry(customer.to_owned()).or_default();
        if flow.waiting.is_empty() {
            flow.virtual_time = flow.virtual_time.max(virtual_clock);
        }
        flow.weight = weight.max(1);
        flow.cost += cost;
        flow.waiting.insert(sort_key, sort_key.1);
        self.cost += cost;
        self.count += 1;
    }

    fn first(&self) -> Option<u64> {
        let waiting = self.flows.values().filter(|flow| !flow.waiting.is_empty());
        let flow = waiting.min_by(|a, b| {
            a.virtual_time.total_cmp(&b.virtual_time).then_with(|| {
                a.waiting
                    .first_key_value()
                    .map(|(sort_key, _)| sort_key)
                    .cmp(&b.waiting.first_key_value().map(|(sort_key, _)| sort_key))
            })
        })?;
        flow.waiting.first_key_value().map(|(_, id)| *id)
    }

    fn remove(
        &mut self,
        customer: &str,
        cost: Duration,
        sort_key: (MonotonicTime, u64),
        started: bool,
    ) {
        let Some(flow) = self.flows.get_mut(customer) else { return };
        if flow.waiting.remove(&sort_key).is_none() {
            return;
        }
        flow.cost = flow.cost.saturating_sub(cost);
        self.cost = self.cost.saturating_sub(cost);
        self.count -= 1;
        if started {
            self.virtual_clock = self.virtual_clock.max(flow.virtual_time);
            flow.virtual_time += cost.as_secs_f64() / f64::from(flow.weight);
        }
        let virtual_clock = self.virtual_clock;
        if self.count == 0 {
            self.flows.clear();
        } else if flow.waiting.is_empty() {
            // A flow without calls keeps its virtual time until the others have reached it.
            // Otherwise each call of a customer that sends one at a time would start first.
            self.flows
                .retain(|_, flow| !flow.waiting.is_empty() || flow.virtual_time > virtual_clock);
        }
    }

    /// Estimates the run time of the calls that start before a further call of a customer: its own
    /// waiting calls, scaled by the share of its weight, and at most all waiting calls.
    fn backlog(&self, customer: &str, weight: u32) -> Duration {
        let weight = f64::from(weight.max(1));
        let own = self.flows.get(customer).map_or(Duration::ZERO, |flow| flow.cost);
        let others: f64 = self
            .flows
            .iter()
            .filter(|(name, flow)| *name != customer && !flow.waiting.is_empty())
            .map(|(_, flow)| f64::from(flow.weight))
            .sum();
        own.mul_f64((weight + others) / weight).min(self.cost)
    }
}

impl<K: Copy> CallQueue<K> {
    /// Creates an empty queue.
    pub fn new(order: QueueOrder) -> Self {
        Self {
            order,
            classes: Default::default(),
            items: HashMap::new(),
            by_latest_start: BTreeSet::new(),
            next_id: 0,
        }
    }

    /// Adds a call and returns its id in the queue.
    pub fn push(&mut self, item: QueueItem<K>) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let sort_key = self.sort_key(&item, id);
        let (class, customer) = (self.class_of(&item), self.customer_of(&item));
        self.classes[class].push(&customer, item.weight, item.cost, sort_key);
        self.by_latest_start.insert((item.latest_start, id));
        self.items.insert(id, item);
        id
    }

    /// Returns the id and key of the short or long call to start next, without removing it.
    pub fn first(&self, long: bool) -> Option<(u64, K)> {
        let id = self.classes[usize::from(long)].first()?;
        Some((id, self.items[&id].key))
    }

    /// Removes a call that starts and charges its run time to the share of its customer.
    pub fn start(&mut self, id: u64) -> Option<QueueItem<K>> {
        self.remove_item(id, true)
    }

    /// Removes a call that does not start.
    pub fn remove(&mut self, id: u64) -> Option<QueueItem<K>> {
        self.remove_item(id, false)
    }

    /// Removes and returns one call whose latest start is before `now`, if there is one.
    pub fn expire(&mut self, now: MonotonicTime) -> Option<QueueItem<K>> {
        let &(latest_start, id) = self.by_latest_start.first()?;
        (latest_start < now).then(|| self.remove_item(id, false)).flatten()
    }

    /// Removes all calls and returns their keys in order of arrival.
    pub fn drain(&mut self) -> Vec<K> {
        let mut ids: Vec<u64> = self.items.keys().copied().collect();
        ids.sort_unstable();
        ids.into_iter().filter_map(|id| self.remove_item(id, false)).map(|item| item.key).collect()
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the sum of the expected run times of all waiting short or long calls.
    pub fn cost(&self, long: bool) -> Duration {
        self.classes[usize::from(long)].cost
    }

    /// Returns the expected run time of the short or long calls that would start before a further
    /// call of a customer.
    pub fn backlog(&self, long: bool, customer: &str, weight: u32) -> Duration {
        self.classes[usize::from(long)].backlog(customer, weight)
    }

    fn remove_item(&mut self, id: u64, started: bool) -> Option<QueueItem<K>> {
        let item = self.items.remove(&id)?;
        self.by_latest_start.remove(&(item.latest_start, id));
        let sort_key = self.sort_key(&item, id);
        let (class, customer) = (self.class_of(&item), self.customer_of(&item));
        self.classes[class].remove(&customer, item.cost, sort_key, started);
        Some(item)
    }

    fn sort_key(&self, item: &QueueItem<K>, id: u64) -> (MonotonicTime, u64) {
        match self.order {
            QueueOrder::Deadline => (item.deadline, id),
            QueueOrder::Arrival => (MonotonicTime::ZERO, id),
        }
    }

    fn class_of(&self, item: &QueueItem<K>) -> usize {
        usize::from(item.long && self.order == QueueOrder::Deadline)
    }

    fn customer_of(&self, item: &QueueItem<K>) -> CustomerName {
        match self.order {
            QueueOrder::Deadline => item.customer.clone(),
            QueueOrder::Arrival => CustomerName::new(),
        }
    }
}

/// Spreads the retries of refused callers over time.
///
/// Each refusal extends the period over which retries are spread by the time that one call needs. A
/// burst of refused callers thus does not retry faster than the system can serve it.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    spread_until: MonotonicTime,
}

impl RetrySchedule {
    /// Returns a random delay after which a refused caller should retry. `drain_time` is the time
    /// that the queue needs to drain, `service_interval` the time between the starts of two calls.
    pub fn draw_delay(
        &mut self,
        rng: &mut impl Rng,
        now: MonotonicTime,
        drain_time: Duration,
        service_interval: Duration,
    ) -> Duration {
        let latest =
            self.spread_until.max(now + drain_time.max(MIN_RETRY_DELAY)) + service_interval;
        self.spread_until = latest.min(now + MAX_RETRY_DELAY);
        let spread = (self.spread_until - now).max(MIN_RETRY_DELAY * 2);
        let millis = MIN_RETRY_DELAY.as_millis() as u64..=spread.as_millis() as u64;
        Duration::from_millis(rng.random_range(millis))
    }
}

#[derive(Debug, Default)]
struct BudgetWindow {
    /// Seconds of the window, each with its number of calls and of retries.
    seconds: VecDeque<(u64, u64, u64)>,
}

/// Retry budget of each customer, proportional to its recent calls.
#[derive(Debug, Default)]
pub struct RetryBudget {
    customers: HashMap<CustomerName, BudgetWindow>,
}

impl BudgetWindow {
    fn advance(&mut self, now: MonotonicTime) -> &mut (u64, u64, u64) {
        let second = now.as_secs();
        while self.seconds.front().is_some_and(|front| front.0 + BUDGET_WINDOW_SECONDS <= second) {
            self.seconds.pop_front();
        }
        if self.seconds.back().is_none_or(|back| back.0 < second) {
            self.seconds.push_back((second, 0, 0));
        }
        self.seconds.back_mut().expect("the window has an entry for the current second")
    }
}

impl RetryBudget {
    /// Counts a call of a customer.
    pub fn record_call(&mut self, customer: &str, now: MonotonicTime) {
        self.window(customer).advance(now).1 += 1;
    }

    /// Takes one retry from the budget of a customer. Returns false if the budget is exhausted.
    pub fn take_retry(&mut self, customer: &str, now: MonotonicTime) -> bool {
        let window = self.window(customer);
        window.advance(now);
        let calls: u64 = window.seconds.iter().map(|second| second.1).sum();
        let retries: u64 = window.seconds.iter().map(|second| second.2).sum();
        if retries >= (calls / CALLS_PER_RETRY).max(MIN_RETRIES) {
            return false;
        }
        window.advance(now).2 += 1;
        true
    }

    fn window(&mut self, customer: &str) -> &mut BudgetWindow {
        let known = self.customers.contains_key(customer) || self.customers.len() < MAX_CUSTOMERS;
        self.customers.entry(if known { customer } else { "" }.to_owned()).or_default()
    }
}
