//! Tests that the committed outputs of the example programs and the committed schema are up to date.

#[path = "../examples/cascade.rs"]
mod cascade;
#[path = "../examples/hanbit.rs"]
mod hanbit;

use godwitroad_config::{ConfigDocument, check, document_text, parse, schema_text};
use yare::parameterized;

// Guards against examples that are invalid, and against committed output that differs from what the program prints.
#[parameterized(
    cascade = { cascade::document(), include_str!("../examples/cascade.json") },
    hanbit = { hanbit::document(), include_str!("../examples/hanbit.json") },
)]
fn example_is_current(document: ConfigDocument, committed: &str) {
    assert_eq!(check(&document), vec![]);
    assert_eq!(document_text(&document), committed);
    assert_eq!(parse(committed.as_bytes()).unwrap(), document);
}

// Guards against a committed schema that is older than the types.
#[test]
fn schema_is_current() {
    assert_eq!(schema_text(), include_str!("../schema.json"), "run the example `schema`");
}
