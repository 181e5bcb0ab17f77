//! Reads the current configuration from the store.

use std::{collections::HashMap, sync::Arc};

use godwitroad_config::{ChunkName, ConfigDocument, ConfigHead, JoinError, chunks};
use godwitroad_store::{OperationError, StoreKey};
use thiserror::Error;

use super::StoreSession;

/// The maximum number of attempts to read a configuration that changes between the reads of its head and its chunks.
const MAX_READ_ATTEMPTS: usize = 5;

/// The current configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct CurrentConfig {
    /// The head, or `None` if no configuration was ever applied.
    pub(crate) head: Option<ConfigHead>,
    /// The document; the default one if no configuration was ever applied.
    pub(crate) document: ConfigDocument,
}

/// An error of reading the current configuration.
#[derive(Debug, Error)]
pub(crate) enum ReadError {
    #[error("the store can't be read: {0}")]
    Store(#[from] OperationError),
    #[error("the head in the store is malformed: {0}")]
    Head(serde_json::Error),
    #[error("the configuration in the store can't be assembled from its chunks: {0}")]
    Join(#[from] JoinError),
}

impl CurrentConfig {
    /// Returns the generation, or zero if no configuration was ever applied.
    pub(crate) fn generation(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.generation)
    }
}

/// Reads only the head; returns `None` if no configuration was ever applied.
pub(crate) async fn read_head(session: &mut StoreSession) -> Result<Option<ConfigHead>, ReadError> {
    let entry = session.get_all(vec![StoreKey::from(chunks::HEAD_KEY)]).await?;
    let Some(entry) = entry.into_iter().next().flatten() else { return Ok(None) };
    serde_json::from_slice(&entry.value).map(Some).map_err(ReadError::Head)
}

/// Reads the head and the chunks that it lists.
pub(crate) async fn read_current(session: &mut StoreSession) -> Result<CurrentConfig, ReadError> {
    let mut last = None;
    for _ in 0..MAX_READ_ATTEMPTS {
        let Some(head) = read_head(session).await? else { return Ok(CurrentConfig::default()) };
        let keys = head.chunks.iter().map(|name| StoreKey::new(name.store_key())).collect();
        let entries = session.get_all(keys).await?;
        let pairs = head.chunks.iter().zip(entries);
        let by_name: HashMap<ChunkName, Arc<[u8]>> =
            pairs.filter_map(|(name, entry)| Some((*name, entry?.value))).collect();
        match chunks::join(&head, |name| by_name.get(name).cloned()) {
            Ok(document) => return Ok(CurrentConfig { head: Some(head), document }),
            // A chunk that a newer head no longer lists can be deleted between the reads of the head and the chunks.
            Err(error) => last = Some(error),
        }
    }
    Err(last.map_or(ReadError::Store(OperationError::Unknown), ReadError::Join))
}
