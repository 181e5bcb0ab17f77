//! The command `apply`, and the steps that it shares with the commands that change keys.
//!
//! A change is written with one compare-and-swap of the configuration's head; afterwards the command waits until the
//! routers report that the new generation is in force.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use godwitroad_config::{ConfigDocument, chunks, diff};
use godwitroad_store::OperationId;
use godwitroad_sync::{ApplyAction, ApplyEvent, ApplyResult, ApplySettings, ChangeId, ConfigApply};
use serde_json::{Value, json};

use super::{CommandContext, Result, changes_json, load_config, random_bytes, read_document};
use crate::{
    CommandReport, ExitKind,
    args::ApplyArgs,
    output::format_table,
    router::{self, ZoneReport},
    store::{CurrentConfig, StoreSession},
};

/// The maximum number of chunks that are written concurrently.
const MAX_CONCURRENT_CHUNK_WRITES: usize = 16;

/// The timeout of one write to the store.
const WRITE_TIMEOUT_MS: u64 = 10_000;

/// The interval at which routers are queried for the generation in force.
const STATUS_POLL_INTERVAL_MS: u64 = 200;

/// Makes the document in a file the current configuration.
pub(super) async fn apply_file(
    context: &CommandContext,
    args: &ApplyArgs,
) -> Result<CommandReport> {
    let document = read_document(&args.file)?;
    let change = match &args.change_id {
        Some(text) => parse_change_id(text)?,
        None => new_change_id()?,
    };
    let mut session = context.open_session()?;
    let before = load_config(&mut session).await?;
    let id = change.to_string();
    let applied = before.head.as_ref().and_then(|head| head.generation_of(&id));
    if let Some(generation) = applied {
        return Ok(report_acceptance(context, generation, &id, Value::Null, "", args.wait).await);
    }
    if let Some(base) = args.base.filter(|&base| base != before.generation()) {
        return Err(base_conflict_report(context, base, &before, &document));
    }
    let changes = diff(&before.document, &document);
    if changes.is_empty() && before.head.is_some() {
        let generation = before.generation();
        let text = format!("nothing to change: generation {generation} is the same document\n");
        let json = json!({ "result": "unchanged", "generation": generation, "changes": [] });
        return Ok(CommandReport::new(ExitKind::Success, text, json));
    }
    let lines = context.change_lines(&changes);
    let result = write_document(&mut session, &before, &document, change).await?;
    match result {
        ApplyResult::Accepted { generation } => {
            let changes = changes_json(&changes);
            Ok(report_acceptance(context, generation, &id, changes, &lines, args.wait).await)
        }
        other => Err(rejection_report(context, &mut session, other, &before, &id).await),
    }
}

/// Writes `document` to the store if `before` is still the current configuration.
pub(super) async fn write_document(
    session: &mut StoreSession,
    before: &CurrentConfig,
    document: &ConfigDocument,
    change: ChangeId,
) -> Result<ApplyResult> {
    let config_chunks = chunks::split(document)
        .map_err(|error| CommandReport::failure(ExitKind::InvalidDocument, error.to_string()))?;
    let chunks: Vec<Arc<[u8]>> = config_chunks.into_iter().map(|chunk| chunk.bytes).collect();
    let settings = ApplySettings {
        concurrent_chunk_writes: MAX_CONCURRENT_CHUNK_WRITES,
        operation_timeout_ms: WRITE_TIMEOUT_MS,
    };
    let mut state_machine = ConfigApply::new(settings, change, before.generation(), chunks);
    let mut outcome = ApplyResult::Unknown;
    let mut step = |event| {
        let mut actions = Vec::new();
        state_machine.handle(event, &mut actions);
        let mut operations = Vec::new();
        for action in actions {
            match action {
                ApplyAction::Submit { op, spec } => operations.push((op, spec)),
                ApplyAction::Done(result) => outcome = result,
            }
        }
        operations
    };
    let first = step(ApplyEvent::Start);
    session
        .run_operations(first, |op: OperationId, result| step(ApplyEvent::Store { op, result }))
        .await;
    Ok(outcome)
}

