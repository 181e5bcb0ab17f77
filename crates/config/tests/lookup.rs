//! Tests of the lookup of routes by path and of keys by hash.

#[path = "../examples/hanbit.rs"]
mod hanbit;

use godwitroad_config::{KeyHash, KeyTable, RouteTable};
use yare::parameterized;

// Guards against a request that is sent to the service of another route.
#[parameterized(
    exact = { "/v1", Some("models") },
    below = { "/v1/chat/completions", Some("models") },
    partial_segment = { "/v10/models", None },
    longest = { "/registry/seals/7", Some("register") },
    shorter = { "/registry/sealstamp", Some("lookup") },
    trailing_slash = { "/registry/seals/", Some("register") },
    query = { "/registry?path=/registry/seals", Some("lookup") },
    root = { "/", None },
    relative = { "v1", None },
    empty = { "", None },
)]
fn route_of(path: &str, name: Option<&str>) {
    let table = RouteTable::new(&hanbit::document());
    assert_eq!(table.find(path).map(|route| route.name.as_str()), name);
}

// Guards against a key that is valid for another account, or on a route that it isn't bound to.
#[test]
fn key_is_bound_to_account_and_routes() {
    let table = KeyTable::new(&hanbit::document());
    assert_eq!(table.len(), 9);
    let grant = table.find(&KeyHash::of("example-secret-ulju-foils-register")).unwrap();
    assert_eq!((grant.account.as_str(), grant.key.as_str()), ("ulju-foils", "register"));
    assert!(grant.allows(&"register".into()) && !grant.allows(&"models".into()));
    assert!(table.find(&KeyHash::of("example-secret-unknown")).is_none());
}
