//! HTTP server for callers: accepts and serves connections, and drains them on shutdown.

use crate::{admission, body, close_delimited, exchange, router, write_timeout};
use bytes::Bytes;
use corianderstand_fleet::config;
use corianderstand_types::pause::{self, PauseDetector};
use http::{HeaderValue, Request, Response, StatusCode, Version, header};
use http_body_util::Full;
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    cell::Cell,
    convert::Infallible,
    future,
    net::{IpAddr, SocketAddr},
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Large enough for a burst of reconnects: a dropped SYN is resent only after 1 s.
const LISTEN_BACKLOG: u32 = 1_024;
/// Time in which load balancers notice a failed readiness check and send no new requests.
const READINESS_GRACE: Duration = Duration::from_millis(2_600);
/// Subtracted from the stop timeout: requests are answered before their connections are closed.
const STOP_RESPONSE_MARGIN: Duration = Duration::from_millis(900);
/// Subtracted from the stop timeout: callers see a closed connection rather than a dead host.
const STOP_CLOSE_MARGIN: Duration = Duration::from_millis(400);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a caller that reads nothing of its response is disconnected. Targets give up such a response
/// after some seconds as well.
pub const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Smallest header buffer that hyper accepts.
const MIN_HEADER_BYTES: usize = 8_192;

/// Opens a listening socket.
pub fn listen(addr: SocketAddr) -> Result<TcpListener, router::StartError> {
    let open = || {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().map_err(|error| router::StartError::Listen { addr, error })
}

/// Serves the readiness check.
pub fn serve_ready<P: router::Platform>(shared: &Rc<router::Shared<P>>, listener: TcpListener) {
    serve_local(shared, listener, readiness);
}

/// Serves the text of a path, or 404.
pub fn serve_text<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    listener: TcpListener,
    text: impl Fn(&router::Shared<P>, &str) -> Option<String> + Copy + 'static,
) {
    serve_local(shared, listener, move |shared, path| match text(shared, path) {
        Some(text) => Response::new(Full::from(text)),
        None => empty_response(StatusCode::NOT_FOUND),
    });
}

