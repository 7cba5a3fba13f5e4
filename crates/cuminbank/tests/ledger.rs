//! Tests the replay, the attempts and the encoding of the task ledger.

use std::collections::BTreeMap;

use cuminbank::{
    ledger::{
        chunk_key, head_key, segment_key, JournalEntry, JournalSegment, LedgerError, Placement,
        SnapshotHead, StoredLedger, TaskBody, TaskId, TaskLedger, TaskState,
    },
    message::encode,
    store::StoreValue,
    worker::ResourceSize,
};
use proptest::{collection::vec, prelude::*};

const PREFIX: &str = "/cuminbank/batch/dublin/0/";

fn body(input: &str) -> TaskBody {
    TaskBody {
        profile: "orders".to_owned(),
        customer: "griddle".to_owned(),
        class: "plan".to_owned(),
        size: ResourceSize { millicores: 1_000, memory_mib: 10, accelerators: 0 },
        declared_run_ms: None,
        input: input.to_owned(),
    }
}

fn id(sequence: u64) -> TaskId {
    TaskId { epoch: 1, sequence }
}

fn placement(attempt: u32, worker: u32) -> Placement {
    Placement { attempt, worker: format!("w{worker}"), reserved: body("").size }
}

/// Generates entries for a few tasks and attempts, valid or not in the state of the task.
fn entry() -> impl Strategy<Value = JournalEntry> {
    (0..9u8, 0..5u64, 1..6u32, 0..4u32, "[a-z]{0,3}").prop_map(|(kind, task, attempt, n, text)| {
        let task = id(task);
        let checkpoint = (n > 0).then(|| text.clone());
        match kind {
            0 => JournalEntry::Accepted(task, body(&text)),
            1 | 2 => JournalEntry::Started(task, placement(attempt, n)),
            3 => JournalEntry::NotRun(task, attempt),
            4 => JournalEntry::AttemptFailed(task, attempt, text),
            5 => JournalEntry::Interrupted(task, attempt, checkpoint),
            6 => JournalEntry::Evicted(task, attempt, checkpoint),
            7 if n == 0 => JournalEntry::Finished(task, attempt, text),
            7 => JournalEntry::Failed(task, text),
            _ => JournalEntry::Cancelled(task),
        }
    })
}

fn value(key: String, value: bytes::Bytes) -> StoreValue {
    StoreValue { key, value, mod_revision: 1 }
}

fn segment_value(number: u64, entries: &[JournalEntry]) -> StoreValue {
    let entries = entries.to_vec();
    let segment = JournalSegment { operation: (1, number), at_ms: number, entries };
    value(segment_key(PREFIX, number), encode(&segment))
}

fn snapshot_values(ledger: &TaskLedger, number: u64) -> Vec<StoreValue> {
    let chunks = ledger.to_chunks();
    let head = SnapshotHead { number, chunks: chunks.len() as u32 };
    let mut values = vec![value(head_key(PREFIX), encode(&head))];
    for (index, chunk) in chunks.into_iter().enumerate() {
        values.push(value(chunk_key(PREFIX, number, index), chunk));
    }
    values
}

