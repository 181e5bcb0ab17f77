//! Checks of routes.

use std::collections::{BTreeMap, BTreeSet};

use super::{MistakeList, NameSet};
use crate::{ConfigDocument, lookup::trim_path};

/// The paths that routers answer themselves.
const RESERVED_PATHS: [&str; 3] = ["/admin", "/healthz", "/readyz"];

/// Reports mistakes of the routes.
pub(super) fn check_routes(document: &ConfigDocument, list: &mut MistakeList) {
    let services: BTreeSet<&str> =
        document.services.iter().map(|service| service.name.as_str()).collect();
    let mut names = NameSet::new("route");
    let mut paths: BTreeMap<&str, String> = BTreeMap::new();
    for (index, route) in document.routes.iter().enumerate() {
        let path = format!("routes[{index}]");
        names.add(list, format!("{path}.name"), route.name.as_str());
        if !services.contains(route.service.as_str()) {
            list.add(format!("{path}.service"), format!("unknown service {}", route.service));
        }
        if route.deadline_ms.as_ms() == 0 {
            list.add(format!("{path}.deadline_ms"), "must be above zero");
        }
        let path = format!("{path}.path");
        if let Some(reason) = path_mistake(&route.path) {
            list.add(path, reason);
            continue;
        }
        // Nested prefixes are decided by length; the same prefix twice can't be decided.
        let prefix = trim_path(&route.path);
        if let Some(first) = paths.get(prefix) {
            list.add(path, format!("{:?} takes the same requests as {first}", route.path));
        } else {
            paths.insert(prefix, path);
        }
    }
}

fn path_mistake(path: &str) -> Option<String> {
    if !path.starts_with('/') {
        return Some(format!("{path:?} doesn't begin with a slash"));
    }
    if !path.bytes().all(|byte| byte.is_ascii_graphic() && !b"?#%\\".contains(&byte)) {
        return Some(format!("{path:?} has characters that a path prefix can't have"));
    }
    let segments = trim_path(path).split('/').skip(1);
    if segments.clone().any(|segment| matches!(segment, "" | "." | "..")) {
        return Some(format!("{path:?} has an empty or a dot segment"));
    }
    let prefix = trim_path(path);
    let reserved = RESERVED_PATHS.iter().any(|reserved| {
        let rest = prefix.strip_prefix(reserved);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    });
    reserved.then(|| format!("{path:?} is answered by the routers themselves"))
}
