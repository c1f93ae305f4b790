//! Deletes old `usage` and `work` objects of a data centre.
//!
//! Only the instance that holds the data centre's limits sweeps. Two holders during a takeover do
//! no harm: deletes are conditional on the object's version, and a deleted object is gone for both.

use accounting::{ListedObject, Sweep, SweepCall, Writer, work_name};
use ownership::LeaseObject;
use platform::{Call, Client, Listing, WriteOutcome};
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::de::IgnoredAny;
use types::object::ObjectKey;
use types::prelude::*;

use crate::context::Context;
use crate::event::Event;

/// Time between calls. With nine data centres, sweeps use 4.5 of the platform's 2,000 reads per
/// second; a sweep over 50 writers and the whole look-back period takes a day.
const CALL_INTERVAL: Duration = Duration::from_secs(2);
/// Time between sweeps, and before another attempt after a sweep could not begin. An hour adds one
/// old object per writer.
const SWEEP_INTERVAL: Duration = Duration::from_secs(3600);
/// Delay of the first sweep. By then the other instances have written work, which confirms this
/// instance's clock.
const FIRST_SWEEP_DELAY: Duration = Duration::from_secs(300);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const HOUR: Duration = Duration::from_secs(3600);

/// Result of a call of a sweep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SweepAnswer {
    /// The listed objects; empty if they could not be read.
    Listed(Vec<ListedObject>),
    /// Whether an object was deleted.
    Deleted(bool),
}

/// The part of an object that a sweep reads.
#[derive(Deserialize)]
struct ObjectRuns {
    #[serde(default)]
    runs: BTreeMap<Incarnation, IgnoredAny>,
}

/// Next step of a sweep.
#[derive(Debug)]
pub(crate) enum SweepStep {
    /// Check the clock and read the writers.
    Begin,
    /// Make a call.
    Call(SweepCall),
}

/// State of this instance's sweeps.
#[derive(Debug)]
pub(crate) struct Retention {
    retention: Duration,
    due_at: Instant,
    sweep: Option<Sweep>,
    is_calling: bool,
    deleted: u64,
}

impl Retention {
    /// Schedules the first sweep.
    pub(crate) fn new(retention: Duration, now: Instant) -> Self {
        let due_at = now + FIRST_SWEEP_DELAY;
        Self { retention, due_at, sweep: None, is_calling: false, deleted: 0 }
    }

    /// Returns when [`Self::next_step`] is due.
    pub(crate) fn next_timer(&self) -> Instant {
        self.due_at
    }

    /// Returns the next step if one is due, this instance is the holder and the platform answers.
    /// One call is made at a time.
    pub(crate) fn next_step(
        &mut self,
        is_holder: bool,
        is_platform_down: bool,
        now: Instant,
    ) -> Option<SweepStep> {
        if now < self.due_at {
            return None;
        }
        self.due_at = now + CALL_INTERVAL;
        if !is_holder {
            self.sweep = None;
        }
        if !is_holder || is_platform_down || self.is_calling {
            return None;
        }
        let step = match &mut self.sweep {
            None => SweepStep::Begin,
            Some(sweep) => match sweep.next_call() {
                Some(call) => SweepStep::Call(call),
                None => {
                    tracing::info!("accounting: {} old records deleted", self.deleted);
                    (self.sweep, self.deleted) = (None, 0);
                    self.due_at = now + SWEEP_INTERVAL;
                    return None;
                }
            },
        };
        self.is_calling = true;
        Some(step)
    }

    /// Begins a sweep over the writers; with `None`, the next attempt is due after
    /// [`SWEEP_INTERVAL`].
    pub(crate) fn on_sweep_started(&mut self, started: Option<(SystemTime, Vec<Writer>)>) {
        self.is_calling = false;
        match started {
            Some((wall, writers)) => self.sweep = Some(Sweep::new(wall, self.retention, writers)),
            None => self.due_at += SWEEP_INTERVAL,
        }
    }

