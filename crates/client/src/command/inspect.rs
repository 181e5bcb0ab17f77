//! The commands `status`, `targets` and `explain`.

use serde_json::{Value, json};

use super::{CommandContext, Result, apply::format_zones, read_error_report};
use crate::{
    CommandReport, ExitKind,
    output::{format_table, json_cell},
    router::{self, RouterAnswer},
    store::read_head,
};

/// Shows the current generation in the store and the generation and state of each router.
pub(super) async fn status(context: &CommandContext) -> Result<CommandReport> {
    let mut text = String::new();
    let mut json = json!({ "generation": null });
    let mut newest = None;
    let mut exit = ExitKind::Success;
    if context.store.is_some() {
        let head = read_head(&mut context.open_session()?).await;
        match head.map_err(|error| read_error_report(&error)) {
            Ok(head) => {
                let generation = head.as_ref().map_or(0, |head| head.generation);
                newest = Some(generation);
                json["generation"] = generation.into();
                json["change_id"] = head.map(|head| head.change_id).into();
                text += &format!("current generation: {}\n", json["generation"]);
            }
            Err(report) if context.routers.is_empty() => return Err(report),
            Err(report) => {
                // Routers keep serving while the store is unreachable, so their state is still shown.
                exit = report.exit;
                text += &format!(
                    "current generation: unknown ({})\n",
                    json_cell(&report.json["error"])
                );
                json["error"] = report.json["error"].clone();
            }
        }
    } else {
        context.routers()?;
    }
    if !context.routers.is_empty() {
        let answers = router::query_routers(&context.routers, "/admin/status").await;
        if answers.iter().all(|answer| !answer.is_success()) {
            exit = ExitKind::RoutersUnavailable;
        }
        let zones = router::group_by_zone(&answers);
        let known = answers.iter().filter_map(RouterAnswer::generation).max();
        text += &format_routers(&answers);
        text += &format_zones(&zones, newest.or(known).unwrap_or(0));
        json["routers"] = serde_json::to_value(&answers).unwrap_or_default();
        json["zones"] = serde_json::to_value(&zones).unwrap_or_default();
    }
    Ok(CommandReport::new(exit, text, json))
}

fn format_routers(answers: &[RouterAnswer]) -> String {
    let rows = answers.iter().map(|answer| {
        let field = |name: &str| json_cell(&answer.answer[name]);
        let state = match (answer.status, answer.answer["ready"].as_bool()) {
            (None, _) => "unreachable".to_owned(),
            (Some(200), Some(true)) => "ready".to_owned(),
            (Some(200), _) => "not ready".to_owned(),
            (Some(status), _) => format!("HTTP {status}"),
        };
        vec![
            answer.router.clone(),
            field("vm"),
            field("zone"),
            state,
            field("generation"),
            field("requests"),
        ]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    format_table(&["router", "vm", "zone", "state", "generation", "requests"], &rows)
}

/// Shows the targets as each router sees them.
pub(super) async fn targets(context: &CommandContext) -> Result<CommandReport> {
    let answers = router::query_routers(context.routers()?, "/admin/targets").await;
    require_success(&answers)?;
    let mut text = String::new();
    for answer in answers.iter().filter(|answer| answer.is_success()) {
        text += &format!("{}:\n", answer.router);
        text += &format_value(&answer.answer);
    }
    let json = json!({ "routers": answers });
    Ok(CommandReport::new(ExitKind::Success, text, json))
}

/// Shows why a request was sent to its target, as recorded by the router that handled it.
pub(super) async fn explain(context: &CommandContext, id: &str) -> Result<CommandReport> {
    if id.parse::<godwitroad_base::RequestId>().is_err() {
        let message = "a request id is 32 hexadecimal digits";
        return Err(CommandReport::failure(ExitKind::Usage, message));
    }
    let answers = router::query_routers(context.routers()?, &format!("/admin/explain/{id}")).await;
    if let Some(found) = answers.iter().find(|answer| answer.is_success()) {
        let text = format!("{}:\n{:#}\n", found.router, found.answer);
        let json = json!({ "router": found.router, "explanation": found.answer });
        return Ok(CommandReport::new(ExitKind::Success, text, json));
    }
    require_reachable(&answers)?;
    let message = format!("no router has a record of the request {id}");
    Err(CommandReport::failure(ExitKind::NotFound, message))
}

fn require_reachable(answers: &[RouterAnswer]) -> Result<()> {
    if answers.iter().any(|answer| answer.status.is_some()) {
        return Ok(());
    }
    Err(CommandReport::failure(ExitKind::RoutersUnavailable, "no router can be reached"))
}

fn require_success(answers: &[RouterAnswer]) -> Result<()> {
    require_reachable(answers)?;
    if answers.iter().any(RouterAnswer::is_success) {
        return Ok(());
    }
    let states = answers.iter().filter_map(|answer| answer.status);
    let states: Vec<String> = states.map(|status| status.to_string()).collect();
    let message = format!("no router returned its targets (HTTP {})", states.join(", "));
    Err(CommandReport::failure(ExitKind::NotFound, message))
}

/// Returns a list of objects as a table whose columns are the fields of the first object, and any other value as JSON.
///
/// The list may also be the field `targets` of an object.
fn format_value(value: &Value) -> String {
    let list = value.as_array().or_else(|| value["targets"].as_array());
    let Some(list) = list else { return format!("{value:#}\n") };
    let Some(first) = list.first().and_then(Value::as_object) else { return "none\n".into() };
    let heading: Vec<&str> = first.keys().map(String::as_str).collect();
    let rows = list.iter().map(|line| heading.iter().map(|name| json_cell(&line[*name])).collect());
    let rows: Vec<Vec<String>> = rows.collect();
    format_table(&heading, &rows)
}
