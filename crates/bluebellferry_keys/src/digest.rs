//! Callers' keys and their digests.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;

/// The number of random bytes in a generated key.
const KEY_BYTES: usize = 24;
/// The prefix of every generated key, by which leaked keys can be found.
const KEY_PREFIX: &str = "bbf_";

/// The SHA-256 digest of a key. Generated keys are random, so no slow password hash is needed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn compute(key: &str) -> Self {
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the first eight hexadecimal digits, which identify a key in lists and logs.
    pub fn short_hex(&self) -> String {
        hex::encode(&self.0[..4])
    }

    /// Returns whether two digests are equal; compares them in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        use subtle::ConstantTimeEq;
        self.0.ct_eq(&other.0).into()
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "KeyDigest({})", self.short_hex())
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        hex::encode(digest.0)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(&text, &mut bytes)
            .map_err(|error| format!("a key digest has 64 hexadecimal digits: {error}"))?;
        Ok(Self(bytes))
    }
}

/// Generates a new random key.
///
/// # Panics
/// Panics if the operating system provides no random bytes.
pub fn generate_key() -> String {
    let mut bytes = [0; KEY_BYTES];
    getrandom::fill(&mut bytes).expect("the operating system provides random bytes");
    format!("{KEY_PREFIX}{}", hex::encode(bytes))
}
