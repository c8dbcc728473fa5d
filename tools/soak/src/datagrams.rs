//! Relays for the datagrams between routers, which can lose them in one direction or both.
//!
//! Routers learn each other's relays as addresses: from their settings, from the list of routers in the store, and as
//! the senders of datagrams. A relay passes a router's datagrams on from that router's own relay. Records are
//! transferred over connections, which are never cut.

use crate::proxy;
use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
};
use tokio::{net::UdpSocket, task::JoinSet};

const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Which datagrams are lost.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Cut {
    /// Those that a router sends to the others.
    From(usize),
    /// Those that the others send to a router.
    To(usize),
    /// Those of a router, in both directions.
    Both(usize),
    /// Those between the first routers, so many, and the others.
    Between(usize),
}

impl Cut {
    const fn loses(self, from: usize, to: usize) -> bool {
        match self {
            Self::From(router) => from == router,
            Self::To(router) => to == router,
            Self::Both(router) => from == router || to == router,
            Self::Between(first) => (from < first) != (to < first),
        }
    }
}

#[derive(Debug)]
struct Routers {
    /// Addresses at which routers receive datagrams.
    addresses: Vec<SocketAddr>,
    relays: Vec<UdpSocket>,
    cut: Mutex<Option<Cut>>,
}

/// The relays of all routers; closed when dropped.
#[derive(Debug)]
pub struct Relays {
    routers: Arc<Routers>,
    _proxies: Vec<proxy::Proxy>,
    _tasks: JoinSet<()>,
}

impl Relays {
    /// Opens a relay at a port of each router's IP address.
    pub async fn open(addresses: Vec<SocketAddr>, port: u16) -> std::io::Result<Self> {
        let (mut relays, mut proxies) = (Vec::new(), Vec::new());
        for addr in &addresses {
            let relay = SocketAddr::new(addr.ip(), port);
            relays.push(UdpSocket::bind(relay).await?);
            proxies.push(proxy::Proxy::open(relay, *addr).await?);
        }
        let routers = Arc::new(Routers { addresses, relays, cut: Mutex::default() });
        let mut tasks = JoinSet::new();
        for index in 0..routers.relays.len() {
            tasks.spawn(pass_on(routers.clone(), index));
        }
        Ok(Self { routers, _proxies: proxies, _tasks: tasks })
    }

    /// Loses datagrams from now on, or none.
    pub fn cut(&self, cut: Option<Cut>) {
        *self.routers.cut.lock().unwrap_or_else(PoisonError::into_inner) = cut;
    }
}

/// Addresses of the relays, by those of the routers.
pub fn relay_addresses(routers: &[SocketAddr], port: u16) -> BTreeMap<SocketAddr, SocketAddr> {
    routers.iter().map(|addr| (*addr, SocketAddr::new(addr.ip(), port))).collect()
}

/// Passes on the datagrams for a router.
async fn pass_on(routers: Arc<Routers>, to: usize) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut agents = BTreeMap::new();
    let mut unreachable = BTreeSet::new();
    loop {
        let (len, sender) = match routers.relays[to].recv_from(&mut buf).await {
            Ok(received) => received,
            // An ICMP error in reply to an earlier datagram.
            Err(_) => continue,
        };
        let addr = routers.addresses[to];
        let sent = match routers.addresses.iter().position(|router| *router == sender) {
            Some(from) if routers.loses(from, to) => continue,
            Some(from) => routers.relays[from].send_to(&buf[..len], addr).await,
            None => send_as_agent(&mut agents, sender.ip(), &buf[..len], addr).await,
        };
        // A router that is down refuses datagrams.
        if let Err(error) = sent
            && unreachable.insert(error.kind())
        {
            eprintln!("relay of {addr}: {error}");
        }
    }
}

impl Routers {
    fn loses(&self, from: usize, to: usize) -> bool {
        let cut = *self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        cut.is_some_and(|cut| cut.loses(from, to))
    }
}

/// Sends a datagram from an agent's IP address, by which routers know the engine beside it.
async fn send_as_agent(
    sockets: &mut BTreeMap<IpAddr, UdpSocket>,
    agent: IpAddr,
    datagram: &[u8],
    addr: SocketAddr,
) -> std::io::Result<usize> {
    let socket = match sockets.entry(agent) {
        Entry::Occupied(known) => known.into_mut(),
        Entry::Vacant(new) => new.insert(UdpSocket::bind(SocketAddr::new(agent, 0)).await?),
    };
    socket.send_to(datagram, addr).await
}
