//! HTTP server that the stand-ins share.

use bytes::Bytes;
use futures::{future::BoxFuture, stream::BoxStream};
use getopts::Matches;
use salvo::{
    Depot, FlowCtrl, Handler, Listener, Request, Response, Router, Server, async_trait,
    conn::TcpListener, http::StatusCode,
};
use serde::{Serialize, de::DeserializeOwned};
use std::{collections::HashMap, str::FromStr, sync::Arc};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

pub struct ApiRequest {
    pub method: String,
    pub path: String,
    /// Path and query parameters by name.
    pub params: HashMap<String, String>,
    /// Headers with text values, by lower-case name.
    pub headers: HashMap<String, String>,
    pub body: Bytes,
}

impl ApiRequest {
    /// Returns a parameter, or the default if it is missing or invalid.
    pub fn param<T: FromStr + Default>(&self, name: &str) -> T {
        self.params.get(name).and_then(|value| value.parse().ok()).unwrap_or_default()
    }

    /// Returns a header, or the default if it is missing or invalid.
    pub fn header<T: FromStr + Default>(&self, name: &str) -> T {
        self.headers.get(name).and_then(|value| value.parse().ok()).unwrap_or_default()
    }

    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|error| Reply::text(400, &error.to_string()))
    }
}

pub enum Reply {
    Complete(u16, &'static str, Bytes),
    /// Stream of server-sent events.
    Events(BoxStream<'static, Result<Bytes, std::io::Error>>),
}

impl Reply {
    pub fn json(value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("a reply serializes to JSON");
        Self::Complete(200, "application/json", body.into())
    }

    pub fn text(status: u16, text: &str) -> Self {
        Self::Complete(status, "text/plain", Bytes::copy_from_slice(text.as_bytes()))
    }
}

pub type RequestHandler<S> = fn(Arc<S>, ApiRequest) -> BoxFuture<'static, Reply>;

pub struct Endpoint<S>(pub Arc<S>, pub RequestHandler<S>);

#[async_trait]
impl<S: Send + Sync + 'static> Handler for Endpoint<S> {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let request = read_request(req).await;
        match (self.1)(self.0.clone(), request).await {
            Reply::Complete(status, content_type, body) => {
                res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::OK));
                set_content_type(res, content_type);
                drop(res.write_body(body));
            }
            Reply::Events(events) => {
                set_content_type(res, "text/event-stream");
                res.stream(events);
            }
        }
    }
}

fn set_content_type(res: &mut Response, content_type: &'static str) {
    res.headers_mut().insert(
        "content-type",
        content_type.parse().expect("a content type is a valid header value"),
    );
}

async fn read_request(req: &mut Request) -> ApiRequest {
    let mut params = HashMap::new();
    for (name, value) in req.queries().iter() {
        params.insert(name.clone(), value.clone());
    }
    for (name, value) in req.params().iter() {
        params.insert(name.clone(), value.clone());
    }
    let headers = req.headers().iter();
    let headers = headers.filter_map(|(n, v)| Some((n.to_string(), v.to_str().ok()?.to_owned())));
    let headers = headers.collect();
    let (method, path) = (req.method().to_string(), req.uri().path().to_owned());
    let body = req.payload_with_max_size(MAX_BODY_BYTES).await.cloned().unwrap_or_default();
    ApiRequest { method, path, params, headers, body }
}

pub async fn serve(address: &str, routes: Router) -> Result<(), String> {
    let acceptor = TcpListener::new(address.to_owned()).try_bind().await;
    let acceptor = acceptor.map_err(|error| format!("cannot listen on {address}: {error}"))?;
    let nodelay = socket2::SockRef::from(acceptor.inner()).set_tcp_nodelay(true);
    nodelay.map_err(|error| format!("cannot set up {address}: {error}"))?;
    Server::new(acceptor).serve(routes).await;
    Ok(())
}

pub fn parse_option<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, String> {
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| format!("--{name}: cannot use {text:?}")),
    }
}

pub fn listen_address(matches: &Matches) -> Result<String, String> {
    matches.opt_str("listen").ok_or_else(|| "--listen is missing".to_owned())
}

pub fn format_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
