//! Reading the current configuration.

use std::{collections::HashMap, sync::Arc};

use godwitroad_config::{ChunkName, ConfigDocument, ConfigHead, JoinError, chunks};
use godwitroad_store::{OperationError, StoreKey};
use thiserror::Error;

use super::StoreSession;

/// The number of times that the configuration is read again when it changes while it is read.
const READ_TRIES: usize = 5;

/// The current configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct CurrentConfig {
    /// The head, or `None` before the first configuration.
    pub(crate) head: Option<ConfigHead>,
    /// The document; the default one before the first configuration.
    pub(crate) document: ConfigDocument,
}

/// Why the current configuration can't be read.
#[derive(Debug, Error)]
pub(crate) enum ReadError {
    #[error("the store can't be read: {0}")]
    Store(#[from] OperationError),
    #[error("the head in the store is malformed: {0}")]
    Head(serde_json::Error),
    #[error("the configuration in the store can't be put together: {0}")]
    Join(#[from] JoinError),
}

impl CurrentConfig {
    /// Returns the generation, zero before the first configuration.
    pub(crate) fn generation(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.generation)
    }
}

/// Reads the head alone, or `None` before the first configuration.
pub(crate) async fn read_head(session: &mut StoreSession) -> Result<Option<ConfigHead>, ReadError> {
    let entry = session.get_all(vec![StoreKey::from(chunks::HEAD_KEY)]).await?;
    let Some(entry) = entry.into_iter().next().flatten() else { return Ok(None) };
    serde_json::from_slice(&entry.value).map(Some).map_err(ReadError::Head)
}

/// Reads the head and its chunks.
pub(crate) async fn read_current(session: &mut StoreSession) -> Result<CurrentConfig, ReadError> {
    let mut last = None;
    for _ in 0..READ_TRIES {
        let Some(head) = read_head(session).await? else { return Ok(CurrentConfig::default()) };
        let keys = head.chunks.iter().map(|name| StoreKey::new(name.store_key())).collect();
        let entries = session.get_all(keys).await?;
        let pairs = head.chunks.iter().zip(entries);
        let by_name: HashMap<ChunkName, Arc<[u8]>> =
            pairs.filter_map(|(name, entry)| Some((*name, entry?.value))).collect();
        match chunks::join(&head, |name| by_name.get(name).cloned()) {
            Ok(document) => return Ok(CurrentConfig { head: Some(head), document }),
            // A chunk can go missing between the two reads, when a later head doesn't list it any more.
            Err(error) => last = Some(error),
        }
    }
    Err(last.map_or(ReadError::Store(OperationError::Unknown), ReadError::Join))
}
