//! Reservations, and the tasks that may run on reserved executors.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use slotmap::{new_key_type, SecondaryMap, SlotMap};

use super::forecast::{subtract, RoomForecast};
use crate::{
    ids::MonotonicTime,
    job::TaskNeeds,
    scheduler::{ExecutorKey, JobKey},
};

new_key_type! {
    /// Key of a reservation.
    pub struct ReservationKey;
}

/// Number of executors for each reservation. Capacity that becomes free on a reserved executor stays
/// idle until the reservation begins, so that few executors may be reserved.
const EXECUTORS_PER_RESERVATION: usize = 16;
/// Number of executors below which none is reserved, since one is a large part of them. Applies to the
/// pool and to those of it that suit a step.
const MIN_EXECUTORS: usize = 4;
/// Divisor of the CPU that long-running tasks do not reserve, for the part of it that may be reserved.
/// In a pool almost full of them, a part of the executors would be most of what other tasks can use.
const CPU_DIVISOR: u64 = 16;
/// Number of steps among which the reservations are divided, so that one step cannot have all.
const STEPS_SHARING: usize = 4;
/// Time after its expected begin at which a reservation expires, in addition to half of the expected
/// wait.
const EXPIRY_MARGIN: Duration = Duration::from_millis(200);
/// Time after the expiry of a reservation for which the step does not reserve the executor again.
/// Beside a run that hangs or takes much longer than expected, reservations would otherwise follow each
/// other without end.
const REPEAT_PAUSE: Duration = Duration::from_secs(5);

/// What the number of reservations depends on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolSize {
    /// Number of executors that may get new work.
    pub executors: usize,
    /// Their CPU that long-running tasks do not reserve, in thousandths of a core.
    pub passing_cpu: u64,
}

impl PoolSize {
    /// Returns the largest number of reservations of a step.
    pub fn step_limit(self) -> usize {
        self.limit().div_ceil(STEPS_SHARING)
    }

    /// Returns the largest number of reservations.
    fn limit(self) -> usize {
        (self.executors / EXECUTORS_PER_RESERVATION).max(1)
    }
}

/// Executors that can run the tasks of a step, as far as its service and label and their state decide.
/// Few executors of a pool may have a label that all tasks of a kind require.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SuitableExecutors {
    /// Number of those that may get new work.
    pub count: usize,
    /// Number of those that are reserved for any step.
    pub reserved: usize,
}

impl SuitableExecutors {
    /// Returns how many more of them may be reserved.
    fn quota(self) -> usize {
        if self.count < MIN_EXECUTORS {
            return 0;
        }
        (self.count / EXECUTORS_PER_RESERVATION).max(1).saturating_sub(self.reserved)
    }
}

/// Job with the occurrence and the step whose tasks may use a reservation.
pub type ReservationHolder = (JobKey, u32, usize);

/// Reservation of room for one task of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TaskReservation {
    /// Step whose tasks may use it.
    pub holder: ReservationHolder,
    /// Reserved executor.
    pub executor: ExecutorKey,
    /// Reserved resources.
    pub needs: TaskNeeds,
    /// When it was made.
    pub made_at: MonotonicTime,
    /// When it ends if the task has not started.
    pub expires: MonotonicTime,
    /// Expected room. The spare resources are reduced by tasks that run beyond its begin.
    pub room: RoomForecast,
}

/// Why a reservation has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReservationEnd {
    /// The task has started on the executor.
    Used,
    /// No task of the step waits any more without a reservation for it, its job is overdue, or its job
    /// is being moved to another cell.
    NotNeeded,
    /// The executor gets no new work.
    ExecutorLost,
    /// The room is expected too late.
    Expired,
    /// Most of the pool is free.
    PoolFree,
}

/// Task that might start on a reserved executor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackfillTask {
    /// Resources that it would reserve.
    pub needs: TaskNeeds,
    /// Run time that it is unlikely to exceed. `None` if it runs until its job is cancelled or has no
    /// estimate.
    pub longest: Option<Duration>,
}

impl TaskReservation {
    /// Returns whether a task of another step may start on the executor: it ends before the
    /// reservation begins, or leaves the reserved room untouched.
    pub fn allows(&self, now: MonotonicTime, task: &BackfillTask) -> bool {
        self.ends_before_begin(now, task) || subtract(&self.room.spare, &task.needs).is_some()
    }

    /// Returns whether a task that starts now ends before the reservation begins.
    fn ends_before_begin(&self, now: MonotonicTime, task: &BackfillTask) -> bool {
        task.longest.is_some_and(|longest| now + longest <= self.room.begins)
    }
}

/// All reservations of a cell, at most one for each executor.
#[derive(Clone, Debug, Default)]
pub struct ReservationTable {
    reservations: SlotMap<ReservationKey, TaskReservation>,
    by_executor: SecondaryMap<ExecutorKey, ReservationKey>,
    by_step: BTreeMap<ReservationHolder, Vec<ReservationKey>>,
    /// When the pauses end that follow the expiry of a step's reservation of an executor.
    pauses: BTreeMap<(ReservationHolder, ExecutorKey), MonotonicTime>,
    /// The pauses in the order in which they end.
    pause_order: VecDeque<(ReservationHolder, ExecutorKey)>,
    /// CPU of all reservations, in thousandths of a core.
    reserved_cpu: u64,
}

