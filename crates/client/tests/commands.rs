//! Commands against the stand-in platform.

#![allow(clippy::unwrap_used, reason = "a failed unwrap in a helper fails its test")]

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_client::{CommandReport, ExitKind, OutputStyle, run};
use godwitroad_config::{ConfigDocument, ConfigHead, chunks, parse};
use godwitroad_standin::{PlatformFaults, PlatformServer, StubServer};
use godwitroad_sync::{ChangeId, SyncHead, assemble};
use serde_json::{Value, json};
use tempfile::NamedTempFile;
use yare::parameterized;

const HANBIT: &str = include_str!("../../config/examples/hanbit.json");

fn hanbit() -> ConfigDocument {
    parse(HANBIT.as_bytes()).unwrap()
}

fn file_of(document: &ConfigDocument) -> NamedTempFile {
    let file = NamedTempFile::new().unwrap();
    std::fs::write(file.path(), serde_json::to_vec(document).unwrap()).unwrap();
    file
}

async fn command(platform: &PlatformServer, args: &[&str]) -> CommandReport {
    let url = platform.url();
    let args: Vec<&str> = [args, &["--store", &url]].concat();
    run(&args, OutputStyle::default()).await.0
}

async fn apply(platform: &PlatformServer, document: &ConfigDocument) -> CommandReport {
    let file = file_of(document);
    command(platform, &["apply", file.path().to_str().unwrap()]).await
}

fn head(platform: &PlatformServer) -> ConfigHead {
    serde_json::from_slice(&platform.value(chunks::HEAD_KEY).unwrap()).unwrap()
}

// Guards against an applied document that another command reads differently.
#[actix_rt::test]
async fn applied_document_is_current() {
    let platform = PlatformServer::start().unwrap();
    let mut document = hanbit();
    let file = file_of(&document);
    let path = file.path().to_str().unwrap();
    assert_eq!(command(&platform, &["diff", path]).await.exit, ExitKind::Different);
    let report = apply(&platform, &document).await;
    assert_eq!((report.exit, &report.json["generation"]), (ExitKind::Done, &json!(1)));
    assert_eq!(command(&platform, &["diff", path]).await.exit, ExitKind::Done);
    assert_eq!(apply(&platform, &document).await.json["result"], "unchanged");
    document.accounts[2].weight = 7;
    let report = apply(&platform, &document).await;
    assert_eq!(report.json["changes"][0]["field"], "weight", "{}", report.text);
    assert_eq!(command(&platform, &["status"]).await.json["generation"], 2);
}

// Guards against a lost answer that is reported as a failure, or that leads to a second change.
#[actix_rt::test]
async fn lost_answers_are_settled() {
    let platform = PlatformServer::start().unwrap();
    platform.set_faults(PlatformFaults { lose_answers: 1_000, ..Default::default() });
    let report = apply(&platform, &hanbit()).await;
    assert_eq!((report.exit, &report.json["generation"]), (ExitKind::Done, &json!(1)));
    assert_eq!(head(&platform).log.len(), 1);
}

// Guards against a repeated command that makes a change twice after an outcome that nobody saw.
#[actix_rt::test]
async fn change_id_makes_a_repetition_harmless() {
    let platform = PlatformServer::start().unwrap();
    let first = apply(&platform, &hanbit()).await;
    let mut later = hanbit();
    later.accounts[0].weight = 9;
    apply(&platform, &later).await;
    let file = file_of(&hanbit());
    let id = first.json["change_id"].as_str().unwrap();
    let args = ["apply", file.path().to_str().unwrap(), "--change-id", id];
    let again = command(&platform, &args).await;
    assert_eq!((again.exit, &again.json["generation"]), (ExitKind::Done, &json!(1)));
    assert_eq!(head(&platform).generation, 2);
}

