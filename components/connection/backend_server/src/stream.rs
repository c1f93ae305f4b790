//! Token streams, received as server-sent events.

use std::pin::Pin;

use eventsource_stream::{EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use types::prelude::*;

use crate::SendError;
use crate::client::with_deadline;

/// Data of the event that marks the end of a stream.
const END_MARKER: &str = "[DONE]";

/// One event of a token stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenEvent {
    /// A chunk of the response.
    Chunk {
        /// Sequence number, consecutive from zero.
        sequence: u64,
        /// The chunk's JSON text.
        data: Box<str>,
    },
    /// The response is complete.
    End,
}

type EventStream =
    dyn Stream<Item = Result<eventsource_stream::Event, EventStreamError<hyper::Error>>> + Send;

/// Reader of one token stream.
pub struct TokenStream {
    events: Pin<Box<EventStream>>,
}

impl TokenStream {
    /// Creates a reader of the events in a response body.
    pub fn new(body: Incoming) -> Self {
        let data = BodyDataStream::new(body);
        Self { events: Box::pin(data.eventsource()) }
    }

    /// Waits until `deadline` for the next event. A stream that ends without an end marker is
    /// reported as interrupted.
    pub async fn next(&mut self, deadline: Instant) -> Result<TokenEvent, SendError> {
        match with_deadline(deadline, self.events.next()).await? {
            Some(Ok(event)) => parse_event(event),
            Some(Err(e)) => Err(SendError::Interrupted(e.to_string().into())),
            None => Err(SendError::Interrupted("stream ended without an end marker".into())),
        }
    }
}

fn parse_event(event: eventsource_stream::Event) -> Result<TokenEvent, SendError> {
    if event.data == END_MARKER {
        return Ok(TokenEvent::End);
    }
    let sequence = event.id.parse().map_err(|_| {
        SendError::Malformed(format!("stream event has no sequence number: {:?}", event.id).into())
    })?;
    Ok(TokenEvent::Chunk { sequence, data: event.data.into() })
}
