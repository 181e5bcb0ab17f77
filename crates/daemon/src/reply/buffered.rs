//! An answer assembled from the engine's stream, for a caller that requested a non-streaming answer.

use std::collections::BTreeMap;

use actix_web::HttpResponse;
use godwitroad_router::{CallerError, CallerReply, ErrorKind, RunOutcome};
use serde_json::{Map, Value, json};

use super::{CallerLink, stream_lost};
use crate::intake::EnginePath;

/// The maximum size of an answer that is assembled in memory.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// The parts of an answer received so far.
#[derive(Debug)]
pub(super) struct BufferedAnswer {
    path: EnginePath,
    model: Value,
    usage: Option<Value>,
    choices: BTreeMap<u64, ChoiceText>,
    bytes: usize,
}

#[derive(Debug, Default)]
struct ChoiceText {
    text: String,
    finish_reason: Value,
}

impl BufferedAnswer {
    pub(super) fn new(path: EnginePath) -> BufferedAnswer {
        let choices = BTreeMap::new();
        BufferedAnswer { path, model: Value::Null, usage: None, choices, bytes: 0 }
    }

    /// Collects the answer to its end.
    pub(super) async fn collect(
        mut self,
        mut link: CallerLink,
        first: CallerReply,
    ) -> HttpResponse {
        let mut next = Some(first);
        loop {
            match next {
                Some(CallerReply::Event { data, .. }) => {
                    link.report_drained(data.len());
                    self.bytes += data.len();
                    if self.bytes > MAX_ANSWER_BYTES || self.add_event(&data).is_none() {
                        return link.error_response(&malformed_answer());
                    }
                }
                Some(CallerReply::End) => return self.into_response(&link),
                Some(CallerReply::Failed(error)) => return link.error_response(&error),
                Some(CallerReply::Header { .. }) => {}
                Some(CallerReply::Data(_)) => return link.error_response(&malformed_answer()),
                None => return link.error_response(&stream_lost()),
            }
            next = link.next().await;
        }
    }

    fn add_event(&mut self, data: &str) -> Option<()> {
        let mut event: Value = serde_json::from_str(data).ok()?;
        if self.model.is_null() {
            self.model = event["model"].take();
        }
        if let Some(usage) = event.get_mut("usage").filter(|usage| !usage.is_null()) {
            self.usage = Some(usage.take());
        }
        for choice in event.get_mut("choices").and_then(Value::as_array_mut).into_iter().flatten() {
            let index = choice.get("index").and_then(Value::as_u64).unwrap_or(0);
            let entry = self.choices.entry(index).or_default();
            let text = choice.get("text").or_else(|| choice.get("delta")?.get("content"));
            if let Some(text) = text.and_then(Value::as_str) {
                entry.text.push_str(text);
            }
            if let Some(reason) = choice.get_mut("finish_reason").filter(|value| !value.is_null()) {
                entry.finish_reason = reason.take();
            }
        }
        Some(())
    }

    fn into_response(self, link: &CallerLink) -> HttpResponse {
        let mut response = HttpResponse::Ok();
        link.insert_request_id(&mut response);
        let path = self.path;
        let choices: Vec<Value> = self
            .choices
            .into_iter()
            .map(|(index, choice)| match path {
                EnginePath::Chat => json!({
                    "index": index,
                    "message": {"role": "assistant", "content": choice.text},
                    "finish_reason": choice.finish_reason,
                }),
                EnginePath::Text => json!({
                    "index": index,
                    "text": choice.text,
                    "finish_reason": choice.finish_reason,
                }),
            })
            .collect();
        let object = match path {
            EnginePath::Chat => "chat.completion",
            EnginePath::Text => "text_completion",
        };
        let mut body = Map::new();
        body.insert("id".to_string(), json!(link.id().map(|id| id.to_string())));
        body.insert("object".to_string(), json!(object));
        body.insert("model".to_string(), self.model);
        body.insert("choices".to_string(), Value::Array(choices));
        if let Some(usage) = self.usage {
            body.insert("usage".to_string(), usage);
        }
        response.json(body)
    }
}

fn malformed_answer() -> CallerError {
    CallerError {
        kind: ErrorKind::TargetFailed,
        outcome: RunOutcome::Unknown,
        retry_after: None,
        message: "the engine's answer can't be put together".to_string(),
    }
}
