//! Runs the commands against the stand-in platform and stub routers.

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

// Guards against commands that read back another document than the one that was applied, which would show up as a
// difference or as a second change.
#[actix_rt::test]
async fn applied_document_is_current() {
    let platform = PlatformServer::start().unwrap();
    let mut document = hanbit();
    let file = file_of(&document);
    let path = file.path().to_str().unwrap();
    assert_eq!(command(&platform, &["diff", path]).await.exit, ExitKind::Different);
    let report = apply(&platform, &document).await;
    assert_eq!((report.exit, &report.json["generation"]), (ExitKind::Success, &json!(1)));
    assert_eq!(command(&platform, &["diff", path]).await.exit, ExitKind::Success);
    assert_eq!(apply(&platform, &document).await.json["result"], "unchanged");
    document.accounts[2].weight = 7;
    let report = apply(&platform, &document).await;
    assert_eq!(report.json["changes"][0]["field"], "weight", "{}", report.text);
    assert_eq!(command(&platform, &["status"]).await.json["generation"], 2);
}

// Guards against an accepted write whose answer is lost: it must neither be reported as a failure nor be applied twice.
#[actix_rt::test]
async fn lost_answers_do_not_repeat_the_change() {
    let platform = PlatformServer::start().unwrap();
    platform.set_faults(PlatformFaults { lose_answers: 1_000, ..Default::default() });
    let report = apply(&platform, &hanbit()).await;
    assert_eq!((report.exit, &report.json["generation"]), (ExitKind::Success, &json!(1)));
    assert_eq!(head(&platform).log.len(), 1);
}

// Guards against applying a change twice when a command with an unknown outcome is repeated with its change id.
#[actix_rt::test]
async fn repeated_change_id_is_applied_once() {
    let platform = PlatformServer::start().unwrap();
    let first = apply(&platform, &hanbit()).await;
    let mut later = hanbit();
    later.accounts[0].weight = 9;
    apply(&platform, &later).await;
    let file = file_of(&hanbit());
    let id = first.json["change_id"].as_str().unwrap();
    let args = ["apply", file.path().to_str().unwrap(), "--change-id", id];
    let repeated = command(&platform, &args).await;
    assert_eq!((repeated.exit, &repeated.json["generation"]), (ExitKind::Success, &json!(1)));
    assert_eq!(head(&platform).generation, 2);
}

// Guards against two concurrent changes that both report success, and against a conflict report without the changes
// that were accepted first.
#[actix_rt::test]
async fn concurrent_changes_conflict() {
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
    assert_eq!(exits, [ExitKind::Success, ExitKind::Conflict], "{reports:#?}");
    let [winner, loser] = if reports[0].exit == ExitKind::Success { [0, 1] } else { [1, 0] };
    assert_eq!(reports[loser].json["changes"], reports[winner].json["changes"]);
    let file = file_of(&hanbit());
    let args = ["apply", file.path().to_str().unwrap(), "--base", "1"];
    let late = command(&platform, &args).await;
    assert_eq!((late.exit, &late.json["log"][0]["generation"]), (ExitKind::Conflict, &json!(2)));
}

// Guards against reporting success or an unknown outcome when the store is down and nothing was written.
#[actix_rt::test]
async fn outage_changes_nothing() {
    let platform = PlatformServer::start().unwrap();
    platform.set_faults(PlatformFaults { down: true, ..Default::default() });
    assert_eq!(apply(&platform, &hanbit()).await.exit, ExitKind::StoreUnavailable);
    assert!(platform.value(chunks::HEAD_KEY).is_none());
}

// Guards against storing a secret or showing it more than once, and against a withdrawn key that remains in the
// configuration.
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
    assert_eq!(command(&platform, &withdraw).await.exit, ExitKind::Success);
    assert_eq!(command(&platform, &withdraw).await.exit, ExitKind::NotFound);
    let list = command(&platform, &["keys", "list"]).await;
    assert!(!list.text.contains("night"));
}

fn head_keys(head: Vec<u8>) -> Vec<String> {
    let head: ConfigHead = serde_json::from_slice(&head).unwrap();
    head.chunks.iter().map(|name| name.store_key()).collect()
}

// Guards against losing a key when several are issued concurrently and their writes conflict.
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
    assert!(reports.iter().all(|report| report.exit == ExitKind::Success), "{reports:#?}");
    let list = command(&platform, &["keys", "list", "ulju-foils"]).await;
    assert_eq!(list.json["keys"].as_array().unwrap().len(), 2 + names.len());
}

// Guards against reporting a change as in force while a router, or a router of another zone, still has an older
// generation or is unreachable.
#[parameterized(
    all = { json!({ "zone": "busan-a", "generation": 1 }), ExitKind::Success },
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

// Guards against losing the answer of one router when another one is unreachable, and against wrong exit codes of
// `explain`.
#[actix_rt::test]
async fn routers_are_queried() {
    let router = StubServer::start().unwrap();
    let id = "0123456789abcdef0123456789abcdef";
    router.set(&format!("/admin/explain/{id}"), json!({ "target": "seal-1" }));
    router.set("/admin/targets", json!([{ "name": "seal-1", "health": "good" }]));
    let address = router.address().to_string();
    let query = async |args: &[&str]| {
        let args = [args, &["--router", "127.0.0.1:1", "--router", &address]].concat();
        run(&args, OutputStyle::default()).await.0
    };
    let found = query(&["explain", id]).await;
    assert_eq!(
        (found.exit, &found.json["explanation"]["target"]),
        (ExitKind::Success, &json!("seal-1"))
    );
    assert_eq!(query(&["explain", &id.replace('0', "1")]).await.exit, ExitKind::NotFound);
    assert_eq!(query(&["explain", "7"]).await.exit, ExitKind::Usage);
    let targets = query(&["targets"]).await;
    assert!(targets.text.contains("name    health\nseal-1  good\n"), "{}", targets.text);
}

// Guards against accepting an invalid file, and against running a command whose command line is invalid.
#[actix_rt::test]
async fn invalid_files_and_usage_have_their_codes() {
    let mut document = hanbit();
    document.accounts[0].weight = 0;
    document.routes[0].service = "gone".into();
    let file = file_of(&document);
    let path = file.path().to_str().unwrap();
    let (report, json) = run(&["check", path, "--json"], OutputStyle::default()).await;
    assert!(json);
    assert_eq!(
        (report.exit, report.json["mistakes"].as_array().unwrap().len()),
        (ExitKind::InvalidDocument, 2)
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

// Guards against a head written by the client in a format that routers can't read.
#[test]
fn routers_read_the_head() {
    let config_chunks = chunks::split(&hanbit()).unwrap();
    let bytes: Vec<Arc<[u8]>> =
        config_chunks.iter().map(|chunk| Arc::clone(&chunk.bytes)).collect();
    let (mut client_head, mut router_head) = (None, None);
    for number in [0x2a, 0x2b] {
        let change = ChangeId(number);
        client_head =
            Some(ConfigHead::next(client_head.as_ref(), change.to_string(), &config_chunks));
        router_head = Some(SyncHead::next(router_head.as_ref(), change, &bytes));
    }
    let (client_head, router_head) = (client_head.unwrap(), router_head.unwrap());
    assert_eq!(
        serde_json::to_value(&client_head).unwrap(),
        serde_json::to_value(&router_head).unwrap()
    );
    let chunks_by_name: BTreeMap<_, _> = router_head.chunks.iter().copied().zip(bytes).collect();
    let text = assemble(&router_head, &chunks_by_name).unwrap();
    assert_eq!(parse(&text).unwrap(), hanbit());
}
