//! Sends callers' requests over HTTP and reads their answers.

use crate::{
    callers::{Outcome, RequestKind},
    cluster::HOST,
    streams::TakeUp,
    workspaces::Workspace,
};
use bytes::Bytes;
use corianderstand_platform_standins::target::CRASHING_PART;
use http::{HeaderMap, Method, Request, StatusCode, Version};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use std::{net::SocketAddr, time::Duration};
use tokio::net::TcpStream;

/// Sends requests over one connection.
pub type Sender = http1::SendRequest<Full<Bytes>>;

/// Time beyond the deadline after which a caller gives up.
const DEADLINE_GRACE: Duration = Duration::from_millis(1_000);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of subjects that prompts share.
const SUBJECTS: u64 = 6;
/// One request in this many is sent in HTTP/1.0.
const HTTP_1_0_DIVISOR: u64 = 7;

/// Whether a request is sent in HTTP/1.0, where a stream ends with its connection.
fn uses_http_1_0(id: &str) -> bool {
    id.bytes().map(u64::from).sum::<u64>().is_multiple_of(HTTP_1_0_DIVISOR)
}

/// A request to send.
#[derive(Debug)]
pub struct RequestSpec<'a> {
    pub kind: RequestKind,
    pub workspace: Workspace,
    pub id: &'a str,
    pub model: &'a str,
    pub body: Bytes,
    /// Whether its prompt has the part that ends engines.
    pub has_crashing_part: bool,
    /// The stream that it takes up.
    pub take_up: Option<&'a TakeUp>,
    /// Number of events after which the caller closes its connection.
    pub leaves_after: Option<usize>,
}

/// The parts of a prompt: that of its kind, that of its subject, and its own.
fn prompt_parts(spec: &RequestSpec) -> String {
    let first = spec.kind as usize;
    let number: u64 = spec.id.bytes().map(u64::from).sum();
    let subject = number % SUBJECTS;
    let own = spec.id.bytes().map(|byte| format!("{byte:02x}")).collect::<String>();
    let crashing =
        if spec.has_crashing_part { format!("{CRASHING_PART}:20,") } else { String::new() };
    format!("a{first}:50,{crashing}b{subject}:30,{own}:20")
}

/// Sends one request; returns the connection if it can be reused.
pub async fn send_request(
    router_address: SocketAddr,
    connection: Option<Sender>,
    spec: &RequestSpec<'_>,
) -> (Outcome, HeaderMap, Option<Sender>) {
    let RequestSpec { kind, workspace, id, model, ref body, take_up, leaves_after, .. } = *spec;
    let mut req = Request::builder().method(Method::POST).uri(kind.path()).header("host", HOST);
    if uses_http_1_0(id) {
        req = req.version(Version::HTTP_10);
    }
    req =
        req.header("request-id", id).header("authorization", format!("Bearer {}", workspace.key()));
    req = req.header("deadline-ms", kind.deadline().as_millis() as u64);
    if kind.streams() {
        req = req.header("model", model).header("token-usage", "100,100");
        req = req.header("prompt-prefix", prompt_parts(spec));
    }
    if let Some(TakeUp { began, last_event }) = take_up {
        req = req.header("resumes", began).header("last-event-id", *last_event);
    }
    let req = req.body(Full::new(body.clone())).expect("the parts are valid");
    let limit = kind.deadline() + DEADLINE_GRACE;
    let done = send_and_receive(router_address, connection, req, leaves_after);
    match tokio::time::timeout(limit, done).await {
        Ok(done) => done,
        Err(_) => (Outcome::TimedOut, HeaderMap::new(), None),
    }
}

/// Sends a GET request to a path; returns the status of a complete response.
pub async fn request_status(
    router_address: SocketAddr,
    path: &str,
    id: &str,
) -> Option<StatusCode> {
    let req = Request::builder().uri(path).header("host", HOST).header("request-id", id);
    let req = req.header("authorization", format!("Bearer {}", Workspace::Steady.key()));
    let req = req.header("deadline-ms", 1_000).body(Full::default());
    let req = req.expect("the parts are valid");
    match tokio::time::timeout(
        DEADLINE_GRACE * 2,
        send_and_receive(router_address, None, req, None),
    )
    .await
    {
        Ok((Outcome::Complete(status, _), ..)) => Some(status),
        _ => None,
    }
}

pub async fn is_ready(readiness_address: SocketAddr) -> bool {
    request_status(readiness_address, "/-/readiness", "ready").await == Some(StatusCode::OK)
}

async fn send_and_receive(
    router_address: SocketAddr,
    connection: Option<Sender>,
    req: Request<Full<Bytes>>,
    leaves_after: Option<usize>,
) -> (Outcome, HeaderMap, Option<Sender>) {
    let no_headers = HeaderMap::new;
    let sender = match connection {
        Some(sender) => Some(sender),
        None => connect(router_address).await,
    };
    let Some(mut sender) = sender else { return (Outcome::NoConnection, no_headers(), None) };
    let Ok(answer) = sender.send_request(req).await else {
        return (Outcome::Closed, no_headers(), None);
    };
    let (head, body) = answer.into_parts();
    let (complete, text) = read_body(body, leaves_after).await;
    let outcome = match complete {
        true => Outcome::Complete(head.status, text),
        false => Outcome::Truncated(head.status, text),
    };
    (outcome, head.headers, complete.then_some(sender))
}

async fn connect(router_address: SocketAddr) -> Option<Sender> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(router_address))
        .await
        .ok()?
        .ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // Errors surface in the request that uses the connection.
    tokio::spawn(async move { connection.await.ok() });
    Some(sender)
}

async fn read_body(mut body: Incoming, leaves_after: Option<usize>) -> (bool, Bytes) {
    let mut text = Vec::new();
    let has_left = |text: &[u8]| {
        let events = text.windows(2).filter(|window| window == b"\n\n").count();
        leaves_after.is_some_and(|leaves_after| events >= leaves_after)
    };
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Err(_) => return (false, text.into()),
        }
        if has_left(&text) {
            return (false, text.into());
        }
    }
    (true, text.into())
}
