//! Handing over what was read of the store, from router to router.
//!
//! A router that the store turns away, or that starts while it is down, takes the records of a
//! peer ([`crate::catch_up`]). The records are the store's own, with their offsets, so nothing is told
//! twice or in another form, and nothing older replaces anything newer.
//!
//! Records come in pieces. A transfer is given up when no piece comes, not when its whole time is over:
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

/// Bytes of a piece: 13 ms of a link of 10 Mbit/s, so that one among many flows still moves.
const PIECE: usize = 16 << 10;
/// Most bytes of one transfer: a configuration has 4 MB at most, the entries of 730 engines under 1 MB.
const MOST_BYTES: usize = 8 << 20;
/// Transfers to peers at once. After all but one of the routers were killed while the store is away, all
/// ask the one that is left: side by side none of them has a large configuration in time; two after two,
/// the first can hand it on while the others wait.
const MOST_AT_ONCE: usize = 2;
/// Pause after a connection that could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_secs(1);

type Pieces = Framed<TcpStream, LengthDelimitedCodec>;

/// Why a transfer brought nothing.
#[derive(Debug, Display)]
enum TransferError {
    /// nothing came for {0} ms: another peer is asked, look at the links of both if it goes on
    Silent(u128),
    /// the connection ended ({0}): another peer is asked
    Ended(io::Error),
    /// the records have more than {0} bytes: the store has to bring them
    TooLong(usize),
    /// it cannot be read ({0}): check that both routers have the same version
    Garbled(postcard::Error),
    /// the store was quicker
    Overtaken,
}

impl std::error::Error for TransferError {}

fn framed(stream: TcpStream) -> Pieces {
    LengthDelimitedCodec::builder().max_frame_length(MOST_BYTES).new_framed(stream)
}

/// Serves peers.
pub fn serve<P: router::Platform>(shared: &Rc<router::Shared<P>>, listener: TcpListener) {
    let shared = shared.clone();
    let room = Arc::new(Semaphore::new(MOST_AT_ONCE));
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    // Closed at once: the peer asks another one that has as much, or asks again.
                    let Ok(place) = room.clone().try_acquire_owned() else { continue };
                    let shared = shared.clone();
                    tokio::task::spawn_local(async move {
                        let _place = place;
                        if let Err(error) = hand_over(&shared, stream).await {
                            tracing::debug!(%peer, %error, "a peer did not take what it asked for");
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "a peer's connection could not be taken");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
}

async fn hand_over<P: router::Platform>(
    shared: &router::Shared<P>,
    stream: TcpStream,
) -> Result<(), TransferError> {
    let mut pieces = framed(stream);
    let asked = next_piece(&mut pieces).await?;
    let asked = postcard::from_bytes(&asked).map_err(TransferError::Garbled)?;
    let handed = postcard::to_stdvec(&handed(shared, asked)).map_err(TransferError::Garbled)?;
    let page = Bytes::from(handed);
    let mut at = 0;
    while at < page.len() {
        let end = page.len().min(at + PIECE);
        send_piece(&mut pieces, page.slice(at..end)).await?;
        at = end;
    }
    // An empty piece ends it: a connection that breaks off must not look like a whole page.
    send_piece(&mut pieces, Bytes::new()).await
}

/// What a router asks for.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Asked {
    subject: dialect::Subject,
    /// Only what has changed from this offset on; none for all there is.
    from: Option<u64>,
}

/// What a router hands over.
#[derive(Debug, Serialize, Deserialize)]
struct Handed {
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

fn handed<P: router::Platform>(shared: &router::Shared<P>, asked: Asked) -> Handed {
    let copies = shared.copies.borrow();
    let age = copies.since_read(shared.clock.now(), asked.subject);
    let page = match asked.from {
        None => copies.page(asked.subject),
        Some(from) => copies.changes(asked.subject, from),
    };
    Handed { age, page }
}

/// Takes what has changed from a router that reads the store for this one.
pub async fn fetch_changes<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    reader: SocketAddr,
    subject: dialect::Subject,
) -> TransferOutcome {
    let from = shared.copies.borrow().next(subject);
    let answer = ask(reader, Asked { subject, from: Some(from) }, || false).await;
    take(shared, reader, subject, answer)
}

/// Takes a peer's records of a subject, which reach up to `next` as the peer has said. It ends when the
/// store has brought as much.
pub async fn fetch<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    peer: SocketAddr,
    subject: dialect::Subject,
    next: u64,
) -> TransferOutcome {
    let is_known = || shared.copies.borrow().next(subject) >= next;
    let answer = ask(peer, Asked { subject, from: None }, is_known).await;
    if let Ok(handed) = &answer {
        tracing::info!(%peer, ?subject, next = handed.page.next, "records taken from a peer");
    }
    take(shared, peer, subject, answer)
}

fn take<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    peer: SocketAddr,
    subject: dialect::Subject,
    answer: Result<Handed, TransferError>,
) -> TransferOutcome {
    let (outcome, fetched) = match answer {
        Ok(Handed { age, page }) => {
            follow::take(shared, subject, copies::Source::Peer(peer), page);
            ("taken", TransferOutcome::Applied(age))
        }
        Err(TransferError::Overtaken) => ("overtaken", TransferOutcome::NoRecords),
        Err(error) => {
            tracing::info!(%peer, ?subject, %error, "a peer gave no records");
            let refused = matches!(error, TransferError::Ended(_));
            ("failed", if refused { TransferOutcome::Refused } else { TransferOutcome::NoRecords })
        }
    };
    shared.log.metrics.transferred(subject, outcome);
    fetched
}

async fn ask(
    peer: SocketAddr,
    asked: Asked,
    is_known: impl Fn() -> bool,
) -> Result<Handed, TransferError> {
    let stream = in_time(TcpStream::connect(peer)).await?.map_err(TransferError::Ended)?;
    let mut pieces = framed(stream);
    let asked = postcard::to_stdvec(&asked).map_err(TransferError::Garbled)?;
    send_piece(&mut pieces, Bytes::from(asked)).await?;
    let mut page = BytesMut::new();
    loop {
        let piece = next_piece(&mut pieces).await?;
        if piece.is_empty() {
            return postcard::from_bytes(&page).map_err(TransferError::Garbled);
        }
        if page.len() + piece.len() > MOST_BYTES {
            return Err(TransferError::TooLong(MOST_BYTES));
        }
        if is_known() {
            return Err(TransferError::Overtaken);
        }
        page.extend_from_slice(&piece);
    }
}

async fn next_piece(pieces: &mut Pieces) -> Result<BytesMut, TransferError> {
    let piece = in_time(pieces.next()).await?;
    let piece = piece.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()));
    piece.map_err(TransferError::Ended)
}

async fn send_piece(pieces: &mut Pieces, piece: Bytes) -> Result<(), TransferError> {
    in_time(pieces.send(piece)).await?.map_err(TransferError::Ended)
}

async fn in_time<T>(work: impl Future<Output = T>) -> Result<T, TransferError> {
    tokio::time::timeout(follow::SILENCE, work)
        .await
        .map_err(|_| TransferError::Silent(follow::SILENCE.as_millis()))
}
