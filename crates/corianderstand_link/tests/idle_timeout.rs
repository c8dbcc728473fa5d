//! The limit on silence of a connection.

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

const SILENCE: Duration = Duration::from_millis(300);
const HEARTBEAT: Duration = Duration::from_millis(50);

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    let near = TcpStream::connect(address).await.expect("it listens");
    (near, listener.accept().await.expect("it was connected").0)
}

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the system gives a runtime").block_on(run)
}

/// Something between the two ends loses track of a connection, so that nothing comes any more,
/// while this end goes on sending heartbeats. Its user would wait for ever for an answer.
#[rstest]
fn silence_is_noticed_although_heartbeats_are_sent_meanwhile() {
    block_on(async {
        let (near, _far) = pair().await;
        let (mut reader, _writer) = connection::split(near, SILENCE).expect("options are set");
        let mut heartbeat = time::interval(HEARTBEAT);
        let noticed = time::timeout(Duration::from_secs(30), async {
            loop {
                tokio::select! {
                    next = reader.next::<ToAgent>() => return next.map(|(message, _)| message),
                    _ = heartbeat.tick() => {}
                }
            }
        });
        let error = noticed.await.expect("noticed at all").expect_err("nothing was sent");
        assert!(matches!(error, FrameError::IdleTimeout(_)), "{error}");
    });
}

/// A long body comes slowly over a thin line, longer than the limit on silence, but a little all
/// the time. Cutting it would make its user start again and again.
#[rstest]
fn a_frame_that_comes_slowly_is_not_silent() {
    block_on(async {
        let (near, mut far) = pair().await;
        let (mut reader, _writer) = connection::split(near, SILENCE).expect("options are set");
        let frame = frame::encode(&ToAgent::Cancel { stream: 7 }, &[1; 20]).expect("plain data");
        let send = async {
            far.write_u32(frame.len() as u32).await.expect("the other end reads");
            for byte in &frame {
                time::sleep(SILENCE / 4).await;
                far.write_u8(*byte).await.expect("the other end reads");
            }
        };
        let (read, ()) = tokio::join!(reader.next::<ToAgent>(), send);
        let (message, body) = read.expect("the frame is whole");
        assert_eq!((message, body.len()), (ToAgent::Cancel { stream: 7 }, 20));
    });
}
