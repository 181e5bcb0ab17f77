//! The JSON messages of the key-value service's gateway.
//!
//! The gateway writes 64-bit integers as strings, accepts them as strings or numbers, writes bytes in base64 and omits
//! fields whose value is zero.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serializer, de::Error as _};
use serde_json::{Map, Value, json};

use super::store::{KeyRange, KeyValue, StoreChange};

/// Bytes that are written in base64 in JSON.
#[derive(Clone, Debug, Default)]
pub(crate) struct Base64Bytes(pub(crate) Vec<u8>);

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Base64Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(&text).map(Base64Bytes).map_err(D::Error::custom)
    }
}

impl serde::Serialize for Base64Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

fn whole_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    match Value::deserialize(deserializer)? {
        Value::Number(number) => {
            number.as_i64().ok_or_else(|| D::Error::custom("not a 64-bit integer"))
        }
        Value::String(text) => text.parse().map_err(D::Error::custom),
        _ => Err(D::Error::custom("expected an integer or a string with one")),
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeCall {
    pub(crate) key: Base64Bytes,
    #[serde(alias = "rangeEnd")]
    pub(crate) range_end: Base64Bytes,
    #[serde(deserialize_with = "whole_number")]
    pub(crate) limit: i64,
    #[serde(alias = "keysOnly")]
    pub(crate) keys_only: bool,
    #[serde(alias = "countOnly")]
    pub(crate) count_only: bool,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct PutCall {
    pub(crate) key: Base64Bytes,
    pub(crate) value: Base64Bytes,
    #[serde(deserialize_with = "whole_number")]
    pub(crate) lease: i64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct DeleteCall {
    pub(crate) key: Base64Bytes,
    #[serde(alias = "rangeEnd")]
    pub(crate) range_end: Base64Bytes,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnCall {
    pub(crate) compare: Vec<CompareCall>,
    pub(crate) success: Vec<OperationCall>,
    pub(crate) failure: Vec<OperationCall>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub(crate) enum CompareResult {
    #[default]
    #[serde(rename = "EQUAL")]
    Equal,
    #[serde(rename = "GREATER")]
    Greater,
    #[serde(rename = "LESS")]
    Less,
    #[serde(rename = "NOT_EQUAL")]
    NotEqual,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub(crate) enum CompareTarget {
    #[default]
    #[serde(rename = "VERSION")]
    Version,
    #[serde(rename = "CREATE")]
    Create,
    #[serde(rename = "MOD")]
    Mod,
    #[serde(rename = "VALUE")]
    Value,
    #[serde(rename = "LEASE")]
    Lease,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct CompareCall {
    pub(crate) key: Base64Bytes,
    pub(crate) result: CompareResult,
    pub(crate) target: CompareTarget,
    #[serde(deserialize_with = "whole_number")]
    pub(crate) version: i64,
    #[serde(alias = "createRevision", deserialize_with = "whole_number")]
    pub(crate) create_revision: i64,
    #[serde(alias = "modRevision", deserialize_with = "whole_number")]
    pub(crate) mod_revision: i64,
    #[serde(deserialize_with = "whole_number")]
    pub(crate) lease: i64,
    pub(crate) value: Base64Bytes,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) enum OperationCall {
    #[serde(alias = "requestRange", rename = "request_range")]
    Range(RangeCall),
    #[serde(alias = "requestPut", rename = "request_put")]
    Put(PutCall),
    #[serde(alias = "requestDeleteRange", rename = "request_delete_range")]
    Delete(DeleteCall),
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseCall {
    #[serde(rename = "ID", deserialize_with = "whole_number")]
    pub(crate) id: i64,
    #[serde(rename = "TTL", deserialize_with = "whole_number")]
    pub(crate) ttl: i64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchCall {
    #[serde(alias = "createRequest")]
    pub(crate) create_request: WatchRange,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchRange {
    pub(crate) key: Base64Bytes,
    #[serde(alias = "rangeEnd")]
    pub(crate) range_end: Base64Bytes,
    #[serde(alias = "startRevision", deserialize_with = "whole_number")]
    pub(crate) start_revision: i64,
}

impl From<RangeCall> for KeyRange {
    fn from(call: RangeCall) -> KeyRange {
        KeyRange { key: call.key.0, end: call.range_end.0 }
    }
}

impl From<DeleteCall> for KeyRange {
    fn from(call: DeleteCall) -> KeyRange {
        KeyRange { key: call.key.0, end: call.range_end.0 }
    }
}

impl From<WatchRange> for KeyRange {
    fn from(call: WatchRange) -> KeyRange {
        KeyRange { key: call.key.0, end: call.range_end.0 }
    }
}

/// Returns the header of a response at `revision`.
pub(crate) fn header(revision: u64) -> Value {
    json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": revision.to_string(),
        "raft_term": "1",
    })
}

/// Returns the message of a key with its versions, and with its value unless `keys_only` is set.
pub(crate) fn key_value(entry: &KeyValue, keys_only: bool) -> Value {
    let mut fields = Map::new();
    fields.insert("key".into(), STANDARD.encode(&entry.key).into());
    let numbers = [
        ("create_revision", entry.create_revision as i64),
        ("mod_revision", entry.mod_revision as i64),
        ("version", entry.version as i64),
    ];
    for (name, number) in numbers {
        if number != 0 {
            fields.insert(name.into(), number.to_string().into());
        }
    }
    if !keys_only && !entry.value.is_empty() {
        fields.insert("value".into(), STANDARD.encode(&entry.value).into());
    }
    if entry.lease != 0 {
        fields.insert("lease".into(), entry.lease.to_string().into());
    }
    Value::Object(fields)
}

/// Returns the message of a change in a watch. A write has no type, because `PUT` is the zero value of the field.
pub(crate) fn change(change: &StoreChange) -> Value {
    let entry = key_value(&change.entry, false);
    if change.removed { json!({ "type": "DELETE", "kv": entry }) } else { json!({ "kv": entry }) }
}