impl ReservationTable {
    /// Returns how many further reservations a step may get, given the executors that suit it, the CPU
    /// that each of its tasks needs and the number of its ready tasks. Any pool that is large enough
    /// may have one.
    pub fn quota(
        &self,
        holder: ReservationHolder,
        pool: PoolSize,
        suitable: SuitableExecutors,
        cpu_millis: u32,
        ready: usize,
    ) -> usize {
        if pool.executors < MIN_EXECUTORS {
            return 0;
        }
        let limit = pool.limit();
        let own = pool.step_limit().min(ready).saturating_sub(self.count(holder));
        let cpu_left = (pool.passing_cpu / CPU_DIVISOR).saturating_sub(self.reserved_cpu);
        let by_cpu = (cpu_left / u64::from(cpu_millis.max(1))) as usize;
        let by_cpu = by_cpu.max(usize::from(self.is_empty()));
        own.min(limit.saturating_sub(self.len())).min(by_cpu).min(suitable.quota())
    }

    /// Adds a reservation of an executor that has none.
    pub fn insert(
        &mut self,
        now: MonotonicTime,
        holder: ReservationHolder,
        executor: ExecutorKey,
        needs: TaskNeeds,
        room: RoomForecast,
    ) -> ReservationKey {
        let wait = room.begins.saturating_sub(now);
        let expires = now + wait + wait / 2 + EXPIRY_MARGIN;
        let reservation = TaskReservation { holder, executor, needs, made_at: now, expires, room };
        let key = self.reservations.insert(reservation);
        self.by_executor.insert(executor, key);
        self.reserved_cpu += u64::from(needs.cpu_millis);
        self.by_step.entry(holder).or_default().push(key);
        key
    }

    /// Removes a reservation.
    pub fn remove(&mut self, key: ReservationKey) -> Option<TaskReservation> {
        let reservation = self.reservations.remove(key)?;
        self.reserved_cpu -= u64::from(reservation.needs.cpu_millis);
        self.by_executor.remove(reservation.executor);
        if let Some(keys) = self.by_step.get_mut(&reservation.holder) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_step.remove(&reservation.holder);
            }
        }
        Some(reservation)
    }

    /// Removes a reservation that has expired.
    pub fn expire(&mut self, now: MonotonicTime, key: ReservationKey) -> Option<TaskReservation> {
        let reservation = self.remove(key)?;
        while let Some(first) = self.pause_order.front() {
            if self.pauses.get(first).is_some_and(|end| now < *end) {
                break;
            }
            self.pauses.remove(first);
            self.pause_order.pop_front();
        }
        let pause = (reservation.holder, reservation.executor);
        if self.pauses.insert(pause, now + REPEAT_PAUSE).is_none() {
            self.pause_order.push_back(pause);
        }
        Some(reservation)
    }

    /// Returns whether a step may reserve an executor: nothing has reserved it, and no reservation of
    /// the step has recently expired there.
    pub fn may_reserve(
        &self,
        now: MonotonicTime,
        holder: ReservationHolder,
        executor: ExecutorKey,
    ) -> bool {
        self.on_executor(executor).is_none()
            && self.pauses.get(&(holder, executor)).is_none_or(|end| now >= *end)
    }

    /// Replaces the forecast of the room. Returns false if the reservation must end, because the room
    /// is not expected before it expires.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        key: ReservationKey,
        room: Option<RoomForecast>,
    ) -> bool {
        let Some(reservation) = self.reservations.get_mut(key) else { return false };
        let Some(room) = room else { return false };
        reservation.room = room;
        now < reservation.expires && room.begins <= reservation.expires
    }

    /// Counts a task that starts on a reserved executor and is not the one for which it is reserved.
    pub fn note_start(&mut self, now: MonotonicTime, executor: ExecutorKey, task: &BackfillTask) {
        let Some(key) = self.by_executor.get(executor) else { return };
        let Some(reservation) = self.reservations.get_mut(*key) else { return };
        if !reservation.ends_before_begin(now, task) {
            let spare = subtract(&reservation.room.spare, &task.needs);
            reservation.room.spare = spare.unwrap_or_default();
        }
    }

    /// Returns whether a task may start on an executor.
    pub fn allows(
        &self,
        now: MonotonicTime,
        holder: ReservationHolder,
        executor: ExecutorKey,
        task: &BackfillTask,
    ) -> bool {
        self.on_executor(executor).is_none_or(|(_, reservation)| {
            reservation.holder == holder || reservation.allows(now, task)
        })
    }

    /// Returns a reservation.
    pub fn get(&self, key: ReservationKey) -> Option<&TaskReservation> {
        self.reservations.get(key)
    }

    /// Returns the reservation of an executor.
    pub fn on_executor(&self, executor: ExecutorKey) -> Option<(ReservationKey, &TaskReservation)> {
        let key = *self.by_executor.get(executor)?;
        Some((key, self.reservations.get(key)?))
    }

    /// Returns the number of reservations of a step.
    pub fn count(&self, holder: ReservationHolder) -> usize {
        self.of_step(holder).len()
    }

    /// Returns the reservations of a step.
    pub fn of_step(&self, holder: ReservationHolder) -> &[ReservationKey] {
        self.by_step.get(&holder).map_or(&[], Vec::as_slice)
    }

    /// Returns all reservations.
    pub fn iter(&self) -> impl Iterator<Item = (ReservationKey, &TaskReservation)> + '_ {
        self.reservations.iter()
    }

    /// Returns the number of reservations.
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// Returns whether no executor is reserved.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }
}
