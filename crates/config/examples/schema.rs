//! Prints the JSON Schema of the configuration document.
//!
//! Run it after a change of the document's types: `cargo run -p godwitroad-config --example schema > crates/config/schema.json`.

fn main() {
    print!("{}", godwitroad_config::schema_text());
}
