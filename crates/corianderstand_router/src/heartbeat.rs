//! Decides when a connection needs a heartbeat and when it is idle or unresponsive.

#[cfg(test)]
mod tests;

use crate::dial::IDLE_HEARTBEATS;
use corianderstand_schema::process::Timing;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// No heartbeat is due, as both sides have sent data since the last tick.
    Skip,
    Ping(u64),
    CloseIdle,
    /// Close the connection: nothing was received for this time.
    Unresponsive(Duration),
}

/// Tracks the traffic of a connection between ticks.
#[derive(Debug)]
pub struct HeartbeatMonitor {
    interval: Duration,
    response_timeout: Duration,
    last_nonce: u64,
    ticks_unresponsive: u32,
    ticks_idle: u32,
    sent_since_tick: bool,
    received_since_tick: bool,
    has_ever_received: bool,
}

impl HeartbeatMonitor {
    pub const fn new(timing: &Timing) -> Self {
        Self {
            interval: timing.heartbeat_ms.0,
            response_timeout: timing.silence_ms.0,
            last_nonce: 0,
            ticks_unresponsive: 0,
            ticks_idle: 0,
            sent_since_tick: true,
            received_since_tick: true,
            has_ever_received: false,
        }
    }

    pub const fn on_sent(&mut self) {
        self.sent_since_tick = true;
    }

    pub const fn on_received(&mut self) {
        self.received_since_tick = true;
        self.has_ever_received = true;
    }

    /// Ends a heartbeat interval; `busy` is whether response streams are in flight.
    pub fn on_tick(&mut self, busy: bool) -> HeartbeatAction {
        self.ticks_unresponsive =
            if self.received_since_tick { 0 } else { self.ticks_unresponsive + 1 };
        self.ticks_idle = if busy { 0 } else { self.ticks_idle + 1 };
        let active = std::mem::take(&mut self.sent_since_tick)
            && std::mem::take(&mut self.received_since_tick);
        self.received_since_tick = false;
        let unresponsive_for = self.interval * self.ticks_unresponsive;
        if unresponsive_for >= self.response_timeout {
            return HeartbeatAction::Unresponsive(unresponsive_for);
        }
        if self.ticks_idle > IDLE_HEARTBEATS && self.has_ever_received {
            return HeartbeatAction::CloseIdle;
        }
        if active {
            return HeartbeatAction::Skip;
        }
        self.last_nonce += 1;
        HeartbeatAction::Ping(self.last_nonce)
    }
}
