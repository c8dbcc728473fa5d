//! Links between routers that a test can cut, one way or both.

use super::platform::MemoryStore;
use smol_str::SmolStr;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};
use tokio::net::UdpSocket;

const MAX_DATAGRAM_BYTES: usize = 60_000;

/// One way of a link.
#[derive(Clone, Default)]
pub struct Way(Arc<AtomicBool>);

impl Way {
    pub fn set_cut(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::Relaxed);
    }

    fn is_cut(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The datagrams between two routers.
pub struct Link {
    /// From the first router to the second.
    pub there: Way,
    pub back: Way,
}

impl Link {
    pub fn set_cut(&self, is_cut: bool) {
        self.there.set_cut(is_cut);
        self.back.set_cut(is_cut);
    }
}

/// Opens a link between two routers. The store of each names the end of the link as the other's address.
pub async fn open(
    first: (&str, SocketAddr, &MemoryStore),
    second: (&str, SocketAddr, &MemoryStore),
) -> Link {
    let near_second = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let near_first = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    first.2.see_router_at(second.0, near_first.local_addr().unwrap());
    second.2.see_router_at(first.0, near_second.local_addr().unwrap());
    let (near_first, near_second) = (Arc::new(near_first), Arc::new(near_second));
    let link = Link { there: Way::default(), back: Way::default() };
    tokio::spawn(pass_on(near_first.clone(), near_second.clone(), second.1, link.there.clone()));
    tokio::spawn(pass_on(near_second, near_first, first.1, link.back.clone()));
    link
}

async fn pass_on(from: Arc<UdpSocket>, to: Arc<UdpSocket>, router: SocketAddr, way: Way) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, _)) = from.recv_from(&mut buf).await else { continue };
        if !way.is_cut() {
            to.send_to(&buf[..len], router).await.ok();
        }
    }
}

/// Where the store of one router says that others are.
pub type SeenAddresses = HashMap<SmolStr, SocketAddr>;
