//! Validation of profile documents, and the difference between two of them.

use cuminbank::profile::WorkProfile;
use serde_json::Value;
use similar::TextDiff;

/// Unchanged lines shown around each difference.
const CONTEXT_LINES: usize = 3;

/// A valid profile document.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileDocument {
    /// Text as read from the file.
    pub text: String,
    /// Parsed profile.
    pub profile: WorkProfile,
}

/// Parses and validates a profile document.
///
/// # Errors
///
/// The message names `file`, the path of the wrong field, its value and what is allowed.
pub fn check_document(file: &str, bytes: &[u8]) -> Result<ProfileDocument, String> {
    let text = std::str::from_utf8(bytes).map_err(|error| format!("{file}: {error}"))?;
    let tree: Value = serde_json::from_str(text).map_err(|error| format!("{file}: {error}"))?;
    let profile = WorkProfile::from_json(bytes).map_err(|mut error| {
        // A value of the wrong type never reaches the profile, so the error takes it from the
        // document.
        let found = if error.value == "the document" { value_at(&tree, &error.path) } else { None };
        if let Some(value) = found {
            error.value = value.to_string();
        }
        if error.path == "." {
            return format!("{file}: {} is not allowed: {}", error.value, error.allowed);
        }
        format!("{file}: {error}")
    })?;
    Ok(ProfileDocument { text: text.to_owned(), profile })
}

/// Returns the value at a path of one or two names, such as `weights.griddle`; the last name may
/// contain dots.
fn value_at<'a>(tree: &'a Value, path: &str) -> Option<&'a Value> {
    match path.split_once('.') {
        _ if path.is_empty() || path == "." => None,
        Some((name, rest)) => tree.get(name).and_then(|value| value.get(rest)),
        None => tree.get(path),
    }
}

/// Returns the unified diff of two documents, each given as (name, text); empty if they are equal.
pub fn unified_diff(old: (&str, &str), new: (&str, &str)) -> String {
    let ((old_name, old_text), (new_name, new_text)) = (old, new);
    if old_text == new_text {
        return String::new();
    }
    let diff = TextDiff::from_lines(old_text, new_text);
    diff.unified_diff().context_radius(CONTEXT_LINES).header(old_name, new_name).to_string()
}
