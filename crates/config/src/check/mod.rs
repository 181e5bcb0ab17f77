//! Deciding whether a document is acceptable.
//!
//! All mistakes are found in one pass, so that an operator can correct them together. A document with a mistake is
//! rejected as a whole.

mod accounts;
mod routes;
mod services;

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::ConfigDocument;

/// The longest name; names are shown in tables and used in store keys.
const NAME_LIMIT_BYTES: usize = 128;

/// A reason for which a document isn't acceptable.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ConfigMistake {
    /// The JSON path of the value, such as `accounts[3].rate.burst_tokens`.
    pub path: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for ConfigMistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.reason)
    }
}

/// Returns all mistakes of `document` in the order of its sections; an acceptable document has none.
pub fn check(document: &ConfigDocument) -> Vec<ConfigMistake> {
    let mut list = MistakeList::default();
    check_regions(document, &mut list);
    services::check_models(document, &mut list);
    services::check_services(document, &mut list);
    accounts::check_accounts(document, &mut list);
    routes::check_routes(document, &mut list);
    check_fleet(document, &mut list);
    list.mistakes
}

fn check_regions(document: &ConfigDocument, list: &mut MistakeList) {
    if document.regions.is_empty() {
        list.add("regions", "at least one region is needed");
    }
    let (mut regions, mut zones) = (NameSet::new("region"), NameSet::new("zone"));
    for (index, region) in document.regions.iter().enumerate() {
        let path = format!("regions[{index}]");
        regions.add(list, format!("{path}.name"), region.name.as_str());
        if region.zones.is_empty() {
            list.add(format!("{path}.zones"), "a region needs at least one zone");
        }
        for (place, zone) in region.zones.iter().enumerate() {
            zones.add(list, format!("{path}.zones[{place}]"), zone.as_str());
        }
    }
}

fn check_fleet(document: &ConfigDocument, list: &mut MistakeList) {
    let fleet = &document.fleet;
    let limits = [
        ("claim_retention_ms", fleet.claim_retention_ms.as_ms()),
        ("cut_off_after_ms", fleet.cut_off_after_ms.as_ms()),
        ("link_bytes_per_second", fleet.link_bytes_per_second),
        ("max_body_bytes", fleet.max_body_bytes),
    ];
    for (name, limit) in limits {
        if limit == 0 {
            list.add(format!("fleet.{name}"), "must be above zero");
        }
    }
}

/// The mistakes found so far.
#[derive(Default)]
struct MistakeList {
    mistakes: Vec<ConfigMistake>,
}

impl MistakeList {
    fn add(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        self.mistakes.push(ConfigMistake { path: path.into(), reason: reason.into() });
    }
}

/// The names of one kind with the paths at which they were first seen.
struct NameSet<'a> {
    kind: &'static str,
    paths: BTreeMap<&'a str, String>,
}

impl<'a> NameSet<'a> {
    fn new(kind: &'static str) -> NameSet<'a> {
        NameSet { kind, paths: BTreeMap::new() }
    }

    /// Adds a name and reports it when it is malformed or taken.
    fn add(&mut self, list: &mut MistakeList, path: String, name: &'a str) {
        check_name(list, &path, name);
        if let Some(first) = self.paths.get(name) {
            list.add(path, format!("the {} {name:?} is already defined at {first}", self.kind));
        } else {
            self.paths.insert(name, path);
        }
    }
}

fn check_name(list: &mut MistakeList, path: &str, name: &str) {
    if name.is_empty() {
        list.add(path, "a name must not be empty");
    } else if name.len() > NAME_LIMIT_BYTES {
        list.add(path, format!("a name has at most {NAME_LIMIT_BYTES} bytes"));
    } else if !name.bytes().all(is_name_byte) {
        list.add(
            path,
            format!("{name:?} has characters other than letters, digits and . _ - / : @"),
        );
    }
}

// Slashes and colons occur in the usual names of models; the set has no character that needs care in a URL's path
// segment, a log line or a terminal.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"._-/:@".contains(&byte)
}
