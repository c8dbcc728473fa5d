//! Identifiers of teams, targets, models and the like.
//!
//! Names occur in paths, log records and metrics, so they are limited to letters, digits, `-`, `_`
//! and `.`, and to [`MAX_NAME_BYTES`] bytes.

use corianderstand_derives::derives;
use smol_str::SmolStr;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 96;

/// Why a name is invalid.
#[derive(Clone, PartialEq, Eq, Debug, displaydoc::Display)]
pub enum NameError {
    /// a name is empty: give it at least one character
    Empty,
    /// a name has {0} bytes: use at most 96
    TooLong(usize),
    /// a name contains {0:?}: use letters, digits, '-', '_' and '.'
    Character(char),
}

impl std::error::Error for NameError {}

/// Validates the length and characters of a name.
pub fn check(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(name.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    name.chars().find(|&c| !allowed(c)).map_or(Ok(()), |c| Err(NameError::Character(c)))
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derives(name)]
        #[derive(Default, serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub SmolStr);

        impl $name {
            /// Checks and wraps a name.
            pub fn new(name: impl AsRef<str>) -> Result<Self, NameError> {
                check(name.as_ref())?;
                Ok(Self(SmolStr::new(name.as_ref())))
            }

            /// The name as text.
            #[inline]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                Self::new(s)
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(SmolStr::new(s))
            }
        }
    )*};
}

names! {
    /// A rented machine.
    HostId;
    /// An availability zone.
    AvailabilityZoneId;
    /// A workspace: a customer's subtree of settings and its API keys.
    WorkspaceId;
    /// A target: an engine or a plain service.
    TargetId;
    /// A base model.
    ModelId;
    /// An adapter of a base model.
    AdapterId;
    /// A version of a model or adapter.
    VersionId;
    /// A version of the software that a target runs; versions have no order.
    SoftwareVersion;
    /// A plain service that several targets may offer.
    ServiceId;
    /// A process that writes to the log.
    WriterId;
}
