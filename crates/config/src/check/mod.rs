//! Validating a document.
//!
//! All errors are collected in one pass, so that an operator can correct them together. A document with any error is
//! rejected completely.

mod accounts;
mod routes;
mod services;

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::ConfigDocument;

/// The maximum length of a name in bytes; names appear in tables and store keys.
const MAX_NAME_BYTES: usize = 128;

/// A validation error of a document.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ConfigError {
    /// The JSON path of the invalid value, such as `accounts[3].rate.burst_tokens`.
    pub path: String,
    /// The description of the error.
    pub reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.reason)
    }
}

/// Returns all errors of `document` in the order of its sections; the list is empty if the document is valid.
pub fn check(document: &ConfigDocument) -> Vec<ConfigError> {
    let mut errors = ErrorList::default();
    check_regions(document, &mut errors);
    services::check_models(document, &mut errors);
    services::check_services(document, &mut errors);
    accounts::check_accounts(document, &mut errors);
    routes::check_routes(document, &mut errors);
    check_fleet(document, &mut errors);
    errors.found
}

fn check_regions(document: &ConfigDocument, errors: &mut ErrorList) {
    if document.regions.is_empty() {
        errors.add("regions", "at least one region is required");
    }
    let (mut regions, mut zones) = (NameSet::new("region"), NameSet::new("zone"));
    for (index, region) in document.regions.iter().enumerate() {
        let path = format!("regions[{index}]");
        regions.add(errors, format!("{path}.name"), region.name.as_str());
        if region.zones.is_empty() {
            errors.add(format!("{path}.zones"), "a region must have at least one zone");
        }
        for (zone_index, zone) in region.zones.iter().enumerate() {
            zones.add(errors, format!("{path}.zones[{zone_index}]"), zone.as_str());
        }
    }
}

fn check_fleet(document: &ConfigDocument, errors: &mut ErrorList) {
    let fleet = &document.fleet;
    let limits = [
        ("claim_retention_ms", fleet.claim_retention_ms.as_ms()),
        ("cut_off_after_ms", fleet.cut_off_after_ms.as_ms()),
        ("link_bytes_per_second", fleet.link_bytes_per_second),
        ("max_body_bytes", fleet.max_body_bytes),
    ];
    for (name, limit) in limits {
        if limit == 0 {
            errors.add(format!("fleet.{name}"), "must be greater than zero");
        }
    }
}

/// The errors found so far.
#[derive(Default)]
struct ErrorList {
    found: Vec<ConfigError>,
}

impl ErrorList {
    fn add(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        self.found.push(ConfigError { path: path.into(), reason: reason.into() });
    }
}

/// The names of one kind of item, with the path at which each name was first found.
struct NameSet<'a> {
    kind: &'static str,
    paths: BTreeMap<&'a str, String>,
}

impl<'a> NameSet<'a> {
    fn new(kind: &'static str) -> NameSet<'a> {
        NameSet { kind, paths: BTreeMap::new() }
    }

    /// Adds a name, and reports an error if it is malformed or already defined.
    fn add(&mut self, errors: &mut ErrorList, path: String, name: &'a str) {
        check_name(errors, &path, name);
        if let Some(first_path) = self.paths.get(name) {
            errors.add(
                path,
                format!("the {} {name:?} is already defined at {first_path}", self.kind),
            );
        } else {
            self.paths.insert(name, path);
        }
    }
}

fn check_name(errors: &mut ErrorList, path: &str, name: &str) {
    if name.is_empty() {
        errors.add(path, "a name must not be empty");
    } else if name.len() > MAX_NAME_BYTES {
        errors.add(path, format!("a name must have at most {MAX_NAME_BYTES} bytes"));
    } else if !name.bytes().all(is_name_byte) {
        errors.add(
            path,
            format!("{name:?} has characters other than letters, digits and . _ - / : @"),
        );
    }
}

// Slashes and colons occur in common model names. No character of this set needs escaping in the path segment of a URL,
// in a log line or in a terminal.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"._-/:@".contains(&byte)
}
