//! `godwitroad-local` starts a complete fleet on loopback, to try the routers without any other setup.

use std::process::ExitCode;

use anyhow::Result;
use argh::FromArgs;
use godwitroad_standin::local::{LocalFleet, SAMPLE_KEY, sample_calls};

/// Starts a platform, engines, a plain service and two routers on loopback.
#[derive(Debug, FromArgs)]
struct LocalArgs {
    /// make the sample calls, print a line for each and exit with 0, or with 1 if one failed
    #[argh(switch)]
    check: bool,
}

#[actix_rt::main]
async fn main() -> Result<ExitCode> {
    let args: LocalArgs = argh::from_env();
    let fleet = LocalFleet::start().await?;
    let exit = if args.check {
        check(&fleet).await
    } else {
        print_calls(&fleet);
        actix_rt::signal::ctrl_c().await?;
        ExitCode::SUCCESS
    };
    fleet.stop().await?;
    Ok(exit)
}

async fn check(fleet: &LocalFleet) -> ExitCode {
    let mut failed = 0;
    for call in sample_calls(fleet) {
        let result = call.run(fleet).await;
        match result.failure {
            None => println!("ok      {}", result.name),
            Some(reason) => {
                failed += 1;
                println!("FAILED  {}: {reason}", result.name);
            }
        }
    }
    println!("{failed} calls failed");
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_calls(fleet: &LocalFleet) {
    let operators: Vec<String> = fleet.operators().iter().map(ToString::to_string).collect();
    println!("sample key: {SAMPLE_KEY}\n");
    for call in sample_calls(fleet) {
        println!("# {}\n{}\n", call.name, call.curl_line());
    }
    println!("# the operators' client (build it with: cargo build --bin godwitctl)");
    println!(
        "godwitctl status --store {} --router {}\n",
        fleet.platform.url(),
        operators.join(" --router ")
    );
    println!("press Ctrl-C to stop");
}
