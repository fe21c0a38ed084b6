//! Loading and validation of JSON settings files.

use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;

/// The reason why settings cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file's path as given.
        file: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A field is missing, unknown or has an invalid value.
    #[error("{file}: {path}: {message}")]
    Field {
        /// The file's path as given.
        file: String,
        /// The JSON path of the field.
        path: String,
        /// Why the field is rejected, with line and column if they are known.
        message: String,
    },
}

/// Parses settings from JSON. Errors name `file` as the source.
///
/// # Errors
/// Returns the JSON path of the first invalid field and the reason.
pub fn parse_settings<T: DeserializeOwned>(file: &str, bytes: &[u8]) -> Result<T, SettingsError> {
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let field_error = |path: String, message: String| SettingsError::Field {
        file: file.to_owned(),
        path,
        message,
    };
    let settings = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| field_error(error.path().to_string(), error.inner().to_string()))?;
    deserializer
        .end()
        .map_err(|error| field_error(".".to_owned(), error.to_string()))?;
    Ok(settings)
}

/// Loads a JSON settings file, deserialises it into `W` and validates it by conversion into `T`.
///
/// # Errors
/// Returns an error that names the file and the JSON path of the invalid field.
pub fn load_settings<W, T>(file: &Path) -> Result<T, SettingsError>
where
    W: DeserializeOwned,
    T: TryFrom<W, Error = FieldError>,
{
    let file_name = file.display().to_string();
    let bytes = std::fs::read(file).map_err(|source| SettingsError::Unreadable {
        file: file_name.clone(),
        source,
    })?;
    let wire: W = parse_settings(&file_name, &bytes)?;
    T::try_from(wire).map_err(|error| SettingsError::Field {
        file: file_name,
        path: error.path,
        message: error.message,
    })
}

/// The error for a settings field whose value has the right type but is not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {message}")]
pub struct FieldError {
    /// The JSON path of the field.
    pub path: String,
    /// Why the value is rejected, and which values are valid.
    pub message: String,
}

impl FieldError {
    /// Creates an error for the field at a JSON path.
    pub fn new(path: impl Into<String>, message: impl std::fmt::Display) -> Self {
        Self {
            path: path.into(),
            message: message.to_string(),
        }
    }
}

/// Parses a socket address. Errors name `path` as the JSON path of the field.
///
/// # Errors
/// Returns an error if the text is not of the form `ip:port`.
pub fn parse_address(path: &str, text: &str) -> Result<SocketAddr, FieldError> {
    text.parse()
        .map_err(|error| FieldError::new(path, format!("'{text}': {error}")))
}
