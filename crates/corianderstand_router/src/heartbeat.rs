//! When a connection needs a heartbeat, and when it is idle or silent.
//!
//! Chunks and credit of a stream in flight show both ends that the connection lives, so a
//! heartbeat is sent only in an interval in which one side said nothing. At the peak a router
//! has some two hundred streams in flight, most of them with a token every few milliseconds.

#[cfg(test)]
mod tests;

use crate::dial::IDLE_HEARTBEATS;
use corianderstand_schema::process::Timing;
use std::time::Duration;

/// What to do at a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Nothing: both sides have spoken.
    Skip,
    /// Send a heartbeat.
    Ping(u64),
    /// Close: it has carried no stream for a while.
    CloseIdle,
    /// Give it up: the other side has said nothing for so long.
    Unresponsive(Duration),
}

/// What has been said on one connection, counted in ticks.
#[derive(Debug)]
pub struct HeartbeatMonitor {
    interval: Duration,
    response_timeout: Duration,
    nonce: u64,
    ticks_unresponsive: u32,
    ticks_idle: u32,
    sent: bool,
    received: bool,
    ever_received: bool,
}

impl HeartbeatMonitor {
    /// A connection that has just been opened.
    pub const fn new(timing: &Timing) -> Self {
        Self {
            interval: timing.heartbeat_ms.0,
            response_timeout: timing.silence_ms.0,
            nonce: 0,
            ticks_unresponsive: 0,
            ticks_idle: 0,
            sent: true,
            received: true,
            ever_received: false,
        }
    }

    /// Something was sent.
    pub const fn on_sent(&mut self) {
        self.sent = true;
    }

    /// Something was received.
    pub const fn on_received(&mut self) {
        self.received = true;
        self.ever_received = true;
    }

    /// One interval has passed; `busy` tells whether streams are in flight.
    ///
    /// A device between the two ends may lose track of the connection; no error ever comes
    /// then. The limit on silence is counted here, over all that is awaited, as a wait that is
    /// begun anew after each heartbeat would never end.
    pub fn on_tick(&mut self, busy: bool) -> HeartbeatAction {
        self.ticks_unresponsive = if self.received { 0 } else { self.ticks_unresponsive + 1 };
        self.ticks_idle = if busy { 0 } else { self.ticks_idle + 1 };
        let active = std::mem::take(&mut self.sent) && std::mem::take(&mut self.received);
        self.received = false;
        let unresponsive_for = self.interval * self.ticks_unresponsive;
        if unresponsive_for >= self.response_timeout {
            return HeartbeatAction::Unresponsive(unresponsive_for);
        }
        if self.ticks_idle > IDLE_HEARTBEATS && self.ever_received {
            return HeartbeatAction::CloseIdle;
        }
        if active {
            return HeartbeatAction::Skip;
        }
        self.nonce += 1;
        HeartbeatAction::Ping(self.nonce)
    }
}
