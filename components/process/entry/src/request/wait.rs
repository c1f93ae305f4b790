//! Waits until a server can run a request; for example, until its model is loaded.

use std::rc::Rc;
use std::time::{Duration, Instant};

use server_choice::queue_timeout;

use super::Job;
use super::failure::{Failure, RETRY_AFTER_JITTER};
use super::select::{SelectResult, Selection, has_model, try_select};
use crate::process::{Entry, Phase, WaitingRequest, queue_of};

/// Least time in which a server can respond: a round trip and the first step of the engine.
const MIN_RESPONSE_TIME: Duration = Duration::from_millis(60);
/// Longest wait for a service without models while no server of it is reachable.
const MAX_SERVICE_WAIT: Duration = Duration::from_millis(400);
/// Interval of checks whether a full queue has room again.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Interval of checks whether an unreachable server should be tried again.
const UNREACHABLE_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// `Retry-After` for full queues: about the time that one request runs, after which the queue
/// should have moved.
const FULL_QUEUE_RETRY_AFTER: Duration = Duration::from_millis(1_200);
/// Least `Retry-After` of a request that a ban refuses: the time that a test of the ban takes.
const MIN_QUARANTINED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Delay before servers that were already tried are tried again.
const RETRY_TRIED_DELAY: Duration = Duration::from_millis(120);
/// Callers wait at most this fraction of the remaining time before they retry, as the user
/// documentation says.
const MAX_RETRY_AFTER_FRACTION: f64 = 1.0 / 3.0;
/// Time that a retry may take to arrive: network latency and a new connection.
const RETRY_ARRIVAL_MARGIN: Duration = Duration::from_millis(400);

/// Why no server was selected.
pub(crate) struct SelectError {
    pub(crate) failure: Failure,
    /// When the cause is expected to be over.
    pub(crate) retry_after: Duration,
}

/// State of the wait for a server.
struct Wait {
    /// A server must be selected by then. Later, the caller has left or no response would be in
    /// time.
    give_up_at: Instant,
    /// Counts the request as waiting for its model in the status that is sent to the leader.
    waiting: Option<WaitingRequest>,
    /// When the wait for a reachable server of the service ends.
    service_wait_ends: Option<Instant>,
    /// When the wait for room in a full queue ends.
    queue_wait_ends: Option<Instant>,
}

/// Selects a server, waiting until one can run the request or a response would be too late.
pub(crate) async fn select_server(cx: &Rc<Entry>, job: &mut Job) -> Result<Selection, SelectError> {
    let now = Instant::now();
    let give_up_at =
        job.select_by - MIN_RESPONSE_TIME.min(job.select_by.saturating_duration_since(now));
    let mut wait =
        Wait { give_up_at, waiting: None, service_wait_ends: None, queue_wait_ends: None };
    let selection = wait.select(cx, job).await;
    job.place.take();
    if let Err(error) = &selection
        && error.failure != Failure::UnknownKey
        && let Some(waiting) = wait.waiting
    {
        waiting.extend_until(caller_retry_by(job, error.retry_after));
    }
    selection
}

/// When a refused caller should have retried at the latest. Until then, its request still counts
/// as waiting for the model; otherwise the model might not be loaded when the caller retries.
fn caller_retry_by(job: &Job, retry_after: Duration) -> Instant {
    let now = Instant::now();
    let longest = job.deadline.saturating_duration_since(now).mul_f64(MAX_RETRY_AFTER_FRACTION);
    now + (retry_after + RETRY_AFTER_JITTER).min(longest) + RETRY_ARRIVAL_MARGIN
}

