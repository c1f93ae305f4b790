//! Waits for a server that can run a request, and for its model to be loaded.

use std::rc::Rc;
use std::time::{Duration, Instant};

use server_choice::queue_patience;

use super::Job;
use super::select::{Choice, Picked, has_model, try_pick};
use super::verdict::{Failure, RETURN_SPREAD};
use crate::process::{Entry, Phase, WaitingRequest};

/// Time left below which no server can answer; the way there and back and a first step.
const LEAST_TIME: Duration = Duration::from_millis(60);
/// Longest wait for a plain service without any reachable server.
const SERVICE_WAIT: Duration = Duration::from_millis(400);
/// Time between two looks whether a full server has a place.
const PLACE_POLL: Duration = Duration::from_millis(40);
/// Time between two looks whether an unreachable server should be tried again.
const UNREACHABLE_POLL: Duration = Duration::from_millis(300);
/// Time after which a full queue should have moved: about the run of one request.
const FULL_RETURN: Duration = Duration::from_millis(1_200);
/// Time after which servers that turned the request away are tried again.
const TRY_AGAIN_AFTER: Duration = Duration::from_millis(120);
/// Part of the time left that a caller waits at most before it comes back, as the users' pages
/// say.
const LONGEST_RETURN: f64 = 1.0 / 3.0;
/// Time that a caller who comes back may be late: the way, and a new connection.
const RETURN_SLACK: Duration = Duration::from_millis(400);

/// Why no server was chosen.
pub(crate) struct NotPicked {
    pub(crate) failure: Failure,
    /// When the cause should be over.
    pub(crate) return_in: Duration,
}

/// A wait for a server.
struct Wait {
    /// A server must be found by then; later the caller has left or no answer is in time.
    latest: Instant,
    /// Tells the order giver what the request waits for.
    want: Option<WaitingRequest>,
    /// When the wait for a service without servers ends.
    service_ends: Option<Instant>,
    /// When the wait for a place at a full server ends.
    place_ends: Option<Instant>,
}

/// Chooses a server, waiting for one until the request could no longer be answered.
pub(crate) async fn pick(cx: &Rc<Entry>, job: &mut Job) -> Result<Picked, NotPicked> {
    let now = Instant::now();
    let latest = job.offer_by - LEAST_TIME.min(job.offer_by.saturating_duration_since(now));
    let mut wait = Wait { latest, want: None, service_ends: None, place_ends: None };
    let picked = wait.until_picked(cx, job).await;
    if let Err(not) = &picked
        && let Some(want) = wait.want
    {
        want.extend_until(return_at(job, not.return_in));
    }
    picked
}

/// When a refused caller should be back at the latest. What it waited for stays wanted until then,
/// or it would come back to a model that nobody loads.
fn return_at(job: &Job, return_in: Duration) -> Instant {
    let now = Instant::now();
    let longest = job.deadline.saturating_duration_since(now).mul_f64(LONGEST_RETURN);
    now + (return_in + RETURN_SPREAD).min(longest) + RETURN_SLACK
}

impl Wait {
    async fn until_picked(&mut self, cx: &Rc<Entry>, job: &mut Job) -> Result<Picked, NotPicked> {
        loop {
            // Registered before the look at the servers, so that no change is missed.
            let changed = cx.servers_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let now = Instant::now();
            let choice = try_pick(cx, job);
            if !matches!(choice, Choice::NoServer | Choice::Unreachable) {
                self.service_ends = None;
            }
            let until = match choice {
                Choice::Picked(picked) => return Ok(picked),
                Choice::AllTried => {
                    job.tried.clear();
                    now + TRY_AGAIN_AFTER
                }
                Choice::NotLoaded => self.not_loaded(cx, job, now)?,
                Choice::Full => self.full(job, now)?,
                Choice::Unreachable if job.has_engine => {
                    // The order giver brings the model to another server.
                    if self.want.is_none() {
                        self.want = WaitingRequest::for_job(cx, job);
                    }
                    now + UNREACHABLE_POLL
                }
                Choice::Unreachable | Choice::NoServer => {
                    *self.service_ends.get_or_insert(self.latest.min(now + SERVICE_WAIT))
                }
            };
            self.check_end(cx, job, now)?;
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(until.min(self.latest).into()) => {}
            }
        }
    }

    /// Decides what a request does whose model or adapter no server has.
    fn not_loaded(
        &mut self,
        cx: &Rc<Entry>,
        job: &mut Job,
        now: Instant,
    ) -> Result<Instant, NotPicked> {
        // While the model itself is loaded, only the adapter is missing, which is quick.
        let is_loaded = has_model(cx, job);
        let model = job.prompt().map(|prompt| prompt.model.clone());
        let ready_at = model.and_then(|model| cx.ready_at.borrow().get(&model).copied());
        let ready_at = ready_at.filter(|_| !is_loaded);
        if self.want.is_none() {
            self.want = WaitingRequest::for_job(cx, job);
            job.trace.note(format_args!(
                "waits for the {}, expected in {:?} ms",
                if is_loaded { "adapter" } else { "model" },
                ready_at.map(|at| at.saturating_duration_since(now).as_millis())
            ));
        }
        match ready_at {
            Some(ready_at) if ready_at > self.latest => {
                let return_in = ready_at.saturating_duration_since(now);
                job.trace.note(format_args!(
                    "model not loaded, expected in {} ms, {} ms left",
                    return_in.as_millis(),
                    self.latest.saturating_duration_since(now).as_millis()
                ));
                Err(NotPicked { failure: Failure::ModelNotInTime, return_in })
            }
            _ => Ok(self.latest),
        }
    }

    /// Decides what a request does whose servers all have a full queue.
    fn full(&mut self, job: &mut Job, now: Instant) -> Result<Instant, NotPicked> {
        let ends = *self.place_ends.get_or_insert_with(|| {
            let left = self.latest.saturating_duration_since(now);
            now + queue_patience(job.route.priority, job.route.latency_target, left)
        });
        if now >= ends {
            job.trace.note("all servers with the model have a full queue");
            return Err(NotPicked { failure: Failure::Full, return_in: FULL_RETURN });
        }
        Ok(ends.min(now + PLACE_POLL))
    }

    /// Fails once waiting has no use any more.
    fn check_end(&self, cx: &Entry, job: &mut Job, now: Instant) -> Result<(), NotPicked> {
        if *cx.phase.borrow() >= Phase::Closing {
            return Err(NotPicked { failure: Failure::NotServing, return_in: Duration::ZERO });
        }
        if now >= self.latest {
            let failure =
                if self.want.is_some() { Failure::ModelNotInTime } else { Failure::TimeOver };
            return Err(NotPicked { failure, return_in: SERVICE_WAIT });
        }
        if self.service_ends.is_some_and(|ends| ends <= now) {
            job.trace.note("no server of the service can be reached");
            return Err(NotPicked { failure: Failure::NoServer, return_in: SERVICE_WAIT });
        }
        Ok(())
    }
}
