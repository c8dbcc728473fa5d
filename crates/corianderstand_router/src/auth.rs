//! Authentication by bearer keys, of which only keyed hashes are stored.

use corianderstand_state::view::View;
use corianderstand_types::names::WorkspaceId;
use smol_str::SmolStr;

/// Hashes bearer keys with the deployment's secret key.
#[derive(Clone)]
pub struct Hasher {
    secret_key: [u8; 32],
}

/// Why a hashing key is invalid.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum AuthError {
    /// `auth_key` is not 64 hexadecimal digits: make one with a random generator
    Key,
}

impl std::error::Error for AuthError {}

impl Hasher {
    /// Parses a key of 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// [`AuthError::Key`] for any other text.
    pub fn new(hex: &str) -> Result<Self, AuthError> {
        let hash = blake3::Hash::from_hex(hex).map_err(|_| AuthError::Key)?;
        Ok(Self { secret_key: *hash.as_bytes() })
    }

    /// Hashes a bearer key to the form stored in settings.
    pub fn hash(&self, bearer: &str) -> SmolStr {
        blake3::keyed_hash(&self.secret_key, bearer.as_bytes()).to_hex().as_str().into()
    }

    /// Returns the workspace of a bearer key; the lookup by hash leaks nothing through its timing.
    pub fn team(&self, view: &View, bearer: &str) -> Option<WorkspaceId> {
        view.keys.get(&self.hash(bearer)).cloned()
    }
}
