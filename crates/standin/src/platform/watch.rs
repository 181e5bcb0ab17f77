//! The streamed answer of a watch.

use std::{collections::VecDeque, io, sync::Arc};

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::{
    server::PlatformState,
    shape,
    store::{KeyRange, StoreError},
};

struct WatchState {
    platform: Arc<PlatformState>,
    range: KeyRange,
    next: u64,
    lines: VecDeque<Value>,
    closed: bool,
    newest: watch::Receiver<u64>,
}

/// Returns the lines of a watch on `range` from revision `first` on; zero means from now on.
pub(crate) fn stream_changes(
    platform: Arc<PlatformState>,
    range: KeyRange,
    first: u64,
) -> impl Stream<Item = io::Result<Bytes>> {
    let newest = platform.subscribe();
    let revision = platform.revision();
    let next = if first == 0 { revision + 1 } else { first };
    let created = json!({ "result": { "header": shape::header(revision), "created": true } });
    let lines = VecDeque::from([created]);
    let state = WatchState { platform, range, next, lines, closed: false, newest };
    stream::unfold(state, next_line)
}

async fn next_line(mut state: WatchState) -> Option<(io::Result<Bytes>, WatchState)> {
    loop {
        if state.platform.is_down() {
            return None;
        }
        if let Some(line) = state.lines.pop_front() {
            return Some((Ok(Bytes::from(format!("{line}\n"))), state));
        }
        if state.closed {
            return None;
        }
        state.newest.mark_unchanged();
        state.collect();
        if state.lines.is_empty() && state.newest.changed().await.is_err() {
            return None;
        }
    }
}

impl WatchState {
    fn collect(&mut self) {
        let (revision, changes) = self.platform.changes(&self.range, self.next);
        let header = shape::header(revision);
        match changes {
            Ok(changes) if changes.is_empty() => {}
            Ok(changes) => {
                let events: Vec<Value> = changes.iter().map(shape::change).collect();
                self.lines.push_back(json!({ "result": { "header": header, "events": events } }));
            }
            Err(StoreError::Compacted) => {
                let compacted = (self.platform.compacted() + 1).to_string();
                self.lines.push_back(json!({
                    "result": { "header": header, "canceled": true, "compact_revision": compacted },
                }));
                self.closed = true;
            }
            Err(_) => self.closed = true,
        }
        self.next = self.next.max(revision + 1);
    }
}
