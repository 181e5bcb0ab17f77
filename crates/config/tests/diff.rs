//! Tests of the comparison of documents, and of the errors and names of chunks.

#[path = "../examples/hanbit.rs"]
mod hanbit;

use godwitroad_config::{ChunkName, ConfigChange, ConfigDocument, chunks, diff};
use yare::parameterized;

type Edit = fn(&mut ConfigDocument);

// Guards against a change that isn't reported, or that is reported as the replacement of a complete item.
#[parameterized(
    nothing = { |_| {}, &[] },
    field = { |it| it.accounts[2].rate.burst_tokens = 7,
        &["~ account ulju-foils: rate.burst_tokens 120000 -> 7"] },
    key_removed = { |it| { it.accounts[2].keys.pop(); }, &["- key register of ulju-foils"] },
    target_leaves = { |it| it.services[0].targets[8].leaving = true,
        &["~ target seal-daejeon-a-2 of seal-models: leaving null -> true"] },
    region_added = { |it| {
        let region = it.regions[0].clone();
        it.regions.push(godwitroad_config::RegionConfig { name: "kr-east".into(), ..region });
    }, &["+ region kr-east {\"name\":\"kr-east\",\"zones\":[\"busan-a\",\"ulsan-b\"]}"] },
    renamed = { |it| it.models[0].name = "seal-reader".into(), &[
        "- model seal-verifier",
        "+ model seal-reader {\"name\":\"seal-reader\",\"version\":\"2026-11\"}",
    ] },
    moved = { |it| it.accounts.swap(0, 1), &["~ accounts: order"] },
    limit = { |it| it.fleet.max_body_bytes = 9, &["~ fleet: max_body_bytes 8388608 -> 9"] },
)]
fn change_is_reported(edit: Edit, lines: &[&str]) {
    let old = hanbit::document();
    let mut new = old.clone();
    edit(&mut new);
    let changes = diff(&old, &new);
    let lines_found: Vec<String> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(lines_found, lines);
    let json = serde_json::to_string(&changes).unwrap();
    assert_eq!(serde_json::from_str::<Vec<ConfigChange>>(&json).unwrap(), changes);
}

// Guards against an item above the chunk limit that is split, or that is written to a store that rejects it.
#[test]
fn split_error_names_the_too_large_item() {
    let mut document = hanbit::document();
    document.models[0].version = "v".repeat(chunks::MAX_CHUNK_BYTES);
    let error = chunks::split(&document).unwrap_err().to_string();
    assert!(error.starts_with("model seal-verifier has 2621"), "{error}");
}

// Guards against chunk names that can't be parsed from a store key.
#[test]
fn chunk_name_round_trips_through_text() {
    let name = ChunkName::of(b"text");
    assert_eq!(name.to_string().parse(), Ok(name));
    assert_eq!(name.store_key(), format!("config/chunks/{name}"));
    assert!("+f".repeat(32).parse::<ChunkName>().is_err());
}
