//! Identities of a request's content, which is the same each time that its caller sends it, and of the parts of
//! prompts, which requests share.

use corianderstand_derives::derives;
use std::fmt;

/// Hash of a request's caller and content.
#[derives(key)]
pub struct Fingerprint(pub u128);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Hash of the id that a caller gives to a part of a prompt.
#[derives(key)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What requests may have in common with those under which targets ended.
#[derives(key)]
pub enum Feature {
    /// The whole request, with its caller.
    Request(Fingerprint),
    /// A part of its prompt, whoever sends it.
    Part(PartId),
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "request {fingerprint}"),
            Self::Part(part) => write!(f, "part {part}"),
        }
    }
}
