//! The handshake at the start of a link.
//!
//! Each side sends a hello frame and then a message authentication code over both hello frames (see [`crate::secret`]).
//! The hello frame is decoded and tarpc reads its first byte only after the peer is authenticated, so that an
//! unauthenticated peer reaches no decoder of messages.

use godwitroad_base::{NodeId, RegionName};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::{
    error::{PeerError, Result},
    secret::LinkRole,
    settings::{PeerSettings, VersionRange},
};

/// The maximum size of a handshake frame in bytes; a hello frame contains only a node ID, a region, a version range and
/// a nonce.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 4_096;

/// The first frame that each side sends. The nonce keeps a recorded authentication code from being replayed.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct HelloFrame {
    versions: VersionRange,
    node: NodeId,
    region: RegionName,
    nonce: [u8; 32],
}

/// The other side of a link after the handshake, with the negotiated protocol version.
#[derive(Clone, Debug)]
pub(crate) struct AuthenticatedPeer {
    pub(crate) node: NodeId,
    pub(crate) region: RegionName,
    pub(crate) version: u32,
}

/// Runs the handshake of the side that opened the connection.
pub(crate) async fn initiate(
    stream: &mut TcpStream,
    settings: &PeerSettings,
) -> Result<AuthenticatedPeer> {
    let limit = std::time::Duration::from_millis(settings.answer_timeout.as_ms());
    timeout(limit, initiate_without_timeout(stream, settings))
        .await
        .map_err(|_| PeerError::TimedOut)?
}

/// Runs the handshake of the side that accepted the connection.
pub(crate) async fn accept_link(
    stream: &mut TcpStream,
    settings: &PeerSettings,
) -> Result<AuthenticatedPeer> {
    let limit = std::time::Duration::from_millis(settings.answer_timeout.as_ms());
    timeout(limit, accept_without_timeout(stream, settings))
        .await
        .map_err(|_| PeerError::TimedOut)?
}

async fn initiate_without_timeout(
    stream: &mut TcpStream,
    settings: &PeerSettings,
) -> Result<AuthenticatedPeer> {
    let own = own_hello(settings)?;
    write_frame(stream, &own).await?;
    let other = read_frame(stream).await?;
    let mac = read_frame(stream).await?;
    if !settings.secret.verify_mac(LinkRole::Listener, &own, &other, &mac) {
        return Err(PeerError::Unauthenticated);
    }
    let mac = settings.secret.compute_mac(LinkRole::Caller, &own, &other);
    write_frame(stream, &mac).await?;
    negotiate(settings, &other)
}

async fn accept_without_timeout(
    stream: &mut TcpStream,
    settings: &PeerSettings,
) -> Result<AuthenticatedPeer> {
    let other = read_frame(stream).await?;
    let own = own_hello(settings)?;
    write_frame(stream, &own).await?;
    let mac = settings.secret.compute_mac(LinkRole::Listener, &other, &own);
    write_frame(stream, &mac).await?;
    let mac = read_frame(stream).await?;
    if !settings.secret.verify_mac(LinkRole::Caller, &other, &own, &mac) {
        return Err(PeerError::Unauthenticated);
    }
    negotiate(settings, &other)
}

fn own_hello(settings: &PeerSettings) -> Result<Vec<u8>> {
    let mut nonce = [0; 32];
    getrandom::fill(&mut nonce).map_err(|_| PeerError::NoRandomness)?;
    let hello = HelloFrame {
        versions: settings.versions,
        node: settings.node.clone(),
        region: settings.region.clone(),
        nonce,
    };
    serde_json::to_vec(&hello).map_err(|_| PeerError::Malformed)
}

/// Decodes the peer's hello frame and selects the protocol version. Both sides select the same one, because they
/// compare the same two ranges.
fn negotiate(settings: &PeerSettings, hello: &[u8]) -> Result<AuthenticatedPeer> {
    let hello: HelloFrame = serde_json::from_slice(hello).map_err(|_| PeerError::Malformed)?;
    let version = settings
        .versions
        .highest_common(hello.versions)
        .ok_or(PeerError::VersionMismatch { own: settings.versions, other: hello.versions })?;
    Ok(AuthenticatedPeer { node: hello.node, region: hello.region, version })
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> Result<()> {
    let length = u16::try_from(frame.len()).map_err(|_| PeerError::Malformed)?;
    let mut bytes = Vec::with_capacity(frame.len() + 2);
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(frame);
    stream.write_all(&bytes).await?;
    Ok(())
}

async fn read_frame(stream: &mut TcpStream) -> Result<Vec<u8>> {
    let length = usize::from(stream.read_u16().await?);
    if length > MAX_HANDSHAKE_FRAME_BYTES {
        return Err(PeerError::Malformed);
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}
