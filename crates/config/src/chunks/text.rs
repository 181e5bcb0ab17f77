//! The document's JSON text in the parts between which it can be cut.
//!
//! The lists inside services and accounts are written entry by entry, so that a service with thousands of targets
//! can be cut and a change of one target leaves the other chunks alone.

use serde::Serialize;
use serde_json::Value;

use super::{ChunkBuilder, SplitError, TextPart};
use crate::ConfigDocument;

type Result = std::result::Result<(), SplitError>;

/// Writes `document` to `builder`, with each of the larger sections in chunks of its own.
pub(super) fn write(document: &ConfigDocument, builder: &mut ChunkBuilder) -> Result {
    let mut writer = TextWriter { builder };
    writer.part("fleet", "", None, format!("{{\"fleet\":{}", json(&document.fleet)))?;
    writer.list(("regions", "region"), &document.regions, |region| region.name.as_str())?;
    writer.list(("models", "model"), &document.models, |model| model.name.as_str())?;
    writer.builder.finish();
    writer.nested(
        ("services", "service", "targets"),
        &document.services,
        |service| service.name.as_str(),
        // Names of targets are unique over the document.
        |writer, service| {
            let targets = &service.targets;
            writer.items("target", targets, |target| (target.name.as_str(), true))
        },
    )?;
    writer.builder.finish();
    writer.list(("routes", "route"), &document.routes, |route| route.name.as_str())?;
    writer.builder.finish();
    writer.nested(
        ("accounts", "account", "keys"),
        &document.accounts,
        |account| account.name.as_str(),
        // Many accounts may use the same names of keys, and one of these would cut every account.
        |writer, account| writer.items("key", &account.keys, |key| (key.name.as_str(), false)),
    )?;
    writer.part("document", "", None, "}".into())
}

struct TextWriter<'a> {
    builder: &'a mut ChunkBuilder,
}

impl TextWriter<'_> {
    fn part(&mut self, kind: &'static str, name: &str, cut: Option<&str>, text: String) -> Result {
        self.builder.add(&TextPart { text, cut_name: cut, label: (kind, name) })
    }

    fn list<T: Serialize>(
        &mut self,
        (field, kind): (&'static str, &'static str),
        items: &[T],
        name_of: impl Fn(&T) -> &str,
    ) -> Result {
        self.part(field, "", None, format!(",\"{field}\":["))?;
        self.items(kind, items, |item| (name_of(item), true))?;
        self.part(field, "", None, "]".into())
    }

    fn items<T: Serialize>(
        &mut self,
        kind: &'static str,
        items: &[T],
        name_of: impl Fn(&T) -> (&str, bool),
    ) -> Result {
        for (index, item) in items.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            let (name, cuts) = name_of(item);
            self.part(kind, name, cuts.then_some(name), format!("{comma}{}", json(item)))?;
        }
        Ok(())
    }

    fn nested<T: Serialize>(
        &mut self,
        (field, kind, inner): (&'static str, &'static str, &'static str),
        items: &[T],
        name_of: impl Fn(&T) -> &str,
        write_inner: impl Fn(&mut Self, &T) -> Result,
    ) -> Result {
        self.part(field, "", None, format!(",\"{field}\":["))?;
        for (index, item) in items.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            let mut fields = serde_json::to_value(item).unwrap_or_default();
            if let Value::Object(fields) = &mut fields {
                fields.shift_remove(inner);
            }
            // An item has at least its name, so that a comma comes before the inner list.
            let fields = json(&fields);
            let open = fields.strip_suffix('}').unwrap_or(&fields);
            let name = name_of(item);
            let text = format!("{comma}{open},\"{inner}\":[");
            self.part(kind, name, Some(name), text)?;
            write_inner(self, item)?;
            self.part(kind, name, None, "]}".into())?;
        }
        self.part(field, "", None, "]".into())
    }
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("the document's types always have a JSON form")
}
