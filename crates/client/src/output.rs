//! The report of a command: text for people and JSON for programs.

use std::fmt::Write;

use serde_json::{Value, json};

use crate::ExitKind;

/// How a report's text is formatted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutputStyle {
    /// Whether lines of changes are colored with ANSI escape sequences.
    pub color: bool,
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandReport {
    /// How the command ended.
    pub exit: ExitKind,
    /// The text for people; it ends with a line feed.
    pub text: String,
    /// The same result as JSON, including the exit code.
    pub json: Value,
}

impl CommandReport {
    pub(crate) fn new(exit: ExitKind, text: impl Into<String>, mut json: Value) -> CommandReport {
        json["exit_code"] = exit.code().into();
        CommandReport { exit, text: text.into(), json }
    }

    pub(crate) fn failure(exit: ExitKind, message: impl Into<String>) -> CommandReport {
        let message = message.into();
        let json = json!({ "error": message });
        CommandReport::new(exit, format!("error: {message}\n"), json)
    }
}

/// Returns the line of a change with a line feed; additions are green, removals red and other changes yellow.
pub(crate) fn format_change(style: OutputStyle, line: &str) -> String {
    let code = match line.chars().next() {
        Some('+') => "32",
        Some('-') => "31",
        _ => "33",
    };
    if style.color { format!("\u{1b}[{code}m{line}\u{1b}[0m\n") } else { format!("{line}\n") }
}

/// Returns a table with a heading and left-aligned columns.
pub(crate) fn format_table(heading: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widths = cells.map(|cell| cell.chars().count());
        widths.chain([heading[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heading.len()).map(width).collect();
    let mut text = String::new();
    let heading: Vec<String> = heading.iter().map(|&cell| cell.to_owned()).collect();
    for row in std::iter::once(&heading).chain(rows) {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            let _ = write!(line, "{:width$}  ", replace_control_chars(cell));
        }
        text += line.trim_end();
        text.push('\n');
    }
    text
}

/// Returns `text` with each control character replaced, so that text from the configuration or from a router can't send
/// escape sequences to the terminal.
pub(crate) fn replace_control_chars(text: &str) -> String {
    text.chars().map(|letter| if letter.is_control() { '\u{fffd}' } else { letter }).collect()
}

/// Returns a JSON value as the text of a table cell: `-` for null, strings without quotes, other values as JSON.
pub(crate) fn json_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
