//! Computes the fingerprint of a request.

use crate::job;
use corianderstand_fleet::fingerprint;
use http::{HeaderName, header};

/// Headers that identify a caller, besides its workspace's host name. Its address is no part of it: one
/// caller's requests come from several.
const CREDENTIAL_HEADERS: [HeaderName; 4] = [
    header::AUTHORIZATION,
    header::PROXY_AUTHORIZATION,
    header::COOKIE,
    HeaderName::from_static("x-api-key"),
];

/// Hashes the caller, method, path, model and body, which are the same when the request is repeated.
pub fn fingerprint(job: &job::Job) -> fingerprint::Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let mut update = |field: &[u8]| {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    };
    update(job.method.as_str().as_bytes());
    update(job.headers.get(header::HOST).map_or(b"".as_slice(), |host| host.as_bytes()));
    update(job.uri.to_string().as_bytes());
    for name in &CREDENTIAL_HEADERS {
        let values = job.headers.get_all(name);
        update(&(values.iter().count() as u64).to_le_bytes());
        values.iter().for_each(|value| update(value.as_bytes()));
    }
    let requested = job.request.requested_model.as_ref();
    update(requested.map_or("", |requested| requested.model.as_str()).as_bytes());
    let adapter = requested.and_then(|requested| requested.adapter.as_ref());
    update(adapter.map_or("", |adapter| adapter.as_str()).as_bytes());
    update(&job.body);
    let mut hash = [0; 16];
    hasher.finalize_xof().fill(&mut hash);
    fingerprint::Fingerprint(u128::from_le_bytes(hash))
}
