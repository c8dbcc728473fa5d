//! Identity of a request's content, which is the same each time that its caller sends it.

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
