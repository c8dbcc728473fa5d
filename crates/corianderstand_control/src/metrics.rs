//! Metrics sent to statsd, and the table of all metrics with unit and meaning.
//!
//! Sending never blocks: a separate thread drains a bounded queue, and metrics beyond its capacity
//! are dropped. Metrics are sent per request, never per chunk or token.

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricSink, NopMetricSink, QueuingMetricSink,
    StatsdClient, Timed,
};
use corianderstand_derives::derives;
use std::{fmt, net::UdpSocket, sync::Arc, time::Duration};

const QUEUE_CAPACITY: usize = 4096;
const PREFIX: &str = "corianderstand";
/// Interval at which gauges are reported.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How a metric is aggregated.
#[derives(key)]
pub enum Kind {
    /// A sum.
    Counter,
    /// The last value.
    Gauge,
    /// A distribution of durations, in milliseconds.
    Timer,
}

macro_rules! metrics {
    ($($variant:ident, $kind:ident, $name:literal, $unit:literal, $meaning:literal;)*) => {
        /// A metric of the service.
        #[derives(key)]
        pub enum Metric {
            $(#[doc = $meaning] $variant,)*
        }

        impl Metric {
            /// All metrics, in the order of the documentation.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// The name without the common prefix.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// How it is aggregated.
            pub const fn kind(self) -> Kind {
                match self { $(Self::$variant => Kind::$kind,)* }
            }

            /// The unit of its values.
            pub const fn unit(self) -> &'static str {
                match self { $(Self::$variant => $unit,)* }
            }

            /// A description for operators.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$variant => $meaning,)* }
            }
        }
    };
}

metrics! {
    RouterRequests, Counter, "router.requests", "requests", "Callers' requests that were judged.";
    RouterRefusals, Counter, "router.refusals", "requests", "Requests not answered; tag `reason` is the error's code.";
    RouterCalls, Counter, "router.calls", "calls", "Calls to plain services; tag `outcome` is ran, not-run or unknown.";
    RouterTime, Timer, "router.time", "ms", "From a request to its whole answer, or to the first part of a stream.";
    RouterFirstChunk, Timer, "router.first_chunk", "ms", "From a request to the first part of its stream.";
    RouterHeld, Gauge, "router.held", "requests", "Requests waiting or running.";
    RouterConnections, Gauge, "router.connections", "connections", "Connections from callers.";
    RouterRetries, Counter, "router.retries", "requests", "Requests sent to a second target.";
    RouterLost, Counter, "router.lost_connections", "connections", "Connections to agents that ended.";
    AgentRunning, Gauge, "agent.running", "requests", "Requests that run on the target.";
    AgentQueue, Gauge, "agent.queue", "requests", "Requests that wait at the agent.";
    AgentWaitEstimate, Gauge, "agent.wait_estimate", "ms", "Wait that a new request has to expect.";
    AgentWait, Timer, "agent.wait", "ms", "From a request's coming to its start on the target.";
    AgentRun, Timer, "agent.run", "ms", "From a request's start on the target to its end.";
    AgentRefusals, Counter, "agent.refusals", "requests", "Requests refused; tag `reason`.";
    AgentTokens, Counter, "agent.tokens", "tokens", "Parts of answers passed on; one token each at an engine.";
    AgentLoads, Counter, "agent.loads", "loads", "Answered orders to load; tag `outcome` is done, failed or unknown.";
    AgentLoadTime, Timer, "agent.load_time", "ms", "From an order to load to its answer.";
    AgentColdStarts, Counter, "agent.cold_starts", "loads", "Models loaded because a request wanted them.";
    AgentUnloads, Counter, "agent.unloads", "orders", "Answered orders to unload; tag `outcome`.";
    ControlAppends, Counter, "control.appends", "appends", "Appends to the log; tag `outcome` is done or unknown.";
    ControlRecords, Counter, "control.records", "records", "Records in those appends.";
    ControlAppendTime, Timer, "control.append_time", "ms", "From an append to its answer.";
    ControlReadFailures, Counter, "control.read_failures", "reads", "Reads of the log that failed.";
    ControlFoldLag, Timer, "control.fold_lag", "ms", "Age of the newest record of a read when it came, by the log's clock.";
    ControlLogUp, Gauge, "control.log_up", "0 or 1", "Whether the last read of the log succeeded.";
    ControlOffset, Gauge, "control.offset", "records", "Offset of the log up to which it is folded.";
    ControlVersion, Gauge, "control.settings_version", "offset", "Version of the settings in force here.";
    ControlLeaseHeld, Gauge, "control.lease_held", "0 or 1", "Whether this process holds the control lease.";
    ControlLeaseEpoch, Gauge, "control.lease_epoch", "epochs", "Epoch of the control lease; it grows when the lease changes hands.";
    ControlTrafficBytes, Counter, "control.traffic_bytes", "bytes", "Control traffic both ways; tag `duty` is follow, serve or link.";
    ControlTrafficMessages, Counter, "control.traffic_messages", "messages", "Messages of control traffic; tag `duty`.";
    ControlTrafficLimited, Counter, "control.traffic_limited", "times", "Reads put off and followers refused, as the budget was spent; tag `duty`.";
}

/// Sends metrics; cheap to clone.
#[derive(Clone)]
pub struct Metrics(Arc<StatsdClient>);

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::with_sink(NopMetricSink, "none")
    }
}

impl Metrics {
    /// Sends to the statsd server at `address`, or drops all metrics if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be bound or the address is invalid.
    pub fn new(address: Option<&str>, process: &str) -> std::io::Result<Self> {
        let Some(address) = address else { return Ok(Self::default()) };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        Ok(Self::with_sink(QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY), process))
    }

    /// Sends to a custom sink.
    pub fn with_sink<S>(sink: S, process: &str) -> Self
    where
        S: MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static,
    {
        let client = StatsdClient::builder(PREFIX, sink).with_tag("process", process);
        // Failures to send are ignored: logging each would flood the log.
        Self(Arc::new(client.with_error_handler(|_| {}).build()))
    }

    /// Adds to a counter.
    pub fn count(&self, metric: Metric, count: u64) {
        self.0.count_with_tags(metric.name(), count).send();
    }

    /// Adds to a counter with a tag.
    pub fn count_tagged(&self, metric: Metric, count: u64, tag: &str, value: &str) {
        self.0.count_with_tags(metric.name(), count).with_tag(tag, value).send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, metric: Metric, value: u64) {
        self.0.gauge_with_tags(metric.name(), value).send();
    }

    /// Adds a duration to a timer.
    pub fn time(&self, metric: Metric, elapsed: Duration) {
        self.0.time_with_tags(metric.name(), elapsed).send();
    }

    /// Sends buffered metrics.
    pub fn flush(&self) {
        drop(self.0.flush());
    }
}
