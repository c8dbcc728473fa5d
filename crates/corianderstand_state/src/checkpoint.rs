//! The whole state written into the log, for readers that find no older records.
//!
//! The log keeps records for a limited time. The lease holder writes the state in parts well
//! within that time. A reader without the older records gathers the parts with a [`Collector`]
//! and folds on from the offset that the state was taken at.

use crate::fold::{Rejection, State};
use corianderstand_derives::derives;
use corianderstand_schema::records::{Body, Record};
use corianderstand_types::names::WriterId;

/// Bytes in one part: small beside what one append may carry.
pub const PART_BYTES: usize = 48 * 1024;

/// A checkpoint that stands whole in the log.
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

/// A checkpoint of which some parts stand in the log.
#[derives(wire)]
#[derive(Copy, Eq)]
pub struct PartialCheckpoint {
    /// The state's next offset when it was taken.
    pub as_of: u64,
    /// Offset of its first part.
    pub first: u64,
    /// Parts in all.
    pub parts: u32,
    /// The part that comes next.
    pub next_part: u32,
}

/// What is agreed about checkpoints.
#[derives(wire)]
#[derive(Default)]
pub struct Checkpoints {
    /// The last whole one.
    pub last: Option<CompleteCheckpoint>,
    /// The one being written.
    pub underway: Option<PartialCheckpoint>,
}

impl Checkpoints {
    /// Notes a part; parts come in order, and the first starts anew.
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

/// The state as bytes, the same on every process that folded as far.
pub fn encode(state: &State) -> Vec<u8> {
    postcard::to_stdvec(state).expect("state is plain data")
}

/// A state from its bytes; `None` if they cannot be read.
pub fn decode(bytes: &[u8]) -> Option<State> {
    postcard::from_bytes(bytes).ok()
}

/// Digest of a state's bytes.
pub fn digest(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}

/// The records that write `state` into the log.
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

/// Which checkpoint a part belongs to.
#[derives(data)]
#[derive(Eq)]
struct Source {
    writer: WriterId,
    incarnation: u64,
    as_of: u64,
    digest: u64,
}

/// Gathers the parts of a checkpoint without a state to judge them by.
///
/// Whether the writer held the lease does not matter here: whoever folded the log up to an
/// offset holds the one right state of that offset, and the digest shows that it came whole.
#[derive(Debug, Default)]
pub struct Collector {
    source: Option<Source>,
    next_part: u32,
    bytes: Vec<u8>,
}

impl Collector {
    /// Takes a record; gives the state once all parts of one checkpoint have come.
    pub fn receive(&mut self, record: &Record) -> Option<State> {
        let Body::CheckpointPart { as_of, part, parts, digest, data, .. } = &record.body else {
            return None;
        };
        let (writer, incarnation) = (record.writer.clone(), record.incarnation);
        let source = Some(Source { writer, incarnation, as_of: *as_of, digest: *digest });
        if *part == 0 {
            *self = Self { source, next_part: 0, bytes: Vec::new() };
        } else if self.source != source || self.next_part != *part {
            // A repeat after a lost answer, or another writer's part.
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
