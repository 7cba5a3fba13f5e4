//! Stand-in for the platform's store: a subset of etcd's key-value model.

mod contract;
mod core;
mod types;

pub use self::{
    core::StoreCore,
    types::{
        Compare, CompareResult, CompareTarget, KeyRange, KeyValue, OpAnswer, RangeAnswer,
        StoreChange, StoreCounters, StoreError, StoreLimits, Txn, TxnAnswer, TxnOp, WatchCursor,
    },
};
