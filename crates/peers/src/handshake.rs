//! The handshake at the start of a link.
//!
//! It runs before tarpc reads a byte: an unproven peer reaches no decoder but the one of the small hello frame.

use godwitroad_base::{NodeId, RegionName};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::{
    error::{PeerError, Result},
    proof::LinkRole,
    settings::{PeerSettings, VersionRange},
};

/// The largest handshake frame; a hello holds two names and a nonce.
const HELLO_LIMIT_BYTES: usize = 4_096;

/// The first frame of each side.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct HelloFrame {
    versions: VersionRange,
    node: NodeId,
    region: RegionName,
    nonce: [u8; 32],
}

/// The other side of a link after the handshake.
#[derive(Clone, Debug)]
pub(crate) struct ProvenPeer {
    pub(crate) node: NodeId,
    pub(crate) region: RegionName,
    pub(crate) version: u32,
}

/// Runs the caller's side of the handshake.
pub(crate) async fn greet(stream: &mut TcpStream, settings: &PeerSettings) -> Result<ProvenPeer> {
    let limit = std::time::Duration::from_millis(settings.answer_limit.as_ms());
    timeout(limit, greet_unlimited(stream, settings)).await.map_err(|_| PeerError::TimedOut)?
}

/// Runs the listener's side of the handshake.
pub(crate) async fn welcome(stream: &mut TcpStream, settings: &PeerSettings) -> Result<ProvenPeer> {
    let limit = std::time::Duration::from_millis(settings.answer_limit.as_ms());
    timeout(limit, welcome_unlimited(stream, settings)).await.map_err(|_| PeerError::TimedOut)?
}

async fn greet_unlimited(stream: &mut TcpStream, settings: &PeerSettings) -> Result<ProvenPeer> {
    let own = own_hello(settings)?;
    write_frame(stream, &own).await?;
    let other = read_frame(stream).await?;
    let proof = read_frame(stream).await?;
    if !settings.secret.verify(LinkRole::Listener, &own, &other, &proof) {
        return Err(PeerError::Unproven);
    }
    let proof = settings.secret.prove(LinkRole::Caller, &own, &other);
    write_frame(stream, &proof).await?;
    agree(settings, &other)
}

async fn welcome_unlimited(stream: &mut TcpStream, settings: &PeerSettings) -> Result<ProvenPeer> {
    let other = read_frame(stream).await?;
    let own = own_hello(settings)?;
    write_frame(stream, &own).await?;
    let proof = settings.secret.prove(LinkRole::Listener, &other, &own);
    write_frame(stream, &proof).await?;
    let proof = read_frame(stream).await?;
    if !settings.secret.verify(LinkRole::Caller, &other, &own, &proof) {
        return Err(PeerError::Unproven);
    }
    agree(settings, &other)
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

/// Reads the peer's hello; both sides compute the same version from the same two ranges.
fn agree(settings: &PeerSettings, hello: &[u8]) -> Result<ProvenPeer> {
    let hello: HelloFrame = serde_json::from_slice(hello).map_err(|_| PeerError::Malformed)?;
    let version = settings
        .versions
        .common(hello.versions)
        .ok_or(PeerError::Version { own: settings.versions, other: hello.versions })?;
    Ok(ProvenPeer { node: hello.node, region: hello.region, version })
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
    if length > HELLO_LIMIT_BYTES {
        return Err(PeerError::Malformed);
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}
