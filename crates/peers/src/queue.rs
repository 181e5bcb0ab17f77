//! The bounded queue of messages to one peer.
//!
//! A slow or unreachable peer must neither use unbounded memory nor block the router. If the queue is full, the oldest
//! message is dropped, because the message of a later period supersedes it.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tokio::sync::Notify;

/// The oldest message, which was dropped because the queue was full.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DroppedMessage<M>(pub M);

/// A bounded queue between the router's core and one link.
#[derive(Debug)]
pub struct MessageQueue<M> {
    capacity: usize,
    messages: Mutex<VecDeque<M>>,
    not_empty: Notify,
}

impl<M> MessageQueue<M> {
    /// Creates an empty queue for at most `capacity` messages; a capacity of zero is raised to one.
    pub fn new(capacity: usize) -> MessageQueue<M> {
        MessageQueue {
            capacity: capacity.max(1),
            messages: Mutex::new(VecDeque::new()),
            not_empty: Notify::new(),
        }
    }

    /// Adds a message, and returns the oldest one if it was dropped to make room.
    pub fn push(&self, message: M) -> Option<DroppedMessage<M>> {
        let mut messages = self.lock();
        let dropped = (messages.len() >= self.capacity).then(|| messages.pop_front()).flatten();
        messages.push_back(message);
        drop(messages);
        self.not_empty.notify_one();
        dropped.map(DroppedMessage)
    }

    /// Waits until the queue has messages, and removes at most `limit` of them, oldest first.
    pub async fn take(&self, limit: usize) -> Vec<M> {
        loop {
            let batch = self.try_take(limit);
            if !batch.is_empty() {
                return batch;
            }
            self.not_empty.notified().await;
        }
    }

    /// Removes at most `limit` messages without waiting, oldest first.
    pub fn try_take(&self, limit: usize) -> Vec<M> {
        let mut messages = self.lock();
        let count = limit.min(messages.len());
        messages.drain(..count).collect()
    }

    /// Locks the queue. A poisoned lock stays usable, because no code panics while it holds the lock.
    fn lock(&self) -> MutexGuard<'_, VecDeque<M>> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
