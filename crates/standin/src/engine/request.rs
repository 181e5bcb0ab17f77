//! The body of a completion request to an engine.

use serde::Deserialize;
use serde_json::Value;

/// The fields of a request that an engine uses.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct EngineRequest {
    pub(crate) model: String,
    prompt: Option<Value>,
    messages: Vec<ChatMessage>,
    pub(crate) max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    pub(crate) cache_salt: String,
    pub(crate) priority: u32,
    pub(crate) resume: Option<ResumeRequest>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct ChatMessage {
    role: String,
    content: Value,
}

/// The beginning of an answer, which another engine has already generated.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ResumeRequest {
    pub(crate) tokens: u64,
    pub(crate) text: String,
}

impl EngineRequest {
    /// Returns the prompt as the bytes that are split into blocks.
    pub(crate) fn prompt_bytes(&self) -> Vec<u8> {
        if let Some(prompt) = &self.prompt {
            return plain_text(prompt).into_bytes();
        }
        let parts = self.messages.iter();
        let parts =
            parts.map(|message| format!("{}\n{}\n", message.role, plain_text(&message.content)));
        parts.collect::<String>().into_bytes()
    }

    /// Returns the number of tokens of the complete answer, including resumed ones.
    pub(crate) fn answer_tokens(&self, default_tokens: u64) -> u64 {
        self.max_tokens.or(self.max_completion_tokens).unwrap_or(default_tokens)
    }
}

// Returns the text of a content: a string, or a list of parts, of which only those with text count.
fn plain_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().filter_map(|part| part.get("text")?.as_str()).collect(),
        _ => String::new(),
    }
}
