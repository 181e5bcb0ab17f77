//! The receiving side of the links.

use std::{fmt, sync::Arc, time::Duration};

use futures_util::StreamExt;
use godwitroad_base::NodeId;
use tarpc::{
    context, serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::length_delimited::{Builder, LengthDelimitedCodec},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinSet,
    time::sleep,
};

use crate::{
    counters::{LinkScope, PeerCounters},
    error::Result,
    handshake,
    link::scope_of,
    settings::PeerSettings,
    wire::{PeerEnvelope, PeerLink, PeerPayload, WireBatch},
};

/// The maximum number of concurrent links; four times the design size of the fleet leaves room for reconnects.
const MAX_LINKS: usize = 1_320;

/// The wait in milliseconds after a failed `accept`, for instance when the process has no free file descriptors.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;

/// The function that receives the messages of all links.
type MessageSink<M> = Arc<dyn Fn(PeerEnvelope<M>) + Send + Sync>;

/// The receiving side of all links: accepts connections, authenticates the peers and passes on their messages.
pub struct PeerServer<M> {
    settings: Arc<PeerSettings>,
    counters: Arc<PeerCounters>,
    sink: MessageSink<M>,
}

impl<M: PeerPayload> PeerServer<M> {
    /// Creates a server that passes each message to `sink`, in the order in which its peer sent it.
    pub fn new(
        settings: PeerSettings,
        counters: Arc<PeerCounters>,
        sink: impl Fn(PeerEnvelope<M>) + Send + Sync + 'static,
    ) -> PeerServer<M> {
        PeerServer { settings: Arc::new(settings), counters, sink: Arc::new(sink) }
    }

    /// Accepts links until the task is aborted, which also closes the links.
    pub async fn run(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_LINKS));
        let mut links = JoinSet::new();
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            while links.try_join_next().is_some() {}
            match listener.accept().await {
                Ok((stream, _)) => {
                    let receiver = LinkReceiver {
                        settings: self.settings.clone(),
                        counters: self.counters.clone(),
                        sink: self.sink.clone(),
                    };
                    links.spawn(async move {
                        let _permit = permit;
                        // The error isn't sent to the peer: an unauthenticated peer must learn nothing, and a router
                        // knows from its own side of the handshake why the link failed.
                        let _ = receiver.serve(stream).await;
                    });
                }
                Err(_) => sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await,
            }
        }
    }
}

impl<M> fmt::Debug for PeerServer<M> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PeerServer")
            .field("node", &self.settings.node)
            .finish_non_exhaustive()
    }
}

struct LinkReceiver<M> {
    settings: Arc<PeerSettings>,
    counters: Arc<PeerCounters>,
    sink: MessageSink<M>,
}

impl<M: PeerPayload> LinkReceiver<M> {
    async fn serve(self, mut stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let peer = handshake::accept_link(&mut stream, &self.settings).await?;
        let service = DeliveryService {
            version: peer.version,
            scope: scope_of(&self.settings, &peer.region),
            from: peer.node,
            counters: self.counters,
            sink: self.sink,
        };
        let framed = frame_codec(&self.settings).new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        // Processing one batch at a time preserves the order of the messages and bounds the memory of the link.
        BaseChannel::with_defaults(transport)
            .execute(service.serve())
            .for_each(|batch| batch)
            .await;
        Ok(())
    }
}

struct DeliveryService<M> {
    version: u32,
    scope: LinkScope,
    from: NodeId,
    counters: Arc<PeerCounters>,
    sink: MessageSink<M>,
}

// A derived impl would require `M: Clone`, which the service doesn't need.
impl<M> Clone for DeliveryService<M> {
    fn clone(&self) -> DeliveryService<M> {
        DeliveryService {
            version: self.version,
            scope: self.scope,
            from: self.from.clone(),
            counters: self.counters.clone(),
            sink: self.sink.clone(),
        }
    }
}

impl<M: PeerPayload> PeerLink for DeliveryService<M> {
    async fn deliver(self, _: context::Context, batch: WireBatch) {
        for bytes in batch.messages {
            let size = bytes.len() as u64;
            let message = ciborium::from_reader::<M, _>(&bytes[..]);
            let kind = message.as_ref().map_or("unreadable", PeerPayload::kind);
            self.counters.update(kind, self.scope, |row| {
                row.received += 1;
                row.received_bytes += size;
            });
            if let Ok(message) = message {
                let (version, from) = (self.version, self.from.clone());
                (self.sink)(PeerEnvelope { version, from, message });
            }
        }
    }
}

/// Returns the codec of the frames, which has the same maximum frame size on both sides.
pub(crate) fn frame_codec(settings: &PeerSettings) -> Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(settings.max_frame_bytes);
    builder
}
