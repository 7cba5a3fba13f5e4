//! Ownership of a cell. The owner is the instance that holds the ownership record in the platform's
//! store under a lease; its epoch is the fencing token of every order it sends.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    formats::describe_value,
    ids::{
        CellId, InstanceName, LeaseId, MonotonicTime, OwnerEpoch, RunNumber, StoreRevision, WriteId,
    },
    keys::CellKeys,
    store::{
        decode_value, encode_value, StoreCall, StoreFailure, StoreItem, StorePut, StoreReply,
        StoreTxn, TxnOutcome,
    },
};

/// Time to live of the ownership lease. Long enough for four renewals, and so short that a failed
/// owner is replaced well before the leases of its runs expire.
pub const OWNERSHIP_TTL: Duration = Duration::from_millis(1_500);
/// Interval between lease renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(350);
/// How long an owner keeps sending orders after it last claimed or renewed the lease. Covers store
/// outages seen in production, which last up to 7 s and vary by a third. If a new owner appears
/// meanwhile, the executors that it has contacted reject the old owner's orders. How long it may
/// extend the leases of runs is bounded separately, see [`crate::lease_bounds`].
pub const MAX_STORE_SILENCE: Duration = Duration::from_millis(9_500);
/// Delay before an instance claims a vacant cell that it did not own. The previous owner claims at
/// once, because it still has the cell's state in memory.
pub const CLAIM_DELAY: Duration = Duration::from_millis(250);
/// Share of a core, and link bandwidth, with which an instance claims after [`CLAIM_DELAY`].
/// Instances with more resources claim earlier, because an owner's CPU use and traffic grow with
/// the number of executors.
pub const TYPICAL_SHARE: f64 = 0.25;
const TYPICAL_LINK_MBPS: f64 = 100.0;
/// Range over which instances with equal resources spread their claims of one cell.
const CLAIM_SPREAD: Duration = Duration::from_millis(120);
/// Extra claim delay for each other cell that the instance owns or claims. A claim takes three
/// store calls.
const OTHER_CELL_DELAY: Duration = Duration::from_millis(400);
/// Limits of the factor by which resources scale the claim delay.
const MIN_DELAY_FACTOR: f64 = 0.4;
const MAX_DELAY_FACTOR: f64 = 4.0;
/// Delay before retrying after a failed claim, renewal or release for a hand-over.
pub const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Range of run numbers of one owner.
const RUNS_PER_OWNER: RunNumber = 1_000;
/// Epoch of the first owner of a cell.
pub const FIRST_EPOCH: OwnerEpoch = 1;
/// Delay of a claim by an instance that has not seen the last owner. Others know better when that
/// owner was last confirmed, and so wait for a shorter time until they start tasks.
const UNINFORMED_CLAIM_DELAY: Duration = Duration::from_millis(500);
/// Time after a hand-over in which its owner does not claim the cell. Longer than the longest claim
/// delay of an instance without cells and the three calls of a claim.
pub const HANDOVER_PAUSE: Duration = Duration::from_secs(3);
/// Delay before retrying a claim that failed because the last epoch cannot be read.
const UNREADABLE_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Timeout of a store call that claims, renews or releases the ownership.
pub const OWNERSHIP_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the factor by which an instance delays its claims. `share` is its share of a core,
/// `link_mbps` its bandwidth in Mbit/s; fewer resources give a larger factor.
pub fn claim_delay_factor(share: f64, link_mbps: f64) -> f64 {
    let factor = (TYPICAL_SHARE / share).max(TYPICAL_LINK_MBPS / link_mbps);
    factor.clamp(MIN_DELAY_FACTOR, MAX_DELAY_FACTOR)
}

/// Record of the current owner, as stored under the ownership key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRecord {
    /// Name of the owning instance.
    pub instance: InstanceName,
    /// Start number of the owner's process. Distinguishes it from an earlier process of the same
    /// name.
    pub start: u64,
    /// Address at which other instances reach the owner.
    pub peer_address: std::net::SocketAddr,
    /// Epoch of the ownership.
    pub epoch: OwnerEpoch,
}

