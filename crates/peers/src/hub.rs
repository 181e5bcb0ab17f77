//! The links from one router to its peers.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use godwitroad_base::VmName;
use tokio::{runtime::Handle, task::JoinHandle};

use crate::{
    counters::{LinkScope, PeerCounters},
    link::{LinkSender, scope_of},
    queue::MessageQueue,
    settings::{PeerAddress, PeerSettings},
    wire::PeerPayload,
};

struct OpenLink<M> {
    peer: PeerAddress,
    queue: Arc<MessageQueue<M>>,
    task: JoinHandle<()>,
}

impl<M> Drop for OpenLink<M> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The sending side of all links of one router. Sending never blocks.
pub struct PeerHub<M> {
    settings: Arc<PeerSettings>,
    runtime: Handle,
    links: Mutex<BTreeMap<VmName, OpenLink<M>>>,
    counters: Arc<PeerCounters>,
}

impl<M: PeerPayload> PeerHub<M> {
    /// Creates a hub without peers; the tasks of its links will run on `runtime`.
    pub fn new(settings: PeerSettings, runtime: Handle) -> PeerHub<M> {
        PeerHub {
            settings: Arc::new(settings),
            runtime,
            links: Mutex::default(),
            counters: Arc::default(),
        }
    }

    /// Opens links to new peers, and closes the links to peers that were removed or have another address.
    pub fn set_peers(&self, peers: Vec<PeerAddress>) {
        let mut links = self.lock();
        let listed: BTreeMap<_, _> =
            peers.into_iter().map(|peer| (peer.vm.clone(), peer)).collect();
        links.retain(|vm, link| listed.get(vm) == Some(&link.peer));
        for (vm, peer) in listed {
            if vm != self.settings.node.vm && !links.contains_key(&vm) {
                links.insert(vm, self.open(peer));
            }
        }
    }

    /// Queues a message for a peer.
    ///
    /// If the peer is unknown, the message is counted as dropped. If the queue is full, its oldest message is.
    pub fn send(&self, to: &VmName, message: M) {
        let links = self.lock();
        let Some(link) = links.get(to) else {
            self.counters.update(message.kind(), LinkScope::OwnRegion, |row| row.dropped += 1);
            return;
        };
        if let Some(dropped) = link.queue.push(message) {
            let scope = scope_of(&self.settings, &link.peer.region);
            self.counters.update(dropped.0.kind(), scope, |row| row.dropped += 1);
        }
    }

    /// Returns the counters of the links; a [`PeerServer`](crate::PeerServer) can share them.
    pub fn counters(&self) -> Arc<PeerCounters> {
        self.counters.clone()
    }

    fn open(&self, peer: PeerAddress) -> OpenLink<M> {
        let queue = Arc::new(MessageQueue::new(self.settings.queue_capacity));
        let sender = LinkSender {
            settings: self.settings.clone(),
            peer: peer.clone(),
            queue: queue.clone(),
            counters: self.counters.clone(),
        };
        OpenLink { peer, queue, task: self.runtime.spawn(sender.run()) }
    }

    /// Locks the links. A poisoned lock stays usable, because no code panics while it holds the lock.
    fn lock(&self) -> MutexGuard<'_, BTreeMap<VmName, OpenLink<M>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<M> fmt::Debug for PeerHub<M> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("PeerHub").field("node", &self.settings.node).finish_non_exhaustive()
    }
}
