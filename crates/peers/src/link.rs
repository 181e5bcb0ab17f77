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
    hello,
    queue::MessageQueue,
    server::frame_codec,
    settings::{PeerAddress, PeerSettings},
    wire::{PeerLinkClient, PeerPayload, WireBatch},
};

/// The bytes of a frame that the call around a batch may take.
const FRAME_RESERVE_BYTES: usize = 1_024;

/// The bytes that the length of a message takes in a frame.
const MESSAGE_RESERVE_BYTES: usize = 8;

/// A batch as it is sent, with the kind and size of each message.
#[derive(Default)]
struct EncodedBatch {
    wire: WireBatch,
    kinds: Vec<(&'static str, u64)>,
    size: usize,
}

/// Everything that the task of one link holds.
pub(crate) struct LinkParts<M> {
    pub(crate) settings: Arc<PeerSettings>,
    pub(crate) peer: PeerAddress,
    pub(crate) queue: Arc<MessageQueue<M>>,
    pub(crate) counters: Arc<PeerCounters>,
}

impl<M: PeerPayload> LinkParts<M> {
    /// Connects, delivers and reconnects until the task is aborted.
    pub(crate) async fn run(self) {
        let settings = &self.settings;
        // The tag gives each pair of routers its own sequence of waits under one seed.
        let seed = settings.seed ^ settings.node.tag() ^ u64::from(self.peer.address.port());
        let mut backoff = RetryBackoff::new(settings.backoff_floor, settings.backoff_ceiling, seed);
        loop {
            if let Ok(client) = self.connect().await {
                backoff.reset();
                self.deliver(client).await;
            }
            sleep(Duration::from_millis(backoff.next_wait().as_ms())).await;
        }
    }

    async fn connect(&self) -> Result<PeerLinkClient> {
        let limit = Duration::from_millis(self.settings.answer_limit.as_ms());
        let connect = TcpStream::connect(self.peer.address);
        let mut stream = timeout(limit, connect).await.map_err(|_| PeerError::TimedOut)??;
        stream.set_nodelay(true)?;
        let proven = hello::greet(&mut stream, &self.settings).await?;
        if proven.node.vm != self.peer.vm {
            // The address was given to another VM; its messages aren't meant for this one.
            return Err(PeerError::Unproven);
        }
        let framed = frame_codec(&self.settings).new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        Ok(PeerLinkClient::new(client::Config::default(), transport).spawn())
    }

    /// Delivers batches until one fails.
    async fn deliver(&self, client: PeerLinkClient) {
        loop {
            let messages = self.queue.take(self.settings.batch_limit).await;
            let mut batches = self.encode(&messages).into_iter();
            while let Some(batch) = batches.next() {
                let confirmed = self.deliver_batch(&client, batch).await;
                if !confirmed {
                    batches.for_each(|batch| self.count(&batch.kinds, false));
                    return;
                }
            }
        }
    }

    async fn deliver_batch(&self, client: &PeerLinkClient, batch: EncodedBatch) -> bool {
        let mut context = context::current();
        let limit = Duration::from_millis(self.settings.answer_limit.as_ms());
        context.deadline = std::time::Instant::now() + limit;
        let confirmed = client.deliver(context, batch.wire).await.is_ok();
        self.count(&batch.kinds, confirmed);
        confirmed
    }

    fn count(&self, kinds: &[(&'static str, u64)], confirmed: bool) {
        for &(kind, bytes) in kinds {
            self.counters.change(kind, self.scope(), |row| {
                if confirmed {
                    row.sent += 1;
                    row.sent_bytes += bytes;
                } else {
                    row.unconfirmed += 1;
                }
            });
        }
    }

    /// Encodes messages into batches that stay below the largest frame.
    fn encode(&self, messages: &[M]) -> Vec<EncodedBatch> {
        let limit = self.settings.frame_limit_bytes.saturating_sub(FRAME_RESERVE_BYTES);
        let mut batches = Vec::new();
        let mut current = EncodedBatch::default();
        for message in messages {
            let mut bytes = Vec::new();
            let written = ciborium::into_writer(message, &mut bytes).is_ok();
            let size = bytes.len() + MESSAGE_RESERVE_BYTES;
            // A message that can't be written or is larger than any frame can't be sent by any retry either.
            if !written || size > limit {
                self.counters.change(message.kind(), self.scope(), |row| row.dropped += 1);
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

/// Returns whether `region` is the own region.
pub(crate) fn scope_of(settings: &PeerSettings, region: &godwitroad_base::RegionName) -> LinkScope {
    if *region == settings.region { LinkScope::OwnRegion } else { LinkScope::OtherRegion }
}
