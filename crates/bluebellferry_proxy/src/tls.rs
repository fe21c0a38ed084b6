//! TLS on callers' connections, with a certificate that is reloaded when its files
//! change.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustls::pki_types;
use rustls::pki_types::pem::PemObject;
use rustls::server;
use rustls::sign;

use crate::settings;

/// The minimum time between checks whether the TLS files have changed.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Provides the certificate for TLS handshakes and reloads it after its files have
/// changed.
#[derive(Debug)]
struct ReloadingCertificate {
    files: settings::TlsFiles,
    loaded: Mutex<LoadedCertificate>,
}

#[derive(Debug)]
struct LoadedCertificate {
    certified_key: Arc<sign::CertifiedKey>,
    modified_at: Option<SystemTime>,
    checked_at: Instant,
}

impl server::ResolvesServerCert for ReloadingCertificate {
    fn resolve(&self, _hello: server::ClientHello<'_>) -> Option<Arc<sign::CertifiedKey>> {
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        if loaded.checked_at.elapsed() >= MIN_CHECK_INTERVAL {
            loaded.checked_at = Instant::now();
            let modified_at = latest_modification(&self.files);
            if modified_at != loaded.modified_at {
                match load_certified_key(&self.files) {
                    Ok(certified_key) => {
                        log::info!("reloaded the TLS certificate");
                        loaded.certified_key = certified_key;
                        loaded.modified_at = modified_at;
                    }
                    Err(error) => log::error!(
                        "reloading the TLS certificate failed, keeping the previous one: {error}"
                    ),
                }
            }
        }
        Some(Arc::clone(&loaded.certified_key))
    }
}

/// Returns when the certificate or the private key was last modified, whichever is
/// later; `None` if neither time can be read.
fn latest_modification(files: &settings::TlsFiles) -> Option<SystemTime> {
    let modified_at_of = |file: &PathBuf| {
        std::fs::metadata(file)
            .and_then(|data| data.modified())
            .ok()
    };
    modified_at_of(&files.certificate).max(modified_at_of(&files.private_key))
}

fn load_certified_key(files: &settings::TlsFiles) -> Result<Arc<sign::CertifiedKey>, String> {
    let describe_error =
        |file: &PathBuf, error: &dyn std::fmt::Display| format!("{}: {error}", file.display());
    let certificates = pki_types::CertificateDer::pem_file_iter(&files.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| describe_error(&files.certificate, &error))?;
    let private_key = pki_types::PrivateKeyDer::from_pem_file(&files.private_key)
        .map_err(|error| describe_error(&files.private_key, &error))?;
    let provider = rustls::crypto::ring::default_provider();
    let certified_key = sign::CertifiedKey::from_der(certificates, private_key, &provider)
        .map_err(|error| describe_error(&files.certificate, &error))?;
    Ok(Arc::new(certified_key))
}

/// Loads the TLS files into a server configuration that reloads them on change.
///
/// # Errors
/// Returns a message with the file and the reason if the certificate or the private
/// key cannot be loaded.
pub fn load_config(files: &settings::TlsFiles) -> Result<Arc<rustls::ServerConfig>, String> {
    let loaded = LoadedCertificate {
        certified_key: load_certified_key(files)?,
        modified_at: latest_modification(files),
        checked_at: Instant::now(),
    };
    let resolver = ReloadingCertificate {
        files: files.clone(),
        loaded: Mutex::new(loaded),
    };
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| error.to_string())?;
    Ok(Arc::new(
        builder
            .with_no_client_auth()
            .with_cert_resolver(Arc::new(resolver)),
    ))
}
