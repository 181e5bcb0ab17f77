//! The commands of `godwitctl`.

mod apply;
mod check;
mod inspect;
mod keys;

use godwitroad_base::SeededRandom;
use godwitroad_config::{ConfigChange, ConfigDocument};
use serde_json::Value;

use crate::{
    CommandReport, ExitKind, OutputStyle, ROUTERS_VARIABLE, STORE_VARIABLE,
    args::{ClientArgs, ClientCommand, KeysCommand, completion},
    output::format_change,
    store::{CurrentConfig, ReadError, StoreSession, read_current},
};

/// The result of a step of a command; the error is the report with which the command ends.
type Result<T> = std::result::Result<T, CommandReport>;

/// The global options, which are the same for all commands.
struct CommandContext {
    store: Option<String>,
    routers: Vec<String>,
    style: OutputStyle,
}

/// Runs the command in `args`. The addresses of the store and of the routers are read from environment variables if
/// the options are absent.
pub(crate) async fn run(args: &ClientArgs, style: OutputStyle) -> CommandReport {
    let variable = |name: &str| std::env::var(name).ok().filter(|text| !text.is_empty());
    let mut routers = args.router.clone();
    if routers.is_empty() {
        let text = variable(ROUTERS_VARIABLE).unwrap_or_default();
        let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
        routers = names.map(str::to_owned).collect();
    }
    let store = args.store.clone().or_else(|| variable(STORE_VARIABLE));
    let context = CommandContext { store, routers, style };
    let result = match &args.command {
        ClientCommand::Check(args) => check::check_file(&args.file),
        ClientCommand::Diff(args) => check::diff_file(&context, &args.file).await,
        ClientCommand::Apply(args) => apply::apply_file(&context, args).await,
        ClientCommand::Status(_) => inspect::status(&context).await,
        ClientCommand::Targets(_) => inspect::targets(&context).await,
        ClientCommand::Explain(args) => inspect::explain(&context, &args.id).await,
        ClientCommand::Keys(args) => match &args.command {
            KeysCommand::Issue(args) => keys::issue(&context, args).await,
            KeysCommand::Withdraw(args) => keys::withdraw(&context, args).await,
            KeysCommand::List(args) => keys::list(&context, args).await,
        },
        ClientCommand::Completion(args) => match completion(&args.shell) {
            Some(text) => {
                let json = serde_json::json!({ "script": text });
                Ok(CommandReport::new(ExitKind::Success, text, json))
            }
            None => Err(CommandReport::failure(
                ExitKind::Usage,
                format!(
                    "no completion script for {}; the supported shells are bash, zsh and fish",
                    args.shell
                ),
            )),
        },
    };
    result.unwrap_or_else(|report| report)
}

impl CommandContext {
    fn open_session(&self) -> Result<StoreSession> {
        let Some(url) = &self.store else {
            let message = format!("no store given; use --store or the variable {STORE_VARIABLE}");
            return Err(CommandReport::failure(ExitKind::Usage, message));
        };
        let bytes = random_bytes::<8>()?;
        Ok(StoreSession::new(url, SeededRandom::new(u64::from_le_bytes(bytes))))
    }

    fn routers(&self) -> Result<&[String]> {
        if self.routers.is_empty() {
            let message =
                format!("no routers given; use --router or the variable {ROUTERS_VARIABLE}");
            return Err(CommandReport::failure(ExitKind::Usage, message));
        }
        Ok(&self.routers)
    }

    fn change_lines(&self, changes: &[ConfigChange]) -> String {
        let lines =
            changes.iter().map(|change| crate::output::replace_control_chars(&change.to_string()));
        lines.map(|line| format_change(self.style, &line)).collect()
    }
}

async fn load_config(session: &mut StoreSession) -> Result<CurrentConfig> {
    read_current(session).await.map_err(|error| read_error_report(&error))
}

fn read_error_report(error: &ReadError) -> CommandReport {
    let exit = match error {
        ReadError::Store(_) => ExitKind::StoreUnavailable,
        ReadError::Head(_) | ReadError::Join(_) => ExitKind::Failed,
    };
    CommandReport::failure(exit, error.to_string())
}

fn random_bytes<const N: usize>() -> Result<[u8; N]> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|error| {
        let message = format!("can't get random bytes from the operating system: {error}");
        CommandReport::failure(ExitKind::Failed, message)
    })?;
    Ok(bytes)
}

fn changes_json(changes: &[ConfigChange]) -> Value {
    serde_json::to_value(changes).unwrap_or_default()
}

/// Reads and validates a document from a file, or from standard input if `file` is `-`.
fn read_document(file: &str) -> Result<ConfigDocument> {
    let bytes = match file {
        "-" => {
            let mut bytes = Vec::new();
            std::io::Read::read_to_end(&mut std::io::stdin().lock(), &mut bytes).map(|_| bytes)
        }
        _ => std::fs::read(file),
    };
    let bytes = bytes.map_err(|error| {
        CommandReport::failure(ExitKind::Failed, format!("{file} can't be read: {error}"))
    })?;
    let document = godwitroad_config::parse(&bytes).map_err(|error| {
        CommandReport::failure(ExitKind::InvalidDocument, format!("{file}: {error}"))
    })?;
    let errors = godwitroad_config::check(&document);
    if errors.is_empty() {
        return Ok(document);
    }
    let lines: String = errors.iter().map(|error| format!("{error}\n")).collect();
    let json = serde_json::json!({ "file": file, "mistakes": errors });
    let text = format!("{lines}{} mistakes in {file}\n", errors.len());
    Err(CommandReport::new(ExitKind::InvalidDocument, text, json))
}
