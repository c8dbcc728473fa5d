//! Transfer of replicated store records from router to router ([`crate::catch_up`]).
//!
//! Records keep their positions in the store, so older ones never replace newer ones. A transfer has an idle
//! timeout only, as a large configuration may take seconds on a slow link. Responses are compressed, as entries
//! of targets are much alike and a router may serve a whole zone.

mod wire;

use crate::{
    dialect, follow,
    replicated_records::{self, Progress},
    router,
};
use bytes::{Bytes, BytesMut};
use corianderstand_derives::derives;
use corianderstand_types::position::Position;
use displaydoc::Display;
use futures::{SinkExt, StreamExt};
use lz4_flex::block;
use std::{io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Small enough that concurrent transfers all make progress within the idle timeout: 13 ms of a link of
/// 10 Mbit/s.
const CHUNK_BYTES: usize = 16 << 10;
/// A configuration has 4 MB at most, the entries of 730 engines under 1 MB.
const MAX_TRANSFER_BYTES: usize = 8 << 20;
/// Limits the load on this router's link.
const MAX_CONCURRENT_TRANSFERS: usize = 2;
/// Peers that may wait for their transfer; those beyond query another router.
const MAX_WAITING_TRANSFERS: usize = 64;
/// Shorter than the time after which a peer gives up.
const MAX_TRANSFER_WAIT: Duration = Duration::from_millis(300);
const ACCEPT_BACKOFF: Duration = Duration::from_secs(1);

type Chunks = Framed<TcpStream, LengthDelimitedCodec>;

#[derive(Debug, Display)]
enum TransferError {
    /// no data received for {0} ms: another peer is tried, check the links of both if this repeats
    TimedOut(u128),
    /// the connection was closed ({0}): another peer is tried
    Disconnected(io::Error),
    /// the records exceed {0} bytes: they have to be read from the store
    TooLarge(usize),
    /// the records cannot be decoded ({0}): check that both routers have the same version
    Malformed(postcard::Error),
    /// the records cannot be decompressed ({0}): check that both routers have the same version
    Corrupt(block::DecompressError),
    /// the store returned the records first
    Superseded,
}

impl std::error::Error for TransferError {}

fn framed(stream: TcpStream) -> Chunks {
    LengthDelimitedCodec::builder().max_frame_length(MAX_TRANSFER_BYTES).new_framed(stream)
}

/// Serves records to peers.
pub fn serve<P: router::Platform>(shared: &Rc<router::Shared<P>>, listener: TcpListener) {
    let shared = shared.clone();
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_TRANSFERS));
    let places = Arc::new(Semaphore::new(MAX_CONCURRENT_TRANSFERS + MAX_WAITING_TRANSFERS));
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let Ok(place) = places.clone().try_acquire_owned() else { continue };
                    let (shared, permits) = (shared.clone(), permits.clone());
                    tokio::task::spawn_local(async move {
                        let _place = place;
                        let permit = permits.acquire();
                        let Ok(Ok(_permit)) = tokio::time::timeout(MAX_TRANSFER_WAIT, permit).await
                        else {
                            tracing::debug!(%peer, "too many transfers: a peer was refused");
                            return;
                        };
                        if let Err(error) = send_records(&shared, stream).await {
                            tracing::debug!(%peer, %error, "transfer to a peer failed");
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "could not accept a peer's connection");
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
    let request = wire::decode_request(&next_chunk(&mut chunks).await?);
    let response = records(shared, request.map_err(TransferError::Malformed)?);
    let response = wire::encode_response(response).map_err(TransferError::Malformed)?;
    let bytes = Bytes::from(block::compress_prepend_size(&response));
    let mut offset = 0;
    while offset < bytes.len() {
        let end = bytes.len().min(offset + CHUNK_BYTES);
        send_chunk(&mut chunks, bytes.slice(offset..end)).await?;
        offset = end;
    }
    // An empty chunk marks the end: an interrupted transfer must not look complete.
    send_chunk(&mut chunks, Bytes::new()).await
}

/// What is requested: changes from a position on, or all records.
#[derive(Clone, Copy, Debug)]
struct RecordsRequest {
    subject: dialect::Subject,
    start: Option<Position>,
}

/// Records, and how long ago they were read from the store.
#[derive(Debug)]
struct RecordsResponse {
    read_age: Option<Duration>,
    page: dialect::Page,
}

/// Outcome of a transfer.
#[derives(key)]
pub enum TransferOutcome {
    /// Records were applied that were read from the store this long ago, if known.
    Applied(Option<Duration>),
    /// The records are from before the store came back from an older copy.
    Outdated,
    /// The peer is at its transfer limit, or has stopped.
    Refused,
    /// No records were received.
    NoRecords,
}

fn records<P: router::Platform>(
    shared: &router::Shared<P>,
    request: RecordsRequest,
) -> RecordsResponse {
    let replicated = shared.replicated_records.borrow();
    let age = replicated.since_store_read(shared.clock.now(), request.subject);
    let age = age.filter(|_| replicated.is_current(request.subject));
    let page = match request.start {
        None => replicated.full_page(request.subject),
        Some(start) => replicated.changes(request.subject, start),
    };
    RecordsResponse { read_age: age, page }
}

/// Fetches and applies the changes from a router that reads the store for this one.
pub async fn fetch_changes<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    reader: SocketAddr,
    subject: dialect::Subject,
) -> TransferOutcome {
    let start = Some(shared.replicated_records.borrow().next(subject));
    let response = request_records(reader, RecordsRequest { subject, start }, || false).await;
    apply(shared, reader, subject, response)
}