impl Wait {
    async fn select(&mut self, cx: &Rc<Entry>, job: &mut Job) -> Result<Selection, SelectError> {
        loop {
            // Registers for changes before looking at the servers, so that no change is missed.
            let changed = cx.servers_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let now = Instant::now();
            if let Some(failure) = job.key_failure(cx) {
                job.trace.record("the key is not that of the account any more");
                return Err(SelectError { failure, retry_after: Duration::ZERO });
            }
            let mut ban = cx.ban(&job.properties);
            if ban.as_ref().is_some_and(|ban| ban.until <= now) {
                if job.ban_test.is_none() {
                    job.ban_test = cx.begin_ban_test(&job.properties);
                }
                ban = ban.filter(|_| job.ban_test.is_none());
            }
            if let Some(ban) = ban.as_ref().filter(|ban| ban.refuse_from <= now) {
                job.trace.record("requests like it end servers");
                cx.record_quarantined(&job.properties);
                let rest = ban.until.saturating_duration_since(now);
                let retry_after = rest.max(MIN_QUARANTINED_RETRY_AFTER);
                return Err(SelectError { failure: Failure::Quarantined, retry_after });
            }
            let result = match ban {
                Some(ban) => SelectResult::Suspected(ban.refuse_from),
                None => try_select(cx, job),
            };
            if !matches!(result, SelectResult::NoServer | SelectResult::Unreachable) {
                self.service_wait_ends = None;
            }
            if !matches!(result, SelectResult::Full) {
                job.place.take();
            }
            let wake_at = match result {
                SelectResult::Selected(selection) => return Ok(*selection),
                SelectResult::AllTried => {
                    job.tried.clear();
                    now + RETRY_TRIED_DELAY
                }
                SelectResult::NotLoaded => self.model_wait(cx, job, now)?,
                SelectResult::Full => {
                    // The leader counts the request as demand for another replica.
                    if self.waiting.is_none() {
                        self.waiting = WaitingRequest::for_job(cx, job);
                    }
                    if self.queue_wait_ends.is_none()
                        && let Some(queue) = queue_of(cx, job)
                    {
                        job.trace.record(queue);
                    }
                    self.queue_wait(job, now)?
                }
                SelectResult::Suspected(until) => until,
                SelectResult::Paused(until) => self.pause_wait(job, until, now)?,
                SelectResult::Unreachable if job.has_engine => {
                    // The leader loads the model on another server.
                    if self.waiting.is_none() {
                        self.waiting = WaitingRequest::for_job(cx, job);
                    }
                    now + UNREACHABLE_POLL_INTERVAL
                }
                SelectResult::Unreachable | SelectResult::NoServer => *self
                    .service_wait_ends
                    .get_or_insert(self.give_up_at.min(now + MAX_SERVICE_WAIT)),
            };
            self.check_timeouts(cx, job, now)?;
            let place = job.place.borrow().as_ref().map(|place| place.waker().clone());
            let kept = async {
                match &place {
                    Some(waker) => waker.notified().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = changed => {}
                () = kept => {}
                () = tokio::time::sleep_until(wake_at.min(self.give_up_at).into()) => {}
            }
        }
    }

    /// Decides how long a request waits whose model or adapter no server has.
    fn model_wait(
        &mut self,
        cx: &Rc<Entry>,
        job: &mut Job,
        now: Instant,
    ) -> Result<Instant, SelectError> {
        // If the model is loaded, only the adapter is missing, and adapters load quickly.
        let is_loaded = has_model(cx, job);
        let model = job.prompt().map(|prompt| prompt.model.clone());
        let ready_at = model.and_then(|model| cx.ready_at.borrow().get(&model).copied());
        let ready_at = ready_at.filter(|_| !is_loaded);
        let banned_until = job.prompt().and_then(|prompt| {
            cx.load_banned_until(&job.service, &prompt.model, prompt.adapter.as_deref())
        });
        if let Some(until) = banned_until {
            job.trace.record("loads of the model or adapter end servers");
            let retry_after = until.saturating_duration_since(now);
            return Err(SelectError { failure: Failure::Quarantined, retry_after });
        }
        if self.waiting.is_none() {
            self.waiting = WaitingRequest::for_job(cx, job);
            job.trace.record(format_args!(
                "waits for the {}, expected in {:?} ms",
                if is_loaded { "adapter" } else { "model" },
                ready_at.map(|at| at.saturating_duration_since(now).as_millis())
            ));
        }
        match ready_at {
            Some(ready_at) if ready_at > self.give_up_at => {
                let retry_after = ready_at.saturating_duration_since(now);
                job.trace.record(format_args!(
                    "model not loaded, expected in {} ms, {} ms left",
                    retry_after.as_millis(),
                    self.give_up_at.saturating_duration_since(now).as_millis()
                ));
                Err(SelectError { failure: Failure::ModelNotInTime, retry_after })
            }
            _ => Ok(self.give_up_at),
        }
    }

    /// Decides how long a request waits whose eligible servers all asked for a pause.
    fn pause_wait(
        &self,
        job: &mut Job,
        until: Instant,
        now: Instant,
    ) -> Result<Instant, SelectError> {
        if until <= self.give_up_at {
            return Ok(until);
        }
        let retry_after = until.saturating_duration_since(now);
        job.trace.record(format_args!(
            "every server asked for a pause, the first for {} more ms",
            retry_after.as_millis()
        ));
        Err(SelectError { failure: Failure::Paused, retry_after })
    }

    /// Decides how long a request waits whose eligible servers all have a full queue.
    fn queue_wait(&mut self, job: &mut Job, now: Instant) -> Result<Instant, SelectError> {
        let wait_ends = *self.queue_wait_ends.get_or_insert_with(|| {
            let left = self.give_up_at.saturating_duration_since(now);
            now + queue_timeout(job.rank(), job.route.latency_target, left)
        });
        if now >= wait_ends {
            job.trace.record("all servers with the model have a full queue");
            return Err(SelectError {
                failure: Failure::Full,
                retry_after: FULL_QUEUE_RETRY_AFTER,
            });
        }
        Ok(wait_ends.min(now + QUEUE_POLL_INTERVAL))
    }

    /// Fails if the instance is closing or the time to wait is over.
    fn check_timeouts(&self, cx: &Entry, job: &mut Job, now: Instant) -> Result<(), SelectError> {
        if *cx.phase.borrow() >= Phase::Closing {
            return Err(SelectError { failure: Failure::NotServing, retry_after: Duration::ZERO });
        }
        if now >= self.give_up_at {
            let failure =
                if self.waiting.is_some() { Failure::ModelNotInTime } else { Failure::TimeOver };
            return Err(SelectError { failure, retry_after: MAX_SERVICE_WAIT });
        }
        if self.service_wait_ends.is_some_and(|wait_ends| wait_ends <= now) {
            job.trace.record("no server of the service can be reached");
            return Err(SelectError { failure: Failure::NoServer, retry_after: MAX_SERVICE_WAIT });
        }
        Ok(())
    }
}
