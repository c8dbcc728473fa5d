//! Bearer keys: only their keyed hashes are kept.

use corianderstand_state::view::View;
use corianderstand_types::names::WorkspaceId;
use smol_str::SmolStr;

/// The deployment's hashing key.
#[derive(Clone)]
pub struct Hasher {
    key: [u8; 32],
}

/// A hashing key that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum AuthError {
    /// `auth_key` is not 64 hexadecimal digits: make one with a random generator
    Key,
}

impl std::error::Error for AuthError {}

impl Hasher {
    /// Reads a key of 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// [`AuthError::Key`] for anything else.
    pub fn new(hex: &str) -> Result<Self, AuthError> {
        let hash = blake3::Hash::from_hex(hex).map_err(|_| AuthError::Key)?;
        Ok(Self { key: *hash.as_bytes() })
    }

    /// The hash of a bearer key, as settings hold it.
    pub fn hash(&self, bearer: &str) -> SmolStr {
        blake3::keyed_hash(&self.key, bearer.as_bytes()).to_hex().as_str().into()
    }

    /// The team that a bearer key proves.
    ///
    /// The look-up is by hash, so its timing tells nothing about keys that exist.
    pub fn team(&self, view: &View, bearer: &str) -> Option<WorkspaceId> {
        view.keys.get(&self.hash(bearer)).cloned()
    }
}
