//! Messages for all routers: sent to each in a small deployment, passed on by the hubs of each availability zone
//! in a large one ([`crate::hubs`]).

use crate::{control, router};
use corianderstand_schema::peers::{self as wire, PeerMessage};
use std::net::SocketAddr;

/// Sends a message to all other routers. Returns the number of datagrams that this takes.
pub fn send<P: router::Platform>(shared: &router::Shared<P>, message: &PeerMessage) -> usize {
    let fan_out = shared.peers.borrow().fan_out();
    shared.outbox.send_all(&fan_out.direct, message);
    if let Some(request) = to_zone(message).filter(|_| !fan_out.relays.is_empty()) {
        shared.outbox.send_all(&fan_out.relays, &request);
    }
    fan_out.direct.len() + fan_out.relays.len()
}

/// The request to pass a message on to the routers of a zone; none if it can't be encoded.
pub fn to_zone(message: &PeerMessage) -> Option<PeerMessage> {
    let message = control::encode(message)?;
    Some(PeerMessage::ToZone(wire::RelayRequest { message }))
}

/// Passes a message on to the other routers of this router's zone.
pub fn pass_on<P: router::Platform>(
    shared: &router::Shared<P>,
    origin: SocketAddr,
    request: &wire::RelayRequest,
) {
    let relayed = PeerMessage::Relayed(wire::RelayedMessage {
        origin: origin.to_string().into(),
        message: request.message.clone(),
    });
    let mut addresses = shared.peers.borrow().zone_addresses();
    addresses.retain(|addr| *addr != origin);
    shared.outbox.send_all(&addresses, &relayed);
}
