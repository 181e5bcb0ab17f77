//! TLS for callers, with certificates that are reloaded without a restart, and for targets.

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

/// Why a certificate cannot be used.
#[derive(Debug, Error)]
#[non_exhaustive]
pub(crate) enum TlsError {
    /// A file cannot be read.
    #[error("cannot read {path}: {error}")]
    File {
        path: String,
        #[source]
        error: std::io::Error,
    },
    /// A file contains no certificate or no private key.
    #[error("{0} contains no {1}")]
    Missing(String, &'static str),
    /// The certificate or the key is invalid, or they do not match.
    #[error("unusable certificate or key: {0}")]
    Unusable(#[from] rustls::Error),
}

/// The result of loading a certificate.
pub(crate) type Result<T> = std::result::Result<T, TlsError>;

/// The server certificate, which [`ReloadableCertificate::reload`] replaces.
#[derive(Debug)]
pub(crate) struct ReloadableCertificate {
    settings: TlsSettings,
    current: RwLock<LoadedCertificate>,
}

#[derive(Debug)]
struct LoadedCertificate {
    key: Arc<CertifiedKey>,
    files: Vec<u8>,
}

impl ReloadableCertificate {
    /// Loads the certificate for the first time.
    pub(crate) fn open(settings: TlsSettings) -> Result<Arc<ReloadableCertificate>> {
        let files = read_files(&settings)?;
        let key = Arc::new(load_certificate(&settings)?);
        Ok(Arc::new(ReloadableCertificate {
            settings,
            current: RwLock::new(LoadedCertificate { key, files }),
        }))
    }

    /// Reads the files again; returns whether a new certificate came into use.
    ///
    /// If the new files are unusable, for example while they are being written, the previous certificate stays in use.
    pub(crate) fn reload(&self) -> Result<bool> {
        let files = read_files(&self.settings)?;
        if files == self.current.read().unwrap_or_else(PoisonError::into_inner).files {
            return Ok(false);
        }
        let key = Arc::new(load_certificate(&self.settings)?);
        *self.current.write().unwrap_or_else(PoisonError::into_inner) =
            LoadedCertificate { key, files };
        Ok(true)
    }

    /// Returns the TLS configuration of the server.
    pub(crate) fn server_config(self: &Arc<ReloadableCertificate>) -> Result<ServerConfig> {
        let mut config = ServerConfig::builder_with_provider(crypto_provider())
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_cert_resolver(self.clone());
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        Ok(config)
    }
}

impl ResolvesServerCert for ReloadableCertificate {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current.read().unwrap_or_else(PoisonError::into_inner).key.clone())
    }
}

/// Reads a certificate chain and its private key, and checks that they match.
pub(crate) fn load_certificate(settings: &TlsSettings) -> Result<CertifiedKey> {
    let chain = read_chain(&settings.certificate)?;
    let mut reader = BufReader::new(open(&settings.key)?);
    let key = rustls_pemfile::private_key(&mut reader)
        .map_err(|error| file_error(&settings.key, error))?
        .ok_or_else(|| TlsError::Missing(settings.key.display().to_string(), "private key"))?;
    Ok(CertifiedKey::from_der(chain, key, &crypto_provider())?)
}

/// Returns the TLS configuration of the client, which trusts only the authority in the file at `path`.
pub(crate) fn target_config(path: &Path) -> Result<ClientConfig> {
    let mut roots = RootCertStore::empty();
    for certificate in read_chain(path)? {
        roots.add(certificate)?;
    }
    Ok(ClientConfig::builder_with_provider(crypto_provider())
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots)
        .with_no_client_auth())
}

/// Selects the provider explicitly: a process that links several has no default one.
fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(aws_lc_rs::default_provider())
}

fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let mut reader = BufReader::new(open(path)?);
    let chain: Vec<_> = rustls_pemfile::certs(&mut reader)
        .collect::<std::io::Result<_>>()
        .map_err(|error| file_error(path, error))?;
    if chain.is_empty() {
        return Err(TlsError::Missing(path.display().to_string(), "certificate"));
    }
    Ok(chain)
}

/// Returns the contents of both files; comparing them detects changes regardless of the file system's timestamps.
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
