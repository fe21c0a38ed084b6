//! Validated names of workspaces, services, databases, data centres, read kinds and environments.

use serde::Deserialize;
use serde::Serialize;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// The reason why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("the name '{0}' is longer than {MAX_NAME_BYTES} bytes")]
    TooLong(String),
    /// The text contains a character other than a-z, 0-9, '-' and '_'.
    #[error("the name '{0}' may hold only a-z, 0-9, '-' and '_'")]
    InvalidCharacter(String),
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.to_owned()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    if !text.chars().all(allowed) {
        return Err(NameError::InvalidCharacter(text.to_owned()));
    }
    Ok(())
}

macro_rules! checked_name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                Self::try_from(text.to_owned())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

checked_name!(
    /// The name of a workspace: a group of callers that share API keys and a rate limit.
    WorkspaceName
);
checked_name!(
    /// The name of a database service, which is one group of a primary and its replicas.
    ServiceName
);
checked_name!(
    /// The name of one database server within a service.
    DatabaseName
);
checked_name!(
    /// The name of a data centre.
    DataCentreName
);
checked_name!(
    /// The name of a read kind, such as `catalogue`: a class of reads for which the configuration
    /// sets the allowed staleness.
    ReadKind
);
checked_name!(
    /// The name of a deployment environment, such as `trial` or `production`.
    EnvironmentName
);
