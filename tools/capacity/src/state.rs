//! Cost of the replicated state in one process, measured without sockets.

use crate::{process, size};
use corianderstand_derives::derives;
use corianderstand_edge::log::Entry;
use corianderstand_schema::records::Record;
use corianderstand_state::{fold::State, view::View};
use std::time::Instant;

const TIMED_CLONES: u32 = 1000;
const TIMED_CHANGES: usize = 20;

#[derives(wire)]
pub struct StateCost {
    pub size: size::Size,
    pub records: usize,
    /// Bytes of all records in the log.
    pub record_bytes: usize,
    pub checkpoint_bytes: usize,
    pub state_kib: i64,
    /// Resident memory of the parsed settings, in KiB.
    pub view_kib: i64,
    pub fold_ns: f64,
    pub checkpoint_ms: f64,
    /// Time to deserialize the state, in milliseconds.
    pub restore_ms: f64,
    /// Time to parse all settings, in milliseconds.
    pub view_ms: f64,
    /// Time to apply a change of one document and parse the settings, in milliseconds.
    pub change_ms: f64,
    /// Time to build the state and the settings from a JSON page of the log, in milliseconds.
    pub start_ms: f64,
    pub clone_us: f64,
}

fn timed<T>(run: impl FnOnce() -> T) -> (T, f64) {
    let started_at = Instant::now();
    let value = run();
    (value, started_at.elapsed().as_secs_f64())
}

fn fold_records(records: &[Record]) -> State {
    let mut state = State { next: 1, ..State::default() };
    for (offset, record) in (1..).zip(records) {
        state.apply(offset, offset, record);
    }
    state
}

fn log_entries(records: &[Record]) -> Vec<Entry> {
    let entry = |(offset, record)| {
        let data = postcard::to_stdvec(record).expect("records can be serialized");
        Entry { offset, at_ms: offset, data }
    };
    (1..).zip(records).map(entry).collect()
}

/// Builds the state and the settings from a JSON page of the log, as a starting process does.
fn start_from_log(json: &[u8]) -> (State, View) {
    let entries: Vec<Entry> = serde_json::from_slice(json).expect("written by this program");
    let mut state = State { next: 1, ..State::default() };
    for entry in &entries {
        let record = postcard::from_bytes(&entry.data).expect("written by this program");
        state.apply(entry.offset, entry.at_ms, &record);
    }
    let view = View::new(&state.documents);
    (state, view)
}

/// Measures a state of one size in the current process.
pub fn measure(size: size::Size) -> StateCost {
    let records = size::records(size, |i| format!("10.0.0.1:{}", 1000 + i).into());
    let before = process::resident_kib(std::process::id());
    let (state, fold_s) = timed(|| fold_records(&records));
    let after_state = process::resident_kib(std::process::id());
    let (view, view_s) = timed(|| View::new(&state.documents));
    let after_view = process::resident_kib(std::process::id());
    let ((), clones_s) = timed(|| (0..TIMED_CLONES).for_each(|_| drop(state.clone())));
    let (bytes, checkpoint_s) =
        timed(|| postcard::to_stdvec(&state).expect("the state can be serialized"));
    let (restored, restore_s) = timed(|| postcard::from_bytes::<State>(&bytes));
    drop(restored);
    let change_s = mean_change_time_s(&state, &view);
    let entries = log_entries(&records);
    let record_bytes = entries.iter().map(|entry| entry.data.len()).sum();
    let json = serde_json::to_vec(&entries).expect("entries can be serialized");
    let (started, start_s) = timed(|| start_from_log(&json));
    drop(started);
    StateCost {
        size,
        records: records.len(),
        record_bytes,
        checkpoint_bytes: bytes.len(),
        state_kib: after_state - before,
        view_kib: after_view - after_state,
        fold_ns: fold_s * 1e9 / records.len().max(1) as f64,
        checkpoint_ms: checkpoint_s * 1e3,
        restore_ms: restore_s * 1e3,
        view_ms: view_s * 1e3,
        change_ms: change_s * 1e3,
        start_ms: start_s * 1e3,
        clone_us: clones_s * 1e6 / f64::from(TIMED_CLONES),
    }
}

/// Mean time in which a follower applies a settings change.
fn mean_change_time_s(state: &State, view: &View) -> f64 {
    let mut state = state.clone();
    let mut view = view.clone();
    let path = "teams/team-0000/team";
    let mut seconds = 0.0;
    for i in 0..TIMED_CHANGES {
        let base = state.documents.version_of(path);
        let text = format!("{{\"key_hashes\":[],\"default_urgency\":\"low\",\"share\":{i}}}");
        let value = Some(text);
        let change = corianderstand_schema::records::Change { path: path.into(), base, value };
        let offset = state.next;
        state.next += 1;
        let changed = state.documents.change(offset, &[change], "capacity");
        changed.expect("the change is based on the current version");
        let (next, view_s) = timed(|| View::new(&state.documents));
        view = next;
        seconds += view_s;
    }
    drop(view);
    seconds / TIMED_CHANGES as f64
}