/// Returns the report of a change that the store didn't accept, or whose outcome is unknown.
pub(super) async fn rejection_report(
    context: &CommandContext,
    session: &mut StoreSession,
    result: ApplyResult,
    before: &CurrentConfig,
    id: &str,
) -> CommandReport {
    match result {
        ApplyResult::Conflict { .. } => {
            let after = match load_config(session).await {
                Ok(after) => after,
                Err(report) => return report,
            };
            let changes = diff(&before.document, &after.document);
            let (old, new) = (before.generation(), after.generation());
            let text = format!(
                "error: another change came first; generation {new} replaced {old} with:\n{}\
                 compare again before applying\n",
                context.change_lines(&changes)
            );
            let json = json!({ "error": "another change came first", "base": old,
                               "generation": new, "changes": changes_json(&changes) });
            CommandReport::new(ExitKind::Conflict, text, json)
        }
        ApplyResult::NotAccepted(error) => {
            let message = format!("the change was not accepted: {error}");
            CommandReport::failure(ExitKind::StoreUnavailable, message)
        }
        ApplyResult::Unknown | ApplyResult::Accepted { .. } => {
            let message = format!(
                "the store didn't say whether the change was accepted; repeat the command with \
                 --change-id {id} to find out"
            );
            let json = json!({ "error": message, "change_id": id });
            CommandReport::new(ExitKind::OutcomeUnknown, format!("error: {message}\n"), json)
        }
    }
}

/// Returns the report of a file that was compared with another generation than the current one.
fn base_conflict_report(
    context: &CommandContext,
    base: u64,
    before: &CurrentConfig,
    document: &ConfigDocument,
) -> CommandReport {
    let generation = before.generation();
    let changes = diff(&before.document, document);
    let log = before.head.iter().flat_map(|head| &head.log);
    let later: Vec<_> = log.filter(|record| record.generation > base).collect();
    let ids: String = later
        .iter()
        .map(|record| {
            format!("  generation {} by change {}\n", record.generation, record.change_id)
        })
        .collect();
    let text = format!(
        "error: generation {generation} is current, not {base}; changes since then:\n{ids}\
         the file would now change:\n{}",
        context.change_lines(&changes)
    );
    let json = json!({ "error": "another generation is current", "base": base,
                       "generation": generation, "log": later, "changes": changes_json(&changes) });
    CommandReport::new(ExitKind::Conflict, text, json)
}

/// Waits up to `wait` seconds until an accepted generation is in force, and returns a report with the state of each zone.
///
/// `lines` and `changes` describe the change as text and as JSON.
pub(super) async fn report_acceptance(
    context: &CommandContext,
    generation: u64,
    id: &str,
    changes: Value,
    lines: &str,
    wait: u64,
) -> CommandReport {
    let (zones, in_force) = wait_until_in_force(context, generation, wait).await;
    let mut text = format!("{lines}generation {generation} is accepted, change {id}\n");
    let exit = if context.routers.is_empty() {
        text += "no routers were asked where it is in force; use --router to ask\n";
        ExitKind::Success
    } else {
        text += &format_zones(&zones, generation);
        if in_force { ExitKind::Success } else { ExitKind::NotInForce }
    };
    let json = json!({ "result": "accepted", "generation": generation, "change_id": id,
                       "changes": changes, "in_force": in_force, "zones": zones });
    CommandReport::new(exit, text, json)
}

/// Polls the routers and returns their last reports by zone and whether `generation` is in force in all zones.
async fn wait_until_in_force(
    context: &CommandContext,
    generation: u64,
    wait: u64,
) -> (BTreeMap<String, ZoneReport>, bool) {
    let deadline = Instant::now() + Duration::from_secs(wait);
    loop {
        let zones =
            router::group_by_zone(&router::query_routers(&context.routers, "/admin/status").await);
        let in_force = !zones.is_empty() && zones.values().all(|zone| zone.is_in_force(generation));
        if in_force || context.routers.is_empty() || Instant::now() >= deadline {
            return (zones, in_force);
        }
        actix_rt::time::sleep(Duration::from_millis(STATUS_POLL_INTERVAL_MS)).await;
    }
}

/// Returns a table that shows in which zones a generation is in force.
pub(super) fn format_zones(zones: &BTreeMap<String, ZoneReport>, generation: u64) -> String {
    let rows = zones.iter().map(|(zone, report)| {
        let state = if report.is_in_force(generation) { "in force" } else { "not yet" };
        let reporting = format!("{} of {}", report.reporting, report.routers);
        vec![zone.clone(), reporting, report.lowest_generation.to_string(), state.to_owned()]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    format_table(&["zone", "routers heard", "lowest generation", "state"], &rows)
}

/// Returns a random change id.
pub(super) fn new_change_id() -> Result<ChangeId> {
    Ok(ChangeId(u128::from_le_bytes(random_bytes::<16>()?)))
}

fn parse_change_id(text: &str) -> Result<ChangeId> {
    text.parse().map_err(|_| {
        CommandReport::failure(ExitKind::Usage, "a change id is 32 hexadecimal digits")
    })
}
