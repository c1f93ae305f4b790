//! Response bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame};
use quick_error::quick_error;
use tokio::sync::mpsc;
use types::prelude::*;

use crate::StreamItem;

/// Body of any response.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;

quick_error! {
    /// Error of a response body.
    // `quick_error!` accepts only `pub` or no visibility.
    #[allow(unreachable_pub)]
    #[derive(Debug)]
    pub enum BodyError {
        /// The event loop dropped the stream before it sent an end marker or a failure.
        Truncated {
            display("response stream was dropped before its end")
        }
    }
}

/// Creates a body with a known length.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Creates a body of server-sent events from the items that `rx` receives.
pub(crate) fn event_body(request: RequestId, rx: mpsc::Receiver<StreamItem>) -> ResponseBody {
    EventBody { request, rx, sequence: 0, is_ended: false }.boxed_unsync()
}

struct EventBody {
    request: RequestId,
    rx: mpsc::Receiver<StreamItem>,
    /// Number of the next chunk, sent as the event's id.
    sequence: u64,
    /// Whether the end marker or a failure was sent, after which the body ends.
    is_ended: bool,
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        let text = match self.rx.poll_recv(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(None) => {
                self.is_ended = true;
                return Poll::Ready(Some(Err(BodyError::Truncated)));
            }
            Poll::Ready(Some(StreamItem::Chunk(data))) => {
                self.sequence += 1;
                format!("id: {}\ndata: {data}\n\n", self.sequence - 1)
            }
            Poll::Ready(Some(StreamItem::End)) => {
                self.is_ended = true;
                "data: [DONE]\n\n".to_string()
            }
            Poll::Ready(Some(StreamItem::Failed(problem))) => {
                self.is_ended = true;
                let document = problem.to_json(&self.request);
                format!("event: error\ndata: {}\n\n", String::from_utf8_lossy(&document))
            }
        };
        Poll::Ready(Some(Ok(Frame::data(text.into()))))
    }
}
