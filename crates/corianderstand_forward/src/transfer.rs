//! Handing over what was read of the store, from router to router.
//!
//! A router that the store turns away, or that starts while it is down, takes the records of a
//! peer ([`crate::catch_up`]). The records are the store's own, with their offsets, so nothing is told
//! twice or in another form, and nothing older replaces anything newer.
//!
//! Records come in chunks. A transfer is given up when no chunk comes, not when its whole time is over:
//! a slow link may need seconds for a large configuration.

use crate::{copies, dialect, follow, router};
use bytes::{Bytes, BytesMut};
use corianderstand_derives::derives;
use displaydoc::Display;
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use std::{io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Bytes of a chunk: 13 ms of a link of 10 Mbit/s, so that one among many flows still moves.
const CHUNK_BYTES: usize = 16 << 10;
/// Most bytes of one transfer: a configuration has 4 MB at most, the entries of 730 engines under 1 MB.
const MAX_TRANSFER_BYTES: usize = 8 << 20;
/// Transfers to peers at once. After all but one of the routers were killed while the store is away, all
/// ask the one that is left: side by side none of them has a large configuration in time; two after two,
/// the first can hand it on while the others wait.
const MAX_CONCURRENT_TRANSFERS: usize = 2;
/// Pause after a connection that could not be taken.
const ACCEPT_BACKOFF: Duration = Duration::from_secs(1);

type Chunks = Framed<TcpStream, LengthDelimitedCodec>;

/// Why a transfer brought nothing.
#[derive(Debug, Display)]
enum TransferError {
    /// nothing came for {0} ms: another peer is asked, look at the links of both if it goes on
    TimedOut(u128),
    /// the connection ended ({0}): another peer is asked
    Disconnected(io::Error),
    /// the records have more than {0} bytes: the store has to bring them
    TooLarge(usize),
    /// it cannot be read ({0}): check that both routers have the same version
    Malformed(postcard::Error),
    /// the store was quicker
    Superseded,
}

impl std::error::Error for TransferError {}

fn framed(stream: TcpStream) -> Chunks {
    LengthDelimitedCodec::builder().max_frame_length(MAX_TRANSFER_BYTES).new_framed(stream)
}

/// Serves peers.
pub fn serve<P: router::Platform>(shared: &Rc<router::Shared<P>>, listener: TcpListener) {
    let shared = shared.clone();
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_TRANSFERS));
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    // Closed at once: the peer asks another one that has as much, or asks again.
                    let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
                    let shared = shared.clone();
                    tokio::task::spawn_local(async move {
                        let _permit = permit;
                        if let Err(error) = send_records(&shared, stream).await {
                            tracing::debug!(%peer, %error, "a peer did not take what it asked for");
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "a peer's connection could not be taken");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    });
}

async fn send_records<P: router::Platform>(
    shared: &router::Shared<P>,
    stream: TcpStream,
) -> Result<(), TransferError> {
    let mut chunks = framed(stream);
    let request = next_chunk(&mut chunks).await?;
    let request = postcard::from_bytes(&request).map_err(TransferError::Malformed)?;
    let response =
        postcard::to_stdvec(&records(shared, request)).map_err(TransferError::Malformed)?;
    let page = Bytes::from(response);
    let mut at = 0;
    while at < page.len() {
        let end = page.len().min(at + CHUNK_BYTES);
        send_chunk(&mut chunks, page.slice(at..end)).await?;
        at = end;
    }
    // An empty chunk ends it: a connection that breaks off must not look like a whole page.
    send_chunk(&mut chunks, Bytes::new()).await
}

/// What a router asks for.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct RecordsRequest {
    subject: dialect::Subject,
    /// Only what has changed from this offset on; none for all there is.
    from: Option<u64>,
}

/// What a router hands over.
#[derive(Debug, Serialize, Deserialize)]
struct RecordsResponse {
    /// Time since the store was read.
    age: Option<Duration>,
    page: dialect::Page,
}

