//! The commands.

mod apply;
mod check;
mod keys;
mod view;

use godwitroad_base::SeededRandom;
use godwitroad_config::{ConfigChange, ConfigDocument};
use serde_json::Value;

use crate::{
    CommandReport, ExitKind, OutputStyle, ROUTERS_VARIABLE, STORE_VARIABLE,
    args::{ClientArgs, ClientCommand, KeysCommand, completion},
    output::change_line,
    store::{CurrentConfig, ReadError, StoreSession, read_current},
};

/// The result of a step of a command; the error is what the command reports.
type Result<T> = std::result::Result<T, CommandReport>;

/// What a command knows besides its own arguments.
struct CommandContext {
    store: Option<String>,
    routers: Vec<String>,
    style: OutputStyle,
}

/// Runs the command of `args`.
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
        ClientCommand::Status(_) => view::status(&context).await,
        ClientCommand::Targets(_) => view::targets(&context).await,
        ClientCommand::Explain(args) => view::explain(&context, &args.id).await,
        ClientCommand::Keys(args) => match &args.command {
            KeysCommand::Issue(args) => keys::issue(&context, args).await,
            KeysCommand::Withdraw(args) => keys::withdraw(&context, args).await,
            KeysCommand::List(args) => keys::list(&context, args).await,
        },
        ClientCommand::Completion(args) => match completion(&args.shell) {
            Some(text) => {
                let json = serde_json::json!({ "script": text });
                Ok(CommandReport::new(ExitKind::Done, text, json))
            }
            None => Err(CommandReport::failure(
                ExitKind::Usage,
                format!("no completion for {}; there is bash, zsh and fish", args.shell),
            )),
        },
    };
    result.unwrap_or_else(|report| report)
}

impl CommandContext {
    fn session(&self) -> Result<StoreSession> {
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

    fn lines(&self, changes: &[ConfigChange]) -> String {
        let lines = changes.iter().map(|change| crate::output::printable(&change.to_string()));
        lines.map(|line| change_line(self.style, &line)).collect()
    }
}

async fn current(session: &mut StoreSession) -> Result<CurrentConfig> {
    read_current(session).await.map_err(|error| unreadable(&error))
}

fn unreadable(error: &ReadError) -> CommandReport {
    let exit = match error {
        ReadError::Store(_) => ExitKind::StoreUnavailable,
        ReadError::Head(_) | ReadError::Join(_) => ExitKind::Failed,
    };
    CommandReport::failure(exit, error.to_string())
}

fn random_bytes<const N: usize>() -> Result<[u8; N]> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|error| {
        let message = format!("the system gives no random numbers: {error}");
        CommandReport::failure(ExitKind::Failed, message)
    })?;
    Ok(bytes)
}

fn changes_json(changes: &[ConfigChange]) -> Value {
    serde_json::to_value(changes).unwrap_or_default()
}

/// Reads and checks a file; `-` is standard input.
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
    let document = godwitroad_config::parse(&bytes)
        .map_err(|error| CommandReport::failure(ExitKind::Mistakes, format!("{file}: {error}")))?;
    let mistakes = godwitroad_config::check(&document);
    if mistakes.is_empty() {
        return Ok(document);
    }
    let lines: String = mistakes.iter().map(|mistake| format!("{mistake}\n")).collect();
    let json = serde_json::json!({ "file": file, "mistakes": mistakes });
    let text = format!("{lines}{} mistakes in {file}\n", mistakes.len());
    Err(CommandReport::new(ExitKind::Mistakes, text, json))
}
