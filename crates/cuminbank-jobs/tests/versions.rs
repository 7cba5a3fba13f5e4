//! Tests of the versions of stored records and messages, with the bytes in
//! `formats/unversioned.txt` and changes of these.

use std::collections::BTreeSet;

use cuminbank::message;
use cuminbank_jobs::{
    cells::PoolPlan,
    colocation::ColocationModel,
    formats::{
        encode_versioned, split_version, FormatVersion, MESSAGE_FORMATS, RECORD_FORMATS,
        SHARED_FORMATS, SUPPORTED_FORMATS,
    },
    ids::CellId,
    instances::InstanceEntry,
    job::JobRecord,
    keys::{FORMAT_KEY, INSTANCE_PREFIX, OWNER_PREFIX, REGISTRATION_KEY},
    lease_handover::LeaseHandover,
    ownership::OwnerRecord,
    peer::{PeerReply, PeerRequest},
    progress::JobProgress,
    roster::ExecutorRoster,
    store::{decode_value, encode_value},
};
use proptest::prelude::*;
use serde::{de::DeserializeOwned, Serialize};

const FIXTURES: &str = include_str!("formats/unversioned.txt");

/// Names of the fixtures with their bytes.
fn fixtures() -> Vec<(&'static str, Vec<u8>)> {
    let lines = FIXTURES.lines().filter(|line| !line.starts_with('#'));
    let byte = |hex: &str, at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("valid hex");
    let decode = |hex: &str| (0..hex.len()).step_by(2).map(|at| byte(hex, at)).collect();
    lines.filter_map(|line| line.split_once(' ')).map(|(name, hex)| (name, decode(hex))).collect()
}

/// Returns the second part of a name, which is that of the record or message.
fn kind(name: &str) -> &str {
    name.split('.').nth(1).expect("a fixture has a name of several parts")
}

/// Returns the bytes that the decoded value is written as, or `None` if it cannot be decoded.
fn record_again<T: DeserializeOwned + Serialize>(bytes: &[u8]) -> Option<Vec<u8>> {
    decode_value::<T>(bytes).map(|value| encode_value(&value))
}

fn message_again<T: DeserializeOwned + Serialize>(bytes: &[u8]) -> Option<Vec<u8>> {
    message::decode::<T>(bytes).map(|value| message::encode(&value).to_vec())
}

/// Decodes a value as the reader of its kind does, and encodes it again.
fn read_again(name: &str, bytes: &[u8]) -> Option<Vec<u8>> {
    match kind(name) {
        "accepted" => record_again::<CellId>(bytes),
        "colocation" => record_again::<ColocationModel>(bytes),
        "instance" => record_again::<InstanceEntry>(bytes),
        "job" => record_again::<JobRecord>(bytes),
        "owner" => record_again::<OwnerRecord>(bytes),
        "plan" => record_again::<PoolPlan>(bytes),
        "pool_format" => record_again::<FormatVersion>(bytes),
        "progress" => record_again::<JobProgress>(bytes),
        "roster" => record_again::<ExecutorRoster>(bytes),
        "sequence" => record_again::<(u64, u64)>(bytes),
        "bounded_epoch" | "bounded_leases" => record_again::<u64>(bytes),
        "run_base" => record_again::<u32>(bytes),
        "lease_handover" => record_again::<LeaseHandover>(bytes),
        "ask" | "carry" => message_again::<PeerRequest>(bytes),
        "answer" | "carried" | "unsupported" => message_again::<PeerReply>(bytes),
        other => panic!("no reader of {other}"),
    }
}

/// Returns whether a build of version 1 decodes a value. Builds before 0ddf50c ignore bytes after
/// the known fields.
fn old_build_reads(name: &str, bytes: &[u8]) -> bool {
    fn reads<T: DeserializeOwned>(bytes: &[u8]) -> bool {
        postcard::from_bytes::<T>(bytes).is_ok()
    }
    match kind(name) {
        "accepted" => reads::<CellId>(bytes),
        "colocation" => reads::<ColocationModel>(bytes),
        "job" => reads::<JobRecord>(bytes),
        "owner" => reads::<OwnerRecord>(bytes),
        "plan" => reads::<PoolPlan>(bytes),
        "progress" => reads::<JobProgress>(bytes),
        "roster" => reads::<ExecutorRoster>(bytes),
        "ask" | "carry" => reads::<PeerRequest>(bytes),
        "answer" | "carried" => reads::<PeerReply>(bytes),
        // A pair of numbers has no bytes that cannot be decoded, and the others are new.
        "bounded_epoch" | "bounded_leases" | "lease_handover" | "run_base" | "sequence"
        | "instance" | "pool_format" | "unsupported" => false,
        other => panic!("no reader of {other}"),
    }
}

