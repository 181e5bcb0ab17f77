//! The end of an operator's program: checking the document and printing it.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use crate::{ConfigDocument, check};

/// The exit code of a program whose document has mistakes.
const MISTAKES_EXIT_CODE: u8 = 2;

/// Returns `document` as indented JSON with a final line feed.
///
/// # Panics
///
/// Never in practice: the document's types have only string keys and no failing serializer.
pub fn document_text(document: &ConfigDocument) -> String {
    let text = serde_json::to_string_pretty(document);
    text.expect("the document's types always have a JSON form") + "\n"
}

/// Checks `document` and prints it as JSON, or prints its mistakes as lines on standard error.
///
/// The exit code is 0 for a printed document, 1 when it couldn't be written and 2 when it has mistakes.
pub fn print_document(document: &ConfigDocument) -> ExitCode {
    let mistakes = check(document);
    if mistakes.is_empty() {
        let written = io::stdout().lock().write_all(document_text(document).as_bytes());
        return if written.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    }
    let mut output = io::stderr().lock();
    for mistake in &mistakes {
        // Standard error may be closed; the exit code still tells.
        let _ = writeln!(output, "{mistake}");
    }
    ExitCode::from(MISTAKES_EXIT_CODE)
}
