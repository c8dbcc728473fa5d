//! Checkpoints: the whole state, written to the log in parts.
//!
//! The log's retention is limited, so the lease holder writes checkpoints within it. A new reader
//! restores the state with a [`Collector`] and applies records from the checkpoint's offset.

use crate::fold::{Rejection, State};
use corianderstand_derives::derives;
use corianderstand_schema::records::{Body, Record};
use corianderstand_types::names::WriterId;

/// Size of one part; well below the limit of an append.
pub const PART_BYTES: usize = 48 * 1024;

/// A checkpoint that is complete in the log.
#[derives(wire)]
#[derive(Copy, Eq)]
pub struct CompleteCheckpoint {
    /// The state's next offset when it was taken.
    pub as_of: u64,
    /// Offset of its first part.
    pub first: u64,
    /// Log time of its last part.
    pub at_ms: u64,
}

/// A checkpoint that is partly written to the log.
#[derives(wire)]
#[derive(Copy, Eq)]
pub struct PartialCheckpoint {
    /// The state's next offset when it was taken.
    pub as_of: u64,
    /// Offset of its first part.
    pub first: u64,
    /// Number of parts.
    pub parts: u32,
    /// Index of the next part.
    pub next_part: u32,
}

/// State of the checkpoints in the log.
#[derives(wire)]
#[derive(Default)]
pub struct Checkpoints {
    /// The latest complete checkpoint.
    pub last: Option<CompleteCheckpoint>,
    /// The checkpoint being written.
    pub underway: Option<PartialCheckpoint>,
}

impl Checkpoints {
    /// Records a part. Parts must be in order; part 0 starts a new checkpoint.
    pub fn record_part(
        &mut self,
        at: (u64, u64),
        as_of: u64,
        part: u32,
        parts: u32,
    ) -> Result<(), Rejection> {
        let (offset, at_ms) = at;
        let expected = match self.underway {
            _ if part == 0 => PartialCheckpoint { as_of, first: offset, parts, next_part: 0 },
            Some(underway) => underway,
            None => return Err(Rejection::CheckpointGap),
        };
        if (expected.as_of, expected.parts, expected.next_part) != (as_of, parts, part) {
            return Err(Rejection::CheckpointGap);
        }
        if part + 1 >= parts {
            self.last = Some(CompleteCheckpoint { as_of, first: expected.first, at_ms });
            self.underway = None;
        } else {
            self.underway = Some(PartialCheckpoint { next_part: part + 1, ..expected });
        }
        Ok(())
    }
}

/// Encodes the state; deterministic, so that processes agree on the digest.
pub fn encode(state: &State) -> Vec<u8> {
    postcard::to_stdvec(state).expect("state is plain data")
}

/// Decodes a state; `None` if the bytes are invalid.
pub fn decode(bytes: &[u8]) -> Option<State> {
    postcard::from_bytes(bytes).ok()
}

/// Digest of an encoded state.
pub fn digest(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}

/// Splits `state` into the checkpoint records to append.
pub fn split(state: &State) -> Vec<Body> {
    let bytes = encode(state);
    let digest = digest(&bytes);
    let chunks: Vec<&[u8]> = bytes.chunks(PART_BYTES).collect();
    let parts = chunks.len() as u32;
    let body = |(part, data): (u32, &&[u8])| Body::CheckpointPart {
        epoch: state.lease.epoch,
        as_of: state.next,
        part,
        parts,
        digest,
        data: data.to_vec(),
    };
    (0..).zip(&chunks).map(body).collect()
}

/// Identity of the checkpoint that a part belongs to.
#[derives(data)]
#[derive(Eq)]
struct Source {
    writer: WriterId,
    incarnation: u64,
    as_of: u64,
    digest: u64,
}

/// Assembles a checkpoint from its parts before any state exists.
#[derive(Debug, Default)]
pub struct Collector {
    source: Option<Source>,
    next_part: u32,
    bytes: Vec<u8>,
}

impl Collector {
    /// Receives a record and returns the state once a checkpoint is complete.
    pub fn receive(&mut self, record: &Record) -> Option<State> {
        let Body::CheckpointPart { as_of, part, parts, digest, data, .. } = &record.body else {
            return None;
        };
        let (writer, incarnation) = (record.writer.clone(), record.incarnation);
        let source = Some(Source { writer, incarnation, as_of: *as_of, digest: *digest });
        if *part == 0 {
            *self = Self { source, next_part: 0, bytes: Vec::new() };
        } else if self.source != source || self.next_part != *part {
            // A retried append or a part of another checkpoint.
            return None;
        }
        self.bytes.extend_from_slice(data);
        self.next_part = part + 1;
        if self.next_part < *parts || self::digest(&self.bytes) != *digest {
            return None;
        }
        decode(&self.bytes).filter(|state| state.next == *as_of)
    }
}
