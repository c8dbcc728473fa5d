//! Idle timeout of a connection.

use corianderstand_link::{
    connection,
    frame::{self, FrameError},
};
use corianderstand_schema::messages::ToAgent;
use rstest::rstest;
use std::time::Duration;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time,
};

const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    let local = TcpStream::connect(address).await.expect("it listens");
    (local, listener.accept().await.expect("it was connected").0)
}

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime starts").block_on(run)
}

/// Sending heartbeats must not mask a connection on which nothing is received.
#[rstest]
fn the_idle_timeout_expires_while_heartbeats_are_sent() {
    block_on(async {
        let (local, _remote) = pair().await;
        let (mut reader, _writer) =
            connection::split(local, IDLE_TIMEOUT).expect("options are set");
        let mut heartbeat = time::interval(HEARTBEAT_INTERVAL);
        let result = time::timeout(Duration::from_secs(30), async {
            loop {
                tokio::select! {
                    next = reader.next::<ToAgent>() => return next.map(|(message, _)| message),
                    _ = heartbeat.tick() => {}
                }
            }
        });
        let error = result.await.expect("the timeout expires").expect_err("nothing was sent");
        assert!(matches!(error, FrameError::IdleTimeout(_)), "{error}");
    });
}

/// A slow transfer that makes progress must not time out.
#[rstest]
fn a_slow_frame_does_not_time_out() {
    block_on(async {
        let (local, mut remote) = pair().await;
        let (mut reader, _writer) =
            connection::split(local, IDLE_TIMEOUT).expect("options are set");
        let frame = frame::encode(&ToAgent::Cancel { stream: 7 }, &[1; 20]).expect("plain data");
        let send = async {
            remote.write_u32(frame.len() as u32).await.expect("the other end reads");
            for byte in &frame {
                time::sleep(IDLE_TIMEOUT / 4).await;
                remote.write_u8(*byte).await.expect("the other end reads");
            }
        };
        let (read, ()) = tokio::join!(reader.next::<ToAgent>(), send);
        let (message, body) = read.expect("the frame is complete");
        assert_eq!((message, body.len()), (ToAgent::Cancel { stream: 7 }, 20));
    });
}