    /// Handles the result of a call of the sweep.
    pub(crate) fn on_sweep_call_ended(&mut self, answer: SweepAnswer) {
        self.is_calling = false;
        match (answer, &mut self.sweep) {
            (SweepAnswer::Listed(objects), Some(sweep)) => sweep.on_listed(objects),
            (SweepAnswer::Deleted(true), _) => self.deleted += 1,
            (SweepAnswer::Listed(_) | SweepAnswer::Deleted(false), _) => {}
        }
    }
}

/// Makes one call of a sweep in a task.
pub(crate) fn call(cx: &Context, call: SweepCall) {
    let client = cx.platform.clone();
    cx.spawn(async move { Event::SweepCallEnded(perform(&client, call).await) });
}

/// Confirms this instance's clock and reads the writers of the data centre: the instances that
/// leases name, and its engine groups.
pub(crate) fn begin(
    cx: &Context,
    groups: Vec<GroupId>,
    members: Vec<InstanceId>,
    wall: SystemTime,
) {
    let (client, data_centre) = (cx.platform.clone(), cx.data_centre.clone());
    let member = members.choose(&mut *cx.rng.borrow_mut()).cloned();
    cx.spawn(async move {
        let confirmed = match member {
            Some(member) => is_clock_confirmed(&client, &member, wall).await,
            None => true,
        };
        if !confirmed {
            tracing::warn!("accounting: old records are kept; no other clock confirms the time");
            return Event::SweepStarted(None);
        }
        let call = Call::with_deadline(Instant::now() + CALL_TIMEOUT);
        match client.list::<LeaseObject>("lease", "", call).await {
            Ok(leases) => Event::SweepStarted(Some((wall, writers(&leases, &data_centre, groups)))),
            Err(e) => {
                tracing::debug!("accounting: leases not listed: {e}");
                Event::SweepStarted(None)
            }
        }
    });
}

/// Whether another instance has written counted work in the current hour of this instance's clock
/// or in the hour before. Without this check, a clock that is years ahead would delete all records.
pub(crate) async fn is_clock_confirmed(client: &Client, member: &str, wall: SystemTime) -> bool {
    for at in [wall, wall.checked_sub(HOUR).unwrap_or(wall)] {
        let call = Call::with_deadline(Instant::now() + CALL_TIMEOUT);
        let key = ObjectKey::new("work", work_name(member, at));
        if let Ok(Some(_)) = client.get::<IgnoredAny>(&key, call).await {
            return true;
        }
    }
    false
}

fn writers(
    leases: &Listing<LeaseObject>,
    data_centre: &DataCentreId,
    groups: Vec<GroupId>,
) -> Vec<Writer> {
    let local_leases =
        leases.objects.iter().map(|o| &o.value).filter(|l| l.data_centre == *data_centre);
    let instances = local_leases.map(|lease| Writer {
        kind: "work",
        name: lease.instance.clone(),
        leased_run: Some(lease.incarnation),
    });
    let groups = groups.into_iter().map(|name| Writer { kind: "usage", name, leased_run: None });
    instances.chain(groups).collect()
}

pub(crate) async fn perform(client: &Client, call: SweepCall) -> SweepAnswer {
    let limits = Call::with_deadline(Instant::now() + CALL_TIMEOUT);
    match call {
        SweepCall::List { kind, prefix } => {
            match client.list::<ObjectRuns>(kind, &prefix, limits).await {
                Ok(listing) => {
                    SweepAnswer::Listed(listing.objects.into_iter().map(listed).collect())
                }
                Err(e) => {
                    tracing::debug!("accounting: {kind}/{prefix} not listed: {e}");
                    SweepAnswer::Listed(Vec::new())
                }
            }
        }
        SweepCall::Delete { kind, name, version } => {
            let key = ObjectKey::new(kind, name);
            let outcome = client.delete::<IgnoredAny>(&key, version, limits).await;
            SweepAnswer::Deleted(matches!(outcome, WriteOutcome::Written { .. }))
        }
    }
}

fn listed(object: platform::Object<ObjectRuns>) -> ListedObject {
    let runs = object.value.runs.into_keys().collect();
    ListedObject { name: object.name, version: object.version, runs }
}
