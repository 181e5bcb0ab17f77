//! The committed outputs of the example programs and the schema are current.

#[path = "../examples/cascade.rs"]
mod cascade;
#[path = "../examples/hanbit.rs"]
mod hanbit;

use godwitroad_config::{ConfigDocument, check, document_text, parse, schema_text};
use yare::parameterized;

// Guards against examples that the checks refuse, and against committed output that the program no longer prints.
#[parameterized(
    cascade = { cascade::document(), include_str!("../examples/cascade.json") },
    hanbit = { hanbit::document(), include_str!("../examples/hanbit.json") },
)]
fn example_is_current(document: ConfigDocument, committed: &str) {
    assert_eq!(check(&document), vec![]);
    assert_eq!(document_text(&document), committed);
    assert_eq!(parse(committed.as_bytes()).unwrap(), document);
}

// Guards against a schema that describes an earlier document.
#[test]
fn schema_is_current() {
    assert_eq!(schema_text(), include_str!("../schema.json"), "run the example `schema`");
}
