//! The streamed answer to one request.

use std::{
    future::{Future, pending},
    io,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::{Stream, stream};
use godwitroad_base::BuildName;
use serde_json::{Value, json};
use tokio::sync::{oneshot, watch};

use super::{
    AnswerFault, request::EngineRequest, slots::QueuePosition, state::EngineState, text::token_text,
};
use crate::{BLOCK_BYTES, block::block_hashes};

/// The number of prompt bytes that count as one token, in line with the estimate of about 2,000 tokens per block.
const BYTES_PER_TOKEN: usize = 4;

enum AnswerStep {
    Wait(oneshot::Receiver<()>),
    Prefill,
    Token(u64),
    Done,
    Closed,
}

/// One request in an engine; dropping it frees its slot or removes it from the queue.
pub(crate) struct AnswerJob {
    state: Arc<EngineState>,
    position: QueuePosition,
    incarnation_changes: watch::Receiver<u64>,
    incarnation: u64,
    prompt: Vec<u8>,
    chain: Vec<u128>,
    id: String,
    model: String,
    version: String,
    build: Option<BuildName>,
    first_token: u64,
    total_tokens: u64,
    fault: AnswerFault,
    remaining_sends: u32,
    finished: bool,
    step: AnswerStep,
}

impl AnswerJob {
    /// Queues a request and returns its job.
    pub(crate) fn new(
        state: Arc<EngineState>,
        request: EngineRequest,
        id: String,
        version: String,
        fault: AnswerFault,
    ) -> AnswerJob {
        let prompt = request.prompt_bytes();
        let chain = block_hashes(&request.cache_salt, &prompt);
        let total_tokens = request.answer_tokens(state.settings.default_tokens);
        let tokens = (prompt.len() / BYTES_PER_TOKEN) as u64;
        let incarnation_changes = state.subscribe();
        let incarnation = *incarnation_changes.borrow();
        let now = state.now();
        let mut core = state.lock();
        core.work.taken += 1;
        let build = core.build.clone();
        let (position, receiver) = core.slots.enqueue(now, request.priority, tokens);
        drop(core);
        AnswerJob {
            position,
            incarnation_changes,
            incarnation,
            prompt,
            chain,
            id: if fault == AnswerFault::WrongId { format!("other-{id}") } else { id },
            model: request.model,
            version,
            build,
            first_token: request.resume.map_or(0, |resume| resume.tokens),
            total_tokens,
            fault,
            remaining_sends: if fault == AnswerFault::Twice { 2 } else { 1 },
            finished: false,
            step: AnswerStep::Wait(receiver),
            state,
        }
    }

    /// Returns the server-sent events of the answer.
    pub(crate) fn events(self) -> impl Stream<Item = io::Result<Bytes>> {
        stream::unfold(self, AnswerJob::next)
    }

    async fn next(mut self) -> Option<(io::Result<Bytes>, AnswerJob)> {
        loop {
            match std::mem::replace(&mut self.step, AnswerStep::Closed) {
                AnswerStep::Wait(receiver) => {
                    if !self.run_unless_restarted(receiver).await {
                        return Some((Err(connection_error()), self));
                    }
                    self.step = AnswerStep::Prefill;
                }
                AnswerStep::Prefill => {
                    if !self.prefill().await {
                        return Some((Err(connection_error()), self));
                    }
                    self.step = AnswerStep::Token(self.first_token);
                }
                AnswerStep::Token(index) if index >= self.total_tokens => {
                    self.remaining_sends -= 1;
                    self.step = AnswerStep::Done;
                    if self.remaining_sends > 0 {
                        self.step = AnswerStep::Token(self.first_token);
                    } else {
                        self.finished = true;
                    }
                    return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), self));
                }
                AnswerStep::Token(index) => return self.send_token(index).await,
                AnswerStep::Done | AnswerStep::Closed => return None,
            }
        }
    }

    async fn prefill(&mut self) -> bool {
        let cached = self.state.lock().cache.cached_prefix_len(&self.chain);
        let uncached = (self.chain.len() - cached) as u64;
        let per_block = self.state.settings.prefill_per_block.as_ms();
        // The incomplete last block is never cached; its cost is proportional to its length.
        let partial_block_ms =
            (self.prompt.len() % BLOCK_BYTES) as u64 * per_block / BLOCK_BYTES as u64;
        let time = godwitroad_base::ClockSpan::from_ms(uncached * per_block + partial_block_ms);
        let time = self.state.apply_slow_factor(time);
        if !self.sleep_unless_restarted(time).await {
            return false;
        }
        let now = self.state.now();
        let mut core = self.state.lock();
        core.work.computed_blocks += uncached;
        core.work.cached_blocks += cached as u64;
        let events = core.cache.store(&self.chain);
        let mut lose_events = core.faults.lose_events;
        core.feed.push(now, events, &mut lose_events);
        core.faults.lose_events = lose_events;
        true
    }

    async fn send_token(mut self, index: u64) -> Option<(io::Result<Bytes>, AnswerJob)> {
        let sent = index - self.first_token;
        match self.fault {
            AnswerFault::Die { after_tokens } if sent >= after_tokens => {
                // The web framework flushes buffered tokens only when the stream is pending.
                tokio::task::yield_now().await;
                return Some((Err(connection_error()), self));
            }
            AnswerFault::Truncate { after_tokens } if sent >= after_tokens => return None,
            AnswerFault::Stall { after_tokens } if sent >= after_tokens => {
                self.run_unless_restarted(pending::<()>()).await;
                return Some((Err(connection_error()), self));
            }
            _ => {}
        }
        let time = self.state.apply_slow_factor(self.state.settings.token_time);
        if !self.sleep_unless_restarted(time).await {
            return Some((Err(connection_error()), self));
        }
        self.state.lock().work.tokens += 1;
        let event = self.token_event(index);
        self.step = AnswerStep::Token(index + 1);
        Some((Ok(Bytes::from(format!("data: {event}\n\n"))), self))
    }

    fn token_event(&self, index: u64) -> Value {
        let is_last = index + 1 == self.total_tokens;
        let mut event = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "version": self.version,
            "incarnation": self.incarnation,
            "token_index": index,
            "choices": [{
                "index": 0,
                "delta": { "content": token_text(&self.prompt, index) },
                "finish_reason": is_last.then_some("length"),
            }],
        });
        if let Some(build) = &self.build {
            event["build"] = json!(build);
        }
        event
    }

    // Runs `work` and returns true, or returns false as soon as the engine restarts.
    async fn run_unless_restarted<T>(&mut self, work: impl Future<Output = T>) -> bool {
        tokio::select! {
            biased;
            _ = self.incarnation_changes.wait_for(|incarnation| *incarnation != self.incarnation) => false,
            _ = work => true,
        }
    }

    async fn sleep_unless_restarted(&mut self, time: Duration) -> bool {
        // The timer has a resolution of one millisecond, so a sleep of zero would still wait.
        if time.is_zero() {
            return *self.incarnation_changes.borrow() == self.incarnation;
        }
        self.run_unless_restarted(actix_rt::time::sleep(time)).await
    }
}

impl Drop for AnswerJob {
    fn drop(&mut self) {
        // A restart has already discarded the slots and the queue.
        if self.state.incarnation() != self.incarnation {
            self.state.lock().work.cut += 1;
            return;
        }
        let now = self.state.now();
        let mut core = self.state.lock();
        core.slots.release(now, self.position);
        if self.finished {
            core.work.finished += 1;
        } else {
            core.work.cut += 1;
        }
    }
}

/// Returns the error that makes the web framework close the connection.
fn connection_error() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionAborted)
}
