//! Serializing a document to JSON text in fragments between which it can be split.
//!
//! The targets of services and the keys of accounts are separate fragments. A service with thousands of targets can
//! therefore span several chunks, and a change of one target doesn't replace the other chunks.

use serde::Serialize;
use serde_json::Value;

use super::{ChunkBuilder, SplitError, TextFragment};
use crate::ConfigDocument;

type Result = std::result::Result<(), SplitError>;

/// Writes `document` to `builder`. The services, the routes and the accounts have chunks of their own.
pub(super) fn write(document: &ConfigDocument, builder: &mut ChunkBuilder) -> Result {
    let mut writer = TextWriter { builder };
    writer.write_fragment("fleet", "", None, format!("{{\"fleet\":{}", json(&document.fleet)))?;
    writer.write_list(("regions", "region"), &document.regions, |region| region.name.as_str())?;
    writer.write_list(("models", "model"), &document.models, |model| model.name.as_str())?;
    writer.builder.finish_chunk();
    writer.write_nested(
        ("services", "service", "targets"),
        &document.services,
        |service| service.name.as_str(),
        // Target names are unique in the document, so that they can serve as chunk boundaries.
        |writer, service| {
            let targets = &service.targets;
            writer.write_items("target", targets, |target| (target.name.as_str(), true))
        },
    )?;
    writer.builder.finish_chunk();
    writer.write_list(("routes", "route"), &document.routes, |route| route.name.as_str())?;
    writer.builder.finish_chunk();
    writer.write_nested(
        ("accounts", "account", "keys"),
        &document.accounts,
        |account| account.name.as_str(),
        // Key names are not chunk boundaries: many accounts may use the same key name, and if it marked a boundary,
        // every such account would start a new chunk.
        |writer, account| {
            writer.write_items("key", &account.keys, |key| (key.name.as_str(), false))
        },
    )?;
    writer.write_fragment("document", "", None, "}".into())
}

struct TextWriter<'a> {
    builder: &'a mut ChunkBuilder,
}

impl TextWriter<'_> {
    fn write_fragment(
        &mut self,
        kind: &'static str,
        name: &str,
        boundary_name: Option<&str>,
        text: String,
    ) -> Result {
        self.builder.add(&TextFragment { text, boundary_name, label: (kind, name) })
    }

    fn write_list<T: Serialize>(
        &mut self,
        (field, kind): (&'static str, &'static str),
        items: &[T],
        name_of: impl Fn(&T) -> &str,
    ) -> Result {
        self.write_fragment(field, "", None, format!(",\"{field}\":["))?;
        self.write_items(kind, items, |item| (name_of(item), true))?;
        self.write_fragment(field, "", None, "]".into())
    }

    fn write_items<T: Serialize>(
        &mut self,
        kind: &'static str,
        items: &[T],
        name_of: impl Fn(&T) -> (&str, bool),
    ) -> Result {
        for (index, item) in items.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            let (name, may_start_chunk) = name_of(item);
            self.write_fragment(
                kind,
                name,
                may_start_chunk.then_some(name),
                format!("{comma}{}", json(item)),
            )?;
        }
        Ok(())
    }

    fn write_nested<T: Serialize>(
        &mut self,
        (field, kind, nested_field): (&'static str, &'static str, &'static str),
        items: &[T],
        name_of: impl Fn(&T) -> &str,
        write_nested_items: impl Fn(&mut Self, &T) -> Result,
    ) -> Result {
        self.write_fragment(field, "", None, format!(",\"{field}\":["))?;
        for (index, item) in items.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            let mut fields = serde_json::to_value(item).unwrap_or_default();
            if let Value::Object(fields) = &mut fields {
                fields.shift_remove(nested_field);
            }
            // An item has at least its name, so that a comma is always needed before the nested list.
            let fields = json(&fields);
            let unclosed = fields.strip_suffix('}').unwrap_or(&fields);
            let name = name_of(item);
            let text = format!("{comma}{unclosed},\"{nested_field}\":[");
            self.write_fragment(kind, name, Some(name), text)?;
            write_nested_items(self, item)?;
            self.write_fragment(kind, name, None, "]}".into())?;
        }
        self.write_fragment(field, "", None, "]".into())
    }
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("the document's types can always be serialized to JSON")
}
