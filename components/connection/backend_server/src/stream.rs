//! Token streams as server-sent events.

use std::pin::Pin;

use eventsource_stream::{EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use types::prelude::*;

use crate::SendError;
use crate::client::before;

/// Data of the event that ends a stream.
const END_MARKER: &str = "[DONE]";

/// One event of a token stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenEvent {
    /// A chunk of the answer.
    Chunk {
        /// Sequence number; counts up from zero without gaps.
        sequence: u64,
        /// The chunk's JSON text.
        data: Box<str>,
    },
    /// The answer is complete.
    End,
}

type Events =
    dyn Stream<Item = Result<eventsource_stream::Event, EventStreamError<hyper::Error>>> + Send;

/// Reads the events of one token stream.
pub struct TokenStream {
    events: Pin<Box<Events>>,
}

impl TokenStream {
    /// Reads events from the body of an answer.
    pub fn new(body: Incoming) -> Self {
        let data = BodyDataStream::new(body);
        Self { events: Box::pin(data.eventsource()) }
    }

    /// The next event. A stream that ends without an end marker is broken.
    pub async fn next(&mut self, deadline: Instant) -> Result<TokenEvent, SendError> {
        match before(deadline, self.events.next()).await? {
            Some(Ok(event)) => parse(event),
            Some(Err(e)) => Err(SendError::Interrupted(e.to_string().into())),
            None => Err(SendError::Interrupted("stream ended without an end marker".into())),
        }
    }
}

fn parse(event: eventsource_stream::Event) -> Result<TokenEvent, SendError> {
    if event.data == END_MARKER {
        return Ok(TokenEvent::End);
    }
    let sequence = event.id.parse().map_err(|_| {
        SendError::Malformed(format!("stream event has no sequence number: {:?}", event.id).into())
    })?;
    Ok(TokenEvent::Chunk { sequence, data: event.data.into() })
}
