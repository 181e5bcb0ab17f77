//! Asks several peers for the same until one answers.

use std::{future::Future, time::Duration};

use actix_rt::spawn;
use godwitroad_forward::RelayPeer;
use tokio::{sync::mpsc::unbounded_channel, time::timeout};

/// The limit of peers that are asked.
const MAX_PEERS: usize = 3;

/// The time after which the next peer is asked beside one that hasn't answered.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Asks the first of some peers, one after the other, until one gives an answer. A peer that gives none for
/// [`HEDGE_DELAY`] doesn't hold up the next one. `ask` must end by itself.
pub(super) async fn ask_peers<T, F>(peers: &[RelayPeer], ask: impl Fn(RelayPeer) -> F) -> Option<T>
where
    T: 'static,
    F: Future<Output = Option<T>> + 'static,
{
    let (sender, mut receiver) = unbounded_channel();
    let mut unasked = peers.iter().take(MAX_PEERS);
    let mut pending = 0;
    loop {
        if let Some(peer) = unasked.next() {
            let (asked, sender) = (ask(peer.clone()), sender.clone());
            spawn(async move {
                // Nobody waits for it once another peer has answered.
                let _ = sender.send(asked.await);
            });
            pending += 1;
        } else if pending == 0 {
            return None;
        }
        let received = if unasked.len() > 0 {
            timeout(HEDGE_DELAY, receiver.recv()).await.ok().flatten()
        } else {
            receiver.recv().await
        };
        match received {
            Some(Some(answer)) => return Some(answer),
            Some(None) => pending -= 1,
            None => {}
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/hedge.rs"]
mod tests;
