//! Appends while the log is down.

use corianderstand_control::appender::{self, Identity};
use corianderstand_edge::log::MemoryLog;
use corianderstand_schema::records::{Body, CallKey};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Generous, beside the attempts' pauses of 0.2 s, and below the time after which claims are given up.
const NOTICE_LIMIT: Duration = Duration::from_millis(1_500);
const APPEND_TIMEOUT: Duration = Duration::from_secs(3_600);

fn body() -> Body {
    let key = CallKey { team: "team".into(), service: "desk".into(), key: "key".into() };
    Body::Claimed { key, digest: 1, target: "target".into() }
}

/// Guards against calls that wait for their claim although the log is known to be down.
#[tokio::test]
async fn failed_attempts_tell_that_the_log_is_down() {
    let log = Arc::new(MemoryLog::default());
    log.set_down(true);
    let identity = Identity { writer: "agent".into(), incarnation: 1 };
    let (appender, queue, _notifier) = appender::channel(identity);
    let queue = tokio::spawn(queue.run(log.clone()));
    let writer = appender.clone();
    let claim = tokio::spawn(async move { writer.append(body(), APPEND_TIMEOUT).await });
    assert!(!appender.is_failing());
    let noticed = time::timeout(NOTICE_LIMIT, appender.wait_until_failing()).await;
    assert!(noticed.is_ok(), "noticed without delay");
    log.set_down(false);
    let recovered = time::timeout(Duration::from_secs(20), async {
        while appender.is_failing() {
            time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(recovered.await.is_ok(), "the log responds again");
    claim.abort();
    queue.abort();
}

/// Guards against refusing calls whose claim's response was lost once or twice.
#[tokio::test]
async fn two_lost_responses_are_no_outage() {
    let log = Arc::new(MemoryLog::default());
    log.drop_responses(2);
    let identity = Identity { writer: "agent".into(), incarnation: 1 };
    let (appender, queue, _notifier) = appender::channel(identity);
    let queue = tokio::spawn(queue.run(log));
    let writer = appender.clone();
    let claim = tokio::spawn(async move { writer.append(body(), APPEND_TIMEOUT).await });
    let noticed = time::timeout(Duration::from_secs(1), appender.wait_until_failing()).await;
    assert!(noticed.is_err());
    claim.abort();
    queue.abort();
}
