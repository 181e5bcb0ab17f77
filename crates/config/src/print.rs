//! Validating and printing a document, the last step of an operator's program.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use crate::{ConfigDocument, check};

/// The exit code of a program whose document is invalid.
const INVALID_EXIT_CODE: u8 = 2;

/// Returns `document` as indented JSON that ends with a line feed.
///
/// # Panics
///
/// Panics if the document can't be serialized, which can't happen because its types have only string keys and no
/// serializer that fails.
pub fn document_text(document: &ConfigDocument) -> String {
    let text = serde_json::to_string_pretty(document);
    text.expect("the document's types can always be serialized to JSON") + "\n"
}

/// Validates `document` and prints it as JSON on standard output, or prints one line per error on standard error.
///
/// The exit code is 0 if the document was printed, 1 if standard output couldn't be written, and 2 if the document is
/// invalid.
pub fn print_document(document: &ConfigDocument) -> ExitCode {
    let errors = check(document);
    if errors.is_empty() {
        let written = io::stdout().lock().write_all(document_text(document).as_bytes());
        return if written.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    }
    let mut output = io::stderr().lock();
    for error in &errors {
        // Standard error may be closed; the exit code still reports the failure.
        let _ = writeln!(output, "{error}");
    }
    ExitCode::from(INVALID_EXIT_CODE)
}
