//! Two operators change the same settings concurrently; the order of the log decides.

use corianderstand::state::fold::State;
use corianderstand_schema::records::{Body, Change, Record};

fn main() {
    let mut state = State::default();
    for (offset, author) in [(1, "ana"), (2, "ken")] {
        let change = Change { path: "system/deployment".into(), base: 0, value: Some("{}".into()) };
        let (author, ticket) = (author.into(), format!("t-{offset}").into());
        let body = Body::Settings { changes: vec![change], author, ticket, not_after_ms: 1000 };
        let writer = format!("router-{offset}").as_str().into();
        let record = Record { writer, incarnation: 1, sequence: 1, body };
        println!("record {offset}: {:?}", state.apply(offset, 0, &record));
    }
}
