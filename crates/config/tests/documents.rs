//! Property tests with random documents and bytes.
//!
//! The cases are generated from a fixed seed. A failing case is minimized before it is printed.

use std::{collections::HashMap, sync::Arc};

use godwitroad_base::SeededRandom;
use godwitroad_config::{
    AccountConfig, ChunkName, ConfigDocument, ConfigHead, JoinError, KeyConfig, KeyHash,
    ModelConfig, RegionConfig, RouteConfig, ServiceConfig, ServiceKind, TargetConfig, check,
    chunks, diff, parse,
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};

const SEED: u64 = 20_261_204;

fn config(cases: u32) -> Config {
    println!("seed {SEED}");
    Config { cases, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

fn name() -> impl Strategy<Value = String> {
    prop_oneof!["[a-c]", "[a-z]{1,6}", ".{0,4}"]
}

fn account() -> impl Strategy<Value = AccountConfig> {
    let key = (name(), name(), vec(name(), 0..3)).prop_map(|(name, secret, routes)| KeyConfig {
        name: name.into(),
        hash: KeyHash::of(&secret),
        routes: routes.into_iter().map(Into::into).collect(),
    });
    (name(), 0..3u32, vec(key, 0..4)).prop_map(|(name, weight, keys)| AccountConfig {
        name: name.into(),
        weight,
        keys,
        ..Default::default()
    })
}

fn service() -> impl Strategy<Value = ServiceConfig> {
    let target = (name(), name(), name()).prop_map(|(name, zone, address)| TargetConfig {
        name: name.into(),
        zone: zone.into(),
        address,
        ..Default::default()
    });
    (name(), any::<bool>(), vec(target, 0..4)).prop_map(|(name, plain, targets)| ServiceConfig {
        name: name.into(),
        kind: if plain { ServiceKind::Plain } else { ServiceKind::Engine },
        targets,
        ..Default::default()
    })
}

fn document() -> impl Strategy<Value = ConfigDocument> {
    let region = (name(), vec(name(), 0..3)).prop_map(|(name, zones)| RegionConfig {
        name: name.into(),
        zones: zones.into_iter().map(Into::into).collect(),
    });
    let model = (name(), name()).prop_map(|(name, version)| ModelConfig {
        name: name.into(),
        version,
        adapter: None,
    });
    let route = (name(), name(), name()).prop_map(|(name, path, service)| RouteConfig {
        name: name.into(),
        path,
        service: service.into(),
        ..Default::default()
    });
    let parts = (
        vec(region, 0..3),
        vec(model, 0..3),
        vec(service(), 0..4),
        vec(account(), 0..6),
        vec(route, 0..4),
    );
    parts.prop_map(|(regions, models, services, accounts, routes)| ConfigDocument {
        regions,
        models,
        services,
        accounts,
        routes,
        ..Default::default()
    })
}

// Splits a document into chunks and joins them again. The concatenated chunks must be the document's JSON text, because
// routers parse them as such.
fn split_and_join(document: &ConfigDocument) -> Result<ConfigDocument, JoinError> {
    let parts = chunks::split(document).expect("names are short");
    let head = ConfigHead::next(None, "change", &parts);
    let by_name: HashMap<ChunkName, Arc<[u8]>> =
        parts.into_iter().map(|chunk| (chunk.name, chunk.bytes)).collect();
    chunks::join(&head, |name| by_name.get(name).cloned())
}

proptest! {
    #![proptest_config(config(512))]

    // Guards against a document that is altered by splitting, joining or parsing, or that makes validation panic.
    #[test]
    fn document_round_trips_through_chunks_and_json(document in document()) {
        check(&document);
        prop_assert_eq!(split_and_join(&document), Ok(document.clone()));
        let text = serde_json::to_vec(&document).unwrap();
        prop_assert_eq!(parse(&text), Ok(document));
    }

    // Guards against a change that isn't reported to the operator, and against a reported change that doesn't exist.
    #[test]
    fn diff_is_empty_only_for_equal_documents(old in document(), new in document()) {
        prop_assert_eq!(diff(&old, &old), vec![]);
        prop_assert_eq!(diff(&old, &new).is_empty(), old == new);
    }

    // Guards against a panic on random bytes and on truncated documents.
    #[test]
    fn parsing_never_panics(bytes in vec(any::<u8>(), 0..200), document in document(), end in any::<usize>()) {
        let _ = parse(&bytes);
        let text = serde_json::to_vec(&document).unwrap();
        let _ = parse(&text[..end % text.len()]);
    }
}

fn large_document(accounts: usize) -> ConfigDocument {
    let accounts = (0..accounts).map(|number| AccountConfig {
        name: format!("account-{number:05}").into(),
        keys: vec![KeyConfig {
            name: "main".into(),
            hash: KeyHash::of(&format!("secret-{number}")),
            routes: vec![],
        }],
        ..Default::default()
    });
    ConfigDocument { accounts: accounts.collect(), ..Default::default() }
}

// Guards against a head or a chunk above the store's value limit with 25,000 accounts, and against a change that sends
// the complete configuration to every VM.
#[test]
fn change_of_a_large_document_replaces_few_chunks() {
    let mut document = large_document(25_000);
    let old = chunks::split(&document).unwrap();
    let mut head = ConfigHead::next(None, "change-0", &old);
    assert!(old.iter().all(|chunk| chunk.bytes.len() <= chunks::MAX_CHUNK_BYTES));
    let mut random = SeededRandom::new(SEED);
    let mut max_new_chunks = 0;
    for number in 1..=9 {
        let index = random.below(document.accounts.len() as u64) as usize;
        match number % 3 {
            0 => drop(document.accounts.remove(index)),
            1 => {
                let name = format!("fresh-{number}").into();
                document.accounts.insert(index, AccountConfig { name, ..Default::default() });
            }
            _ => document.accounts[index].weight += 1,
        }
        let new = chunks::split(&document).unwrap();
        let added = new.iter().filter(|chunk| !head.chunks.contains(&chunk.name));
        max_new_chunks = max_new_chunks.max(added.count());
        head = ConfigHead::next(Some(&head), format!("change-{number}"), &new);
    }
    let bytes = serde_json::to_vec(&head).unwrap().len();
    let largest = old.iter().map(|chunk| chunk.bytes.len()).max().unwrap();
    println!(
        "seed {SEED}: {} chunks, largest {largest}, head {bytes}, most new {max_new_chunks}",
        old.len()
    );
    assert!(bytes < 128 << 10, "the head has {bytes} bytes");
    assert!(max_new_chunks <= 2, "a change replaced {max_new_chunks} chunks");
}

// Guards against a router that accepts chunks other than those that the head lists.
#[test]
fn join_verifies_every_chunk() {
    let document = large_document(300);
    let parts = chunks::split(&document).unwrap();
    let head = ConfigHead::next(None, "change", &parts);
    let bytes_of = |name: &ChunkName| {
        parts.iter().find(|chunk| chunk.name == *name).map(|chunk| Arc::clone(&chunk.bytes))
    };
    assert_eq!(chunks::join(&head, |_| None), Err(JoinError::Missing(head.chunks[0])));
    let wrong_chunk = |_: &ChunkName| Some(Arc::from(&b"[]"[..]));
    assert_eq!(chunks::join(&head, wrong_chunk), Err(JoinError::Corrupt(head.chunks[0])));
    let mut shorter = head.clone();
    shorter.chunks.pop();
    assert_eq!(chunks::join(&shorter, bytes_of), Err(JoinError::Digest(head.digest)));
    assert_eq!(chunks::join(&head, bytes_of), Ok(document));
}

// Guards against a log that grows without bound, or that lacks one of the latest changes.
#[test]
fn head_lists_the_latest_changes() {
    let parts = chunks::split(&ConfigDocument::default()).unwrap();
    let mut head = ConfigHead::next(None, "change-1", &parts);
    for number in 2..=200 {
        head = ConfigHead::next(Some(&head), format!("change-{number}"), &parts);
    }
    assert_eq!((head.generation, head.log.len()), (200, chunks::MAX_LOG_CHANGES));
    assert_eq!(head.generation_of("change-137"), Some(137));
    assert_eq!(head.generation_of("change-136"), None);
}