/// What became of a transfer.
#[derives(key)]
pub enum TransferOutcome {
    /// Records were taken, which the peer, or whom it follows, read of the store this long ago; none if
    /// nobody has.
    Applied(Option<Duration>),
    /// The peer has no room for another transfer, or has ended.
    Refused,
    /// It brought nothing.
    NoRecords,
}

fn records<P: router::Platform>(
    shared: &router::Shared<P>,
    request: RecordsRequest,
) -> RecordsResponse {
    let copies = shared.copies.borrow();
    let age = copies.since_read(shared.clock.now(), request.subject);
    let page = match request.from {
        None => copies.page(request.subject),
        Some(from) => copies.changes(request.subject, from),
    };
    RecordsResponse { age, page }
}

/// Takes what has changed from a router that reads the store for this one.
pub async fn fetch_changes<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    reader: SocketAddr,
    subject: dialect::Subject,
) -> TransferOutcome {
    let from = shared.copies.borrow().next(subject);
    let response =
        request_records(reader, RecordsRequest { subject, from: Some(from) }, || false).await;
    apply(shared, reader, subject, response)
}

/// Takes a peer's records of a subject, which reach up to `next` as the peer has said. It ends when the
/// store has brought as much.
pub async fn fetch<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    peer: SocketAddr,
    subject: dialect::Subject,
    next: u64,
) -> TransferOutcome {
    let is_superseded = || shared.copies.borrow().next(subject) >= next;
    let response =
        request_records(peer, RecordsRequest { subject, from: None }, is_superseded).await;
    if let Ok(response) = &response {
        tracing::info!(%peer, ?subject, next = response.page.next, "records taken from a peer");
    }
    apply(shared, peer, subject, response)
}

fn apply<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    peer: SocketAddr,
    subject: dialect::Subject,
    response: Result<RecordsResponse, TransferError>,
) -> TransferOutcome {
    let (outcome, transferred) = match response {
        Ok(RecordsResponse { age, page }) => {
            follow::take(shared, subject, copies::Source::Peer(peer), page);
            ("taken", TransferOutcome::Applied(age))
        }
        Err(TransferError::Superseded) => ("overtaken", TransferOutcome::NoRecords),
        Err(error) => {
            tracing::info!(%peer, ?subject, %error, "a peer gave no records");
            let refused = matches!(error, TransferError::Disconnected(_));
            ("failed", if refused { TransferOutcome::Refused } else { TransferOutcome::NoRecords })
        }
    };
    shared.log.metrics.transferred(subject, outcome);
    transferred
}

async fn request_records(
    peer: SocketAddr,
    request: RecordsRequest,
    is_superseded: impl Fn() -> bool,
) -> Result<RecordsResponse, TransferError> {
    let stream =
        with_timeout(TcpStream::connect(peer)).await?.map_err(TransferError::Disconnected)?;
    let mut chunks = framed(stream);
    let request = postcard::to_stdvec(&request).map_err(TransferError::Malformed)?;
    send_chunk(&mut chunks, Bytes::from(request)).await?;
    let mut page = BytesMut::new();
    loop {
        let chunk = next_chunk(&mut chunks).await?;
        if chunk.is_empty() {
            return postcard::from_bytes(&page).map_err(TransferError::Malformed);
        }
        if page.len() + chunk.len() > MAX_TRANSFER_BYTES {
            return Err(TransferError::TooLarge(MAX_TRANSFER_BYTES));
        }
        if is_superseded() {
            return Err(TransferError::Superseded);
        }
        page.extend_from_slice(&chunk);
    }
}

async fn next_chunk(chunks: &mut Chunks) -> Result<BytesMut, TransferError> {
    let chunk = with_timeout(chunks.next()).await?;
    let chunk = chunk.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()));
    chunk.map_err(TransferError::Disconnected)
}

async fn send_chunk(chunks: &mut Chunks, chunk: Bytes) -> Result<(), TransferError> {
    with_timeout(chunks.send(chunk)).await?.map_err(TransferError::Disconnected)
}

async fn with_timeout<T>(work: impl Future<Output = T>) -> Result<T, TransferError> {
    tokio::time::timeout(follow::SILENCE, work)
        .await
        .map_err(|_| TransferError::TimedOut(follow::SILENCE.as_millis()))
}
