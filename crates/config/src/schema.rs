//! The JSON Schema of the document.

use schemars::schema_for;

use crate::ConfigDocument;

/// Returns the JSON Schema of [`ConfigDocument`] as indented JSON with a final line feed.
///
/// # Panics
///
/// Never in practice: a schema is a JSON value.
pub fn schema_text() -> String {
    let text = serde_json::to_string_pretty(&schema_for!(ConfigDocument));
    text.expect("a schema is a JSON value") + "\n"
}
