//! Transfers between routers of two versions.

use super::{
    OffsetRecord, Request, Response, decode_request, decode_response, encode_request,
    encode_response,
};
use crate::{
    dialect::{Page, Record, Subject},
    transfer::{RecordsRequest, RecordsResponse},
};
use corianderstand_types::position::{Era, Position};

fn record(key: &str, position: Position) -> Record {
    Record { key: key.into(), value: Some("entry".into()), position }
}

/// Guards against records of an earlier era that pass for those of the page's.
#[test]
fn records_keep_their_eras() {
    let at = |era, offset| Position::new(Era(era), offset);
    let page = Page {
        records: vec![record("present", at(3, 4)), record("awaited", at(2, 90))],
        next: at(3, 9),
        whole: true,
        reaches_end: false,
    };
    let response = RecordsResponse { read_age: None, page: page.clone() };
    let decoded = decode_response(&encode_response(response).unwrap()).unwrap();
    assert_eq!(decoded.page, page);
    let request = RecordsRequest { subject: Subject::Targets, start: Some(at(3, 9)) };
    let decoded = decode_request(&encode_request(&request).unwrap()).unwrap();
    assert_eq!(decoded.start, request.start);
}

/// Guards against a rolling upgrade in which routers of two versions get no records from each other.
#[test]
fn routers_of_earlier_versions_are_understood_and_understand() {
    let request = postcard::to_stdvec(&Request { subject: Subject::Config, start_offset: Some(7) });
    let decoded = decode_request(&request.unwrap()).unwrap();
    assert_eq!(decoded.start, Some(Position::new(Era(0), 7)));
    let records = vec![OffsetRecord { key: "a".into(), value: None, offset: 5 }];
    let response =
        Response { read_age: None, records, next_offset: 6, whole: false, reaches_end: false };
    let decoded = decode_response(&postcard::to_stdvec(&response).unwrap()).unwrap();
    assert_eq!(decoded.page.next, Position::new(Era(0), 6));
    let start = Some(Position::new(Era(4), 7));
    let request = encode_request(&RecordsRequest { subject: Subject::Config, start }).unwrap();
    let earlier: Request = postcard::from_bytes(&request).unwrap();
    assert_eq!(earlier.start_offset, Some(7));
}
