//! Reading a document from JSON text.

use serde_json::Value;
use thiserror::Error;

use crate::ConfigDocument;

/// The result of reading a document.
type Result<T> = std::result::Result<T, ParseError>;

/// Why a text isn't a configuration document.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ParseError {
    /// The text isn't JSON.
    #[error("not JSON: {reason} at line {line}, column {column}")]
    NotJson {
        /// What is wrong.
        reason: String,
        /// The line, counted from one.
        line: usize,
        /// The column, counted from one.
        column: usize,
    },
    /// The text is JSON of another shape.
    #[error("{path}: {reason} (line {line}, column {column})")]
    WrongShape {
        /// The JSON path of the value, `$` for the whole document.
        path: String,
        /// What is wrong.
        reason: String,
        /// The line, counted from one.
        line: usize,
        /// The column, counted from one.
        column: usize,
    },
    /// A list stands where an object is expected.
    #[error("{path}: expected an object, found a list")]
    ListForObject {
        /// The JSON path of the value, `$` for the whole document.
        path: String,
    },
}

/// Returns the document that `bytes` hold as JSON.
///
/// The result may still be unacceptable; [`crate::check`] tells.
///
/// # Errors
///
/// Returns an error with the place when `bytes` aren't JSON or lack a field.
pub fn parse(bytes: &[u8]) -> Result<ConfigDocument> {
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let document = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| convert(&error.path().to_string(), error.inner()))?;
    deserializer.end().map_err(|error| convert("", &error))?;
    refuse_lists(bytes, &document)?;
    Ok(document)
}

// The library takes a list of values for an object and fills in missing ones, so that `[]` would be an empty
// document. The schema allows objects only.
fn refuse_lists(bytes: &[u8], document: &ConfigDocument) -> Result<()> {
    let input: Value = serde_json::from_slice(bytes).map_err(|error| convert("", &error))?;
    let output = serde_json::to_value(document).unwrap_or_default();
    match find_list("", &input, &output) {
        Some(path) if path.is_empty() => Err(ParseError::ListForObject { path: "$".into() }),
        Some(path) => Err(ParseError::ListForObject { path }),
        None => Ok(()),
    }
}

fn find_list(path: &str, input: &Value, output: &Value) -> Option<String> {
    match (input, output) {
        (Value::Array(_), Value::Object(_)) => Some(path.to_owned()),
        (Value::Object(input), Value::Object(output)) => {
            output.iter().find_map(|(name, output)| {
                let dot = if path.is_empty() { "" } else { "." };
                find_list(&format!("{path}{dot}{name}"), input.get(name)?, output)
            })
        }
        (Value::Array(input), Value::Array(output)) => {
            let pairs = input.iter().zip(output).enumerate();
            pairs.into_iter().find_map(|(index, (input, output))| {
                find_list(&format!("{path}[{index}]"), input, output)
            })
        }
        _ => None,
    }
}

fn convert(path: &str, error: &serde_json::Error) -> ParseError {
    let (line, column) = (error.line(), error.column());
    let text = error.to_string();
    // The library appends the place to its message; it is shown once, after the path.
    let place = format!(" at line {line} column {column}");
    let reason = text.strip_suffix(&place).unwrap_or(&text).to_owned();
    if !error.is_data() {
        return ParseError::NotJson { reason, line, column };
    }
    let path = if path.is_empty() || path == "." { "$" } else { path }.to_owned();
    ParseError::WrongShape { path, reason, line, column }
}
