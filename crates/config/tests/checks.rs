//! Tests of validation and parsing: each kind of error is reported with its path.

#[path = "../examples/hanbit.rs"]
mod hanbit;

use godwitroad_config::{ConfigDocument, KeyHash, ParseError, RouteAccess, check, parse};
use yare::parameterized;

type Edit = fn(&mut ConfigDocument);

// Guards against an error that is accepted, or that is reported with the wrong path.
#[parameterized(
    no_region = { |it| it.regions.clear(), "regions" },
    no_zone = { |it| it.regions[1].zones.clear(), "regions[1].zones" },
    zone_twice = { |it| it.regions[1].zones[0] = "busan-a".into(), "regions[1].zones[0]" },
    region_twice = { |it| it.regions[1].name = "kr-south".into(), "regions[1].name" },
    model_twice = { |it| it.models[1].name = "seal-verifier".into(), "models[1].name" },
    model_unserved = { |it| { it.services[0].models.pop(); }, "models[1].name" },
    version_empty = { |it| it.models[0].version.clear(), "models[0].version" },
    adapter_empty = { |it| it.models[1].adapter = Some(String::new()), "models[1].adapter" },
    model_unknown = { |it| it.services[0].models[1] = "gone".into(), "services[0].models[1]" },
    model_listed_twice = { |it| it.services[0].models.push("seal-verifier".into()), "services[0].models[2]" },
    engine_without_model = { |it| it.services[0].models.clear(), "services[0].models" },
    plain_with_model = { |it| it.services[1].models.push("seal-verifier".into()), "services[1].models" },
    service_twice = { |it| it.services[2].name = "prompt-keep".into(), "services[2].name" },
    no_target = { |it| it.services[1].targets.clear(), "services[1].targets" },
    target_twice = { |it| it.services[2].targets[0].name = "seal-busan-a-1".into(), "services[2].targets[0].name" },
    zone_unknown = { |it| it.services[0].targets[2].zone = "gone".into(), "services[0].targets[2].zone" },
    slots_zero = { |it| it.services[0].targets[2].slots = 0, "services[0].targets[2].slots" },
    address_with_host_name = { |it| it.services[0].targets[2].address = "host:80".into(), "services[0].targets[2].address" },
    address_port_zero = { |it| it.services[0].targets[2].address = "10.0.0.1:0".into(), "services[0].targets[2].address" },
    address_unspecified = { |it| it.services[0].targets[2].address = "0.0.0.0:80".into(), "services[0].targets[2].address" },
    address_twice = { |it| it.services[0].targets[2].address = "10.31.1.11:8000".into(), "services[0].targets[2].address" },
    account_twice = { |it| it.accounts[4].name = "ulju-foils".into(), "accounts[4].name" },
    account_name_empty = { |it| it.accounts[4].name = "".into(), "accounts[4].name" },
    account_name_invalid = { |it| it.accounts[4].name = "a b".into(), "accounts[4].name" },
    weight_zero = { |it| it.accounts[0].weight = 0, "accounts[0].weight" },
    rate_zero = { |it| it.accounts[0].rate.tokens_per_second = 0, "accounts[0].rate.tokens_per_second" },
    burst_zero = { |it| it.accounts[0].rate.burst_tokens = 0, "accounts[0].rate.burst_tokens" },
    key_twice = { |it| it.accounts[0].keys[1].name = "verify".into(), "accounts[0].keys[1].name" },
    hash_twice = { |it| it.accounts[1].keys[0].hash = it.accounts[0].keys[0].hash, "accounts[1].keys[0].hash" },
    hash_of_empty_secret = { |it| it.accounts[1].keys[0].hash = KeyHash::of(""), "accounts[1].keys[0].hash" },
    key_route_unknown = { |it| it.accounts[0].keys[1].routes[0] = "gone".into(), "accounts[0].keys[1].routes[0]" },
    route_twice = { |it| it.routes[3].name = "lookup".into(), "routes[3].name" },
    route_service_unknown = { |it| it.routes[1].service = "gone".into(), "routes[1].service" },
    route_deadline_zero = { |it| it.routes[1].deadline_ms = Default::default(), "routes[1].deadline_ms" },
    path_twice = { |it| it.routes[1].path = "/v1/".into(), "routes[1].path" },
    path_relative = { |it| it.routes[1].path = "prompts".into(), "routes[1].path" },
    path_query = { |it| it.routes[1].path = "/prompts?x".into(), "routes[1].path" },
    path_dots = { |it| it.routes[1].path = "/a/../b".into(), "routes[1].path" },
    path_reserved = { |it| it.routes[1].path = "/admin/status".into(), "routes[1].path" },
    retention_zero = { |it| it.fleet.claim_retention_ms = Default::default(), "fleet.claim_retention_ms" },
    body_zero = { |it| it.fleet.max_body_bytes = 0, "fleet.max_body_bytes" },
)]
fn error_is_found(edit: Edit, path: &str) {
    let mut document = hanbit::document();
    edit(&mut document);
    let errors = check(&document);
    assert!(errors.iter().any(|error| error.path == path), "{path} is not in {errors:#?}");
}

// Guards against validation that stops at the first error.
#[test]
fn all_errors_are_found_at_once() {
    let mut document = hanbit::document();
    document.accounts[0].weight = 0;
    document.routes[0].service = "gone".into();
    // A route that needs no key is valid and adds no error.
    document.routes[1].access = RouteAccess::Open;
    assert_eq!(check(&document).len(), 2);
}

// Guards against an error without a position, which an operator couldn't find in a long document.
#[parameterized(
    no_json = { "{\"routes\": [", "not JSON: EOF while parsing a list at line 1, column 12" },
    trailing = { "{} {}", "not JSON: trailing characters at line 1, column 4" },
    no_field = { "{\"routes\": [{\"name\": \"a\"}]}", "routes[0]: missing field `path` (line 1, column 25)" },
    wrong_type = { "{\"fleet\": {\"max_body_bytes\": \"1\"}}",
        "fleet.max_body_bytes: invalid type: string \"1\", expected u64 (line 1, column 32)" },
    list = { "{\"accounts\": [{\"name\": \"a\", \"rate\": [1, 2]}]}",
        "accounts[0].rate: expected an object, found a list" },
    whole = { "[]", "$: expected an object, found a list" },
)]
fn parse_error_has_a_position(text: &str, message: &str) {
    let error: ParseError = parse(text.as_bytes()).unwrap_err();
    assert_eq!(error.to_string(), message);
}
