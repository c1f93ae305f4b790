//! One attempt to run a request, and the readers of its response.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use types::prelude::*;

/// Status of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Status {
    Running,
    Finished,
    Cancelled,
    Abandoned,
}

/// The request of an attempt and its progress.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) replica: ReplicaId,
    /// `MODEL` or `MODEL:ADAPTER`, as given in the request.
    pub(super) target: Box<str>,
    pub(super) is_chat: bool,
    pub(super) prompt_hash: u64,
    pub(super) prompt_tokens: u64,
    /// Number of tokens to generate.
    pub(super) tokens: u64,
    progress: Mutex<Progress>,
    changed: watch::Sender<()>,
}

#[derive(Debug)]
struct Progress {
    produced: u64,
    status: Status,
    readers: u32,
    unread_since: Instant,
}

impl Attempt {
    pub(super) fn new(
        id: AttemptId,
        replica: ReplicaId,
        target: Box<str>,
        is_chat: bool,
        prompt: (u64, u64),
        tokens: u64,
    ) -> Self {
        let progress = Progress {
            produced: 0,
            status: Status::Running,
            readers: 0,
            unread_since: Instant::now(),
        };
        let (prompt_hash, prompt_tokens) = prompt;
        Self {
            id,
            replica,
            target,
            is_chat,
            prompt_hash,
            prompt_tokens,
            tokens,
            progress: Mutex::new(progress),
            changed: watch::Sender::new(()),
        }
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that one more token was generated.
    pub(super) fn produce(&self) {
        self.progress().produced += 1;
        self.changed.send_replace(());
    }

    /// Ends a running attempt. Returns false if it has already ended.
    pub(super) fn end(&self, status: Status) -> bool {
        {
            let mut progress = self.progress();
            if progress.status != Status::Running {
                return false;
            }
            progress.status = status;
        }
        self.changed.send_replace(());
        true
    }

    pub(super) fn status(&self) -> Status {
        self.progress().status
    }

    /// Whether the response has had no reader for at least `grace`.
    pub(super) fn is_abandoned(&self, grace: Duration) -> bool {
        let progress = self.progress();
        progress.readers == 0 && progress.unread_since.elapsed() >= grace
    }

    /// Waits until the attempt is cancelled.
    pub(super) async fn cancelled(&self) {
        let mut changed = self.changed.subscribe();
        while self.status() != Status::Cancelled && changed.changed().await.is_ok() {}
    }
}

/// Reads the response of one attempt.
#[derive(Debug)]
pub(super) struct Reader {
    pub(super) attempt: Arc<Attempt>,
    changed: watch::Receiver<()>,
}

impl Reader {
    pub(super) fn new(attempt: Arc<Attempt>) -> Self {
        attempt.progress().readers += 1;
        let changed = attempt.changed.subscribe();
        Self { attempt, changed }
    }

    /// Waits until more than `read` tokens are generated or the attempt has ended. Returns the
    /// number of tokens and the status.
    pub(super) async fn wait(&mut self, read: u64) -> (u64, Status) {
        loop {
            self.changed.borrow_and_update();
            let (produced, status) = {
                let progress = self.attempt.progress();
                (progress.produced, progress.status)
            };
            if produced > read || status != Status::Running {
                return (produced, status);
            }
            if self.changed.changed().await.is_err() {
                return (produced, status);
            }
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut progress = self.attempt.progress();
        progress.readers -= 1;
        progress.unread_since = Instant::now();
    }
}
