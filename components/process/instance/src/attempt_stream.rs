//! Relays streamed answers of backend servers to callers.

use backend_server::{SendError, TokenEvent, TokenStream};
use dispatch::{CallResult, Request, Sent, StreamAction, StreamEvent};
use front::{Reply, StreamItem};
use tokio::sync::mpsc;
use types::prelude::*;

use crate::attempt::{Attempt, AttemptEnd, AttemptResult, AttemptStats};
use crate::pending::ReplySlot;

/// Chunks that are buffered for a slow caller before reading from the engine pauses.
const STREAM_BUFFER_CHUNKS: usize = 32;

impl Attempt {
    /// Relays a stream to the caller, and resumes it if the connection to the server breaks.
    pub(crate) async fn stream(
        self,
        mut stats: AttemptStats,
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
                    return self.end(stats, result, None, CallResult::Inconclusive);
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
                    return self.end(stats, result, Some(reply), CallResult::Inconclusive);
                }
                Err(e) => {
                    tracing::info!("dispatch: stream from {} broke: {e}", self.server);
                    (StreamEvent::Broken, None)
                }
            };
            match request.accept(&echoed, event) {
                StreamAction::Discard => {}
                StreamAction::Forward => {
                    stats.record_first_token();
                    stats.tokens += 1;
                    let Some(item) = data.map(StreamItem::Chunk) else { continue };
                    reply = match relay(reply, item, deadline).await {
                        Ok(reply) => reply,
                        Err(RelayError::CallerDisconnected) => {
                            self.cancel();
                            let result = AttemptResult::Abandoned(request);
                            return self.end(stats, result, None, CallResult::Inconclusive);
                        }
                        Err(RelayError::DeadlinePassed(reply)) => {
                            self.cancel();
                            let result = AttemptResult::Failed(request, Reason::DeadlinePassed);
                            return self.end(stats, result, Some(reply), CallResult::Inconclusive);
                        }
                    };
                }
                StreamAction::Complete => {
                    return self.finish_stream(stats, request, reply, deadline).await;
                }
                StreamAction::Broken => match self.resume(&mut request, deadline).await {
                    Some((resumed, attempt)) => {
                        stream = resumed;
                        echoed = attempt;
                    }
                    None => {
                        let result = AttemptResult::Failed(request, Reason::BackendFailed);
                        return self.end(stats, result, Some(reply), CallResult::Failure);
                    }
                },
            }
        }
    }

    pub(crate) async fn finish_stream(
        self,
        stats: AttemptStats,
        request: Request<Sent>,
        reply: ReplySlot,
        deadline: Instant,
    ) -> AttemptEnd {
        match request.finish() {
            Ok(request) => {
                // A caller that has disconnected by now has received everything but the end marker.
                let _ = relay(reply, StreamItem::End, deadline).await;
                self.end(stats, AttemptResult::Answered(request, None), None, CallResult::Success)
            }
            Err(request) => {
                let result = AttemptResult::Failed(request, Reason::BackendFailed);
                self.end(stats, result, Some(reply), CallResult::Failure)
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

/// Why an item was not delivered to the caller.
enum RelayError {
    CallerDisconnected,
    /// The caller has not read fast enough to get the item before the deadline.
    DeadlinePassed(ReplySlot),
}

/// Sends one item to the caller; the first item starts the stream.
async fn relay(
    reply: ReplySlot,
    item: StreamItem,
    deadline: Instant,
) -> Result<ReplySlot, RelayError> {
    let tx = match reply {
        ReplySlot::Streaming(tx) => tx,
        ReplySlot::Unused(reply) => {
            let (tx, rx) = mpsc::channel(STREAM_BUFFER_CHUNKS);
            reply.send(Reply::Stream(rx)).map_err(|_| RelayError::CallerDisconnected)?;
            tx
        }
    };
    match tokio::time::timeout_at(deadline.into(), tx.send(item)).await {
        Ok(Ok(())) => Ok(ReplySlot::Streaming(tx)),
        Ok(Err(_)) => Err(RelayError::CallerDisconnected),
        Err(_) => Err(RelayError::DeadlinePassed(ReplySlot::Streaming(tx))),
    }
}
