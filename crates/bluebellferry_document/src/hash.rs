//! The hash that identifies the exact bytes of a document.

use sha2::Digest;

/// The SHA-256 of a document's bytes, in lower-case hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DocumentHash(String);

impl DocumentHash {
    /// Computes the hash of a document's bytes.
    pub fn compute(document: &[u8]) -> Self {
        Self(hex::encode(sha2::Sha256::digest(document)))
    }

    /// Returns the 64 hexadecimal digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the first 12 hexadecimal digits, which are enough for people to
    /// tell documents apart.
    pub fn short_hex(&self) -> &str {
        &self.0[..12]
    }
}

impl std::fmt::Display for DocumentHash {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}
