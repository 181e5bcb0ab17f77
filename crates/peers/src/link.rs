//! The sending side of the link to one peer.

use std::{sync::Arc, time::Duration};

use tarpc::{client, context, serde_transport, tokio_serde::formats::Bincode};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    backoff::RetryBackoff,
    counters::{LinkScope, PeerCounters},
    error::{PeerError, Result},
    handshake,
    queue::MessageQueue,
    server::frame_codec,
    settings::{PeerAddress, PeerSettings},
    wire::{PeerLinkClient, PeerPayload, WireBatch},
};

/// The bytes of a frame that are reserved for the encoding of the call around a batch.
const CALL_OVERHEAD_BYTES: usize = 1_024;

/// The bytes of the length field of each message in a frame.
const MESSAGE_OVERHEAD_BYTES: usize = 8;

/// An encoded batch, with the kind and size of each of its messages for the counters.
#[derive(Default)]
struct EncodedBatch {
    wire: WireBatch,
    kinds: Vec<(&'static str, u64)>,
    size: usize,
}

/// The state of the task that sends the messages of one link.
pub(crate) struct LinkSender<M> {
    pub(crate) settings: Arc<PeerSettings>,
    pub(crate) peer: PeerAddress,
    pub(crate) queue: Arc<MessageQueue<M>>,
    pub(crate) counters: Arc<PeerCounters>,
}

impl<M: PeerPayload> LinkSender<M> {
    /// Connects, delivers and reconnects until the task is aborted.
    pub(crate) async fn run(self) {
        let settings = &self.settings;
        // The node's tag and the peer's port give each pair of routers its own sequence of waits for the same seed.
        let seed = settings.seed ^ settings.node.tag() ^ u64::from(self.peer.address.port());
        let mut backoff = RetryBackoff::new(settings.min_backoff, settings.max_backoff, seed);
        loop {
            if let Ok(client) = self.connect().await {
                backoff.reset();
                self.deliver(client).await;
            }
            sleep(Duration::from_millis(backoff.next_wait().as_ms())).await;
        }
    }

    async fn connect(&self) -> Result<PeerLinkClient> {
        let limit = Duration::from_millis(self.settings.answer_timeout.as_ms());
        let connect = TcpStream::connect(self.peer.address);
        let mut stream = timeout(limit, connect).await.map_err(|_| PeerError::TimedOut)??;
        stream.set_nodelay(true)?;
        let authenticated = handshake::initiate(&mut stream, &self.settings).await?;
        if authenticated.node.vm != self.peer.vm {
            // The address has been reassigned to another VM, for which the messages are not intended.
            return Err(PeerError::Unauthenticated);
        }
        let framed = frame_codec(&self.settings).new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        Ok(PeerLinkClient::new(client::Config::default(), transport).spawn())
    }

    /// Delivers queued messages in batches until a delivery fails.
    async fn deliver(&self, client: PeerLinkClient) {
        loop {
            let messages = self.queue.take(self.settings.max_batch_messages).await;
            let mut batches = self.encode(&messages).into_iter();
            while let Some(batch) = batches.next() {
                let confirmed = self.deliver_batch(&client, batch).await;
                if !confirmed {
                    batches.for_each(|batch| self.record_delivery(&batch.kinds, false));
                    return;
                }
            }
        }
    }

    async fn deliver_batch(&self, client: &PeerLinkClient, batch: EncodedBatch) -> bool {
        let mut context = context::current();
        let limit = Duration::from_millis(self.settings.answer_timeout.as_ms());
        context.deadline = std::time::Instant::now() + limit;
        let confirmed = client.deliver(context, batch.wire).await.is_ok();
        self.record_delivery(&batch.kinds, confirmed);
        confirmed
    }

    fn record_delivery(&self, kinds: &[(&'static str, u64)], confirmed: bool) {
        for &(kind, bytes) in kinds {
            self.counters.update(kind, self.scope(), |row| {
                if confirmed {
                    row.sent += 1;
                    row.sent_bytes += bytes;
                } else {
                    row.unconfirmed += 1;
                }
            });
        }
    }

    /// Encodes messages into batches that fit into a frame.
    fn encode(&self, messages: &[M]) -> Vec<EncodedBatch> {
        let limit = self.settings.max_frame_bytes.saturating_sub(CALL_OVERHEAD_BYTES);
        let mut batches = Vec::new();
        let mut current = EncodedBatch::default();
        for message in messages {
            let mut bytes = Vec::new();
            let encoded = ciborium::into_writer(message, &mut bytes).is_ok();
            let size = bytes.len() + MESSAGE_OVERHEAD_BYTES;
            // A message that can't be encoded or doesn't fit into a frame would fail with every retry.
            if !encoded || size > limit {
                self.counters.update(message.kind(), self.scope(), |row| row.dropped += 1);
                continue;
            }
            if current.size + size > limit {
                batches.push(std::mem::take(&mut current));
            }
            current.size += size;
            current.kinds.push((message.kind(), bytes.len() as u64));
            current.wire.messages.push(bytes);
        }
        if !current.kinds.is_empty() {
            batches.push(current);
        }
        batches
    }

    fn scope(&self) -> LinkScope {
        scope_of(&self.settings, &self.peer.region)
    }
}

/// Returns the scope of a peer in `region`.
pub(crate) fn scope_of(settings: &PeerSettings, region: &godwitroad_base::RegionName) -> LinkScope {
    if *region == settings.region { LinkScope::OwnRegion } else { LinkScope::OtherRegion }
}
