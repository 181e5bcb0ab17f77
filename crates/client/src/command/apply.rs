//! `apply`, and what it shares with changes of keys: one CAS, and the wait until the change is in force.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use godwitroad_config::{ConfigDocument, chunks, diff};
use godwitroad_store::OperationId;
use godwitroad_sync::{ApplyAction, ApplyEvent, ApplyResult, ApplySettings, ChangeId, ConfigApply};
use serde_json::{Value, json};

use super::{CommandContext, Result, changes_json, current, random_bytes, read_document};
use crate::{
    CommandReport, ExitKind,
    args::ApplyArgs,
    output::table,
    router::{self, ZoneReport},
    store::{CurrentConfig, StoreSession},
};

/// The number of chunks written at once.
const CHUNKS_AT_ONCE: usize = 16;

/// The time that one write may take.
const WRITE_WAIT_MS: u64 = 10_000;

/// The period in which routers are asked whether a change is in force.
const POLL_MS: u64 = 200;

/// Applies a file.
pub(super) async fn apply_file(
    context: &CommandContext,
    args: &ApplyArgs,
) -> Result<CommandReport> {
    let document = read_document(&args.file)?;
    let change = match &args.change_id {
        Some(text) => parse_change(text)?,
        None => new_change()?,
    };
    let mut session = context.session()?;
    let before = current(&mut session).await?;
    let id = change.to_string();
    let applied = before.head.as_ref().and_then(|head| head.generation_of(&id));
    if let Some(generation) = applied {
        return Ok(finish(context, generation, &id, Value::Null, "", args.wait).await);
    }
    if let Some(base) = args.base.filter(|&base| base != before.generation()) {
        return Err(base_conflict(context, base, &before, &document));
    }
    let changes = diff(&before.document, &document);
    if changes.is_empty() && before.head.is_some() {
        let generation = before.generation();
        let text = format!("nothing to change: generation {generation} is the same document\n");
        let json = json!({ "result": "unchanged", "generation": generation, "changes": [] });
        return Ok(CommandReport::new(ExitKind::Done, text, json));
    }
    let lines = context.lines(&changes);
    let result = write(&mut session, &before, &document, change).await?;
    match result {
        ApplyResult::Accepted { generation } => {
            let changes = changes_json(&changes);
            Ok(finish(context, generation, &id, changes, &lines, args.wait).await)
        }
        other => Err(refused(context, &mut session, other, &before, &id).await),
    }
}

/// Writes `document` as the successor of `before`.
pub(super) async fn write(
    session: &mut StoreSession,
    before: &CurrentConfig,
    document: &ConfigDocument,
    change: ChangeId,
) -> Result<ApplyResult> {
    let parts = chunks::split(document)
        .map_err(|error| CommandReport::failure(ExitKind::Mistakes, error.to_string()))?;
    let parts: Vec<Arc<[u8]>> = parts.into_iter().map(|chunk| chunk.bytes).collect();
    let settings = ApplySettings {
        concurrent_chunk_writes: CHUNKS_AT_ONCE,
        operation_timeout_ms: WRITE_WAIT_MS,
    };
    let mut machine = ConfigApply::new(settings, change, before.generation(), parts);
    let mut outcome = ApplyResult::Unknown;
    let mut step = |event| {
        let mut actions = Vec::new();
        machine.handle(event, &mut actions);
        let mut orders = Vec::new();
        for action in actions {
            match action {
                ApplyAction::Submit { op, spec } => orders.push((op, spec)),
                ApplyAction::Done(result) => outcome = result,
            }
        }
        orders
    };
    let first = step(ApplyEvent::Start);
    session.drive(first, |op: OperationId, result| step(ApplyEvent::Store { op, result })).await;
    Ok(outcome)
}

/// Reports a change that wasn't accepted, or that may not have been.
pub(super) async fn refused(
    context: &CommandContext,
    session: &mut StoreSession,
    result: ApplyResult,
    before: &CurrentConfig,
    id: &str,
) -> CommandReport {
    match result {
        ApplyResult::Conflict { .. } => {
            let after = match current(session).await {
                Ok(after) => after,
                Err(report) => return report,
            };
            let changes = diff(&before.document, &after.document);
            let (old, new) = (before.generation(), after.generation());
            let text = format!(
                "error: another change came first; generation {new} replaced {old} with:\n{}\
                 compare again before applying\n",
                context.lines(&changes)
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
                 --change-id {id} to settle it"
            );
            let json = json!({ "error": message, "change_id": id });
            CommandReport::new(ExitKind::Unknown, format!("error: {message}\n"), json)
        }
    }
}

fn base_conflict(
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
        context.lines(&changes)
    );
    let json = json!({ "error": "another generation is current", "base": base,
                       "generation": generation, "log": later, "changes": changes_json(&changes) });
    CommandReport::new(ExitKind::Conflict, text, json)
}

/// Waits until a generation is in force and reports where it is.
pub(super) async fn finish(
    context: &CommandContext,
    generation: u64,
    id: &str,
    changes: Value,
    lines: &str,
    wait: u64,
) -> CommandReport {
    let (zones, in_force) = await_force(context, generation, wait).await;
    let mut text = format!("{lines}generation {generation} is accepted, change {id}\n");
    let exit = if context.routers.is_empty() {
        text += "no routers were asked where it is in force; use --router to ask\n";
        ExitKind::Done
    } else {
        text += &zone_table(&zones, generation);
        if in_force { ExitKind::Done } else { ExitKind::NotInForce }
    };
    let json = json!({ "result": "accepted", "generation": generation, "change_id": id,
                       "changes": changes, "in_force": in_force, "zones": zones });
    CommandReport::new(exit, text, json)
}

async fn await_force(
    context: &CommandContext,
    generation: u64,
    wait: u64,
) -> (BTreeMap<String, ZoneReport>, bool) {
    let end = Instant::now() + Duration::from_secs(wait);
    loop {
        let zones = router::by_zone(&router::ask(&context.routers, "/admin/status").await);
        let in_force = !zones.is_empty() && zones.values().all(|zone| zone.has(generation));
        if in_force || context.routers.is_empty() || Instant::now() >= end {
            return (zones, in_force);
        }
        actix_rt::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

/// Returns a table of where a generation is in force.
pub(super) fn zone_table(zones: &BTreeMap<String, ZoneReport>, generation: u64) -> String {
    let rows = zones.iter().map(|(zone, report)| {
        let state = if report.has(generation) { "in force" } else { "not yet" };
        let heard = format!("{} of {}", report.heard, report.routers);
        vec![zone.clone(), heard, report.lowest.to_string(), state.to_owned()]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    table(&["zone", "routers heard", "lowest generation", "state"], &rows)
}

/// Returns a new change id.
pub(super) fn new_change() -> Result<ChangeId> {
    Ok(ChangeId(u128::from_le_bytes(random_bytes::<16>()?)))
}

fn parse_change(text: &str) -> Result<ChangeId> {
    text.parse().map_err(|_| {
        CommandReport::failure(ExitKind::Usage, "a change id is 32 hexadecimal digits")
    })
}
