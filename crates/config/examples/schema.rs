//! Prints the JSON Schema of the configuration document.
//!
//! After a change of the types: `cargo run -p godwitroad-config --example schema > crates/config/schema.json`.

fn main() {
    print!("{}", godwitroad_config::schema_text());
}