// Guards against two operators who both believe that their document is current.
#[actix_rt::test]
async fn racing_operator_learns_what_changed() {
    let platform = PlatformServer::start().unwrap();
    apply(&platform, &hanbit()).await;
    platform.set_faults(PlatformFaults { slow_ms: 30, ..Default::default() });
    let (mut one, mut two) = (hanbit(), hanbit());
    one.accounts[0].weight = 8;
    two.routes[0].deadline_ms = godwitroad_base::ClockSpan::from_ms(9);
    let reports: [CommandReport; 2] =
        futures_util::future::join(apply(&platform, &one), apply(&platform, &two)).await.into();
    let mut exits = reports.each_ref().map(|report| report.exit);
    exits.sort();
    assert_eq!(exits, [ExitKind::Done, ExitKind::Conflict], "{reports:#?}");
    let [winner, loser] = if reports[0].exit == ExitKind::Done { [0, 1] } else { [1, 0] };
    assert_eq!(reports[loser].json["changes"], reports[winner].json["changes"]);
    let file = file_of(&hanbit());
    let args = ["apply", file.path().to_str().unwrap(), "--base", "1"];
    let late = command(&platform, &args).await;
    assert_eq!((late.exit, &late.json["log"][0]["generation"]), (ExitKind::Conflict, &json!(2)));
}

// Guards against an outage that is reported as success or as an unknown outcome.
#[actix_rt::test]
async fn outage_changes_nothing() {
    let platform = PlatformServer::start().unwrap();
    platform.set_faults(PlatformFaults { down: true, ..Default::default() });
    assert_eq!(apply(&platform, &hanbit()).await.exit, ExitKind::StoreUnavailable);
    assert!(platform.value(chunks::HEAD_KEY).is_none());
}

// Guards against a secret that is stored or shown again, and against a withdrawn key that stays.
#[actix_rt::test]
async fn secret_is_shown_once() {
    let platform = PlatformServer::start().unwrap();
    apply(&platform, &hanbit()).await;
    let issue = ["keys", "issue", "ulju-foils", "night", "--route", "lookup"];
    let report = command(&platform, &issue).await;
    let secret = report.json["secret"].as_str().unwrap().to_owned();
    assert_eq!(report.text.matches(&secret).count(), 1);
    let range = platform.with_store(|store| {
        let keys = head_keys(store.get(chunks::HEAD_KEY.as_bytes()).unwrap().value.clone());
        keys.iter().map(|key| store.get(key.as_bytes()).unwrap().value.clone()).collect::<Vec<_>>()
    });
    let stored = String::from_utf8(range.concat()).unwrap();
    let hash = godwitroad_config::KeyHash::of(&secret).to_string();
    assert!(stored.contains(&hash) && !stored.contains(&secret));
    let list = command(&platform, &["keys", "list", "ulju-foils"]).await;
    assert!(list.text.contains("night") && !list.text.contains(&secret));
    assert_eq!(command(&platform, &issue).await.exit, ExitKind::Failed);
    let withdraw = ["keys", "withdraw", "ulju-foils", "night"];
    assert_eq!(command(&platform, &withdraw).await.exit, ExitKind::Done);
    assert_eq!(command(&platform, &withdraw).await.exit, ExitKind::NotFound);
    let list = command(&platform, &["keys", "list"]).await;
    assert!(!list.text.contains("night"));
}

fn head_keys(head: Vec<u8>) -> Vec<String> {
    let head: ConfigHead = serde_json::from_slice(&head).unwrap();
    head.chunks.iter().map(|name| name.store_key()).collect()
}

// Guards against one of several keys issued at the same time getting lost.
#[actix_rt::test]
async fn concurrent_keys_are_all_kept() {
    let platform = PlatformServer::start().unwrap();
    apply(&platform, &hanbit()).await;
    platform.set_faults(PlatformFaults { slow_ms: 5, ..Default::default() });
    let names = ["a", "b", "c", "d"];
    let commands = names.map(|name| {
        let platform = &platform;
        async move { command(platform, &["keys", "issue", "ulju-foils", name]).await }
    });
    let reports = futures_util::future::join_all(commands).await;
    assert!(reports.iter().all(|report| report.exit == ExitKind::Done), "{reports:#?}");
    let list = command(&platform, &["keys", "list", "ulju-foils"]).await;
    assert_eq!(list.json["keys"].as_array().unwrap().len(), 2 + names.len());
}

