//! `keys issue`, `keys withdraw` and `keys list`.
//!
//! These change the current configuration in place, so that keys can be granted and withdrawn under live traffic
//! without the operator's program. A change that loses a race is made again on the newer configuration, because it
//! concerns one key only.

use godwitroad_config::{AccountConfig, ConfigDocument, KeyConfig, KeyHash, check, diff};
use godwitroad_sync::ApplyResult;
use serde_json::json;

use super::{CommandContext, Result, apply, changes_json, current, random_bytes};
use crate::{
    CommandReport, ExitKind,
    args::{IssueArgs, ListArgs, WithdrawArgs},
    output::table,
};

/// The number of times that a change is made again after a lost race.
const RACE_TRIES: usize = 8;

/// The beginning of each secret, by which secret scanners can find one that was published by mistake.
const SECRET_PREFIX: &str = "gdw_";

/// Issues a key.
pub(super) async fn issue(context: &CommandContext, args: &IssueArgs) -> Result<CommandReport> {
    let secret = new_secret()?;
    let key = KeyConfig {
        name: args.name.as_str().into(),
        hash: KeyHash::of(&secret),
        routes: args.route.iter().map(|route| route.as_str().into()).collect(),
    };
    if args.no_apply {
        let entry = serde_json::to_value(&key).unwrap_or_default();
        let text = format!("secret: {secret}\nentry:  {entry}\n{SECRET_NOTE}");
        let json = json!({ "secret": secret, "key": entry });
        return Ok(CommandReport::new(ExitKind::Done, text, json));
    }
    let mut report = change(context, args.wait, |document| {
        let account = find_account(document, &args.account)?;
        if account.keys.iter().any(|other| other.name == key.name) {
            let message = format!("the account {} has a key {} already", args.account, args.name);
            return Err(CommandReport::failure(ExitKind::Failed, message));
        }
        account.keys.push(key.clone());
        Ok(())
    })
    .await?;
    // The secret is shown only when the key is accepted: nobody must hand out a secret that may never work.
    report.text += &format!("secret: {secret}\n{SECRET_NOTE}");
    report.json["secret"] = secret.into();
    Ok(report)
}

/// What an operator must know about a new secret.
const SECRET_NOTE: &str = "The secret is shown this once; only its hash is stored.\n";

/// Withdraws a key.
pub(super) async fn withdraw(
    context: &CommandContext,
    args: &WithdrawArgs,
) -> Result<CommandReport> {
    change(context, args.wait, |document| {
        let account = find_account(document, &args.account)?;
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

/// Lists keys.
pub(super) async fn list(context: &CommandContext, args: &ListArgs) -> Result<CommandReport> {
    let mut current = current(&mut context.session()?).await?;
    if let Some(name) = &args.account {
        find_account(&mut current.document, name)?;
    }
    let accounts = current.document.accounts.iter();
    let accounts = accounts
        .filter(|account| args.account.as_deref().is_none_or(|name| account.name.as_str() == name));
    let keys: Vec<(&AccountConfig, &KeyConfig)> =
        accounts.flat_map(|account| account.keys.iter().map(move |key| (account, key))).collect();
    let rows = keys.iter().map(|(account, key)| {
        let routes: Vec<&str> = key.routes.iter().map(|route| route.as_str()).collect();
        let routes = if routes.is_empty() { "all".to_owned() } else { routes.join(" ") };
        // Enough of the hash to compare two keys.
        let hash = key.hash.to_string()[..12].to_owned();
        vec![account.name.to_string(), key.name.to_string(), routes, hash]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    let json = keys.iter().map(|(account, key)| {
        json!({ "account": account.name, "name": key.name, "routes": key.routes, "hash": key.hash })
    });
    let json = json!({ "generation": current.generation(), "keys": json.collect::<Vec<_>>() });
    let text = table(&["account", "key", "routes", "hash"], &rows);
    Ok(CommandReport::new(ExitKind::Done, text, json))
}

async fn change(
    context: &CommandContext,
    wait: u64,
    edit: impl Fn(&mut ConfigDocument) -> Result<()>,
) -> Result<CommandReport> {
    let mut session = context.session()?;
    let id = apply::new_change()?;
    for _ in 0..RACE_TRIES {
        let before = current(&mut session).await?;
        let mut document = before.document.clone();
        edit(&mut document)?;
        if let Some(mistake) = check(&document).first() {
            return Err(CommandReport::failure(ExitKind::Mistakes, mistake.to_string()));
        }
        match apply::write(&mut session, &before, &document, id).await? {
            ApplyResult::Accepted { generation } => {
                let changes = diff(&before.document, &document);
                let lines = context.lines(&changes);
                let changes = changes_json(&changes);
                let id = id.to_string();
                return Ok(apply::finish(context, generation, &id, changes, &lines, wait).await);
            }
            ApplyResult::Conflict { .. } => {}
            ApplyResult::Unknown => return Err(unknown()),
            other => {
                let id = id.to_string();
                return Err(apply::refused(context, &mut session, other, &before, &id).await);
            }
        }
    }
    let message = format!("other changes came first {RACE_TRIES} times");
    Err(CommandReport::failure(ExitKind::Conflict, message))
}

fn unknown() -> CommandReport {
    let message = "the store didn't say whether the change was accepted; `keys list` tells when it \
                   answers again, and a key whose secret was not shown must be withdrawn";
    CommandReport::failure(ExitKind::Unknown, message)
}

fn find_account<'a>(document: &'a mut ConfigDocument, name: &str) -> Result<&'a mut AccountConfig> {
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
