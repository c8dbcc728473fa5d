//! Handing over what was read of the store, from router to router.
//!
//! A router that the store turns away, or that starts while it is down, takes the records of a
//! peer. The records are the store's own, with their offsets, so nothing is told twice or in
//! another form, and nothing older replaces anything newer.

use crate::{copies, dialect, follow, router};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time for a transfer. A configuration with some hundred routes has 100 KB.
const LIMIT: Duration = Duration::from_millis(1_200);
/// Most bytes of one transfer: 340 routes and 730 engines are under 1 MB.
const MOST_BYTES: usize = 8 << 20;

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MOST_BYTES).new_framed(stream)
}

/// Serves peers.
pub fn start<P: router::Platform>(shared: &Rc<router::Shared<P>>, listener: TcpListener) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let shared = shared.clone();
                    tokio::task::spawn_local(async move {
                        if tokio::time::timeout(LIMIT, hand_over(&shared, stream)).await.is_err() {
                            tracing::debug!("a peer did not take what it asked for in time");
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "a peer's connection could not be taken");
                    tokio::time::sleep(LIMIT).await;
                }
            }
        }
    });
}

async fn hand_over<P: router::Platform>(shared: &router::Shared<P>, stream: TcpStream) {
    let mut framed = framed(stream);
    let Some(Ok(asked)) = framed.next().await else { return };
    let subject = match asked.first() {
        Some(0) => dialect::Subject::Config,
        Some(1) => dialect::Subject::Targets,
        _ => return,
    };
    let page = shared.copies.borrow().page(subject);
    match postcard::to_stdvec(&page) {
        Ok(bytes) => {
            if let Err(error) = framed.send(Bytes::from(bytes)).await {
                tracing::debug!(%error, "a peer left before it had what it asked for");
            }
        }
        Err(error) => tracing::warn!(%error, "records cannot be encoded"),
    }
}

/// Takes a peer's records of a subject.
pub async fn fetch<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    peer: SocketAddr,
    subject: dialect::Subject,
) {
    let began = shared.clock.now();
    let answer = tokio::time::timeout(LIMIT, ask(peer, subject)).await;
    let ms = shared.clock.now().saturating_duration_since(began).as_millis() as u64;
    let outcome = match answer {
        Ok(Ok(page)) => {
            tracing::info!(%peer, ?subject, next = page.next, ms, "records taken from a peer");
            follow::take(shared, subject, copies::Source::Peer(peer), page);
            "taken"
        }
        Ok(Err(error)) => {
            tracing::info!(%peer, ?subject, %error, ms, "a peer gave no records");
            "failed"
        }
        Err(_) => {
            tracing::info!(%peer, ?subject, ms, "a peer's records did not come in time");
            "given up"
        }
    };
    shared.log.metrics.transferred(subject, outcome);
}

async fn ask(peer: SocketAddr, subject: dialect::Subject) -> std::io::Result<dialect::Page> {
    let mut framed = framed(TcpStream::connect(peer).await?);
    let code: &'static [u8] = match subject {
        dialect::Subject::Config => &[0],
        dialect::Subject::Targets => &[1],
        dialect::Subject::Routers => &[2],
    };
    framed.send(Bytes::from_static(code)).await?;
    let answer = framed.next().await.unwrap_or(Err(std::io::ErrorKind::UnexpectedEof.into()))?;
    postcard::from_bytes(&answer).map_err(std::io::Error::other)
}
