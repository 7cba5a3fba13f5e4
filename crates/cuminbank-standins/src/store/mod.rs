//! Stand-in for the platform's key-value store, with a subset of etcd's data model and of its v3 JSON
//! gateway.

mod adapter;
mod core;
mod json;
mod server;
mod types;

pub use self::{
    core::StoreCore,
    server::StoreServer,
    types::{
        Compare, CompareResult, CompareTarget, KeyRange, KeyValue, OpAnswer, RangeAnswer,
        StoreChange, StoreCounters, StoreError, StoreLimits, Txn, TxnAnswer, TxnOp, WatchCursor,
    },
};
