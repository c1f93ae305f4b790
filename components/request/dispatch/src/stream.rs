//! Completeness of an answer.

/// One event of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A part of a stream, with the number from its `id:` field. The first part has number 0.
    Part(u64),
    /// The end marker of a stream.
    End,
    /// A whole answer that is not a stream, of the announced length.
    FullBody,
    /// The connection broke or the answer was unusable.
    Broken,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamAction {
    /// Drop it: it belongs to another attempt or was already passed on.
    Discard,
    /// Pass it on to the caller.
    Forward,
    /// Pass it on; the answer is complete and `Request::finish` succeeds.
    Complete,
    /// Parts are missing: resume, retry or fail explicitly.
    Broken,
}

/// What has arrived of one attempt's answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Stream {
    /// Number of the next part to pass on; all earlier ones were passed on in order.
    next: u64,
    /// Parts were missing or the connection broke, and the stream was not resumed.
    broken: bool,
    complete: bool,
}

impl Stream {
    pub(crate) fn accept(&mut self, event: StreamEvent) -> StreamAction {
        if self.complete {
            return StreamAction::Discard;
        }
        match event {
            StreamEvent::Part(number) if number < self.next => StreamAction::Discard,
            StreamEvent::Part(number) if number > self.next => self.fail(),
            StreamEvent::Part(_) => {
                self.next += 1;
                StreamAction::Forward
            }
            // An engine sends at least one part, so an end marker alone means that all were lost.
            StreamEvent::End if self.broken || self.next == 0 => self.fail(),
            StreamEvent::FullBody if self.broken || self.next > 0 => self.fail(),
            StreamEvent::End | StreamEvent::FullBody => {
                self.complete = true;
                StreamAction::Complete
            }
            StreamEvent::Broken => self.fail(),
        }
    }

    /// Number of the first missing part, if the stream is broken; it then counts as whole again.
    pub(crate) fn resume(&mut self) -> Option<u64> {
        if !self.broken || self.complete {
            return None;
        }
        self.broken = false;
        Some(self.next)
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether any part was passed on to the caller.
    pub(crate) fn has_begun(&self) -> bool {
        self.next > 0 || self.complete
    }

    fn fail(&mut self) -> StreamAction {
        self.broken = true;
        StreamAction::Broken
    }
}
