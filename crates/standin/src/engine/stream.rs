//! The streamed answer to one request.

use std::{
    future::{Future, pending},
    io,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde_json::{Value, json};
use tokio::sync::{oneshot, watch};

use super::{
    AnswerFault, request::EngineRequest, slots::QueuePlace, state::EngineState, text::token_text,
};
use crate::{BLOCK_BYTES, block::block_hashes};

/// The prompt bytes that count as one token, as in the estimate of about 2,000 tokens a piece.
const TOKEN_BYTES: usize = 4;

enum AnswerStep {
    Wait(oneshot::Receiver<()>),
    Prefill,
    Token(u64),
    Done,
    Closed,
}

/// One request in an engine; dropping it frees its slot or its place in the queue.
pub(crate) struct AnswerJob {
    state: Arc<EngineState>,
    place: QueuePlace,
    life: watch::Receiver<u64>,
    incarnation: u64,
    prompt: Vec<u8>,
    chain: Vec<u128>,
    id: String,
    model: String,
    version: String,
    first: u64,
    total: u64,
    fault: AnswerFault,
    rounds: u32,
    finished: bool,
    step: AnswerStep,
}

impl AnswerJob {
    /// Queues a request.
    pub(crate) fn new(
        state: Arc<EngineState>,
        request: EngineRequest,
        id: String,
        version: String,
        fault: AnswerFault,
    ) -> AnswerJob {
        let prompt = request.prompt_bytes();
        let chain = block_hashes(&request.cache_salt, &prompt);
        let total = request.answer_tokens(state.settings.default_tokens);
        let tokens = (prompt.len() / TOKEN_BYTES) as u64;
        let life = state.subscribe();
        let incarnation = *life.borrow();
        let now = state.now();
        let mut core = state.lock();
        core.work.taken += 1;
        let (place, receiver) = core.slots.join(now, request.priority, tokens);
        drop(core);
        AnswerJob {
            place,
            life,
            incarnation,
            prompt,
            chain,
            id: if fault == AnswerFault::WrongId { format!("other-{id}") } else { id },
            model: request.model,
            version,
            first: request.resume.map_or(0, |resume| resume.tokens),
            total,
            fault,
            rounds: if fault == AnswerFault::Twice { 2 } else { 1 },
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
                    if !self.alive(receiver).await {
                        return Some((Err(cut()), self));
                    }
                    self.step = AnswerStep::Prefill;
                }
                AnswerStep::Prefill => {
                    if !self.prefill().await {
                        return Some((Err(cut()), self));
                    }
                    self.step = AnswerStep::Token(self.first);
                }
                AnswerStep::Token(index) if index >= self.total => {
                    self.rounds -= 1;
                    self.step = AnswerStep::Done;
                    if self.rounds > 0 {
                        self.step = AnswerStep::Token(self.first);
                    } else {
                        self.finished = true;
                    }
                    return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), self));
                }
                AnswerStep::Token(index) => return self.token(index).await,
                AnswerStep::Done | AnswerStep::Closed => return None,
            }
        }
    }

    async fn prefill(&mut self) -> bool {
        let hit = self.state.lock().cache.hit(&self.chain);
        let missing = (self.chain.len() - hit) as u64;
        let per_piece = self.state.settings.prefill_per_block.as_ms();
        // The incomplete last piece is never cached and costs its part.
        let rest = (self.prompt.len() % BLOCK_BYTES) as u64 * per_piece / BLOCK_BYTES as u64;
        let time = godwitroad_base::ClockSpan::from_ms(missing * per_piece + rest);
        let time = self.state.stretch(time);
        if !self.pause(time).await {
            return false;
        }
        let now = self.state.now();
        let mut core = self.state.lock();
        core.work.computed_blocks += missing;
        core.work.cached_blocks += hit as u64;
        let events = core.cache.store(&self.chain);
        let mut lose = core.faults.lose_events;
        core.feed.push(now, events, &mut lose);
        core.faults.lose_events = lose;
        true
    }

    async fn token(mut self, index: u64) -> Option<(io::Result<Bytes>, AnswerJob)> {
        let sent = index - self.first;
        match self.fault {
            AnswerFault::Die { after_tokens } if sent >= after_tokens => {
                // The web framework writes buffered tokens only when the stream has nothing to give.
                tokio::task::yield_now().await;
                return Some((Err(cut()), self));
            }
            AnswerFault::Truncate { after_tokens } if sent >= after_tokens => return None,
            AnswerFault::Stall { after_tokens } if sent >= after_tokens => {
                self.alive(pending::<()>()).await;
                return Some((Err(cut()), self));
            }
            _ => {}
        }
        let time = self.state.stretch(self.state.settings.token_time);
        if !self.pause(time).await {
            return Some((Err(cut()), self));
        }
        self.state.lock().work.tokens += 1;
        let event = self.event(index);
        self.step = AnswerStep::Token(index + 1);
        Some((Ok(Bytes::from(format!("data: {event}\n\n"))), self))
    }

    fn event(&self, index: u64) -> Value {
        let is_last = index + 1 == self.total;
        json!({
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
        })
    }

    // Returns whether `work` ended before the engine restarted.
    async fn alive<T>(&mut self, work: impl Future<Output = T>) -> bool {
        tokio::select! {
            biased;
            _ = self.life.wait_for(|life| *life != self.incarnation) => false,
            _ = work => true,
        }
    }

    async fn pause(&mut self, time: Duration) -> bool {
        // A sleep of zero lasts until the timer's next millisecond.
        if time.is_zero() {
            return *self.life.borrow() == self.incarnation;
        }
        self.alive(actix_rt::time::sleep(time)).await
    }
}

impl Drop for AnswerJob {
    fn drop(&mut self) {
        // A restart has forgotten the request already.
        if self.state.incarnation() != self.incarnation {
            self.state.lock().work.cut += 1;
            return;
        }
        let now = self.state.now();
        let mut core = self.state.lock();
        core.slots.leave(now, self.place);
        if self.finished {
            core.work.finished += 1;
        } else {
            core.work.cut += 1;
        }
    }
}

/// Returns the error that breaks the connection.
fn cut() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionAborted)
}
