//! Passing streamed answers on.

use backend_server::{SendError, TokenEvent, TokenStream};
use dispatch::{CallResult, Request, Sent, StreamAction, StreamEvent};
use front::{Reply, StreamItem};
use tokio::sync::mpsc;
use types::prelude::*;

use crate::attempt::{Attempt, AttemptEnd, AttemptResult, Record};
use crate::pending::ReplySlot;

/// Stream chunks that wait for a slow caller before the engine is read no further.
const STREAM_BUFFER: usize = 32;

impl Attempt {
    /// Passes a stream on, resuming it where it breaks.
    pub(crate) async fn stream(
        self,
        mut record: Record,
        mut request: Request<Sent>,
        mut stream: TokenStream,
        mut echoed: AttemptId,
        mut reply: ReplySlot,
    ) -> AttemptEnd {
        let deadline = request.params().complete_by;
        loop {
            let event = tokio::select! {
                event = stream.next(deadline) => event,
                () = reply.closed() => {
                    self.cancel();
                    let result = AttemptResult::Abandoned(request);
                    return self.end(record, result, None, CallResult::Inconclusive);
                }
            };
            let (event, data) = match event {
                Ok(TokenEvent::Chunk { sequence, data }) => {
                    (StreamEvent::Part(sequence), Some(data))
                }
                Ok(TokenEvent::End) => (StreamEvent::End, None),
                Err(SendError::DeadlinePassed) => {
                    self.cancel();
                    let result = AttemptResult::Failed(request, Reason::DeadlinePassed);
                    return self.end(record, result, Some(reply), CallResult::Inconclusive);
                }
                Err(e) => {
                    tracing::info!("dispatch: stream from {} broke: {e}", self.server);
                    (StreamEvent::Broken, None)
                }
            };
            match request.accept(&echoed, event) {
                StreamAction::Discard => {}
                StreamAction::Forward => {
                    record.first_token();
                    record.tokens += 1;
                    let Some(item) = data.map(StreamItem::Chunk) else { continue };
                    reply = match forward(reply, item, deadline).await {
                        Ok(reply) => reply,
                        Err(Undelivered::CallerGone) => {
                            self.cancel();
                            let result = AttemptResult::Abandoned(request);
                            return self.end(record, result, None, CallResult::Inconclusive);
                        }
                        Err(Undelivered::DeadlinePassed(reply)) => {
                            self.cancel();
                            let result = AttemptResult::Failed(request, Reason::DeadlinePassed);
                            return self.end(record, result, Some(reply), CallResult::Inconclusive);
                        }
                    };
                }
                StreamAction::Complete => {
                    return self.finish_stream(record, request, reply, deadline).await;
                }
                StreamAction::Broken => match self.resume(&mut request, deadline).await {
                    Some((resumed, attempt)) => {
                        stream = resumed;
                        echoed = attempt;
                    }
                    None => {
                        let result = AttemptResult::Failed(request, Reason::BackendFailed);
                        return self.end(record, result, Some(reply), CallResult::Failure);
                    }
                },
            }
        }
    }

    pub(crate) async fn finish_stream(
        self,
        record: Record,
        request: Request<Sent>,
        reply: ReplySlot,
        deadline: Instant,
    ) -> AttemptEnd {
        match request.finish() {
            Ok(request) => {
                // A caller that has gone away at the very end has got everything but the marker.
                let _ = forward(reply, StreamItem::End, deadline).await;
                self.end(record, AttemptResult::Answered(request, None), None, CallResult::Success)
            }
            Err(request) => {
                let result = AttemptResult::Failed(request, Reason::BackendFailed);
                self.end(record, result, Some(reply), CallResult::Failure)
            }
        }
    }

    pub(crate) async fn resume(
        &self,
        request: &mut Request<Sent>,
        deadline: Instant,
    ) -> Option<(TokenStream, AttemptId)> {
        let resume = request.resume(Instant::now())?;
        let stream =
            self.client.resume(&self.address, &resume.attempt, resume.from_part, deadline).await;
        match stream {
            Ok(Some(stream)) => Some((stream, resume.attempt)),
            Ok(None) => None,
            Err(e) => {
                tracing::info!("dispatch: stream from {} not resumed: {e}", self.server);
                None
            }
        }
    }
}

/// Why a part was not passed on.
enum Undelivered {
    CallerGone,
    /// The caller reads too slowly.
    DeadlinePassed(ReplySlot),
}

/// Passes one item on; the first one begins the stream.
async fn forward(
    reply: ReplySlot,
    item: StreamItem,
    deadline: Instant,
) -> Result<ReplySlot, Undelivered> {
    let tx = match reply {
        ReplySlot::Streaming(tx) => tx,
        ReplySlot::Unused(reply) => {
            let (tx, rx) = mpsc::channel(STREAM_BUFFER);
            reply.send(Reply::Stream(rx)).map_err(|_| Undelivered::CallerGone)?;
            tx
        }
    };
    match tokio::time::timeout_at(deadline.into(), tx.send(item)).await {
        Ok(Ok(())) => Ok(ReplySlot::Streaming(tx)),
        Ok(Err(_)) => Err(Undelivered::CallerGone),
        Err(_) => Err(Undelivered::DeadlinePassed(ReplySlot::Streaming(tx))),
    }
}
