//! Callers' connections: taken, served, and ended without cutting a request.

use crate::{body, exchange, router};
use bytes::Bytes;
use corianderstand_fleet::config;
use corianderstand_types::pause::{self, PauseDetector};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    cell::Cell, convert::Infallible, future, net::SocketAddr, pin::pin, rc::Rc, sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Connections that may wait to be taken. A burst of clients after a host is gone brings some
/// hundred at once; one that finds no room tries again only after a second.
const LISTEN_BACKLOG: u32 = 1_024;
/// Time for which a stopping router still takes connections: whoever sends callers here asks once
/// a second whether it is ready and goes by two answers.
const READINESS_GRACE: Duration = Duration::from_millis(2_600);
/// Time before the end of a stop at which requests without the head of an answer are answered: they
/// would else end with a closed connection, which tells their callers nothing.
const RESPONSE_MARGIN: Duration = Duration::from_millis(900);
/// Time before the end of a stop at which what is still open is cut, so that callers see a closed
/// connection and not a dead host.
const CLOSE_MARGIN: Duration = Duration::from_millis(400);
/// Pause between looks at what is still open during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Least room for the head of a request that the HTTP library takes.
const MIN_HEADER_BYTES: usize = 8_192;

/// Opens a listening socket.
///
/// # Errors
///
/// The address cannot be bound.
pub fn listen(addr: SocketAddr) -> Result<TcpListener, router::StartError> {
    let open = || {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().map_err(|error| router::StartError::Listen { addr, error })
}

/// Answers the readiness check.
pub fn serve_ready<P: router::Platform>(shared: &Rc<router::Shared<P>>, listener: TcpListener) {
    serve_local(shared, listener, readiness);
}

/// Answers with a text for a path, or 404.
pub fn serve_text<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    listener: TcpListener,
    text: impl Fn(&router::Shared<P>, &str) -> Option<String> + Copy + 'static,
) {
    serve_local(shared, listener, move |shared, path| match text(shared, path) {
        Some(text) => Response::new(Full::from(text)),
        None => status(StatusCode::NOT_FOUND),
    });
}

/// Serves short answers that need nothing but what is known.
fn serve_local<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    listener: TcpListener,
    answer: impl Fn(&router::Shared<P>, &str) -> Response<Full<Bytes>> + Copy + 'static,
) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        loop {
            let Some(stream) = accept(&listener).await else { continue };
            let shared = shared.clone();
            let service = service_fn(move |req: Request<Incoming>| {
                let answer = answer(&shared, req.uri().path());
                async move { Ok::<_, Infallible>(answer) }
            });
            tokio::task::spawn_local(async move {
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                if let Err(error) = connection.await {
                    tracing::debug!(%error, "a connection for short answers ended");
                }
            });
        }
    });
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

fn readiness<P: router::Platform>(shared: &router::Shared<P>, path: &str) -> Response<Full<Bytes>> {
    if path != shared.settings.ready_path {
        status(StatusCode::NOT_FOUND)
    } else if is_ready(shared) {
        status(StatusCode::OK)
    } else {
        status(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Whether callers should be sent here.
pub fn is_ready<P: router::Platform>(shared: &router::Shared<P>) -> bool {
    let view = shared.view.borrow();
    view.table.is_some() && !view.targets.is_empty() && shared.stopping.get().is_none()
}

/// Takes a caller's connection; notes when there is none.
async fn accept_caller(pauses: &PauseDetector, listener: &TcpListener) -> Option<TcpStream> {
    let mut accept = pin!(accept(listener));
    future::poll_fn(|cx| pauses.poll_accept(cx, |cx| accept.as_mut().poll(cx))).await
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => {
            if let Err(error) = stream.set_nodelay(true) {
                tracing::debug!(%error, "connection without nodelay");
            }
            Some(stream)
        }
        Err(error) => {
            // Out of descriptors, as a rule: others have to be closed first.
            tracing::warn!(%error, "a connection could not be taken");
            tokio::time::sleep(POLL_INTERVAL).await;
            None
        }
    }
}

/// Serves callers until `stop` is done and what was begun is answered.
pub async fn serve<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let (closing, _) = watch::channel(false);
    tokio::pin!(stop);
    loop {
        tokio::select! {
            stream = accept_caller(&shared.pauses, &listener) => {
                if let Some(stream) = stream {
                    spawn_connection(shared, stream, closing.subscribe());
                }
            }
            () = &mut stop => break,
        }
    }
    let stopping_since = shared.clock.now();
    let stop_timeout = shared.bounds.borrow().stop_within;
    shared.stopping.set(Some(router::Stop {
        refuses_from: stopping_since + READINESS_GRACE.min(stop_timeout / 2),
        answers_by: stopping_since + stop_timeout.saturating_sub(RESPONSE_MARGIN),
    }));
    tracing::info!(open = shared.open.get(), "stopping: no longer ready");
    // Each open connection ends with the answer that it is giving; unused ones end now. A request
    // that crosses the end of its connection was not read, and its caller may repeat it.
    closing.send_replace(true);
    loop {
        let now = shared.clock.now();
        let elapsed = now.saturating_duration_since(stopping_since);
        let close_after = stop_timeout.saturating_sub(CLOSE_MARGIN);
        if elapsed >= close_after || (elapsed >= READINESS_GRACE && shared.open.get() == 0) {
            break;
        }
        let accepted =
            tokio::time::timeout(POLL_INTERVAL, accept_caller(&shared.pauses, &listener)).await;
        if let Ok(Some(stream)) = accepted {
            spawn_connection(shared, stream, closing.subscribe());
        }
    }
    if shared.open.get() > 0 {
        tracing::warn!(
            cut = shared.open.get(),
            "stopped with requests that were not answered in time"
        );
    }
}

/// Serves one connection.
fn spawn_connection<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    let shared = shared.clone();
    let limits = shared.view.borrow().table.as_ref().map(|table| table.config().limits.clone());
    let limits = limits.unwrap_or_default();
    tokio::task::spawn_local(async move {
        let served = Cell::new(false);
        let stream = pause::WatchedStream::new(stream, shared.pauses.clone());
        let tracked = stream.connection();
        let service = service_fn(|req| {
            served.set(true);
            serve_request(shared.clone(), tracked.clone(), req)
        });
        let connection = http_builder(&limits).serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let mut notified = false;
        loop {
            tokio::select! {
                end = connection.as_mut() => {
                    if let Err(error) = end {
                        tracing::debug!(%error, "caller's connection ended");
                    }
                    return;
                }
                _ = closing.wait_for(|closing| *closing), if !notified => {
                    notified = true;
                    // A connection that has carried nothing yet is new: its first request is on
                    // its way, and its answer will say that the connection ends. Closed now, its
                    // caller would get nothing.
                    if served.get() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    });
}

fn http_builder(limits: &config::Limits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The time runs from the end of the last answer, so it bounds unused connections too.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES))
        .half_close(false);
    builder
}

/// Counts a request while it is being answered.
struct OpenCount<P>(Rc<router::Shared<P>>);

impl<P> Drop for OpenCount<P> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

async fn serve_request<P: router::Platform>(
    shared: Rc<router::Shared<P>>,
    connection: Arc<pause::Connection>,
    req: Request<Incoming>,
) -> Result<Response<body::ResponseBody>, exchange::Aborted> {
    shared.open.set(shared.open.get() + 1);
    let count = OpenCount(shared.clone());
    let mut answer = exchange::handle_request(shared.clone(), &connection, req).await?;
    if shared.stopping.get().is_some() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer.map(|body| body.with_guard(count)))
}