/// Ownership that this instance currently holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldOwnership {
    /// Epoch, used as the fencing token of orders.
    pub epoch: OwnerEpoch,
    /// Revision of the ownership record, or `None` once the record is known to be removed. Writes
    /// are conditional on it.
    pub revision: Option<StoreRevision>,
    /// Store revision at which the epoch began.
    pub start_revision: StoreRevision,
    /// Time until which this instance may send orders.
    pub authority_until: MonotonicTime,
    /// Time from which on no owner before the previous one sends orders.
    pub earlier_orders_until: MonotonicTime,
    /// Whether the claims show that all earlier owners bound their leases.
    pub earlier_bounded: bool,
    /// Number above those of all runs of earlier owners.
    pub run_base: RunNumber,
    lease: LeaseId,
}

/// Action requested by [`OwnershipState`].
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipEffect {
    /// Call the store.
    Call {
        /// Call id.
        id: WriteId,
        /// Call to make.
        call: StoreCall,
        /// Longest time to wait for the reply.
        timeout: Duration,
    },
    /// This instance now owns the cell in a new epoch. The second field is the owner of the
    /// previous epoch, if there was one.
    Began(HeldOwnership, Option<OwnerRecord>),
    /// This instance wrote its ownership record again, in the same epoch.
    Resumed(HeldOwnership),
    /// This instance no longer owns the cell; the field is the reason for the log.
    Ended(&'static str),
    /// A record of the ownership cannot be read, so the cell is not claimed.
    Unreadable {
        /// Key of the record.
        key: String,
        /// Size and version of the value.
        detail: String,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum PendingCall {
    Grant,
    Read { lease: LeaseId },
    Claim { lease: LeaseId, epoch: OwnerEpoch },
}

/// State machine that claims, renews and releases the ownership of one cell.
#[derive(Clone, Debug)]
pub struct OwnershipState {
    identity: OwnerRecord,
    keys: CellKeys,
    held: Option<HeldOwnership>,
    /// When the last ownership of this process ended and it stopped sending orders.
    stopped_at: Option<MonotonicTime>,
    observed: Option<OwnerRecord>,
    /// Highest epoch observed, and since when its owner owns the cell.
    observed_epoch: (OwnerEpoch, MonotonicTime),
    /// Process that owned the cell in that epoch.
    observed_process: Option<(InstanceName, u64)>,
    /// Highest revision observed. Older observations come from a lagging watch and are ignored.
    observed_revision: StoreRevision,
    vacant_since: Option<MonotonicTime>,
    pending: Option<(WriteId, PendingCall)>,
    renewal: Option<(WriteId, MonotonicTime)>,
    next_renewal: MonotonicTime,
    next_claim: MonotonicTime,
    last_claim: Option<(LeaseId, OwnerEpoch)>,
    /// Owner of the epoch before the last one claimed.
    predecessor: Option<OwnerRecord>,
    /// Whether the owners before the last epoch claimed bound their leases.
    earlier_bounded: bool,
    run_base: RunNumber,
    draining: bool,
    ttl: Duration,
    claim_delay: Duration,
    /// Number of other cells that this process owns or claims.
    other_cells: u32,
    /// Pending removal of the ownership record, retried until the store replies. Without it the
    /// next owner has to wait until the lease expires.
    release: Option<(WriteId, StoreTxn)>,
    /// Removal of the ownership record that failed at a hand-over, and when it is sent again.
    failed_release: Option<(MonotonicTime, StoreTxn)>,
    last_call_id: WriteId,
}

impl OwnershipState {
    /// Creates the state of an instance that does not own its cell. The cell is 0 unless
    /// [`Self::with_cell`] sets another.
    pub fn new(instance: InstanceName, start: u64, peer_address: std::net::SocketAddr) -> Self {
        Self {
            identity: OwnerRecord { instance, start, peer_address, epoch: 0 },
            keys: CellKeys::new(0),
            held: None,
            stopped_at: None,
            observed: None,
            observed_epoch: (0, MonotonicTime::ZERO),
            observed_process: None,
            observed_revision: 0,
            vacant_since: None,
            pending: None,
            renewal: None,
            next_renewal: Duration::ZERO,
            next_claim: Duration::ZERO,
            last_claim: None,
            predecessor: None,
            earlier_bounded: false,
            run_base: 0,
            draining: false,
            ttl: OWNERSHIP_TTL,
            claim_delay: CLAIM_DELAY,
            other_cells: 0,
            release: None,
            failed_release: None,
            last_call_id: 0,
        }
    }

    /// Raises the lease's time to live to `min_ttl`, the minimum that the store grants, if it is
    /// shorter.
    pub fn with_min_ttl(mut self, min_ttl: Duration) -> Self {
        self.ttl = OWNERSHIP_TTL.max(min_ttl);
        self
    }

    /// Sets the cell to own.
    pub fn with_cell(mut self, cell: CellId) -> Self {
        self.keys = CellKeys::new(cell);
        self
    }

    /// Sets the resources that the claim delay depends on: the instance's share of a core and its
    /// link bandwidth in Mbit/s.
    pub fn with_resources(mut self, share: f64, link_mbps: f64) -> Self {
        // The hash gives instances with equal resources different delays for each cell, so that
        // each one claims a different cell first.
        let name = format!("{}/{}", self.identity.instance, self.keys.cell);
        let fraction = f64::from(crc32fast::hash(name.as_bytes()) % 100) / 100.0;
        let spread = CLAIM_SPREAD.mul_f64(fraction);
        self.claim_delay = CLAIM_DELAY.mul_f64(claim_delay_factor(share, link_mbps)) + spread;
        self
    }

    /// Sets how many other cells the process owns or claims. Instances with fewer cells claim
    /// first.
    pub fn set_other_cells(&mut self, count: u32) {
        self.other_cells = count;
    }

    /// Returns whether the ownership record is believed not to exist, based on the last
    /// observation, renewal or conditional write.
    pub fn is_vacant(&self) -> bool {
        self.vacant_since.is_some()
    }

    /// Returns whether this instance owns the cell or has a claim in progress.
    pub fn is_owner_or_claiming(&self) -> bool {
        self.held.is_some() || self.pending.is_some()
    }

    /// Returns the ownership that this instance holds, if any.
    pub fn held(&self) -> Option<&HeldOwnership> {
        self.held.as_ref()
    }

    /// Returns the last owner read from the store, if any.
    pub fn observed(&self) -> Option<&OwnerRecord> {
        self.observed.as_ref()
    }

    /// Ends the ownership for a planned shutdown and removes its record, so that another instance
    /// can claim the cell at once. The caller must stop sending orders first.
    pub fn drain(&mut self, now: MonotonicTime) -> Vec<OwnershipEffect> {
        self.draining = true;
        self.release(now, "planned shutdown")
    }

    /// Ends the ownership and removes its record, so that another instance can claim the cell at
    /// once. This one claims it only if none has for [`HANDOVER_PAUSE`]. The caller must stop sending
    /// orders first.
    pub fn hand_over(&mut self, now: MonotonicTime) -> Vec<OwnershipEffect> {
        self.next_claim = now + HANDOVER_PAUSE;
        self.release(now, "handed over to an instance with a wider link")
    }

    fn release(&mut self, now: MonotonicTime, reason: &'static str) -> Vec<OwnershipEffect> {
        let Some(held) = self.held else { return Vec::new() };
        let mut effects = self.end(now, reason);
        if let Some(revision) = held.revision {
            let txn = StoreTxn {
                expected: vec![(self.keys.owner.clone(), revision)],
                removes: vec![self.keys.owner.clone()],
                ..StoreTxn::default()
            };
            effects.push(self.send_release(txn));
        }
        effects
    }

    /// Handles an observation of the ownership record at a store revision. `None` means that the
    /// record does not exist.
    pub fn observe(
        &mut self,
        now: MonotonicTime,
        revision: StoreRevision,
        item: Option<&StoreItem>,
    ) -> Vec<OwnershipEffect> {
        if revision < self.observed_revision {
            return Vec::new();
        }
        self.observed_revision = revision;
        let Some(item) = item else {
            self.observed = None;
            self.vacant_since.get_or_insert(now);
            if let Some(held) = &mut self.held {
                held.revision = None;
            }
            return self.tick(now);
        };
        self.vacant_since = None;
        let Some(record) = decode_owner(item) else {
            // This process can read its own records, so another one has claimed the cell.
            self.observed = None;
            let mut effects = self.end(now, "the ownership record cannot be read");
            effects.push(unreadable(item));
            return effects;
        };
        self.note_epoch(now, &record);
        let own = self.is_own(&record);
        self.observed = Some(record.clone());
        if !own {
            return self.end(now, "another instance owns the cell");
        }
        if self.draining {
            return Vec::new();
        }
        match self.last_claim {
            Some((lease, epoch)) if epoch == record.epoch => {
                self.begin(now, lease, epoch, item.revision)
            }
            _ => Vec::new(),
        }
    }

    /// Renews the lease or claims a vacant cell when due, and ends the ownership once its authority
    /// has expired.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<OwnershipEffect> {
        if self.held.is_some_and(|held| now >= held.authority_until) {
            return self.end(now, "the store has not replied in time to keep the authority");
        }
        if let Some((_, txn)) = self.failed_release.take_if(|(at, _)| now >= *at) {
            return vec![self.send_release(txn)];
        }
        if self.draining {
            return Vec::new();
        }
        let record_exists = self.held.is_some_and(|held| held.revision.is_some());
        if record_exists {
            return self.renew(now);
        }
        let Some(vacant_since) = self.vacant_since else { return Vec::new() };
        let delay = match self.held {
            Some(_) => Duration::ZERO,
            None => self.claim_delay + OTHER_CELL_DELAY * self.other_cells,
        };
        if self.pending.is_some() || now < vacant_since + delay || now < self.next_claim {
            return Vec::new();
        }
        self.start_call(PendingCall::Grant, StoreCall::Grant { ttl: self.ttl })
    }

    /// Handles the result of a store call.
    pub fn on_call_completed(
        &mut self,
        now: MonotonicTime,
        id: WriteId,
        result: Result<StoreReply, StoreFailure>,
    ) -> Vec<OwnershipEffect> {
        if let Some((renewal, sent)) = self.renewal {
            if renewal == id {
                self.renewal = None;
                return self.handle_renewal(now, sent, result);
            }
        }
        if let Some((_, txn)) = self.release.take_if(|(release, _)| *release == id) {
            if result.is_ok() {
                return Vec::new();
            }
            // A process that stops may have little time left.
            if self.draining {
                return vec![self.send_release(txn)];
            }
            self.failed_release = Some((now + CLAIM_RETRY_DELAY, txn));
            return Vec::new();
        }
        let Some((pending_id, pending)) = self.pending.clone() else { return Vec::new() };
        if pending_id != id {
            return Vec::new();
        }
        self.pending = None;
        match (pending, result) {
            (PendingCall::Grant, Ok(StoreReply::Granted { lease })) => {
                let call = StoreCall::Read { prefix: self.keys.owner_prefix.clone() };
                self.start_call(PendingCall::Read { lease }, call)
            }
            (PendingCall::Read { lease }, Ok(StoreReply::Items { items, .. })) => {
                self.claim(now, lease, &items)
            }
            (PendingCall::Claim { lease, epoch }, Ok(StoreReply::Txn(outcome))) => match outcome {
                TxnOutcome::Committed { revision } => self.begin(now, lease, epoch, revision),
                TxnOutcome::Conflict { items } => {
                    self.next_claim = now + CLAIM_RETRY_DELAY;
                    let owner = items.iter().find(|item| item.key == self.keys.owner);
                    match owner.cloned() {
                        Some(item) => self.observe(now, item.revision, Some(&item)),
                        None => Vec::new(),
                    }
                }
                TxnOutcome::NoLease => self.postpone_claim(now),
            },
            _ => self.postpone_claim(now),
        }
    }

    fn renew(&mut self, now: MonotonicTime) -> Vec<OwnershipEffect> {
        let Some(held) = self.held else { return Vec::new() };
        if self.renewal.is_some() || now < self.next_renewal {
            return Vec::new();
        }
        self.next_renewal = now + RENEW_INTERVAL;
        let effect = self.call(StoreCall::Keep { lease: held.lease });
        self.renewal = Some((self.last_call_id, now));
        vec![effect]
    }

    fn handle_renewal(
        &mut self,
        now: MonotonicTime,
        sent: MonotonicTime,
        result: Result<StoreReply, StoreFailure>,
    ) -> Vec<OwnershipEffect> {
        let Some(held) = &mut self.held else { return Vec::new() };
        match result {
            Ok(StoreReply::Kept { alive: true }) => {
                held.authority_until = held.authority_until.max(sent + MAX_STORE_SILENCE);
            }
            Ok(StoreReply::Kept { alive: false }) => {
                held.revision = None;
                self.vacant_since.get_or_insert(now);
                return self.tick(now);
            }
            // The lease covers several renewal intervals, so a failed renewal can be retried in
            // time.
            _ => self.next_renewal = now + CLAIM_RETRY_DELAY,
        }
        Vec::new()
    }

    fn claim(
        &mut self,
        now: MonotonicTime,
        lease: LeaseId,
        items: &[StoreItem],
    ) -> Vec<OwnershipEffect> {
        if let Some(owner) = items.iter().find(|item| item.key == self.keys.owner) {
            self.next_claim = now + CLAIM_RETRY_DELAY;
            return self.observe(now, owner.revision, Some(&owner.clone()));
        }
        let last = items.iter().find(|item| item.key == self.keys.epoch);
        let last_owner = last.and_then(decode_owner);
        if let (Some(item), None) = (last, &last_owner) {
            // Executors reject the orders of a lower epoch, so it must not begin again at 1.
            self.next_claim = now + UNREADABLE_RETRY_DELAY;
            return vec![unreadable(item)];
        }
        let last_epoch = last_owner.as_ref().map_or(0, |owner| owner.epoch);
        if let Some(owner) = last_owner.as_ref().filter(|owner| owner.epoch > self.observed_epoch.0)
        {
            self.note_epoch(now, owner);
            // An owner that has raised its epoch was seen in an earlier one.
            if self.observed_epoch.1 == now {
                self.next_claim = now + UNINFORMED_CLAIM_DELAY;
                return Vec::new();
            }
        }
        let last_revision = last.map_or(0, |item| item.revision);
        let own = last_owner.as_ref().is_some_and(|owner| self.is_own(owner));
        if let Some(held) = self.held.as_mut().filter(|_| own) {
            // The reply to the write that raised the epoch may be lost.
            held.epoch = last_epoch;
        }
        let resumes = self.held.is_some_and(|held| held.epoch == last_epoch);
        let epoch = if resumes { last_epoch } else { last_epoch + 1 };
        let record = OwnerRecord { epoch, ..self.identity.clone() };
        let mut puts =
            vec![StorePut::new(self.keys.owner.clone(), encode_value(&record)).with_lease(lease)];
        if !resumes {
            // Stored with the claim, since an owner may end before its first write. Owners of builds
            // without bounded leases do not store it.
            let bounded = items.iter().find(|item| item.key == self.keys.bounded_epoch);
            let bounded = bounded.and_then(|item| decode_value::<OwnerEpoch>(&item.value));
            self.earlier_bounded = last_epoch == 0 || bounded == Some(last_epoch);
            let base = items.iter().find(|item| item.key == self.keys.run_base);
            let base = base.and_then(|item| decode_value::<RunNumber>(&item.value));
            self.run_base = match base.filter(|_| bounded == Some(last_epoch)) {
                Some(base) => base.saturating_add(RUNS_PER_OWNER),
                // The owner before may be of a build that derives its numbers from the epoch.
                None => (last_epoch as RunNumber).saturating_mul(RUNS_PER_OWNER),
            };
            puts.push(StorePut::new(self.keys.run_base.clone(), encode_value(&self.run_base)));
            if self.earlier_bounded {
                puts.push(StorePut::new(self.keys.bounded_epoch.clone(), encode_value(&epoch)));
            }
            puts.push(StorePut::new(self.keys.epoch.clone(), encode_value(&record)));
            puts.push(StorePut::new(self.keys.epoch_mark.clone(), encode_value(&record)));
            self.predecessor = last_owner;
        }
        let expected = vec![(self.keys.owner.clone(), 0), (self.keys.epoch.clone(), last_revision)];
        self.last_claim = Some((lease, epoch));
        let txn = StoreTxn { expected, puts, removes: Vec::new() };
        self.start_call(PendingCall::Claim { lease, epoch }, StoreCall::Commit(txn))
    }

    fn begin(
        &mut self,
        now: MonotonicTime,
        lease: LeaseId,
        epoch: OwnerEpoch,
        revision: StoreRevision,
    ) -> Vec<OwnershipEffect> {
        self.last_claim = None;
        self.vacant_since = None;
        self.observed_revision = self.observed_revision.max(revision);
        let record = OwnerRecord { epoch, ..self.identity.clone() };
        self.observed = Some(record.clone());
        self.next_renewal = now;
        let authority_until = now + MAX_STORE_SILENCE;
        if let Some(held) = self.held.as_mut().filter(|held| held.epoch == epoch) {
            held.revision = Some(revision);
            held.authority_until = authority_until;
            held.lease = lease;
            return vec![OwnershipEffect::Resumed(*held)];
        }
        let predecessor = self.predecessor.take();
        let earlier_orders_until = match &predecessor {
            Some(owner) if owner.epoch > FIRST_EPOCH => {
                let (epoch, since) = self.observed_epoch;
                let began_by = if epoch == owner.epoch { since } else { now };
                began_by + MAX_STORE_SILENCE
            }
            _ => MonotonicTime::ZERO,
        };
        self.note_epoch(now, &record);
        let held = HeldOwnership {
            epoch,
            revision: Some(revision),
            start_revision: revision,
            authority_until,
            earlier_orders_until,
            earlier_bounded: self.earlier_bounded,
            run_base: self.run_base,
            lease,
        };
        self.held = Some(held);
        vec![OwnershipEffect::Began(held, predecessor)]
    }

    fn note_epoch(&mut self, now: MonotonicTime, record: &OwnerRecord) {
        if record.epoch <= self.observed_epoch.0 {
            return;
        }
        let process = Some((record.instance.clone(), record.start));
        let since = if self.observed_process == process { self.observed_epoch.1 } else { now };
        self.observed_epoch = (record.epoch, since);
        self.observed_process = process;
    }

    fn is_own(&self, record: &OwnerRecord) -> bool {
        record.instance == self.identity.instance && record.start == self.identity.start
    }

    /// Returns the record of this process, whose epoch is that of no ownership.
    pub fn identity(&self) -> &OwnerRecord {
        &self.identity
    }

    /// Handles the confirmed write that has raised the epoch of this ownership.
    pub fn on_epoch_raised(&mut self, now: MonotonicTime, epoch: OwnerEpoch) {
        let Some(held) = &mut self.held else { return };
        held.epoch = held.epoch.max(epoch);
        let record = OwnerRecord { epoch, ..self.identity.clone() };
        self.note_epoch(now, &record);
    }

    fn end(&mut self, now: MonotonicTime, reason: &'static str) -> Vec<OwnershipEffect> {
        if self.held.take().is_none() {
            return Vec::new();
        }
        self.stopped_at = Some(now);
        vec![OwnershipEffect::Ended(reason)]
    }

    /// Handles a successor's request to stop sending orders. `start` is the start number of the
    /// process that it is meant for, `epoch` that of the successor; an ownership with a lower epoch
    /// ends. Returns how long, at least, that process has sent no orders under lower epochs.
    pub fn yield_to(
        &mut self,
        now: MonotonicTime,
        start: u64,
        epoch: OwnerEpoch,
    ) -> (Duration, Vec<OwnershipEffect>) {
        if start != self.identity.start {
            // That process no longer exists, since this one uses its address.
            return (Duration::ZERO, Vec::new());
        }
        // The successor may be this process itself in a higher epoch.
        let earlier = self.held.is_some_and(|held| held.epoch < epoch);
        let effects = if earlier {
            self.end(now, "a successor has begun a higher epoch")
        } else {
            Vec::new()
        };
        let stopped = self.stopped_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        (stopped, effects)
    }

    /// Handles the conflict of a conditional write that found no ownership record.
    pub fn on_record_missing(&mut self, now: MonotonicTime) -> Vec<OwnershipEffect> {
        if let Some(held) = &mut self.held {
            held.revision = None;
            self.vacant_since.get_or_insert(now);
        }
        self.tick(now)
    }

    /// Ends the ownership because an executor has seen a higher epoch.
    pub fn on_fenced(&mut self, now: MonotonicTime) -> Vec<OwnershipEffect> {
        self.end(now, "an executor has seen a higher epoch")
    }

    fn postpone_claim(&mut self, now: MonotonicTime) -> Vec<OwnershipEffect> {
        self.next_claim = now + CLAIM_RETRY_DELAY;
        Vec::new()
    }

    fn start_call(&mut self, pending: PendingCall, call: StoreCall) -> Vec<OwnershipEffect> {
        let effect = self.call(call);
        self.pending = Some((self.last_call_id, pending));
        vec![effect]
    }

    fn send_release(&mut self, txn: StoreTxn) -> OwnershipEffect {
        let effect = self.call(StoreCall::Commit(txn.clone()));
        self.release = Some((self.last_call_id, txn));
        effect
    }

    fn call(&mut self, call: StoreCall) -> OwnershipEffect {
        self.last_call_id += 1;
        OwnershipEffect::Call { id: self.last_call_id, call, timeout: OWNERSHIP_CALL_TIMEOUT }
    }
}

/// Decodes an ownership record. Returns `None` for one without a possible successor, too.
fn decode_owner(item: &StoreItem) -> Option<OwnerRecord> {
    decode_value::<OwnerRecord>(&item.value).filter(|record| record.epoch < OwnerEpoch::MAX)
}

fn unreadable(item: &StoreItem) -> OwnershipEffect {
    OwnershipEffect::Unreadable { key: item.key.clone(), detail: describe_value(&item.value) }
}
