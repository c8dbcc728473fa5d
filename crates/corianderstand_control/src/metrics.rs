//! Metrics to statsd.

use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use std::net::UdpSocket;

/// Metrics that wait to be sent; more are dropped and never hold anybody up.
const QUEUE: usize = 4096;

/// A client for the sink at `address`, or one that drops everything.
///
/// # Errors
///
/// Fails if the address cannot be used.
pub fn client(address: Option<&str>, process: &str) -> std::io::Result<StatsdClient> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink("corianderstand", NopMetricSink));
    };
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
    let client = StatsdClient::builder("corianderstand", sink).with_tag("process", process);
    Ok(client.build())
}
