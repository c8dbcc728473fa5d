//! Encodes model answers as OpenAI-compatible JSON and server-sent events.

use crate::{
    call::{CallInProgress, Part},
    problem::{self, Problem},
};
use bytes::Bytes;
use futures::stream;
use salvo::Response;
use serde_json::{Value, json};
use smol_str::SmolStr;
use std::{convert::Infallible, time::Duration};
use tokio::time::Instant;

#[derive(Clone, Debug)]
pub struct AnswerFormat {
    pub is_chat: bool,
    pub request_id: SmolStr,
    /// The model name that the caller sent.
    pub model: String,
    /// Whether a stream ends with an event that contains the token counts.
    pub include_usage: bool,
    /// When the request was received, in seconds since the Unix epoch.
    pub created_s: u64,
}

/// Timeout of a target that generates no tokens although its connection is alive.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(120);
const MAX_WRITE_BYTES: usize = 16 * 1024;

impl AnswerFormat {
    fn object(&self, streamed: bool) -> &'static str {
        match (self.is_chat, streamed) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        }
    }

    fn envelope(&self, streamed: bool, choice: Value) -> Value {
        json!({
            "id": self.request_id,
            "object": self.object(streamed),
            "created": self.created_s,
            "model": self.model,
            "choices": [choice],
        })
    }

    fn delta(&self, text: &str) -> Value {
        let choice = if self.is_chat {
            json!({ "index": 0, "delta": { "role": "assistant", "content": text }, "finish_reason": null })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": null })
        };
        self.envelope(true, choice)
    }

    fn finish(&self, reason: &str) -> Value {
        let choice = if self.is_chat {
            json!({ "index": 0, "delta": {}, "finish_reason": reason })
        } else {
            json!({ "index": 0, "text": "", "finish_reason": reason })
        };
        self.envelope(true, choice)
    }

    fn usage_event(&self, usage: Value) -> Value {
        let mut value = self.envelope(true, Value::Null);
        value["choices"] = json!([]);
        value["usage"] = usage;
        value
    }

    fn document(&self, text: &str, reason: &str, usage: Value) -> Value {
        let choice = if self.is_chat {
            let message = json!({ "role": "assistant", "content": text });
            json!({ "index": 0, "message": message, "finish_reason": reason })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": reason })
        };
        let mut value = self.envelope(false, choice);
        value["usage"] = usage;
        value
    }
}

fn usage(prompt: u64, completion: u64) -> Value {
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": completion,
        "total_tokens": prompt + completion,
    })
}

/// Collects the answer and sends it as one JSON document; on an error nothing was sent.
pub async fn whole(
    mut call: CallInProgress,
    format: &AnswerFormat,
    deadline: Instant,
    res: &mut Response,
) -> Result<(), Problem> {
    let mut text = Vec::new();
    loop {
        match call.next(deadline).await? {
            Part::Head { .. } => {}
            Part::Chunk(body) => text.extend_from_slice(&body),
            Part::Whole { prompt_tokens, completion_tokens, finish_reason } => {
                let usage = usage(prompt_tokens, completion_tokens);
                let text = String::from_utf8_lossy(&text);
                let body = format.document(&text, &finish_reason, usage);
                problem::set_header(res, "content-type", "application/json");
                drop(res.write_body(body.to_string()));
                return Ok(());
            }
        }
    }
}

/// Streams the answer as server-sent events. Errors after the first part are sent as an event and
/// end the stream without `[DONE]`.
pub async fn stream(
    mut call: CallInProgress,
    format: AnswerFormat,
    deadline: Instant,
    res: &mut Response,
) -> Result<(), Problem> {
    let first = call.next(deadline).await?;
    problem::set_header(res, "content-type", "text/event-stream");
    problem::set_header(res, "cache-control", "no-cache");
    let state = EventStream { call, format, first: Some(first), finished: false };
    res.stream(stream::unfold(state, EventStream::next));
    Ok(())
}

struct EventStream {
    call: CallInProgress,
    format: AnswerFormat,
    first: Option<Part>,
    finished: bool,
}

impl EventStream {
    async fn next(mut self) -> Option<(Result<Bytes, Infallible>, Self)> {
        if self.finished {
            return None;
        }
        let mut buf = String::new();
        let first = match self.first.take() {
            Some(part) => Ok(part),
            None => self.call.next(Instant::now() + STREAM_IDLE_TIMEOUT).await,
        };
        self.write(first, &mut buf);
        while !self.finished && buf.len() < MAX_WRITE_BYTES {
            match self.call.try_next() {
                Ok(None) => break,
                Ok(Some(part)) => self.write(Ok(part), &mut buf),
                Err(problem) => self.write(Err(problem), &mut buf),
            }
        }
        Some((Ok(buf.into()), self))
    }

    fn write(&mut self, part: Result<Part, Problem>, buf: &mut String) {
        match part {
            Ok(Part::Head { .. }) => {}
            Ok(Part::Chunk(body)) => {
                // With the id, a caller can resume the stream at another router.
                buf.push_str(&format!("id: {}\n", self.call.position()));
                write_event(buf, &self.format.delta(&String::from_utf8_lossy(&body)));
            }
            Ok(Part::Whole { prompt_tokens, completion_tokens, finish_reason }) => {
                write_event(buf, &self.format.finish(&finish_reason));
                if self.format.include_usage {
                    let usage = usage(prompt_tokens, completion_tokens);
                    write_event(buf, &self.format.usage_event(usage));
                }
                buf.push_str("data: [DONE]\n\n");
                self.finished = true;
            }
            Err(problem) => {
                write_event(buf, &problem.body(&self.format.request_id));
                self.finished = true;
            }
        }
    }
}

fn write_event(buf: &mut String, value: &Value) {
    buf.push_str("data: ");
    buf.push_str(&value.to_string());
    buf.push_str("\n\n");
}