// Guards against a format without an entry in the list of versions, or a version that the build
// does not claim to read.
#[test]
fn every_format_has_its_versions_in_one_place() {
    let fixtures = fixtures();
    let kinds: BTreeSet<&str> = fixtures.iter().map(|(name, _)| kind(name)).collect();
    let formats = || RECORD_FORMATS.iter().chain(&MESSAGE_FORMATS);
    let listed: BTreeSet<&str> =
        formats().map(|format| format.name).chain(SHARED_FORMATS).collect();
    assert_eq!(kinds, listed);
    let newest = formats().flat_map(|format| format.versions).max();
    assert_eq!(newest, Some(&SUPPORTED_FORMATS.newest));
    assert!(formats().all(|format| format.versions.is_sorted() && format.versions[0] == 1));
    const { assert!(SUPPORTED_FORMATS.oldest <= SUPPORTED_FORMATS.written) }
    const { assert!(SUPPORTED_FORMATS.written <= SUPPORTED_FORMATS.newest) }
}

// Guards against a value of a later version that a build decodes with other values.
#[test]
fn values_of_later_versions_are_refused() {
    for (name, bytes) in fixtures() {
        for version in [2, 3, 127, 128, 255] {
            // The body may be that of version 1, a part of it, or empty.
            for length in 0..=bytes.len() {
                let mut later = encode_versioned(version, &());
                later.extend(&bytes[..length]);
                assert_eq!(split_version(&later), (version, &bytes[..length]));
                assert_eq!(read_again(name, &later), None, "{name} version {version}");
                assert!(!old_build_reads(name, &later), "{name} version {version}");
            }
        }
        assert_eq!(split_version(&bytes), (1, &bytes[..]), "{name}");
    }
}

/// Copy of the function by which builds up to 8a9e96e find the ownership records of cells.
fn old_parse_owner_cell(key: &str) -> Option<CellId> {
    key.strip_prefix("cuminbank/owner/")?.strip_suffix("/record")?.parse().ok()
}

// Guards against keys of this build that builds without entries of instances take for theirs.
#[test]
fn old_builds_pass_over_the_keys_of_instances() {
    for name in ["i1", "0", "0/record", "plan", ""] {
        let keys = [format!("{INSTANCE_PREFIX}{name}"), FORMAT_KEY.into(), REGISTRATION_KEY.into()];
        for key in keys {
            assert!(key.starts_with(OWNER_PREFIX), "{key} is not watched by all instances");
            assert_eq!(old_parse_owner_cell(&key), None, "{key}");
            assert_ne!(key, "cuminbank/owner/plan");
            // Builds read what is below a cell's own prefix before they claim it.
            assert!((0..64).all(|cell| !key.starts_with(&format!("cuminbank/owner/{cell}/"))));
        }
    }
}

// Guards against a value that was cut off and is taken for a whole one.
#[test]
fn truncated_values_are_refused() {
    for (name, bytes) in fixtures() {
        for length in 0..bytes.len() {
            assert_eq!(read_again(name, &bytes[..length]), None, "{name} of {length} bytes");
        }
    }
}

proptest! {
    // Guards against bytes that end a process, or that are read and written back as others.
    #[test]
    fn changed_values_are_refused_or_read_as_they_are(
        number in 0..fixtures().len(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    ) {
        let (name, mut bytes) = fixtures().swap_remove(number);
        for (index, value) in changes {
            let at = index.index(bytes.len());
            bytes[at] = value;
        }
        if let Some(again) = read_again(name, &bytes) {
            // Numbers may have been written with more bytes than they need.
            prop_assert!(again.len() <= bytes.len(), "{} read from {:?}", name, bytes);
            prop_assert_eq!(read_again(name, &again), Some(again.clone()));
        }
    }

    // Guards against a value of the right length and another type that ends a process.
    #[test]
    fn any_bytes_have_an_outcome(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        for (name, _) in fixtures() {
            let _ = read_again(name, &bytes);
        }
    }
}