/// Fetches and applies a peer's records, unless the store returns them first.
pub async fn fetch<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    peer: SocketAddr,
    subject: dialect::Subject,
    progress: Progress,
) -> TransferOutcome {
    let known = shared.replicated_records.borrow().next(subject);
    let is_superseded =
        || !progress.is_ahead_of(&shared.replicated_records.borrow().progress(subject));
    // Routers come and go one by one, so that most of their entries are known.
    let start = (subject == dialect::Subject::Routers).then_some(known);
    let request = RecordsRequest { subject, start };
    let response = request_records(peer, request, is_superseded).await;
    if let Ok(response) = &response {
        tracing::info!(%peer, ?subject, next = %response.page.next, "records received from a peer");
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
        Ok(RecordsResponse { read_age: age, page }) => {
            let era = page.next.era();
            follow::apply_page(shared, subject, replicated_records::Source::Peer(peer), page);
            match era < shared.replicated_records.borrow().era() {
                true => ("outdated", TransferOutcome::Outdated),
                false => ("taken", TransferOutcome::Applied(age)),
            }
        }
        Err(TransferError::Superseded) => ("overtaken", TransferOutcome::NoRecords),
        Err(error) => {
            tracing::info!(%peer, ?subject, %error, "no records received from a peer");
            let refused = matches!(error, TransferError::Disconnected(_));
            ("failed", if refused { TransferOutcome::Refused } else { TransferOutcome::NoRecords })
        }
    };
    shared.decision_log.metrics.transferred(subject, outcome);
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
    let request = wire::encode_request(&request).map_err(TransferError::Malformed)?;
    send_chunk(&mut chunks, Bytes::from(request)).await?;
    let mut bytes = BytesMut::new();
    loop {
        let chunk = next_chunk(&mut chunks).await?;
        if chunk.is_empty() {
            return decode(&bytes);
        }
        if bytes.len() + chunk.len() > MAX_TRANSFER_BYTES {
            return Err(TransferError::TooLarge(MAX_TRANSFER_BYTES));
        }
        if is_superseded() {
            return Err(TransferError::Superseded);
        }
        bytes.extend_from_slice(&chunk);
    }
}

fn decode(bytes: &[u8]) -> Result<RecordsResponse, TransferError> {
    let (len, compressed) = block::uncompressed_size(bytes).map_err(TransferError::Corrupt)?;
    if len > MAX_TRANSFER_BYTES {
        return Err(TransferError::TooLarge(MAX_TRANSFER_BYTES));
    }
    let response = block::decompress(compressed, len).map_err(TransferError::Corrupt)?;
    wire::decode_response(&response).map_err(TransferError::Malformed)
}

async fn next_chunk(chunks: &mut Chunks) -> Result<BytesMut, TransferError> {
    let chunk = with_timeout(chunks.next()).await?;
    let chunk = chunk.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()));
    chunk.map_err(TransferError::Disconnected)
}

async fn send_chunk(chunks: &mut Chunks, chunk: Bytes) -> Result<(), TransferError> {
    with_timeout(chunks.send(chunk)).await?.map_err(TransferError::Disconnected)
}

async fn with_timeout<T>(operation: impl Future<Output = T>) -> Result<T, TransferError> {
    tokio::time::timeout(follow::RESPONSE_TIMEOUT, operation)
        .await
        .map_err(|_| TransferError::TimedOut(follow::RESPONSE_TIMEOUT.as_millis()))
}
