//! Requests state from other routers when the log cannot provide it.

use async_trait::async_trait;
use corianderstand_edge::http::HttpSystem;
use corianderstand_state::{checkpoint, fold::State};
use rand::seq::SliceRandom;
use smol_str::SmolStr;
use std::time::Duration;

/// Path at which a router serves its state.
pub const STATE_PATH: &str = "/operator/state";
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_QUERIED_PEERS: usize = 4;

/// A source of state besides the log.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Returns the newest state among the queried peers.
    async fn state(&self) -> Option<State>;
}

/// A source without peers.
#[derive(Clone, Copy, Debug)]
pub struct NoPeers;

#[async_trait]
impl Peers for NoPeers {
    async fn state(&self) -> Option<State> {
        None
    }
}

/// Queries other routers over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPeers {
    peers: Vec<HttpSystem>,
    token: SmolStr,
}

impl HttpPeers {
    /// The routers at `addresses`, authenticated by `token`.
    pub fn new(addresses: &[SmolStr], token: SmolStr) -> Self {
        let peer = |a: &SmolStr| {
            HttpSystem::new("a peer router", &format!("http://{a}"), RESPONSE_TIMEOUT)
        };
        Self { peers: addresses.iter().map(peer).collect(), token }
    }

    async fn query(&self, peer: &HttpSystem) -> Option<State> {
        let req = peer.request(reqwest::Method::GET, STATE_PATH).bearer_auth(&self.token);
        let response = peer.send(req).await;
        let response =
            response.inspect_err(|error| tracing::info!(%error, "peer returned no state"));
        let bytes = response.ok()?.bytes().await.ok()?;
        checkpoint::decode(&bytes)
    }
}

#[async_trait]
impl Peers for HttpPeers {
    /// Queries a random subset of peers.
    async fn state(&self) -> Option<State> {
        let mut order: Vec<&HttpSystem> = self.peers.iter().collect();
        order.shuffle(&mut rand::rng());
        let queries = order.into_iter().take(MAX_QUERIED_PEERS).map(|peer| self.query(peer));
        let states = futures::future::join_all(queries).await;
        states.into_iter().flatten().max_by_key(|state| state.next)
    }
}
