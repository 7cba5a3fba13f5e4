//! Waiting calls: their order, the times at which refused callers come back, and retries.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use rand::Rng;

use crate::ids::{CustomerName, MonotonicTime};

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Time over which calls and retries are counted for the retry budget.
const BUDGET_WINDOW_SECONDS: u64 = 10;
/// Retries as a share of calls: one for this many calls.
const CALLS_PER_RETRY: u64 = 10;
/// Retries that a customer always has in the window, so that a customer with few calls has any.
const MIN_RETRIES: u64 = 3;
/// Customers whose budget is kept. Callers name customers, so their number needs a bound; the
/// customers beyond it share one budget.
const MAX_CUSTOMERS: usize = 1_000;

/// Order in which waiting calls start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// Short before long, shared among customers by weight, and by deadline.
    Deadline,
    /// First come, first served.
    Arrival,
}

/// A call that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueItem<K> {
    /// The call.
    pub key: K,
    /// Customer that it counts for.
    pub customer: CustomerName,
    /// Weight of the customer.
    pub weight: u32,
    /// Expected run time.
    pub cost: Duration,
    /// Time by which the answer is due.
    pub deadline: MonotonicTime,
    /// Time after which a start no longer meets the deadline.
    pub latest_start: MonotonicTime,
    /// Whether the call is expected to be long.
    pub long: bool,
}

/// Waiting calls of one customer.
#[derive(Debug, Default)]
struct CustomerFlow {
    waiting: BTreeMap<(MonotonicTime, u64), u64>,
    cost: Duration,
    weight: u32,
    /// Slot time that the customer used, divided by its weight.
    virtual_time: f64,
}

/// Short or long calls.
#[derive(Debug, Default)]
struct QueueClass {
    flows: BTreeMap<CustomerName, CustomerFlow>,
    cost: Duration,
    count: usize,
    /// Used share of the customer that was served last; a customer whose calls begin to wait
    /// starts from here, so that an unused share is lent and not saved up.
    virtual_clock: f64,
}

/// Waiting calls of a group.
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
        served: bool,
    ) {
        let Some(flow) = self.flows.get_mut(customer) else { return };
        if flow.waiting.remove(&sort_key).is_none() {
            return;
        }
        flow.cost = flow.cost.saturating_sub(cost);
        self.cost = self.cost.saturating_sub(cost);
        self.count -= 1;
        if served {
            self.virtual_clock = self.virtual_clock.max(flow.virtual_time);
            flow.virtual_time += cost.as_secs_f64() / f64::from(flow.weight);
        }
        let virtual_clock = self.virtual_clock;
        if self.count == 0 {
            self.flows.clear();
        } else if flow.waiting.is_empty() {
            // A customer that sends one call at a time keeps its used share until the others have
            // caught up; otherwise each of its calls would start before theirs.
            self.flows
                .retain(|_, flow| !flow.waiting.is_empty() || flow.virtual_time > virtual_clock);
        }
    }

    /// Returns the slot time ahead of a further call of a customer, at most that of all waiting
    /// calls; less if its share by weight brings it forward.
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

    /// Adds a call and returns its number in the queue.
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

    /// Returns the call to start next among short or long ones.
    pub fn first(&self, long: bool) -> Option<(u64, K)> {
        let id = self.classes[usize::from(long)].first()?;
        Some((id, self.items[&id].key))
    }

    /// Takes a call out because it starts, which counts against its customer's share.
    pub fn start(&mut self, id: u64) -> Option<QueueItem<K>> {
        self.take(id, true)
    }

    /// Takes a call out that does not start.
    pub fn remove(&mut self, id: u64) -> Option<QueueItem<K>> {
        self.take(id, false)
    }

    /// Takes out a call whose latest start has passed at `now`.
    pub fn expire(&mut self, now: MonotonicTime) -> Option<QueueItem<K>> {
        let &(latest_start, id) = self.by_latest_start.first()?;
        (latest_start < now).then(|| self.take(id, false)).flatten()
    }

    /// Takes all calls out.
    pub fn drain(&mut self) -> Vec<K> {
        let mut ids: Vec<u64> = self.items.keys().copied().collect();
        ids.sort_unstable();
        ids.into_iter().filter_map(|id| self.take(id, false)).map(|item| item.key).collect()
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Tells whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the expected run time of all waiting short or long calls together.
    pub fn cost(&self, long: bool) -> Duration {
        self.classes[usize::from(long)].cost
    }

    /// Returns the expected run time of the calls ahead of a further call of a customer.
    pub fn backlog(&self, long: bool, customer: &str, weight: u32) -> Duration {
        self.classes[usize::from(long)].backlog(customer, weight)
    }

    fn take(&mut self, id: u64, served: bool) -> Option<QueueItem<K>> {
        let item = self.items.remove(&id)?;
        self.by_latest_start.remove(&(item.latest_start, id));
        let sort_key = self.sort_key(&item, id);
        let (class, customer) = (self.class_of(&item), self.customer_of(&item));
        self.classes[class].remove(&customer, item.cost, sort_key, served);
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

/// Times at which refused callers come back.
///
/// Each refusal extends the time over which returns are spread by the time that one more call
/// takes, so that a large wave of refusals does not come back faster than it can be served.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    spread_until: MonotonicTime,
}

impl RetrySchedule {
    /// Draws the delay after which a refused caller should come back. `drain` is the time that the
    /// queue needs to drain, `step` the time between two calls that are served.
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
    /// Second, calls and retries in it.
    seconds: VecDeque<(u64, u64, u64)>,
}

/// Retries that each customer may still make.
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
        self.seconds.back_mut().expect("an entry for this second was just added")
    }
}

impl RetryBudget {
    /// Counts a call of a customer.
    pub fn note_call(&mut self, customer: &str, now: MonotonicTime) {
        self.window(customer).advance(now).1 += 1;
    }

    /// Takes a retry from the budget of a customer; returns whether there was one.
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
