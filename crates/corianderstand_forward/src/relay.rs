//! Passing a stream's events on as they come, and taking the stream up elsewhere when it breaks.
//!
//! Of a stream that may be taken up, only whole events are passed on: a target may stop in the
//! middle of one, and the rest would be joined to the first event of the next target. The number of
//! the last event that went out is what the next target is asked to go on after.

use bytes::{Bytes, BytesMut};

/// Ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Begins the line with an event's number.
const ID_FIELD: &[u8] = b"id:";

/// A target that took a stream up did not go on with the next event.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EventGap;

/// Cuts a stream's bytes into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_event: Option<u64>,
    resumed: bool,
    events: u64,
}

impl EventSplitter {
    /// Takes bytes and returns the whole events that are there now.
    ///
    /// # Errors
    ///
    /// [`EventGap`] if the stream was taken up and its first event is not the next one.
    pub fn push(&mut self, chunk: Bytes) -> Result<Option<Bytes>, EventGap> {
        if self.partial.is_empty() && chunk.ends_with(EVENT_END) {
            self.record(&chunk)?;
            return Ok(Some(chunk));
        }
        self.partial.extend_from_slice(&chunk);
        let Some(end) = find_last(&self.partial, EVENT_END) else { return Ok(None) };
        let whole = self.partial.split_to(end + EVENT_END.len()).freeze();
        self.record(&whole)?;
        Ok(Some(whole))
    }

    /// Whether bytes of an event that is not whole are left.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Forgets the event that is not whole; the next target begins it anew.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.resumed = true;
    }

    /// Number of the last whole event.
    pub const fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Whole events so far.
    pub const fn events(&self) -> u64 {
        self.events
    }

    fn record(&mut self, whole: &[u8]) -> Result<(), EventGap> {
        for event in whole.split(|&b| b == b'\n').filter_map(parse_event_id) {
            let resumed = std::mem::take(&mut self.resumed);
            if resumed && self.last_event.is_some_and(|last| event != last + 1) {
                return Err(EventGap);
            }
            self.last_event = Some(event);
            self.events += 1;
        }
        Ok(())
    }
}

/// The number in a line `id: 12`.
fn parse_event_id(line: &[u8]) -> Option<u64> {
    let rest = line.strip_prefix(ID_FIELD)?;
    std::str::from_utf8(rest).ok()?.trim().parse().ok()
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|window| window == pattern)
}
