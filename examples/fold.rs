//! Shows two operators changing the same settings at once: the log's order decides.

use corianderstand::state::fold::State;
use corianderstand_schema::records::{Body, Change, Record};

fn main() {
    let mut state = State::default();
    for (offset, author) in [(1, "ana"), (2, "ken")] {
        let change = Change { path: "system/deployment".into(), base: 0, value: Some("{}".into()) };
        let body = Body::Settings { changes: vec![change], author: author.into() };
        let writer = format!("router-{offset}").as_str().into();
        let record = Record { writer, incarnation: 1, sequence: 1, body };
        println!("{author}: {:?}", state.apply(offset, 0, &record));
    }
}
