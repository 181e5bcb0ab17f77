//! The streamed response to a watch: one JSON message per line.

use std::{collections::VecDeque, io, sync::Arc};

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::{
    schema,
    server::PlatformState,
    store::{KeyRange, StoreError},
};

struct WatchState {
    platform: Arc<PlatformState>,
    range: KeyRange,
    next_revision: u64,
    messages: VecDeque<Value>,
    ended: bool,
    latest_revision: watch::Receiver<u64>,
}

/// Returns the messages of a watch on `range` from revision `first` on; zero starts after the current revision.
pub(crate) fn stream_changes(
    platform: Arc<PlatformState>,
    range: KeyRange,
    first: u64,
) -> impl Stream<Item = io::Result<Bytes>> {
    let latest_revision = platform.subscribe();
    let revision = platform.revision();
    let next_revision = if first == 0 { revision + 1 } else { first };
    let created = json!({ "result": { "header": schema::header(revision), "created": true } });
    let messages = VecDeque::from([created]);
    let state =
        WatchState { platform, range, next_revision, messages, ended: false, latest_revision };
    stream::unfold(state, next_message)
}

async fn next_message(mut state: WatchState) -> Option<(io::Result<Bytes>, WatchState)> {
    loop {
        if state.platform.is_down() {
            return None;
        }
        if let Some(message) = state.messages.pop_front() {
            return Some((Ok(Bytes::from(format!("{message}\n"))), state));
        }
        if state.ended {
            return None;
        }
        state.latest_revision.mark_unchanged();
        state.collect_changes();
        if state.messages.is_empty() && state.latest_revision.changed().await.is_err() {
            return None;
        }
    }
}

impl WatchState {
    fn collect_changes(&mut self) {
        let (revision, changes) = self.platform.changes(&self.range, self.next_revision);
        let header = schema::header(revision);
        match changes {
            Ok(changes) if changes.is_empty() => {}
            Ok(changes) => {
                let events: Vec<Value> = changes.iter().map(schema::change).collect();
                self.messages
                    .push_back(json!({ "result": { "header": header, "events": events } }));
            }
            Err(StoreError::Compacted) => {
                // The first revision from which the watch can be repeated.
                let compacted = (self.platform.compacted() + 1).to_string();
                self.messages.push_back(json!({
                    "result": { "header": header, "canceled": true, "compact_revision": compacted },
                }));
                self.ended = true;
            }
            Err(_) => self.ended = true,
        }
        self.next_revision = self.next_revision.max(revision + 1);
    }
}
