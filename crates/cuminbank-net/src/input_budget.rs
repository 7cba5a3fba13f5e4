//! Bound on the memory and the number of all connections of a process together.
//!
//! A connection counts what it holds beyond its first [`FREE_BYTES`]. When the bound is reached, the
//! connections whose input has been unfinished for the longest time are cut off. Requests that were
//! read completely are never cut off: further input is refused until they are answered.

use std::{
    cell::{Cell, RefCell},
    os::fd::{AsRawFd, RawFd},
    rc::Rc,
    time::{Duration, Instant},
};

use monoio::{net::TcpStream, time};
use nix::{
    libc,
    sys::socket::{setsockopt, shutdown, sockopt, Shutdown},
};
use slotmap::{new_key_type, SlotMap};

use crate::memory_plan::{MemoryPlan, MAX_MESSAGE_BYTES};

/// Input that each connection may hold without being counted. Most requests are smaller, so that
/// they cost no accounting; the limit on connections bounds the sum.
pub(crate) const FREE_BYTES: usize = 8 * 1024;
/// Interval at which a reader checks whether memory or a connection has been released.
const RELEASE_INTERVAL: Duration = Duration::from_millis(1);
/// Longest time that an accepted connection waits for others to close. They take up to 50 ms.
const MAX_ADMISSION_WAIT: Duration = Duration::from_millis(500);
/// Copies of a body that handling it may take: decoded, and encoded for the store or another instance.
const HANDLING_COPIES: usize = 2;
/// Share of the connections that are cut off at once when there are too many. A few at a time spare
/// a scan of all for each new one.
const CUT_SHARE: usize = 16;

/// Port on which a connection was accepted. Each kind of port gives up connections only while it has
/// the most of them, so that a crowd on one port does not close those of the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PortKind {
    /// Clients, or callers.
    Clients,
    /// Readiness checks.
    Readiness,
    /// Operators.
    Operators,
    /// Other instances.
    Peers,
}

const PORT_KINDS: usize = 4;

/// Limits of an [`InputBudget`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Bytes that all connections together may hold.
    pub input_bytes: usize,
    /// Bytes that connections may hold with what handling their complete requests takes. A request
    /// over it is refused, unless it is the only one in progress.
    pub handling_bytes: usize,
    /// Upper bound on `input_bytes` and answers from outside together. Answers get the difference
    /// for themselves: an instance whose answers are refused stops working.
    pub answer_bytes: usize,
    /// Maximum size of a message of another instance, and of an answer.
    pub message_bytes: usize,
    /// Maximum number of accepted connections.
    pub connections: usize,
}

impl BudgetLimits {
    /// Returns the limits for a process that may use `memory_mb` MB of memory.
    pub fn for_memory(memory_mb: u64) -> Self {
        Self::new(&MemoryPlan::new(memory_mb))
    }

    /// Returns the limits of a plan.
    pub fn new(plan: &MemoryPlan) -> Self {
        Self {
            input_bytes: plan.input,
            handling_bytes: plan.handling,
            answer_bytes: plan.input.saturating_add(plan.answers),
            message_bytes: plan.message,
            connections: plan.connections,
        }
    }

    /// Returns limits that bound nothing but the size of a message.
    pub fn unlimited() -> Self {
        Self {
            input_bytes: usize::MAX,
            handling_bytes: usize::MAX,
            answer_bytes: usize::MAX,
            message_bytes: MAX_MESSAGE_BYTES,
            connections: usize::MAX,
        }
    }

    /// Returns the bytes that answers from outside may hold together.
    fn own_answer_bytes(&self) -> usize {
        match self.answer_bytes {
            usize::MAX => usize::MAX,
            bytes => bytes.saturating_sub(self.input_bytes),
        }
    }
}

/// Counts of a budget since the process started, and what is in use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BudgetCounts {
    /// Connections cut off because others needed the memory.
    pub cut: u64,
    /// Inputs refused because nothing could be released.
    pub refused: u64,
    /// Connections cut off, or closed on accept, because there were too many.
    pub closed: u64,
    /// Answers from outside given up because they were too large, or because others held the memory.
    pub lost_answers: u64,
    /// Bytes that connections hold.
    pub used: usize,
    /// Bytes that answers from outside hold.
    pub answer_bytes: usize,
    /// Open connections.
    pub connections: usize,
}

