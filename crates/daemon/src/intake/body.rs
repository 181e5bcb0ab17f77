//! The JSON body of a request to a model engine.

use bytes::Bytes;
use godwitroad_base::ModelName;
use godwitroad_config::PriorityClass;
use godwitroad_router::{RequestArrival, ResumePoint};
use serde::ser::{Serialize, SerializeMap, Serializer};
use serde_json::{Map, Value, json};

use super::{CallerKey, Result, invalid};

/// The fields that only the router may set; they are removed from what callers send.
const ROUTER_FIELDS: [&str; 4] = ["stream", "cache_salt", "priority", "resume"];

/// The maximum length of a model name in bytes.
const MAX_MODEL_BYTES: usize = 256;

/// The API endpoints of model engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EnginePath {
    /// Chat completions: the prompt is a list of messages.
    Chat,
    /// Text completions: the prompt is one text.
    Text,
}

impl EnginePath {
    /// Returns the endpoint of a request path, or `None` if the path belongs to a plain service.
    pub fn of(path: &str) -> Option<EnginePath> {
        match path {
            "/v1/chat/completions" => Some(EnginePath::Chat),
            "/v1/completions" => Some(EnginePath::Text),
            _ => None,
        }
    }

    /// Returns the path of the endpoint at the engine.
    pub fn as_str(self) -> &'static str {
        match self {
            EnginePath::Chat => "/v1/chat/completions",
            EnginePath::Text => "/v1/completions",
        }
    }
}

/// The body of a request to an engine, without the fields that the router sets.
#[derive(Debug)]
pub struct EngineBody {
    /// The endpoint.
    pub path: EnginePath,
    fields: Map<String, Value>,
}

/// The fields that the router sets for one attempt.
#[derive(Clone, Copy, Debug)]
pub struct EngineOverrides<'a> {
    /// The salt of the engine's prefix cache; different salts do not share cached blocks.
    pub cache_salt: &'a str,
    /// The priority in the engine's queue.
    pub priority: PriorityClass,
    /// The tokens generated so far, if the attempt resumes an interrupted stream.
    pub resume: Option<&'a ResumePoint>,
}

impl EngineBody {
    /// Returns a body without fields, for a caller that reconnects to its stream.
    pub(super) fn empty(path: EnginePath) -> EngineBody {
        EngineBody { path, fields: Map::new() }
    }

    /// Parses a body and fills in the fields of `arrival` that the decision state needs.
    pub(super) fn read(
        path: EnginePath,
        body: &[u8],
        key: Option<&CallerKey>,
        arrival: &mut RequestArrival,
    ) -> Result<EngineBody> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| invalid(format!("the body isn't JSON: {error}")))?;
        let Value::Object(mut fields) = value else {
            return Err(invalid("the body must be a JSON object"));
        };
        if let Some(key) = key {
            fields.retain(|name, field| !key.occurs_in(name) && key.remove_from_json(field));
        }
        arrival.model = Some(read_model(&fields)?);
        arrival.prompt = read_prompt(path, &fields)?.into();
        arrival.max_tokens = read_max_tokens(&fields)?;
        arrival.stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(invalid("`stream` must be true or false")),
        };
        fields.retain(|name, _| !ROUTER_FIELDS.contains(&name.as_str()));
        Ok(EngineBody { path, fields })
    }

    /// Returns the body for one attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the fields cannot be serialized, which does not happen for a parsed body.
    pub fn encode(&self, overrides: EngineOverrides<'_>) -> serde_json::Result<Bytes> {
        serde_json::to_vec(&EncodedBody { body: self, overrides }).map(Bytes::from)
    }
}

struct EncodedBody<'a> {
    body: &'a EngineBody,
    overrides: EngineOverrides<'a>,
}

impl Serialize for EncodedBody<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        for (name, field) in &self.body.fields {
            map.serialize_entry(name, field)?;
        }
        map.serialize_entry("stream", &true)?;
        map.serialize_entry("cache_salt", self.overrides.cache_salt)?;
        map.serialize_entry("priority", &engine_priority(self.overrides.priority))?;
        if let Some(resume) = self.overrides.resume {
            map.serialize_entry(
                "resume",
                &json!({"tokens": resume.tokens, "text": &*resume.text}),
            )?;
        }
        map.end()
    }
}

fn engine_priority(class: PriorityClass) -> u8 {
    match class {
        PriorityClass::Interactive => 0,
        PriorityClass::Batch => 1,
        PriorityClass::Overnight => 2,
    }
}

fn read_model(fields: &Map<String, Value>) -> Result<ModelName> {
    let name = fields.get("model").and_then(Value::as_str);
    let name = name.filter(|name| (1..=MAX_MODEL_BYTES).contains(&name.len()));
    name.map(ModelName::from).ok_or_else(|| invalid("`model` must name a model"))
}

fn read_max_tokens(fields: &Map<String, Value>) -> Result<Option<u64>> {
    let given = fields.get("max_completion_tokens").or_else(|| fields.get("max_tokens"));
    match given {
        None | Some(Value::Null) => Ok(None),
        Some(value) => value
            .as_u64()
            .filter(|&tokens| tokens > 0)
            .map(Some)
            .ok_or_else(|| invalid("`max_tokens` must be a whole number above zero")),
    }
}

/// Returns the prompt in the byte format of section 5.1 of the design page.
fn read_prompt(path: EnginePath, fields: &Map<String, Value>) -> Result<Vec<u8>> {
    match path {
        EnginePath::Text => {
            let prompt = fields.get("prompt").and_then(Value::as_str);
            let prompt = prompt.ok_or_else(|| invalid("`prompt` must be text"))?;
            Ok(prompt.as_bytes().to_vec())
        }
        EnginePath::Chat => {
            let messages = fields.get("messages").and_then(Value::as_array);
            let messages = messages
                .filter(|messages| !messages.is_empty())
                .ok_or_else(|| invalid("`messages` must be a list with at least one message"))?;
            let mut prompt = Vec::new();
            for (index, message) in messages.iter().enumerate() {
                append_message(&mut prompt, message).ok_or_else(|| {
                    invalid(format!("`messages[{index}]` needs role and content"))
                })?;
            }
            Ok(prompt)
        }
    }
}

fn append_message(prompt: &mut Vec<u8>, message: &Value) -> Option<()> {
    prompt.extend_from_slice(message.get("role")?.as_str()?.as_bytes());
    prompt.push(b'\n');
    match message.get("content") {
        Some(Value::String(text)) => prompt.extend_from_slice(text.as_bytes()),
        // Multi-part content: the text parts in order; the engine reads other parts from the body.
        Some(Value::Array(parts)) => {
            for part in parts {
                let text = part.get("text").and_then(Value::as_str);
                prompt.extend_from_slice(text.unwrap_or("").as_bytes());
            }
        }
        // A message that only calls tools has no content.
        None | Some(Value::Null) => {}
        Some(_) => return None,
    }
    prompt.push(b'\n');
    Some(())
}