// Guards against a change that is called in force while a router or a zone still has an older one.
#[parameterized(
    all = { json!({ "zone": "busan-a", "generation": 1 }), ExitKind::Done },
    older = { json!({ "zone": "busan-a", "generation": 0 }), ExitKind::NotInForce },
    other_zone = { json!({ "zone": "busan-a", "generation": 1,
        "zones": { "daejeon-a": { "members": 3, "heard": 2, "lowest": 1 } } }), ExitKind::NotInForce },
)]
fn change_is_in_force(status: Value, exit: ExitKind) {
    actix_rt::System::new().block_on(async move {
        let platform = PlatformServer::start().unwrap();
        let router = StubServer::start().unwrap();
        router.set("/admin/status", status);
        let (file, address) = (file_of(&hanbit()), router.address().to_string());
        let path = file.path().to_str().unwrap();
        let args = ["apply", path, "--wait", "0", "--router", &address];
        let report = command(&platform, &args).await;
        assert_eq!(report.exit, exit, "{}", report.text);
    });
}

// Guards against questions whose answer is lost among several routers.
#[actix_rt::test]
async fn routers_are_asked() {
    let router = StubServer::start().unwrap();
    let id = "0123456789abcdef0123456789abcdef";
    router.set(&format!("/admin/explain/{id}"), json!({ "target": "seal-1" }));
    router.set("/admin/targets", json!([{ "name": "seal-1", "health": "good" }]));
    let address = router.address().to_string();
    let ask = async |args: &[&str]| {
        let args = [args, &["--router", "127.0.0.1:1", "--router", &address]].concat();
        run(&args, OutputStyle::default()).await.0
    };
    let found = ask(&["explain", id]).await;
    assert_eq!(
        (found.exit, &found.json["explanation"]["target"]),
        (ExitKind::Done, &json!("seal-1"))
    );
    assert_eq!(ask(&["explain", &id.replace('0', "1")]).await.exit, ExitKind::NotFound);
    assert_eq!(ask(&["explain", "7"]).await.exit, ExitKind::Usage);
    let targets = ask(&["targets"]).await;
    assert!(targets.text.contains("name    health\nseal-1  good\n"), "{}", targets.text);
}

// Guards against a file that passes with mistakes, and against a wrong line that runs something.
#[actix_rt::test]
async fn mistakes_and_usage_have_their_codes() {
    let mut document = hanbit();
    document.accounts[0].weight = 0;
    document.routes[0].service = "gone".into();
    let file = file_of(&document);
    let path = file.path().to_str().unwrap();
    let (report, json) = run(&["check", path, "--json"], OutputStyle::default()).await;
    assert!(json);
    assert_eq!(
        (report.exit, report.json["mistakes"].as_array().unwrap().len()),
        (ExitKind::Mistakes, 2)
    );
    let usage = [&["check"][..], &["status"], &["apply", path], &["completion", "cmd"]];
    for args in usage.iter().take(2).chain(&usage[3..]) {
        let (report, _) = run(args, OutputStyle::default()).await;
        assert_eq!(report.exit, ExitKind::Usage, "{args:?}: {}", report.text);
    }
    for shell in ["bash", "zsh", "fish"] {
        let (report, _) = run(&["completion", shell], OutputStyle::default()).await;
        assert!(report.text.contains("withdraw"), "{shell}");
    }
}

// Guards against a head that operators write in a shape that routers can't read.
#[test]
fn head_is_the_one_that_routers_read() {
    let parts = chunks::split(&hanbit()).unwrap();
    let bytes: Vec<Arc<[u8]>> = parts.iter().map(|chunk| Arc::clone(&chunk.bytes)).collect();
    let (mut ours, mut theirs) = (None, None);
    for number in [0x2a, 0x2b] {
        let change = ChangeId(number);
        ours = Some(ConfigHead::next(ours.as_ref(), change.to_string(), &parts));
        theirs = Some(SyncHead::next(theirs.as_ref(), change, &bytes));
    }
    let (ours, theirs) = (ours.unwrap(), theirs.unwrap());
    assert_eq!(serde_json::to_value(&ours).unwrap(), serde_json::to_value(&theirs).unwrap());
    let held: BTreeMap<_, _> = theirs.chunks.iter().copied().zip(bytes).collect();
    let text = assemble(&theirs, &held).unwrap();
    assert_eq!(parse(&text).unwrap(), hanbit());
}
