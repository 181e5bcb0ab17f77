//! The arguments of the command line. The doc comments of commands and fields are their help texts.

use argh::{ArgsInfo, FromArgs};

use crate::{CommandReport, ExitKind};

/// The program's name in help texts and completion scripts.
const PROGRAM_NAME: &str = "godwitctl";

/// Operates a fleet of godwitroad routers.
#[derive(ArgsInfo, Debug, FromArgs)]
pub(crate) struct ClientArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
    /// base URL of the store; default: the variable GODWITROAD_STORE
    #[argh(option)]
    pub(crate) store: Option<String>,
    /// a router's address for operators, repeatable; default: the variable GODWITROAD_ROUTERS
    #[argh(option)]
    pub(crate) router: Vec<String>,
    #[argh(subcommand)]
    pub(crate) command: ClientCommand,
}

#[derive(ArgsInfo, Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum ClientCommand {
    Check(CheckArgs),
    Diff(DiffArgs),
    Apply(ApplyArgs),
    Status(StatusArgs),
    Keys(KeysArgs),
    Targets(TargetsArgs),
    Explain(ExplainArgs),
    Completion(CompletionArgs),
}

/// Checks a configuration file without any network access.
#[derive(ArgsInfo, Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArgs {
    /// the file, or - for standard input
    #[argh(positional)]
    pub(crate) file: String,
}

/// Shows what a configuration file would change.
#[derive(ArgsInfo, Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArgs {
    /// the file, or - for standard input
    #[argh(positional)]
    pub(crate) file: String,
}

/// Makes a configuration file the current configuration.
#[derive(ArgsInfo, Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArgs {
    /// the file, or - for standard input
    #[argh(positional)]
    pub(crate) file: String,
    /// the generation that the file is based on; the command fails with a conflict if another one is current
    #[argh(option)]
    pub(crate) base: Option<u64>,
    /// the change id of an earlier attempt whose outcome is unknown
    #[argh(option)]
    pub(crate) change_id: Option<String>,
    /// seconds to wait until the change is in force; default 16
    #[argh(option, default = "16")]
    pub(crate) wait: u64,
}

/// Shows the current generation and where it is in force.
#[derive(ArgsInfo, Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {}

/// Issues, withdraws and lists keys of client accounts.
#[derive(ArgsInfo, Debug, FromArgs)]
#[argh(subcommand, name = "keys")]
pub(crate) struct KeysArgs {
    #[argh(subcommand)]
    pub(crate) command: KeysCommand,
}

#[derive(ArgsInfo, Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum KeysCommand {
    Issue(IssueArgs),
    Withdraw(WithdrawArgs),
    List(ListArgs),
}

/// Issues a key and shows its secret once.
#[derive(ArgsInfo, Debug, FromArgs)]
#[argh(subcommand, name = "issue")]
pub(crate) struct IssueArgs {
    /// the account
    #[argh(positional)]
    pub(crate) account: String,
    /// the name of the key
    #[argh(positional)]
    pub(crate) name: String,
    /// a route on which the key is valid, repeatable; default: all routes
    #[argh(option)]
    pub(crate) route: Vec<String>,
    /// only print the secret and the key's entry for a configuration file
    #[argh(switch)]
    pub(crate) no_apply: bool,
    /// seconds to wait until the change is in force; default 16
    #[argh(option, default = "16")]
    pub(crate) wait: u64,
}

/// Withdraws a key.
#[derive(ArgsInfo, Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub(crate) struct WithdrawArgs {
    /// the account
    #[argh(positional)]
    pub(crate) account: String,
    /// the name of the key
    #[argh(positional)]
    pub(crate) name: String,
    /// seconds to wait until the change is in force; default 16
    #[argh(option, default = "16")]
    pub(crate) wait: u64,
}

/// Lists keys.
#[derive(ArgsInfo, Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct ListArgs {
    /// the account; default: all accounts
    #[argh(positional)]
    pub(crate) account: Option<String>,
}

/// Shows the targets as the routers see them.
#[derive(ArgsInfo, Debug, FromArgs)]
#[argh(subcommand, name = "targets")]
pub(crate) struct TargetsArgs {}

/// Shows why a request was sent to its target.
#[derive(ArgsInfo, Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// the request id
    #[argh(positional)]
    pub(crate) id: String,
}

/// Prints a completion script.
#[derive(ArgsInfo, Debug, FromArgs)]
#[argh(subcommand, name = "completion")]
pub(crate) struct CompletionArgs {
    /// bash, zsh or fish
    #[argh(positional)]
    pub(crate) shell: String,
}

/// Parses a command line. Help and usage errors are returned as a report in `Err`.
pub(crate) fn parse(args: &[&str]) -> Result<ClientArgs, CommandReport> {
    ClientArgs::from_args(&[PROGRAM_NAME], &move_options_first(args)).map_err(|exit| {
        match exit.status {
            Ok(()) => CommandReport::new(ExitKind::Success, exit.output, serde_json::json!({})),
            Err(()) => CommandReport::failure(ExitKind::Usage, exit.output.trim_end()),
        }
    })
}

/// Returns the arguments with the global options moved to the front.
///
/// The parser accepts them only before the command, but operators often append `--json` to a command line.
fn move_options_first<'a>(args: &[&'a str]) -> Vec<&'a str> {
    let (mut options, mut remaining) = (Vec::new(), Vec::new());
    let mut args = args.iter().copied();
    while let Some(arg) = args.next() {
        match arg {
            "--" => {
                remaining.push(arg);
                remaining.extend(args.by_ref());
            }
            "--json" => options.push(arg),
            "--store" | "--router" => {
                options.push(arg);
                options.extend(args.next());
            }
            _ => remaining.push(arg),
        }
    }
    options.extend(remaining);
    options
}

/// Returns the completion script for `shell`, or `None` for an unknown one.
pub(crate) fn completion(shell: &str) -> Option<String> {
    use argh_complete::{Generator, bash::Bash, fish::Fish, zsh::Zsh};
    let info = ClientArgs::get_args_info();
    match shell {
        "bash" => Some(Bash::generate(PROGRAM_NAME, &info)),
        "zsh" => Some(Zsh::generate(PROGRAM_NAME, &info)),
        "fish" => Some(Fish::generate(PROGRAM_NAME, &info)),
        _ => None,
    }
}
