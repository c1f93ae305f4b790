//! Waits until there is memory for the response of a server.

use std::time::{Duration, Instant};

use crate::process::Entry;

/// Longest time for which a response waits for memory: callers that do not read are disconnected after
/// a second.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(1_500);
/// Interval of attempts to find memory.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Wait of a response for memory. A server has run the request, so the response is given up last:
/// callers that do not progress are disconnected first.
#[derive(Debug, Default)]
pub(super) struct MemoryWait {
    /// When the wait ends; `None` if there was memory for all data so far.
    due: Option<Instant>,
}

impl MemoryWait {
    /// Waits for a while and returns true, or returns false if the response is to be given up. Nothing
    /// is lost if the future is dropped.
    pub(super) async fn pause(
        &mut self,
        cx: &Entry,
        id: &str,
        server: &str,
        deadline: Instant,
    ) -> bool {
        let now = Instant::now();
        if self.due.is_none() {
            cx.record_no_memory(id, server);
        } else {
            cx.disconnect_unread();
        }
        let due = *self.due.get_or_insert(now + MAX_MEMORY_WAIT);
        if now >= due.min(deadline) {
            return false;
        }
        tokio::time::sleep(MEMORY_POLL_INTERVAL).await;
        true
    }

    /// Ends the wait because there was memory.
    pub(super) fn end(&mut self) {
        self.due = None;
    }
}
