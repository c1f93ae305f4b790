//! Checks that servers which say that they leave, or ask for a pause, are left alone.

use std::time::{Duration, Instant};

use platform_stand_in::NoticedArrival;

use crate::plan::{Event, Kind};

/// Time in which an instance stops sending requests to a server that said it is leaving.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Pause that the servers ask for, in seconds, as in [`PAUSE`].
pub(crate) const PAUSE_TEXT: &str = "1.5";
const PAUSE: Duration = Duration::from_millis(1_500);
/// Time in which an instance begins to leave a server alone that asked for a pause.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Requests that may reach a server in its pause, because they are under way.
const MAX_IN_PAUSE: usize = 2;

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub(crate) struct Trip {
    pub(crate) id: String,
    pub(crate) instance: usize,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    /// Numbers of faults of the instance that had begun when it was sent and when it ended. An
    /// instance may forget what a server said of itself when it is killed or paused.
    pub(crate) faults: (u64, u64),
    /// Signature of the server that answered it with 200.
    pub(crate) answered_by: Option<String>,
}

/// What one server received while it gave notice, and when connections to it had faults.
pub(crate) struct Noticed<'a> {
    pub(crate) server: &'a str,
    pub(crate) arrivals: &'a [NoticedArrival],
    pub(crate) faults: Vec<(Instant, Instant)>,
}

/// Times at which connections to the server had faults.
pub(crate) fn way_faults(
    events: &[Event],
    server: usize,
    started_at: Instant,
) -> Vec<(Instant, Instant)> {
    let events = events.iter().filter(|e| matches!(e.kind, Kind::ServerWay(s, _) if s == server));
    events.map(|e| (started_at + e.at, started_at + e.at + e.duration)).collect()
}

/// Returns a line for each server that was not left alone.
pub(crate) fn notice_violations(trips: &[Trip], noticed: &Noticed<'_>) -> Vec<String> {
    let trip_of = |a: &NoticedArrival| trips.iter().find(|trip| trip.id == a.id);
    let arrivals: Vec<(&NoticedArrival, &Trip)> =
        noticed.arrivals.iter().filter_map(|a| Some((a, trip_of(a)?))).collect();
    let mut violations = late_arrivals_at_leaving(noticed, &arrivals);
    violations.extend(arrivals_in_pauses(noticed, &arrivals));
    violations
}

/// Requests that an instance sent to a leaving server although a caller had sent them long after
/// the instance passed on an answer of the server.
fn late_arrivals_at_leaving(
    noticed: &Noticed<'_>,
    arrivals: &[(&NoticedArrival, &Trip)],
) -> Vec<String> {
    let suffix = format!("-{}", noticed.server);
    let leaving = arrivals.iter().filter(|(arrival, _)| arrival.is_leaving);
    let told = leaving.clone().filter(|(_, trip)| {
        trip.answered_by.as_deref().is_some_and(|signature| signature.ends_with(&suffix))
    });
    let is_late = |(arrival, trip): &&(&NoticedArrival, &Trip)| {
        told.clone().any(|(earlier, teller)| {
            earlier.run == arrival.run
                && teller.instance == trip.instance
                && teller.faults.0 == trip.faults.1
                && trip.sent_at > teller.ended_at + DRAIN_TIME
        })
    };
    let text = |(_, trip): &(&NoticedArrival, &Trip)| {
        format!("{}: got {} from instance {} while leaving", noticed.server, trip.id, trip.instance)
    };
    leaving.clone().filter(is_late).map(text).collect()
}

/// Pauses in which an instance went on sending requests.
fn arrivals_in_pauses(noticed: &Noticed<'_>, arrivals: &[(&NoticedArrival, &Trip)]) -> Vec<String> {
    let mut violations = Vec::new();
    for (refusal, refused) in arrivals.iter().filter(|(arrival, _)| arrival.is_paused) {
        let (from, until) = (refusal.at + REACTION_TIME, refusal.at + PAUSE);
        // The refusal may not have reached the instance in time.
        let overlaps = |(begin, end): &(Instant, Instant)| *begin < until && *end > refusal.at;
        if noticed.faults.iter().any(overlaps) {
            continue;
        }
        let in_pause = arrivals.iter().filter(|(arrival, trip)| {
            trip.instance == refused.instance
                && trip.faults.1 == refused.faults.0
                && arrival.at > from
                && arrival.at < until
        });
        let count = in_pause.count();
        if count > MAX_IN_PAUSE {
            let (server, instance) = (noticed.server, refused.instance);
            violations.push(format!("{server}: got {count} from instance {instance} in a pause"));
        }
    }
    violations
}
