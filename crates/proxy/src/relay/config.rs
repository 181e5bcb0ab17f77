//! Reads a newer configuration from a peer that has it.

use std::{sync::Arc, time::Duration};

use godwitroad_forward::{ConfigRead, ForwardRules, RelayPeer};
use tokio::time::timeout;

use super::{
    RelayOpening,
    answer::{self, AnswerError},
    hedge::ask_peers,
};
use crate::{
    core::SharedCore,
    platform::{PlatformAdapter, WireError},
};

/// The time limit for one peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// The size limit of a configuration.
const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// Why a peer gave no newer configuration.
#[derive(Debug, thiserror::Error)]
enum ConfigError {
    #[error("{0}")]
    Answer(#[from] AnswerError),
    #[error("the configuration can't be read: {0}")]
    Unreadable(#[from] WireError),
    #[error("the peer's version {0} isn't newer")]
    Outdated(u64),
}

/// A `Result` with a [`ConfigError`].
type Result<T> = std::result::Result<T, ConfigError>;

/// Reads the configuration from the first of some peers that hands on a newer one.
pub(crate) async fn read_config<P: PlatformAdapter>(
    core: &SharedCore<P>,
    read: &ConfigRead,
) -> Option<Arc<ForwardRules>> {
    ask_peers(&read.peers, |peer| ask_peer(core.clone(), peer, read.own_version)).await
}

async fn ask_peer<P: PlatformAdapter>(
    core: SharedCore<P>,
    peer: RelayPeer,
    own_version: u64,
) -> Option<Arc<ForwardRules>> {
    let asked = timeout(PEER_TIMEOUT, read_from(&core, &peer, own_version)).await;
    match asked.unwrap_or(Err(AnswerError::TimeOver.into())) {
        Ok(rules) => {
            core.metrics.count("config.read", 1);
            Some(rules)
        }
        Err(error) => {
            core.metrics.count("config.failed", 1);
            let detail = format!("peer={} config_version={own_version} error={error}", peer.vm);
            core.log.event("config_not_read", &detail);
            core.update(|state| state.record_failed_config_read(core.now(), &peer.vm));
            None
        }
    }
}

async fn read_from<P: PlatformAdapter>(
    core: &SharedCore<P>,
    peer: &RelayPeer,
    own_version: u64,
) -> Result<Arc<ForwardRules>> {
    let opening = RelayOpening::Config(own_version);
    let document = answer::request(core, peer, &opening, MAX_DOCUMENT_BYTES).await?;
    let rules = core.platform.read_rules(&document)?;
    if rules.version > own_version { Ok(rules) } else { Err(ConfigError::Outdated(rules.version)) }
}

/// Encodes the peer's answer, or returns `None` if there is no document or it is too large.
pub(super) fn encode(document: &[u8]) -> Option<Vec<u8>> {
    if document.is_empty() { None } else { answer::encode(document, MAX_DOCUMENT_BYTES) }
}

#[cfg(test)]
#[path = "../../tests/unit/config.rs"]
mod tests;
