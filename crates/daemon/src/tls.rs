//! TLS towards callers, with certificates that can be renewed without a restart, and towards targets.

use std::{
    fs::{self, File},
    io::BufReader,
    path::Path,
    sync::{Arc, PoisonError, RwLock},
};

use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    crypto::{CryptoProvider, aws_lc_rs},
    pki_types::CertificateDer,
    server::{ClientHello, ResolvesServerCert},
    sign::CertifiedKey,
};
use thiserror::Error;

use crate::settings::TlsSettings;

/// The reason why a certificate can't be used.
#[derive(Debug, Error)]
#[non_exhaustive]
pub(crate) enum TlsError {
    /// A file can't be read.
    #[error("{path} can't be read: {error}")]
    File {
        path: String,
        #[source]
        error: std::io::Error,
    },
    /// A file holds no certificate or no key.
    #[error("{0} holds no {1}")]
    Empty(String, &'static str),
    /// The certificate and the key can't be used.
    #[error("unusable certificate or key: {0}")]
    Unusable(#[from] rustls::Error),
}

/// The result of reading a certificate.
pub(crate) type Result<T> = std::result::Result<T, TlsError>;

/// The certificate in use, which [`CertificateSlot::reload`] replaces.
#[derive(Debug)]
pub(crate) struct CertificateSlot {
    settings: TlsSettings,
    current: RwLock<Loaded>,
}

#[derive(Debug)]
struct Loaded {
    key: Arc<CertifiedKey>,
    files: Vec<u8>,
}

impl CertificateSlot {
    /// Reads the certificate for the first time.
    pub(crate) fn open(settings: TlsSettings) -> Result<Arc<CertificateSlot>> {
        let files = read_files(&settings)?;
        let key = Arc::new(load_certificate(&settings)?);
        Ok(Arc::new(CertificateSlot { settings, current: RwLock::new(Loaded { key, files }) }))
    }

    /// Reads the files again; returns whether another certificate is in use from now on.
    ///
    /// The old certificate stays in use when the new files can't be used, for instance while they are being written.
    pub(crate) fn reload(&self) -> Result<bool> {
        let files = read_files(&self.settings)?;
        if files == self.current.read().unwrap_or_else(PoisonError::into_inner).files {
            return Ok(false);
        }
        let key = Arc::new(load_certificate(&self.settings)?);
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = Loaded { key, files };
        Ok(true)
    }

    /// Returns the settings of the server side.
    pub(crate) fn server_config(self: &Arc<CertificateSlot>) -> Result<ServerConfig> {
        let mut config = ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_cert_resolver(self.clone());
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        Ok(config)
    }
}

impl ResolvesServerCert for CertificateSlot {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current.read().unwrap_or_else(PoisonError::into_inner).key.clone())
    }
}

/// Reads a certificate chain and its key, and checks that they belong together.
pub(crate) fn load_certificate(settings: &TlsSettings) -> Result<CertifiedKey> {
    let chain = read_chain(&settings.certificate)?;
    let mut reader = BufReader::new(open(&settings.key)?);
    let key = rustls_pemfile::private_key(&mut reader)
        .map_err(|error| file_error(&settings.key, error))?
        .ok_or_else(|| TlsError::Empty(settings.key.display().to_string(), "private key"))?;
    Ok(CertifiedKey::from_der(chain, key, &provider())?)
}

/// Returns the settings of the client side, which trusts only the authority in `path`.
pub(crate) fn target_config(path: &Path) -> Result<ClientConfig> {
    let mut roots = RootCertStore::empty();
    for certificate in read_chain(path)? {
        roots.add(certificate)?;
    }
    Ok(ClientConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots)
        .with_no_client_auth())
}

/// The provider is named, because a process with several would otherwise have none by default.
fn provider() -> Arc<CryptoProvider> {
    Arc::new(aws_lc_rs::default_provider())
}

fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let mut reader = BufReader::new(open(path)?);
    let chain: Vec<_> = rustls_pemfile::certs(&mut reader)
        .collect::<std::io::Result<_>>()
        .map_err(|error| file_error(path, error))?;
    if chain.is_empty() {
        return Err(TlsError::Empty(path.display().to_string(), "certificate"));
    }
    Ok(chain)
}

/// Returns the bytes of both files, by which a change is noticed whatever the file system's clock says.
fn read_files(settings: &TlsSettings) -> Result<Vec<u8>> {
    let read = |path: &Path| fs::read(path).map_err(|error| file_error(path, error));
    let mut files = read(&settings.certificate)?;
    files.extend(read(&settings.key)?);
    Ok(files)
}

fn open(path: &Path) -> Result<File> {
    File::open(path).map_err(|error| file_error(path, error))
}

fn file_error(path: &Path, error: std::io::Error) -> TlsError {
    TlsError::File { path: path.display().to_string(), error }
}
