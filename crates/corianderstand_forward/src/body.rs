//! Bodies of responses to callers.

use crate::{body_end, close_delimited, exchange::Aborted};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use std::{
    any::Any,
    pin::Pin,
    task::{Context, Poll},
};

/// A buffered or streamed body.
pub struct ResponseBody {
    source: Source,
    _guard: Option<Box<dyn Any>>,
    /// Set if the answer ends with its connection.
    close: Option<close_delimited::CloseControl>,
}

enum Source {
    Buffered(Full<Bytes>),
    Stream(Pin<Box<dyn Body<Data = Bytes, Error = Aborted>>>),
}

impl ResponseBody {
    /// The whole body of a target's response.
    pub fn of_target(body: body_end::WholeBody) -> Self {
        Self::buffered(body.bytes)
    }

    /// A buffered body of the router itself.
    pub fn buffered(bytes: Bytes) -> Self {
        Self { source: Source::Buffered(Full::new(bytes)), _guard: None, close: None }
    }

    /// A streamed body.
    pub fn stream(body: impl Body<Data = Bytes, Error = Aborted> + 'static) -> Self {
        Self { source: Source::Stream(Box::pin(body)), _guard: None, close: None }
    }

    /// Attaches a guard that is dropped with the body.
    #[must_use]
    pub fn with_guard(self, guard: impl Any) -> Self {
        Self { _guard: Some(Box::new(guard)), ..self }
    }

    /// Marks a body that ends with its connection, which is reset unless the body is whole.
    #[must_use]
    pub fn ending_with_connection(self, close: close_delimited::CloseControl) -> Self {
        close.begin_answer();
        Self { close: Some(close), ..self }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match &mut self.source {
            Source::Buffered(full) => Pin::new(full)
                .poll_frame(cx)
                .map(|frame| frame.map(|f| f.map_err(|never| match never {}))),
            Source::Stream(body) => {
                let frame = body.as_mut().poll_frame(cx);
                if let (Poll::Ready(None), Some(close)) = (&frame, &self.close) {
                    close.end_answer();
                }
                frame
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Buffered(full) => full.is_end_stream(),
            Source::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Buffered(full) => full.size_hint(),
            Source::Stream(body) => body.size_hint(),
        }
    }
}
