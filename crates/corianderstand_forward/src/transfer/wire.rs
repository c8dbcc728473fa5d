//! Encoding of requests and responses of a transfer.
//!
//! Routers of earlier versions know offsets only. The eras follow the fields that these know, which ignore them; what
//! they send lacks the eras.

use super::{RecordsRequest, RecordsResponse};
use crate::dialect::{Page, Record, Subject};
use bytes::Bytes;
use corianderstand_types::position::{Era, Position};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol_str::SmolStr;
use std::time::Duration;

#[derive(Serialize, Deserialize)]
struct Request {
    subject: Subject,
    start_offset: Option<u64>,
}

#[derive(Serialize, Deserialize)]
struct Response {
    read_age: Option<Duration>,
    records: Vec<OffsetRecord>,
    next_offset: u64,
    whole: bool,
    reaches_end: bool,
}

#[derive(Serialize, Deserialize)]
struct OffsetRecord {
    key: SmolStr,
    value: Option<Bytes>,
    offset: u64,
}

/// What follows a response.
#[derive(Default, Serialize, Deserialize)]
struct ResponseEras {
    era: Era,
    /// Records from before the store came back, which it lacks.
    earlier: Vec<(Era, OffsetRecord)>,
}

pub(super) fn encode_request(request: &RecordsRequest) -> postcard::Result<Vec<u8>> {
    let RecordsRequest { subject, start } = *request;
    let start_offset = start.map(Position::offset);
    let era = start.map(Position::era).unwrap_or_default();
    postcard::to_stdvec(&(Request { subject, start_offset }, era))
}

pub(super) fn decode_request(bytes: &[u8]) -> postcard::Result<RecordsRequest> {
    let (Request { subject, start_offset }, era) = decode::<Request, Era>(bytes)?;
    let start = start_offset.map(|offset| Position::new(era, offset));
    Ok(RecordsRequest { subject, start })
}

pub(super) fn encode_response(response: RecordsResponse) -> postcard::Result<Vec<u8>> {
    let RecordsResponse { read_age, page } = response;
    let era = page.next.era();
    let (records, earlier): (Vec<Record>, Vec<Record>) =
        page.records.into_iter().partition(|record| record.position.era() == era);
    let earlier = earlier.into_iter().map(|record| (record.position.era(), record.into()));
    let eras = ResponseEras { era, earlier: earlier.collect() };
    let response = Response {
        read_age,
        records: records.into_iter().map(Into::into).collect(),
        next_offset: page.next.offset(),
        whole: page.whole,
        reaches_end: page.reaches_end,
    };
    postcard::to_stdvec(&(response, eras))
}

pub(super) fn decode_response(bytes: &[u8]) -> postcard::Result<RecordsResponse> {
    let (response, ResponseEras { era, earlier }) = decode::<Response, ResponseEras>(bytes)?;
    let records = response.records.into_iter().map(|record| record.in_era(era));
    let earlier = earlier.into_iter().map(|(era, record)| record.in_era(era));
    let page = Page {
        records: records.chain(earlier).collect(),
        next: Position::new(era, response.next_offset),
        whole: response.whole,
        reaches_end: response.reaches_end,
    };
    Ok(RecordsResponse { read_age: response.read_age, page })
}

/// Decodes a value and what follows it, unless the sender is of an earlier version.
fn decode<T: DeserializeOwned, E: DeserializeOwned + Default>(
    bytes: &[u8],
) -> postcard::Result<(T, E)> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        return Ok((value, E::default()));
    }
    Ok((value, postcard::from_bytes(rest)?))
}

impl From<Record> for OffsetRecord {
    fn from(Record { key, value, position }: Record) -> Self {
        Self { key, value, offset: position.offset() }
    }
}

impl OffsetRecord {
    fn in_era(self, era: Era) -> Record {
        let Self { key, value, offset } = self;
        Record { key, value, position: Position::new(era, offset) }
    }
}

#[cfg(test)]
mod tests;
