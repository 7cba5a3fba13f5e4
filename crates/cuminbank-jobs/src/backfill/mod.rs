//! Reservations of executors for tasks that fit nowhere, and what may run on them meanwhile.
//!
//! Answers the load of a full pool in which small tasks take each piece of capacity as it becomes
//! free, so that tasks which need more than such a piece wait for long although enough capacity is
//! free on all executors together. Three decisions address it: [`SizeDemand`] tells what an executor
//! with some free CPU is worth for the sizes in demand, [`forecast_room`] tells when an executor has
//! room for a task, and [`ReservationTable`] keeps that room until then. Estimates of run times come
//! from the clients and are corrected by [`RunLengths`].

mod demand;
mod forecast;
mod lengths;
mod table;

pub use self::{
    demand::SizeDemand,
    forecast::{forecast_room, remaining_time, RoomForecast, RunningTask},
    lengths::{RunLengths, TaskLength},
    table::{
        BackfillTask, PoolSize, ReservationEnd, ReservationHolder, ReservationKey,
        ReservationTable, SuitableExecutors, TaskReservation,
    },
};
