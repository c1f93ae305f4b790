//! Tracks whether a response is complete.

/// One event of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A part of a streamed response, with the number from its `id:` field, starting at 0.
    Part(u64),
    /// The end marker of a streamed response.
    End,
    /// The full body of a response that is not streamed, with the announced length.
    FullBody,
    /// The connection broke, or the response was unusable.
    Broken,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamAction {
    /// Drop the event: it belongs to another attempt or was already forwarded.
    Discard,
    /// Forward the event to the caller.
    Forward,
    /// Forward the event. The response is complete, so `Request::finish` succeeds.
    Complete,
    /// Parts of the response are missing: resume, retry or fail explicitly.
    Broken,
}

/// State of one attempt's response.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResponseStream {
    /// Number of the next part to forward; all earlier ones were forwarded in order.
    next_part: u64,
    /// Parts were missing or the connection broke, and the stream was not resumed since.
    broken: bool,
    complete: bool,
}

impl ResponseStream {
    pub(crate) fn accept(&mut self, event: StreamEvent) -> StreamAction {
        if self.complete {
            return StreamAction::Discard;
        }
        match event {
            StreamEvent::Part(number) if number < self.next_part => StreamAction::Discard,
            StreamEvent::Part(number) if number > self.next_part => self.mark_broken(),
            StreamEvent::Part(_) => {
                self.next_part += 1;
                StreamAction::Forward
            }
            // An engine sends at least one part, so an end marker alone means that all parts were
            // lost.
            StreamEvent::End if self.broken || self.next_part == 0 => self.mark_broken(),
            StreamEvent::FullBody if self.broken || self.next_part > 0 => self.mark_broken(),
            StreamEvent::End | StreamEvent::FullBody => {
                self.complete = true;
                StreamAction::Complete
            }
            StreamEvent::Broken => self.mark_broken(),
        }
    }

    /// If the stream is broken, marks it as resumed and returns the number of the first missing
    /// part.
    pub(crate) fn resume(&mut self) -> Option<u64> {
        if !self.broken || self.complete {
            return None;
        }
        self.broken = false;
        Some(self.next_part)
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether any part, or the full body, was forwarded to the caller.
    pub(crate) fn has_forwarded(&self) -> bool {
        self.next_part > 0 || self.complete
    }

    fn mark_broken(&mut self) -> StreamAction {
        self.broken = true;
        StreamAction::Broken
    }
}
