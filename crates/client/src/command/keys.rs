//! The commands `keys issue`, `keys withdraw` and `keys list`.
//!
//! These commands edit the current configuration in the store, so that keys can be issued and withdrawn under live
//! traffic without the program that generates the configuration file. Each edit concerns one key only, so an edit that
//! conflicts with another change is repeated on the newer configuration.

use godwitroad_config::{AccountConfig, ConfigDocument, KeyConfig, KeyHash, check, diff};
use godwitroad_sync::ApplyResult;
use serde_json::json;

use super::{CommandContext, Result, apply, changes_json, load_config, random_bytes};
use crate::{
    CommandReport, ExitKind,
    args::{IssueArgs, ListArgs, WithdrawArgs},
    output::format_table,
};

/// The maximum number of attempts to write an edit that conflicts with other changes.
const MAX_APPLY_ATTEMPTS: usize = 8;

/// The prefix of each secret, which lets secret scanners find one that was published by mistake.
const SECRET_PREFIX: &str = "gdw_";

/// Issues a key with a random secret.
pub(super) async fn issue(context: &CommandContext, args: &IssueArgs) -> Result<CommandReport> {
    let secret = new_secret()?;
    let key = KeyConfig {
        name: args.name.as_str().into(),
        hash: KeyHash::of(&secret),
        routes: args.route.iter().map(|route| route.as_str().into()).collect(),
    };
    if args.no_apply {
        let entry = serde_json::to_value(&key).unwrap_or_default();
        let text = format!("secret: {secret}\nentry:  {entry}\n{SECRET_NOTICE}");
        let json = json!({ "secret": secret, "key": entry });
        return Ok(CommandReport::new(ExitKind::Success, text, json));
    }
    let mut report = edit_config(context, args.wait, |document| {
        let account = account_mut(document, &args.account)?;
        if account.keys.iter().any(|other| other.name == key.name) {
            let message = format!("the account {} has a key {} already", args.account, args.name);
            return Err(CommandReport::failure(ExitKind::Failed, message));
        }
        account.keys.push(key.clone());
        Ok(())
    })
    .await?;
    // The secret is shown only after the key was accepted, so that no client is given a secret that never becomes valid.
    report.text += &format!("secret: {secret}\n{SECRET_NOTICE}");
    report.json["secret"] = secret.into();
    Ok(report)
}

/// The notice printed below a new secret.
const SECRET_NOTICE: &str = "The secret is shown this once; only its hash is stored.\n";

/// Withdraws a key by removing it from its account.
pub(super) async fn withdraw(
    context: &CommandContext,
    args: &WithdrawArgs,
) -> Result<CommandReport> {
    edit_config(context, args.wait, |document| {
        let account = account_mut(document, &args.account)?;
        let count = account.keys.len();
        account.keys.retain(|key| key.name.as_str() != args.name);
        if account.keys.len() == count {
            let message = format!("the account {} has no key {}", args.account, args.name);
            return Err(CommandReport::failure(ExitKind::NotFound, message));
        }
        Ok(())
    })
    .await
}

/// Lists the keys of one account or of all accounts.
pub(super) async fn list(context: &CommandContext, args: &ListArgs) -> Result<CommandReport> {
    let mut current = load_config(&mut context.open_session()?).await?;
    if let Some(name) = &args.account {
        account_mut(&mut current.document, name)?;
    }
    let accounts = current.document.accounts.iter();
    let accounts = accounts
        .filter(|account| args.account.as_deref().is_none_or(|name| account.name.as_str() == name));
    let keys: Vec<(&AccountConfig, &KeyConfig)> =
        accounts.flat_map(|account| account.keys.iter().map(move |key| (account, key))).collect();
    let rows = keys.iter().map(|(account, key)| {
        let routes: Vec<&str> = key.routes.iter().map(|route| route.as_str()).collect();
        let routes = if routes.is_empty() { "all".to_owned() } else { routes.join(" ") };
        // The first 12 characters are enough to compare two hashes by eye.
        let hash = key.hash.to_string()[..12].to_owned();
        vec![account.name.to_string(), key.name.to_string(), routes, hash]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    let json = keys.iter().map(|(account, key)| {
        json!({ "account": account.name, "name": key.name, "routes": key.routes, "hash": key.hash })
    });
    let json = json!({ "generation": current.generation(), "keys": json.collect::<Vec<_>>() });
    let text = format_table(&["account", "key", "routes", "hash"], &rows);
    Ok(CommandReport::new(ExitKind::Success, text, json))
}

/// Applies `edit` to the current configuration and writes the result, again after each conflict with another change.
async fn edit_config(
    context: &CommandContext,
    wait: u64,
    edit: impl Fn(&mut ConfigDocument) -> Result<()>,
) -> Result<CommandReport> {
    let mut session = context.open_session()?;
    let id = apply::new_change_id()?;
    for _ in 0..MAX_APPLY_ATTEMPTS {
        let before = load_config(&mut session).await?;
        let mut document = before.document.clone();
        edit(&mut document)?;
        if let Some(error) = check(&document).first() {
            return Err(CommandReport::failure(ExitKind::InvalidDocument, error.to_string()));
        }
        match apply::write_document(&mut session, &before, &document, id).await? {
            ApplyResult::Accepted { generation } => {
                let changes = diff(&before.document, &document);
                let lines = context.change_lines(&changes);
                let changes = changes_json(&changes);
                let id = id.to_string();
                return Ok(apply::report_acceptance(
                    context, generation, &id, changes, &lines, wait,
                )
                .await);
            }
            ApplyResult::Conflict { .. } => {}
            ApplyResult::Unknown => return Err(unknown_outcome_report()),
            other => {
                let id = id.to_string();
                return Err(
                    apply::rejection_report(context, &mut session, other, &before, &id).await
                );
            }
        }
    }
    let message = format!("the change conflicted with other changes {MAX_APPLY_ATTEMPTS} times");
    Err(CommandReport::failure(ExitKind::Conflict, message))
}

fn unknown_outcome_report() -> CommandReport {
    let message = "the store didn't say whether the change was accepted; run `keys list` when the store \
                   answers again, and withdraw the key if its secret was not shown";
    CommandReport::failure(ExitKind::OutcomeUnknown, message)
}

/// Returns the account with `name`, or a report that there is none.
fn account_mut<'a>(document: &'a mut ConfigDocument, name: &str) -> Result<&'a mut AccountConfig> {
    let account = document.accounts.iter_mut().find(|account| account.name.as_str() == name);
    account.ok_or_else(|| {
        CommandReport::failure(ExitKind::NotFound, format!("there is no account {name}"))
    })
}

fn new_secret() -> Result<String> {
    let bytes = random_bytes::<32>()?;
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    Ok(format!("{SECRET_PREFIX}{digits}"))
}
