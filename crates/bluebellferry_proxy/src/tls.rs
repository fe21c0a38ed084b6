//! TLS towards callers. The files are read again when they change.

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

/// How often the files are looked at for a change.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Hands out the certificate, reloading it after its files have changed.
#[derive(Debug)]
struct ReloadingCertificate {
    files: settings::TlsFiles,
    state: Mutex<LoadedCertificate>,
}

#[derive(Debug)]
struct LoadedCertificate {
    key: Arc<sign::CertifiedKey>,
    modified: Option<SystemTime>,
    checked: Instant,
}

impl server::ResolvesServerCert for ReloadingCertificate {
    fn resolve(&self, _hello: server::ClientHello<'_>) -> Option<Arc<sign::CertifiedKey>> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.checked.elapsed() >= RELOAD_INTERVAL {
            state.checked = Instant::now();
            let modified = modified_time(&self.files);
            if modified != state.modified {
                match load_key(&self.files) {
                    Ok(key) => {
                        log::info!("the TLS certificate was loaded anew");
                        state.key = key;
                        state.modified = modified;
                    }
                    Err(error) => log::error!("the TLS certificate stays as it was: {error}"),
                }
            }
        }
        Some(Arc::clone(&state.key))
    }
}

fn modified_time(files: &settings::TlsFiles) -> Option<SystemTime> {
    let time = |file: &PathBuf| {
        std::fs::metadata(file)
            .and_then(|data| data.modified())
            .ok()
    };
    time(&files.certificate).max(time(&files.private_key))
}

fn load_key(files: &settings::TlsFiles) -> Result<Arc<sign::CertifiedKey>, String> {
    let describe =
        |file: &PathBuf, error: &dyn std::fmt::Display| format!("{}: {error}", file.display());
    let certificates = pki_types::CertificateDer::pem_file_iter(&files.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| describe(&files.certificate, &error))?;
    let key = pki_types::PrivateKeyDer::from_pem_file(&files.private_key)
        .map_err(|error| describe(&files.private_key, &error))?;
    let provider = rustls::crypto::ring::default_provider();
    let key = sign::CertifiedKey::from_der(certificates, key, &provider)
        .map_err(|error| describe(&files.certificate, &error))?;
    Ok(Arc::new(key))
}

/// Loads the files into a server configuration.
///
/// # Errors
/// Returns the file and the reason when they cannot be used.
pub fn load_config(files: &settings::TlsFiles) -> Result<Arc<rustls::ServerConfig>, String> {
    let state = LoadedCertificate {
        key: load_key(files)?,
        modified: modified_time(files),
        checked: Instant::now(),
    };
    let resolver = ReloadingCertificate {
        files: files.clone(),
        state: Mutex::new(state),
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
