//! Versions of stored records and of messages between instances.
//!
//! One version number covers all formats of a build. A value of version 1 has no header. Later
//! versions begin with a header that no decoder of version 1 accepts; docs/design/formats.md has
//! the rules for a new version.

use serde::{Deserialize, Serialize};

use crate::store::encode_value;

/// Version of the stored records and messages.
pub type FormatVersion = u8;

/// Version of the values without a header.
pub const UNVERSIONED: FormatVersion = 1;

/// Versions of this build.
pub const SUPPORTED_FORMATS: FormatSupport = FormatSupport { oldest: 1, newest: 1, written: 1 };

/// Stored records.
pub const RECORD_FORMATS: [FormatHistory; 12] = [
    FormatHistory { name: "accepted", versions: &[1] },
    FormatHistory { name: "bounded_epoch", versions: &[1] },
    FormatHistory { name: "bounded_leases", versions: &[1] },
    FormatHistory { name: "colocation", versions: &[1] },
    FormatHistory { name: "job", versions: &[1] },
    FormatHistory { name: "lease_handover", versions: &[1] },
    FormatHistory { name: "owner", versions: &[1] },
    FormatHistory { name: "plan", versions: &[1] },
    FormatHistory { name: "progress", versions: &[1] },
    FormatHistory { name: "roster", versions: &[1] },
    FormatHistory { name: "run_base", versions: &[1] },
    FormatHistory { name: "sequence", versions: &[1] },
];

/// Records that every build must be able to read. Fields are only appended to them, and readers
/// ignore bytes after the fields that they know.
pub const SHARED_FORMATS: [&str; 2] = ["instance", "pool_format"];

/// Messages between instances.
pub const MESSAGE_FORMATS: [FormatHistory; 5] = [
    FormatHistory { name: "answer", versions: &[1] },
    FormatHistory { name: "ask", versions: &[1] },
    FormatHistory { name: "carried", versions: &[1] },
    FormatHistory { name: "carry", versions: &[1] },
    FormatHistory { name: "unsupported", versions: &[1] },
];

/// First bytes of a value with a header. As a number in a record of version 1, it would be the
/// length of a text or list that is larger than any stored value.
const HEADER_MARK: [u8; 4] = [0xff, 0xff, 0xff, 0x7f];

/// Versions that a build reads, and the version that it writes once every instance can read it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FormatSupport {
    /// Oldest version that the build reads.
    pub oldest: FormatVersion,
    /// Newest version that the build reads.
    pub newest: FormatVersion,
    /// Newest version that the build writes.
    pub written: FormatVersion,
}

/// Versions in which the encoding of a record or message changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FormatHistory {
    /// Name of the record or message.
    pub name: &'static str,
    /// Versions in ascending order.
    pub versions: &'static [FormatVersion],
}

/// Encodes a value of a version.
pub fn encode_versioned<T: Serialize>(version: FormatVersion, value: &T) -> Vec<u8> {
    let encoded = encode_value(value);
    if version == UNVERSIONED {
        return encoded;
    }
    let mut bytes = HEADER_MARK.to_vec();
    bytes.push(version);
    bytes.extend(encoded);
    bytes
}

/// Splits a value into its version and the bytes after the header.
pub fn split_version(bytes: &[u8]) -> (FormatVersion, &[u8]) {
    match bytes.strip_prefix(&HEADER_MARK).and_then(<[u8]>::split_first) {
        Some((version, rest)) => (*version, rest),
        None => (UNVERSIONED, bytes),
    }
}

/// Describes a value that cannot be read, for the log.
pub fn describe_value(bytes: &[u8]) -> String {
    format!("bytes={} version={}", bytes.len(), split_version(bytes).0)
}
