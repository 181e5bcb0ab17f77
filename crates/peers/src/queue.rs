//! The bounded queue of messages to one peer.
//!
//! A peer that is slow or gone must not hold memory or block the router's decisions. The oldest message is dropped
//! first, because the next period's message replaces what it said.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tokio::sync::Notify;

/// The message that a full queue dropped to make room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueDrop<M>(pub M);

/// A bounded queue between the router's decisions and one link.
#[derive(Debug)]
pub struct MessageQueue<M> {
    limit: usize,
    waiting: Mutex<VecDeque<M>>,
    filled: Notify,
}

impl<M> MessageQueue<M> {
    /// Returns an empty queue for at most `limit` messages, at least one.
    pub fn new(limit: usize) -> MessageQueue<M> {
        MessageQueue {
            limit: limit.max(1),
            waiting: Mutex::new(VecDeque::new()),
            filled: Notify::new(),
        }
    }

    /// Adds a message and returns the oldest one if it had to go.
    pub fn push(&self, message: M) -> Option<QueueDrop<M>> {
        let mut waiting = self.lock();
        let dropped = (waiting.len() >= self.limit).then(|| waiting.pop_front()).flatten();
        waiting.push_back(message);
        drop(waiting);
        self.filled.notify_one();
        dropped.map(QueueDrop)
    }

    /// Waits for messages and takes at most `limit` of them, oldest first.
    pub async fn take(&self, limit: usize) -> Vec<M> {
        loop {
            let batch = self.take_now(limit);
            if !batch.is_empty() {
                return batch;
            }
            self.filled.notified().await;
        }
    }

    /// Takes at most `limit` of the messages that wait, oldest first.
    pub fn take_now(&self, limit: usize) -> Vec<M> {
        let mut waiting = self.lock();
        let count = limit.min(waiting.len());
        waiting.drain(..count).collect()
    }

    /// No code panics while it holds the lock, so that a poisoned lock stays usable.
    fn lock(&self) -> MutexGuard<'_, VecDeque<M>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
