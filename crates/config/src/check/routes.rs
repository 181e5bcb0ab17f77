//! Validation of routes.

use std::collections::{BTreeMap, BTreeSet};

use super::{ErrorList, NameSet};
use crate::{ConfigDocument, lookup::trim_path};

/// The path prefixes of the routers' own endpoints.
const RESERVED_PATHS: [&str; 3] = ["/admin", "/healthz", "/readyz"];

/// Reports the errors of the routes.
pub(super) fn check_routes(document: &ConfigDocument, errors: &mut ErrorList) {
    let services: BTreeSet<&str> =
        document.services.iter().map(|service| service.name.as_str()).collect();
    let mut names = NameSet::new("route");
    let mut paths: BTreeMap<&str, String> = BTreeMap::new();
    for (index, route) in document.routes.iter().enumerate() {
        let path = format!("routes[{index}]");
        names.add(errors, format!("{path}.name"), route.name.as_str());
        if !services.contains(route.service.as_str()) {
            errors.add(format!("{path}.service"), format!("unknown service {}", route.service));
        }
        if route.deadline_ms.as_ms() == 0 {
            errors.add(format!("{path}.deadline_ms"), "must be greater than zero");
        }
        let path = format!("{path}.path");
        if let Some(reason) = path_error(&route.path) {
            errors.add(path, reason);
            continue;
        }
        // Of several matching prefixes the longest one is used, but two equal prefixes would be ambiguous.
        let prefix = trim_path(&route.path);
        if let Some(first_path) = paths.get(prefix) {
            errors.add(path, format!("{:?} matches the same requests as {first_path}", route.path));
        } else {
            paths.insert(prefix, path);
        }
    }
}

fn path_error(path: &str) -> Option<String> {
    if !path.starts_with('/') {
        return Some(format!("{path:?} does not start with a slash"));
    }
    if !path.bytes().all(|byte| byte.is_ascii_graphic() && !b"?#%\\".contains(&byte)) {
        return Some(format!("{path:?} has characters that are not allowed in a path prefix"));
    }
    let segments = trim_path(path).split('/').skip(1);
    if segments.clone().any(|segment| matches!(segment, "" | "." | "..")) {
        return Some(format!("{path:?} has an empty, . or .. segment"));
    }
    let prefix = trim_path(path);
    let reserved = RESERVED_PATHS.iter().any(|reserved| {
        let rest = prefix.strip_prefix(reserved);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    });
    reserved.then(|| format!("{path:?} is reserved for the routers' own endpoints"))
}
