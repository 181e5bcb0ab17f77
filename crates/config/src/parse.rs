//! Parsing a document from JSON text, with errors that name the position.

use serde_json::Value;
use thiserror::Error;

use crate::ConfigDocument;

/// The result of parsing a document.
type Result<T> = std::result::Result<T, ParseError>;

/// The reason why a text isn't a configuration document.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ParseError {
    /// The text isn't JSON.
    #[error("not JSON: {reason} at line {line}, column {column}")]
    NotJson {
        /// The description of the syntax error.
        reason: String,
        /// The line, counted from one.
        line: usize,
        /// The column, counted from one.
        column: usize,
    },
    /// A value has another type or other fields than the document's schema requires.
    #[error("{path}: {reason} (line {line}, column {column})")]
    InvalidValue {
        /// The JSON path of the value, `$` for the whole document.
        path: String,
        /// The description of the error.
        reason: String,
        /// The line, counted from one.
        line: usize,
        /// The column, counted from one.
        column: usize,
    },
    /// The text has a list where the schema requires an object.
    #[error("{path}: expected an object, found a list")]
    UnexpectedList {
        /// The JSON path of the value, `$` for the whole document.
        path: String,
    },
}

/// Parses a document from JSON.
///
/// The result has the types of a document but isn't validated; [`crate::check`] does that.
///
/// # Errors
///
/// Returns an error with the position if `bytes` aren't JSON, lack a required field, or have an unknown field or a
/// value of the wrong type.
pub fn parse(bytes: &[u8]) -> Result<ConfigDocument> {
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let document = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| convert_error(&error.path().to_string(), error.inner()))?;
    deserializer.end().map_err(|error| convert_error("", &error))?;
    reject_lists(bytes, &document)?;
    Ok(document)
}

// Serde also deserializes an object from a list of its values and fills in missing ones, so that `[]` would be parsed
// as an empty document. The schema allows objects only.
fn reject_lists(bytes: &[u8], document: &ConfigDocument) -> Result<()> {
    let input: Value = serde_json::from_slice(bytes).map_err(|error| convert_error("", &error))?;
    let output = serde_json::to_value(document).unwrap_or_default();
    match find_list("", &input, &output) {
        Some(path) if path.is_empty() => Err(ParseError::UnexpectedList { path: "$".into() }),
        Some(path) => Err(ParseError::UnexpectedList { path }),
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

fn convert_error(path: &str, error: &serde_json::Error) -> ParseError {
    let (line, column) = (error.line(), error.column());
    let text = error.to_string();
    // serde_json appends the position to its message. It is removed here because `ParseError` shows it itself.
    let position = format!(" at line {line} column {column}");
    let reason = text.strip_suffix(&position).unwrap_or(&text).to_owned();
    if !error.is_data() {
        return ParseError::NotJson { reason, line, column };
    }
    let path = if path.is_empty() || path == "." { "$" } else { path }.to_owned();
    ParseError::InvalidValue { path, reason, line, column }
}