fn serve_local<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    listener: TcpListener,
    response: impl Fn(&router::Shared<P>, &str) -> Response<Full<Bytes>> + Copy + 'static,
) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        loop {
            let Some(stream) = accept(&listener).await else { continue };
            let shared = shared.clone();
            let service = service_fn(move |req: Request<Incoming>| {
                let response = response(&shared, req.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            tokio::task::spawn_local(async move {
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                if let Err(error) = connection.await {
                    tracing::debug!(%error, "local connection ended");
                }
            });
        }
    });
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn readiness<P: router::Platform>(shared: &router::Shared<P>, path: &str) -> Response<Full<Bytes>> {
    if path != shared.settings.ready_path {
        empty_response(StatusCode::NOT_FOUND)
    } else if is_ready(shared) {
        empty_response(StatusCode::OK)
    } else {
        empty_response(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Whether load balancers may send callers here.
pub fn is_ready<P: router::Platform>(shared: &router::Shared<P>) -> bool {
    let view = shared.view.borrow();
    view.route_table.is_some()
        && !view.targets.is_empty()
        && shared.stopping.get().is_none()
        && !admission::is_out_of_touch(shared)
}

/// Records in the pause detector when no connection is pending.
async fn accept_caller(pauses: &PauseDetector, listener: &TcpListener) -> Option<TcpStream> {
    let mut accept = pin!(accept(listener));
    future::poll_fn(|cx| pauses.poll_accept(cx, |cx| accept.as_mut().poll(cx))).await
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => {
            if let Err(error) = stream.set_nodelay(true) {
                tracing::debug!(%error, "could not set TCP_NODELAY");
            }
            Some(stream)
        }
        Err(error) => {
            // Usually out of file descriptors: wait until others are closed.
            tracing::warn!(%error, "could not accept a connection");
            tokio::time::sleep(POLL_INTERVAL).await;
            None
        }
    }
}

/// Serves callers until `stop` completes, then drains open connections.
pub async fn serve<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let (closing, _) = watch::channel(false);
    tokio::pin!(stop);
    loop {
        tokio::select! {
            stream = accept_caller(&shared.pause_detector, &listener) => {
                if let Some(stream) = stream.filter(|_| !sheds(shared)) {
                    spawn_connection(shared, stream, closing.subscribe());
                }
            }
            () = &mut stop => break,
        }
    }
    let stopping_since = shared.clock.now();
    let stop_timeout = shared.bounds.borrow().stop_within;
    shared.stopping.set(Some(router::StopDeadlines {
        reject_from: stopping_since + READINESS_GRACE.min(stop_timeout / 2),
        respond_by: stopping_since + stop_timeout.saturating_sub(STOP_RESPONSE_MARGIN),
    }));
    tracing::info!(open = shared.open_requests.get(), "stopping: readiness withdrawn");
    // Idle connections close now, active ones after their response; later requests are not read.
    closing.send_replace(true);
    loop {
        let now = shared.clock.now();
        let elapsed = now.saturating_duration_since(stopping_since);
        let close_after = stop_timeout.saturating_sub(STOP_CLOSE_MARGIN);
        if elapsed >= close_after || (elapsed >= READINESS_GRACE && shared.open_requests.get() == 0)
        {
            break;
        }
        let accepted =
            tokio::time::timeout(POLL_INTERVAL, accept_caller(&shared.pause_detector, &listener))
                .await;
        if let Ok(Some(stream)) = accepted {
            spawn_connection(shared, stream, closing.subscribe());
        }
    }
    if shared.open_requests.get() > 0 {
        tracing::warn!(
            cut = shared.open_requests.get(),
            "stop timeout: closing connections with unanswered requests"
        );
    }
}

/// Whether a new connection is closed unread, so that its caller tries another router.
fn sheds<P: router::Platform>(shared: &router::Shared<P>) -> bool {
    let now = shared.clock.now();
    let mut overload = shared.overload.borrow_mut();
    let was_shedding = overload.is_shedding();
    let peers = shared.peers.borrow();
    let sheds = overload.sheds(now, peers.delays(now));
    if sheds != was_shedding {
        let delay_ms = overload.delay(now).as_millis() as u64;
        tracing::info!(sheds, delay_ms, open = shared.open_requests.get(), "new connections");
    }
    if sheds {
        shared.decision_log.connection_shed();
    }
    sheds
}

fn spawn_connection<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    let shared = shared.clone();
    let caller = match stream.peer_addr() {
        Ok(addr) => addr.ip(),
        Err(error) => {
            tracing::debug!(%error, "caller disconnected before its first request");
            return;
        }
    };
    let limits =
        shared.view.borrow().route_table.as_ref().map(|table| table.config().limits.clone());
    let limits = limits.unwrap_or_default();
    tokio::task::spawn_local(async move {
        let served = Cell::new(false);
        let stream = close_delimited::Stream::new(stream);
        let close = stream.control();
        let stream = pause::WatchedStream::new(stream, shared.pause_detector.clone());
        let tracked = stream.connection();
        let stream = write_timeout::Stream::new(stream, caller, CALLER_WRITE_TIMEOUT);
        let service = service_fn(|req| {
            served.set(true);
            serve_request(shared.clone(), tracked.clone(), close.clone(), caller, req)
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
                    // A new connection's first request may be on its way; it is answered `Connection: close`.
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
        // Starts at the end of the previous response, so it limits idle connections too.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES))
        .half_close(false);
    builder
}

struct OpenRequestGuard<P>(Rc<router::Shared<P>>);

impl<P> Drop for OpenRequestGuard<P> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

async fn serve_request<P: router::Platform>(
    shared: Rc<router::Shared<P>>,
    connection: Arc<pause::Connection>,
    close: close_delimited::CloseControl,
    caller: IpAddr,
    req: Request<Incoming>,
) -> Result<Response<body::ResponseBody>, exchange::Aborted> {
    shared.open_requests.set(shared.open_requests.get() + 1);
    let guard = OpenRequestGuard(shared.clone());
    let has_chunks = req.version() >= Version::HTTP_11;
    let mut response = exchange::handle_request(shared.clone(), &connection, caller, req).await?;
    if shared.stopping.get().is_some() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let ends_with_connection = !has_chunks && response.body().size_hint().exact().is_none();
    Ok(response.map(|body| {
        let body = body.with_guard(guard);
        if ends_with_connection { body.ending_with_connection(close) } else { body }
    }))
}
