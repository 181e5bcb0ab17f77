//! Text for people and JSON for programs.

use std::fmt::Write;

use serde_json::{Value, json};

use crate::ExitKind;

/// How text is shown.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutputStyle {
    /// Whether lines are coloured.
    pub color: bool,
}

/// What a command gives back.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandReport {
    /// How the command ended.
    pub exit: ExitKind,
    /// The text for people, with a final line feed.
    pub text: String,
    /// The same as JSON.
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

/// Returns a change's line, coloured by its first character.
pub(crate) fn change_line(style: OutputStyle, line: &str) -> String {
    let code = match line.chars().next() {
        Some('+') => "32",
        Some('-') => "31",
        _ => "33",
    };
    if style.color { format!("\u{1b}[{code}m{line}\u{1b}[0m\n") } else { format!("{line}\n") }
}

/// Returns a table with a heading and aligned columns.
pub(crate) fn table(heading: &[&str], rows: &[Vec<String>]) -> String {
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
            let _ = write!(line, "{:width$}  ", printable(cell));
        }
        text += line.trim_end();
        text.push('\n');
    }
    text
}

/// Returns `text` without control characters, which could change what a terminal shows.
pub(crate) fn printable(text: &str) -> String {
    text.chars().map(|letter| if letter.is_control() { '\u{fffd}' } else { letter }).collect()
}

/// Returns a JSON value as a cell of a table.
pub(crate) fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