proptest! {
    /// Guards against a new owner that restores a different state than the previous owner had, for
    /// a snapshot taken at any time. The store may still contain segments older than the snapshot.
    #[test]
    fn snapshot_and_segments_restore_the_state(
        segments in vec(vec(entry(), 1..8), 1..12),
        snapshot_at in 0usize..12,
        retire in any::<bool>(),
    ) {
        let mut live = TaskLedger::default();
        let mut values = Vec::new();
        for (index, entries) in segments.iter().enumerate() {
            if index == snapshot_at {
                if retire {
                    (0..5).for_each(|task| live.retire(id(task)));
                }
                values.extend(snapshot_values(&live, index as u64));
            }
            let number = index as u64 + 1;
            values.push(segment_value(number, entries));
            for entry in entries {
                live.apply(entry, number);
            }
        }
        let stored = StoredLedger::read(PREFIX, &values).expect("the stored values are valid");
        prop_assert_eq!(&stored.ledger, &live);
        prop_assert_eq!(stored.next_segment(), segments.len() as u64 + 1);
    }

    /// Guards against attempts that share a number, overlap, or begin after the end of the task,
    /// and against a final state that changes.
    #[test]
    fn attempt_numbers_increase_and_final_states_do_not_change(entries in vec(entry(), 1..80)) {
        let mut ledger = TaskLedger::default();
        let mut last: BTreeMap<TaskId, u32> = BTreeMap::new();
        let mut final_states: BTreeMap<TaskId, TaskState> = BTreeMap::new();
        for entry in &entries {
            let task = entry.task();
            let occupied = ledger.get(task).is_some_and(|record| record.placement.is_some());
            let changed = ledger.apply(entry, 0);
            if let (JournalEntry::Started(_, placement), true) = (entry, changed) {
                prop_assert!(!occupied, "task {task:?} was started beside another attempt");
                prop_assert!(placement.attempt > last.get(&task).copied().unwrap_or(0));
                let ended = final_states.contains_key(&task);
                prop_assert!(!ended, "task {task:?} was started after its end");
                last.insert(task, placement.attempt);
            }
            let Some(record) = ledger.get(task) else { continue };
            prop_assert_eq!(record.last_attempt, last.get(&task).copied().unwrap_or(0));
            if let Some(state) = final_states.get(&task) {
                prop_assert_eq!(&record.state, state);
            } else if record.state.is_final() {
                final_states.insert(task, record.state.clone());
            }
        }
    }
}

/// Guards against restoring a ledger from a journal with missing or damaged values.
#[test]
fn missing_and_damaged_values_are_errors() {
    let entries = [JournalEntry::Accepted(id(1), body("x"))];
    let with_gap = [segment_value(1, &entries), segment_value(3, &entries)];
    let missing = StoredLedger::read(PREFIX, &with_gap).map(|_| ());
    assert_eq!(missing, Err(LedgerError::Missing(segment_key(PREFIX, 2))));
    let mut ledger = TaskLedger::default();
    ledger.apply(&entries[0], 0);
    let mut values = snapshot_values(&ledger, 4);
    values.pop();
    let missing = StoredLedger::read(PREFIX, &values).map(|_| ());
    assert_eq!(missing, Err(LedgerError::Missing(chunk_key(PREFIX, 4, 0))));
    let damaged = [value(segment_key(PREFIX, 1), bytes::Bytes::from_static(b"\xff\xff"))];
    let error = StoredLedger::read(PREFIX, &damaged).map(|_| ());
    assert_eq!(error, Err(LedgerError::Undecodable(segment_key(PREFIX, 1))));
}

/// Guards against chunks larger than the store accepts.
#[test]
fn chunks_stay_below_the_limit() {
    let mut ledger = TaskLedger::default();
    for sequence in 0..40 {
        let text = "x".repeat(if sequence % 7 == 0 { 250_000 } else { 20_000 });
        ledger.apply(&JournalEntry::Accepted(id(sequence), body(&text)), 0);
    }
    let chunks = ledger.to_chunks();
    assert!(chunks.iter().all(|chunk| chunk.len() < 512 * 1024));
    let values = snapshot_values(&ledger, 1);
    let stored = StoredLedger::read(PREFIX, &values).expect("the stored values are valid");
    assert!(stored.ledger == ledger, "the restored ledger differs");
}

/// Guards against reusing a ticket whose record was dropped, and against dropping a record whose
/// attempt still occupies a worker.
#[test]
fn retired_tickets_cannot_be_reused() {
    let mut ledger = TaskLedger::default();
    ledger.apply(&JournalEntry::Accepted(id(1), body("x")), 0);
    ledger.apply(&JournalEntry::Started(id(1), placement(1, 1)), 0);
    ledger.apply(&JournalEntry::Cancelled(id(1)), 0);
    ledger.retire(id(1));
    assert!(ledger.get(id(1)).is_some());
    ledger.apply(&JournalEntry::Interrupted(id(1), 1, None), 0);
    ledger.retire(id(1));
    assert!(ledger.get(id(1)).is_none() && ledger.is_retired(id(1)));
    assert!(!ledger.apply(&JournalEntry::Accepted(id(1), body("x")), 0));
    ledger.remove_retired(id(1));
    assert!(ledger.apply(&JournalEntry::Accepted(id(1), body("x")), 0));
}
