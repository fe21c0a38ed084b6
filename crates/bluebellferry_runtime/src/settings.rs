//! Loading of JSON settings.

use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;

/// The reason settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file's path as given.
        file: String,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// A field is missing, unknown or has a value that is not accepted.
    #[error("{file}: {path}: {message}")]
    Field {
        /// The file's path as given.
        file: String,
        /// The JSON path of the field.
        path: String,
        /// What is wrong, with line and column where they are known.
        message: String,
    },
}

/// Parses settings from bytes; `file` is named in errors.
///
/// # Errors
/// Returns the JSON path and the reason of the first fault.
pub fn parse_settings<T: DeserializeOwned>(file: &str, bytes: &[u8]) -> Result<T, SettingsError> {
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let field_error = |path: String, message: String| SettingsError::Field {
        file: file.to_owned(),
        path,
        message,
    };
    let wire = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| field_error(error.path().to_string(), error.inner().to_string()))?;
    deserializer
        .end()
        .map_err(|error| field_error(".".to_owned(), error.to_string()))?;
    Ok(wire)
}

/// Loads a settings file and checks it through `TryFrom`.
///
/// # Errors
/// Returns an error that names the file and the JSON path of the fault.
pub fn load_settings<W, T>(file: &Path) -> Result<T, SettingsError>
where
    W: DeserializeOwned,
    T: TryFrom<W, Error = FieldError>,
{
    let shown = file.display().to_string();
    let bytes = std::fs::read(file).map_err(|source| SettingsError::Unreadable {
        file: shown.clone(),
        source,
    })?;
    let wire: W = parse_settings(&shown, &bytes)?;
    T::try_from(wire).map_err(|error| SettingsError::Field {
        file: shown,
        path: error.path,
        message: error.message,
    })
}

/// A field whose value is of the right shape but cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {message}")]
pub struct FieldError {
    /// The JSON path of the field.
    pub path: String,
    /// What is wrong and what would be accepted.
    pub message: String,
}

impl FieldError {
    /// Creates an error for a field.
    pub fn new(path: impl Into<String>, message: impl std::fmt::Display) -> Self {
        Self {
            path: path.into(),
            message: message.to_string(),
        }
    }
}

/// Parses a socket address; `path` is named in errors.
///
/// # Errors
/// Fails when the text is not of the form `ip:port`.
pub fn parse_address(path: &str, text: &str) -> Result<SocketAddr, FieldError> {
    text.parse()
        .map_err(|error| FieldError::new(path, format!("'{text}': {error}")))
}