/// Memory and connections of a process, shared by its servers and clients.
#[derive(Clone, Debug)]
pub struct InputBudget(Rc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    limits: BudgetLimits,
    counts: Cell<BudgetCounts>,
    /// Bytes of connections that were cut off and have not released them yet.
    releasing: Cell<usize>,
    /// Connections that were cut off and are not closed yet.
    closing: Cell<usize>,
    holders: RefCell<SlotMap<HolderKey, Rc<InputHolder>>>,
    port_connections: [Cell<usize>; PORT_KINDS],
}

new_key_type! {
    struct HolderKey;
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InputPhase {
    /// No byte of a request has arrived.
    Idle,
    /// A request has begun to arrive.
    Reading,
    /// A request was read completely and is being handled.
    Complete,
    /// The response is being written.
    Writing,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CutState {
    Open,
    /// Its input was refused.
    Refused,
    /// It was cut off for others, and its socket gives no more input.
    Shut,
}

#[derive(Debug)]
struct InputHolder {
    /// Valid as long as the holder is registered.
    socket: RawFd,
    port: PortKind,
    bytes: Cell<usize>,
    /// Start of the phase.
    since: Cell<Instant>,
    phase: Cell<InputPhase>,
    cut: Cell<CutState>,
    /// Whether a request on the connection was answered.
    served: Cell<bool>,
}

impl Default for InputBudget {
    fn default() -> Self {
        Self::new(BudgetLimits::unlimited())
    }
}

impl InputBudget {
    /// Creates a budget.
    pub fn new(limits: BudgetLimits) -> Self {
        Self(Rc::new(BudgetState {
            limits,
            counts: Cell::default(),
            releasing: Cell::new(0),
            closing: Cell::new(0),
            holders: RefCell::default(),
            port_connections: Default::default(),
        }))
    }

    /// Returns the counts.
    pub fn counts(&self) -> BudgetCounts {
        self.0.counts.get()
    }

    /// Returns the limits.
    pub fn limits(&self) -> BudgetLimits {
        self.0.limits
    }

    /// Registers an accepted connection. If there are too many, those that have been idle or
    /// unfinished for the longest time are cut off first; `None` if none can be.
    pub(crate) async fn admit(&self, stream: &TcpStream, port: PortKind) -> Option<InputLease> {
        let began = Instant::now();
        while self.counts().connections >= self.0.limits.connections {
            let none_waits = self.0.closing.get() == 0 && !self.cut_waiting_connections();
            if none_waits || began.elapsed() > MAX_ADMISSION_WAIT {
                self.update(|counts| counts.closed += 1);
                return None;
            }
            time::sleep(RELEASE_INTERVAL).await;
        }
        let holder = Rc::new(InputHolder {
            socket: stream.as_raw_fd(),
            port,
            bytes: Cell::new(0),
            since: Cell::new(Instant::now()),
            phase: Cell::new(InputPhase::Idle),
            cut: Cell::new(CutState::Open),
            served: Cell::new(false),
        });
        let key = self.0.holders.borrow_mut().insert(Rc::clone(&holder));
        self.update(|counts| counts.connections += 1);
        let connections = self.port_connections(port);
        connections.set(connections.get() + 1);
        Some(InputLease { budget: self.clone(), holder, key })
    }

    /// Returns an account for an answer from outside.
    pub(crate) fn answer_lease(&self) -> AnswerLease {
        AnswerLease { budget: self.clone(), bytes: Cell::new(0) }
    }

    fn port_connections(&self, port: PortKind) -> &Cell<usize> {
        &self.0.port_connections[port as usize]
    }

    fn update(&self, change: impl FnOnce(&mut BudgetCounts)) {
        let mut counts = self.0.counts.get();
        change(&mut counts);
        self.0.counts.set(counts);
    }

    /// Waits until `bytes` more are within `limit`, and takes them. Cuts off what has been unfinished
    /// for the longest time, which may be `holder` itself. Returns false if nothing can be released.
    async fn take(&self, bytes: usize, limit: usize, holder: &InputHolder) -> bool {
        loop {
            if holder.cut.get() != CutState::Open {
                return false;
            }
            let needed = self.counts().used.saturating_add(bytes);
            if needed <= limit {
                self.update(|counts| counts.used = needed);
                return true;
            }
            if needed - self.0.releasing.get() > limit {
                match self.find_longest_unfinished(holder) {
                    Some(other) if !std::ptr::eq(holder, &*other) => {
                        self.update(|counts| counts.cut += 1);
                        self.cut(&other);
                    }
                    _ => {
                        self.update(|counts| counts.refused += 1);
                        return false;
                    }
                }
            }
            time::sleep(RELEASE_INTERVAL).await;
        }
    }

    /// Returns the holder with memory whose request has been unfinished for the longest time,
    /// including `own` even without memory.
    fn find_longest_unfinished(&self, own: &InputHolder) -> Option<Rc<InputHolder>> {
        let holders = self.0.holders.borrow();
        let unfinished = holders.values().filter(|holder| {
            holder.is_cuttable() && (std::ptr::eq(own, &***holder) || holder.bytes.get() > 0)
        });
        unfinished.min_by_key(|holder| holder.since.get()).cloned()
    }

    /// Tells whether a request of another connection than `own` is being handled and holds memory.
    fn handles_another(&self, own: &InputHolder) -> bool {
        self.0.holders.borrow().values().any(|holder| {
            holder.phase.get() == InputPhase::Complete
                && holder.bytes.get() > 0
                && !std::ptr::eq(own, &**holder)
        })
    }

    /// Cuts off some of the connections that wait for their client, on the port with the most
    /// connections: first those without an answered request, since ordinary clients keep theirs open
    /// between requests. Returns false if none waits.
    fn cut_waiting_connections(&self) -> bool {
        let kinds = [PortKind::Clients, PortKind::Readiness, PortKind::Operators, PortKind::Peers];
        let Some(port) = kinds.into_iter().max_by_key(|kind| self.port_connections(*kind).get())
        else {
            return false;
        };
        let waiting = |holder: &&Rc<InputHolder>| holder.port == port && holder.is_cuttable();
        let mut found: Vec<_> = self.0.holders.borrow().values().filter(waiting).cloned().collect();
        found.sort_by_key(|holder| (holder.served.get(), holder.since.get()));
        found.truncate((self.0.limits.connections / CUT_SHARE).max(1));
        for holder in &found {
            self.update(|counts| counts.closed += 1);
            self.cut(holder);
        }
        !found.is_empty()
    }

    fn cut(&self, holder: &InputHolder) {
        holder.cut.set(CutState::Shut);
        self.0.releasing.set(self.0.releasing.get() + holder.bytes.get());
        self.0.closing.set(self.0.closing.get() + 1);
        let direction = match holder.phase.get() {
            InputPhase::Writing => {
                // The kernel would keep what the client has not read after the close.
                let reset = libc::linger { l_onoff: 1, l_linger: 0 };
                let _ = setsockopt(holder.socket, sockopt::Linger, &reset);
                Shutdown::Both
            }
            _ => Shutdown::Read,
        };
        // Ends the read or write that the connection waits for. A socket that its client has reset
        // cannot be shut down, but then they have ended as well.
        let _ = shutdown(holder.socket, direction);
    }

    fn give_back(&self, bytes: usize) {
        self.update(|counts| counts.used -= bytes);
    }
}

impl InputHolder {
    /// Tells whether the connection waits for its client and may be cut off.
    fn is_cuttable(&self) -> bool {
        self.phase.get() != InputPhase::Complete && self.cut.get() == CutState::Open
    }
}

/// Account of the memory that one reader holds.
pub(crate) trait InputAccount {
    /// Waits until the account may hold `total` bytes. Returns false if it may not.
    async fn reserve(&self, total: usize) -> bool;
}

/// Registration of a connection with its budget. Dropping it releases what the connection holds.
#[derive(Debug)]
pub(crate) struct InputLease {
    budget: InputBudget,
    holder: Rc<InputHolder>,
    key: HolderKey,
}

impl InputLease {
    /// Notes that a request has begun to arrive.
    pub(crate) fn begin(&self) {
        if self.holder.phase.get() == InputPhase::Idle {
            self.holder.phase.set(InputPhase::Reading);
            self.holder.since.set(Instant::now());
        }
    }

    /// Notes that a request with a body of `body_bytes` was read completely. It is not cut off until
    /// its response is written. Returns false if it already was, or if there is no memory to handle
    /// it; the only request in progress is always handled.
    pub(crate) fn complete(&self, body_bytes: usize) -> bool {
        if !self.is_cut() && body_bytes > FREE_BYTES {
            let copies = body_bytes * HANDLING_COPIES;
            let needed = self.budget.counts().used.saturating_add(copies);
            let limit = self.limits().handling_bytes;
            if needed > limit && self.budget.handles_another(&self.holder) {
                self.holder.cut.set(CutState::Refused);
                self.budget.update(|counts| counts.refused += 1);
                return false;
            }
            self.charge(self.held() + copies);
        }
        self.holder.phase.set(InputPhase::Complete);
        !self.is_cut()
    }

    /// Notes that the response, with a body of `body_bytes`, begins to be written.
    pub(crate) fn begin_response(&self, body_bytes: usize) {
        self.holder.phase.set(InputPhase::Writing);
        self.holder.since.set(Instant::now());
        if body_bytes > FREE_BYTES {
            self.charge(body_bytes);
        }
        self.shrink(body_bytes);
    }

    /// Counts up to `total` bytes without a check of the limit. Others are cut off or refused then.
    fn charge(&self, total: usize) {
        let added = total.saturating_sub(self.held());
        self.holder.bytes.set(self.held() + added);
        self.budget.update(|counts| counts.used += added);
    }

    /// Notes that a request was answered, and that `bytes` of further input are held.
    pub(crate) fn finish(&self, bytes: usize) {
        self.holder.phase.set(InputPhase::Idle);
        self.holder.since.set(Instant::now());
        self.holder.served.set(true);
        self.shrink(bytes);
    }

    /// Releases all but `bytes`.
    pub(crate) fn shrink(&self, bytes: usize) {
        let released = self.holder.bytes.get().saturating_sub(bytes);
        if released == 0 {
            return;
        }
        self.holder.bytes.set(self.holder.bytes.get() - released);
        self.budget.give_back(released);
        if self.holder.cut.get() == CutState::Shut {
            let releasing = &self.budget.0.releasing;
            releasing.set(releasing.get().saturating_sub(released));
        }
    }

    /// Returns the bytes that count towards the budget.
    pub(crate) fn held(&self) -> usize {
        self.holder.bytes.get()
    }

    /// Tells whether the input was refused or cut off.
    pub(crate) fn is_cut(&self) -> bool {
        self.holder.cut.get() != CutState::Open
    }

    /// Returns the limits of the budget.
    pub(crate) fn limits(&self) -> BudgetLimits {
        self.budget.limits()
    }
}

impl InputAccount for InputLease {
    async fn reserve(&self, total: usize) -> bool {
        let held = self.holder.bytes.get();
        if total <= held {
            return !self.is_cut();
        }
        let limit = self.budget.0.limits.input_bytes;
        if !self.budget.take(total - held, limit, &self.holder).await {
            if self.holder.cut.get() == CutState::Open {
                self.holder.cut.set(CutState::Refused);
            }
            return false;
        }
        self.holder.bytes.set(total);
        true
    }
}

impl Drop for InputLease {
    fn drop(&mut self) {
        self.shrink(0);
        if self.holder.cut.get() == CutState::Shut {
            self.budget.0.closing.set(self.budget.0.closing.get() - 1);
        }
        self.budget.0.holders.borrow_mut().remove(self.key);
        self.budget.update(|counts| counts.connections -= 1);
        let connections = self.budget.port_connections(self.holder.port);
        connections.set(connections.get() - 1);
    }
}

/// Account of an answer from outside, which is never cut off. Dropping it releases the memory.
///
/// Answers do not count towards the input in use, so that requests in progress, which may wait for
/// these answers, cannot cause their loss.
#[derive(Debug)]
pub(crate) struct AnswerLease {
    budget: InputBudget,
    bytes: Cell<usize>,
}

impl AnswerLease {
    /// Counts the answer as lost, since it is too large.
    pub(crate) fn count_lost(&self) {
        self.budget.update(|counts| counts.lost_answers += 1);
    }
}

impl InputAccount for AnswerLease {
    /// An answer gets its memory within the limit, or if it is the only one that holds any: the
    /// limit may be smaller than the largest answer.
    async fn reserve(&self, total: usize) -> bool {
        let held = self.bytes.get();
        if total <= held {
            return true;
        }
        let others = self.budget.counts().answer_bytes - held;
        let needed = others.saturating_add(total);
        if others > 0 && needed > self.budget.limits().own_answer_bytes() {
            self.count_lost();
            return false;
        }
        self.budget.update(|counts| counts.answer_bytes = needed);
        self.bytes.set(total);
        true
    }
}

impl Drop for AnswerLease {
    fn drop(&mut self) {
        self.budget.update(|counts| counts.answer_bytes -= self.bytes.get());
    }
}
