//! The JSON Schema of the configuration document, with which editors and other tools validate it.

use schemars::schema_for;

use crate::ConfigDocument;

/// Returns the JSON Schema of [`ConfigDocument`] as indented JSON that ends with a line feed.
///
/// # Panics
///
/// Panics if the schema can't be serialized, which can't happen because a schema is a JSON value.
pub fn schema_text() -> String {
    let text = serde_json::to_string_pretty(&schema_for!(ConfigDocument));
    text.expect("a schema is a JSON value") + "\n"
}
