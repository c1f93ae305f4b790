//! Bodies of answers.

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

/// Body of any answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, StreamCutOff>;

quick_error! {
    /// The loop dropped a stream before its end.
    // The macro takes `pub` or nothing.
    #[allow(unreachable_pub)]
    #[derive(Debug)]
    pub enum StreamCutOff {
        /// No end marker and no failure was sent.
        CutOff {
            display("answer stream was dropped before its end")
        }
    }
}

/// A body that is known as a whole.
pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// A body of server-sent events.
pub(crate) fn events(request: RequestId, rx: mpsc::Receiver<StreamItem>) -> AnswerBody {
    EventBody { request, rx, sequence: 0, ended: false }.boxed_unsync()
}

struct EventBody {
    request: RequestId,
    rx: mpsc::Receiver<StreamItem>,
    /// Number of the next chunk, sent as the event's id.
    sequence: u64,
    /// Set once the end marker or a failure was sent; nothing follows.
    ended: bool,
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = StreamCutOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCutOff>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let text = match self.rx.poll_recv(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(None) => {
                self.ended = true;
                return Poll::Ready(Some(Err(StreamCutOff::CutOff)));
            }
            Poll::Ready(Some(StreamItem::Chunk(data))) => {
                self.sequence += 1;
                format!("id: {}\ndata: {data}\n\n", self.sequence - 1)
            }
            Poll::Ready(Some(StreamItem::End)) => {
                self.ended = true;
                "data: [DONE]\n\n".to_string()
            }
            Poll::Ready(Some(StreamItem::Failed(problem))) => {
                self.ended = true;
                let document = problem.to_json(&self.request);
                format!("event: error\ndata: {}\n\n", String::from_utf8_lossy(&document))
            }
        };
        Poll::Ready(Some(Ok(Frame::data(text.into()))))
    }
}
