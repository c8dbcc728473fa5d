//! Entries of targets.

use super::id;
use corianderstand_fleet::targets::{Entry, Holdings, Resident};
use std::net::SocketAddr;

/// A distinct address, on its own host, for each name.
pub fn address(name: &str) -> SocketAddr {
    let host = name.bytes().fold(0_u8, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte));
    SocketAddr::from(([127, 0, 1, host], 1))
}

pub fn entry(name: &str) -> Entry {
    Entry {
        id: id(name),
        started_at_ms: 10,
        renewals: 5,
        service: "models".into(),
        addr: address(name),
        zone: "here".into(),
        slots: 4,
        draining: false,
        shutdown_in: None,
        version: None,
        holdings: holdings(&["m"]),
    }
}

pub fn holdings(models: &[&str]) -> Holdings {
    let resident = models.iter().map(|model| Resident { model: (*model).into(), adapters: vec![] });
    Holdings { resident: resident.collect(), ..Default::default() }
}
