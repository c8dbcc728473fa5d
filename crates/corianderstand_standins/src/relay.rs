//! A TCP relay that can close connections or stop forwarding.

use crate::serve::{self, ApiRequest, Endpoint, Reply};
use futures::FutureExt;
use getopts::Matches;
use salvo::Router;
use serde::Deserialize;
use std::sync::Arc;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Injected faults.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    /// Stops forwarding on open connections; new ones work.
    silence_open: bool,
    /// Closes open connections.
    cut_open: bool,
    /// Stops forwarding on all connections until reset.
    silence_all: bool,
}

struct Relay {
    fault: watch::Sender<(u64, Fault)>,
}

async fn set_fault(relay: Arc<Relay>, req: ApiRequest) -> Reply {
    match req.json::<Fault>() {
        Ok(fault) => {
            relay.fault.send_modify(|(count, current)| (*count, *current) = (*count + 1, fault));
            Reply::text(200, "set")
        }
        Err(reply) => reply,
    }
}

/// Forwards bytes in one direction until either end closes or a fault closes the connection.
async fn forward_bytes(
    mut source: OwnedReadHalf,
    mut destination: OwnedWriteHalf,
    mut fault: watch::Receiver<(u64, Fault)>,
) {
    let initial_fault_count = fault.borrow().0;
    let mut buf = vec![0; 64 * 1024];
    loop {
        let (fault_count, current) = *fault.borrow_and_update();
        if current.cut_open && fault_count > initial_fault_count {
            return;
        }
        if current.silence_all || (current.silence_open && fault_count > initial_fault_count) {
            if fault.changed().await.is_err() {
                return;
            }
            continue;
        }
        tokio::select! {
            read = source.read(&mut buf) => match read {
                Ok(0) | Err(_) => return,
                Ok(n) => if destination.write_all(&buf[..n]).await.is_err() { return },
            },
            _ = fault.changed() => {}
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    upstream_address: String,
    fault: watch::Receiver<(u64, Fault)>,
) {
    while let Ok((downstream, _)) = listener.accept().await {
        let (upstream_address, fault) = (upstream_address.clone(), fault.clone());
        tokio::spawn(async move {
            let Ok(upstream) = TcpStream::connect(&upstream_address).await else { return };
            drop((downstream.set_nodelay(true), upstream.set_nodelay(true)));
            let (downstream_read, downstream_write) = downstream.into_split();
            let (upstream_read, upstream_write) = upstream.into_split();
            tokio::join!(
                forward_bytes(downstream_read, upstream_write, fault.clone()),
                forward_bytes(upstream_read, downstream_write, fault)
            );
        });
    }
}

pub async fn run(matches: &Matches) -> Result<(), String> {
    let listen = serve::listen_address(matches)?;
    let upstream_address = matches.opt_str("to").ok_or("--to is missing")?;
    let control_address = matches.opt_str("control").ok_or("--control is missing")?;
    let listener = TcpListener::bind(&listen).await;
    let listener = listener.map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    let relay = Arc::new(Relay { fault: watch::Sender::new((0, Fault::default())) });
    tokio::spawn(accept_connections(listener, upstream_address, relay.fault.subscribe()));
    let routes = Router::new()
        .push(Router::with_path("fault").post(Endpoint(relay, |s, r| set_fault(s, r).boxed())));
    serve::serve(&control_address, routes).await
}
