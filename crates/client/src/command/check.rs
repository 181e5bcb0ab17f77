//! The commands `check` and `diff`.

use godwitroad_config::diff;
use serde_json::json;

use super::{CommandContext, Result, changes_json, load_config, read_document};
use crate::{CommandReport, ExitKind};

/// Validates a file and reports how many items of each kind its document has.
pub(super) fn check_file(file: &str) -> Result<CommandReport> {
    let document = read_document(file)?;
    let targets: usize = document.services.iter().map(|service| service.targets.len()).sum();
    let counts = [
        ("regions", document.regions.len()),
        ("models", document.models.len()),
        ("services", document.services.len()),
        ("targets", targets),
        ("accounts", document.accounts.len()),
        ("routes", document.routes.len()),
    ];
    let list = counts.map(|(name, count)| format!("{count} {name}")).join(", ");
    let mut json = json!({ "file": file, "mistakes": [] });
    for (name, count) in counts {
        json[name] = count.into();
    }
    Ok(CommandReport::new(ExitKind::Success, format!("{file} is acceptable: {list}\n"), json))
}

/// Shows the changes that applying a file would make to the current configuration.
pub(super) async fn diff_file(context: &CommandContext, file: &str) -> Result<CommandReport> {
    let document = read_document(file)?;
    let current = load_config(&mut context.open_session()?).await?;
    let changes = diff(&current.document, &document);
    let generation = current.generation();
    let exit = if changes.is_empty() { ExitKind::Success } else { ExitKind::Different };
    let text = format!(
        "{}{} changes to generation {generation}\n",
        context.change_lines(&changes),
        changes.len()
    );
    let json = json!({ "generation": generation, "changes": changes_json(&changes) });
    Ok(CommandReport::new(exit, text, json))
}
