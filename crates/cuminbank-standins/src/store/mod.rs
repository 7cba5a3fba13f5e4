//! Stand-in for the platform's store: a subset of etcd's key-value model and JSON gateway.

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
