//! The connections of each listener, and the limits on them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use caller_limits::{
    Cost, Counts, OPERATOR_CONNECTIONS, Paces, Parts, RELAYED_CONNECTIONS, Reason, TableLimits,
};

use super::tracking::Connections;
use crate::metrics::{ClosedLabels, Metrics};
use crate::process::Entry;
use crate::settings::EntrySettings;

/// Idle timeout while there is no configuration yet.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for a head while there is no configuration yet.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that each step has before the connection may be closed for others, so that a crowd that
/// connects again and again does not take the room of a request under way.
const LEAST_TIME: Duration = Duration::from_millis(100);
/// The same at the operators' listeners, whose answers need no other process: a crowd that connects
/// again and again must not keep the readiness check out.
const OPERATOR_LEAST_TIME: Duration = Duration::from_millis(10);
/// Added to the timeouts of the configuration, so that the instance never closes the connection of a
/// caller that keeps to them.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Idle timeout of connections to the operators' listeners.
const OPERATOR_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle timeout of connections that are passed on to the store.
const RELAY_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from the end of a call that is passed on until the store answers. Longer than the longest wait
/// of the leader's calls.
const RELAY_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of checks whether connections progress.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Least time between two log lines about closed connections of a listener.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Size of the kernel's buffers of a connection, in bytes, for each direction.
pub(crate) const SOCKET_BUFFER_BYTES: usize = 32 << 10;

/// What a connection of a caller takes.
const CALLER_COST: Cost = Cost {
    silent: 12 << 10,
    open: 24 << 10,
    request: 36 << 10,
    field: 256,
    unread: SOCKET_BUFFER_BYTES,
    buffered_head: 8 << 10,
};

/// Connections of a listener.
pub(crate) struct Door {
    name: &'static str,
    pub(crate) connections: Connections,
    /// Connections closed when they were last counted in the metrics.
    counted: Cell<Counts>,
    /// Connections closed when they were last logged, and when the next line may follow.
    logged: Cell<(Counts, Instant)>,
}

/// The listeners of an instance.
pub(crate) struct Doors {
    pub(crate) callers: Door,
    pub(crate) readiness: Door,
    pub(crate) metrics: Door,
    pub(crate) relays: Door,
    /// Configuration of the paces of callers.
    body_window: Duration,
    body_window_bytes: usize,
    read_timeout: Duration,
    read_window_bytes: usize,
}

impl Door {
    fn new(name: &'static str, limits: TableLimits, paces: Paces) -> Self {
        Self {
            name,
            connections: Connections::new(limits, CALLER_COST, paces),
            counted: Cell::default(),
            logged: Cell::new((Counts::default(), Instant::now())),
        }
    }

    fn sweep(&self, metrics: &Metrics, now: Instant) {
        self.connections.sweep(now);
        let closed = self.connections.closed();
        let counted = self.counted.replace(closed);
        if closed == counted && self.logged.get().0 == closed {
            return;
        }
        for reason in Reason::ALL {
            let new = closed.of(reason) - counted.of(reason);
            if new > 0 {
                let labels = ClosedLabels { listener: self.name, reason: reason.as_str() };
                metrics.connections_closed.get_or_create(&labels).inc_by(new);
            }
        }
        let (logged, next_log_at) = self.logged.get();
        if now < next_log_at {
            return;
        }
        let by_reason: Vec<String> = Reason::ALL
            .into_iter()
            .filter(|reason| closed.of(*reason) > logged.of(*reason))
            .map(|reason| format!("{}={}", reason.as_str(), closed.of(reason) - logged.of(reason)))
            .collect();
        self.logged.set((closed, now + LOG_INTERVAL));
        tracing::warn!(
            listener = self.name,
            closed = by_reason.join(" "),
            open = self.connections.count(),
            bytes = self.connections.bytes(),
            "connections: closed to stay within the limits"
        );
    }
}

impl Doors {
    pub(crate) fn new(settings: &EntrySettings, parts: &Parts) -> Self {
        let caller_limits =
            TableLimits { connections: parts.caller_connections, bytes: parts.connection_bytes };
        let limits = |connections| TableLimits { connections, bytes: usize::MAX };
        let paces = Paces {
            idle: OPERATOR_IDLE_TIMEOUT,
            head: DEFAULT_HEAD_TIMEOUT,
            window: settings.body_window,
            window_bytes: settings.body_window_bytes,
            read: DEFAULT_HEAD_TIMEOUT,
            read_bytes: settings.read_window_bytes,
            answer: None,
            least: LEAST_TIME,
        };
        let operator_paces = Paces { least: OPERATOR_LEAST_TIME, ..paces };
        let relay_paces =
            Paces { idle: RELAY_IDLE_TIMEOUT, answer: Some(RELAY_ANSWER_TIMEOUT), ..paces };
        Self {
            callers: Door::new("callers", caller_limits, paces),
            readiness: Door::new("readiness", limits(OPERATOR_CONNECTIONS), operator_paces),
            metrics: Door::new("metrics", limits(OPERATOR_CONNECTIONS), operator_paces),
            relays: Door::new("peers", limits(RELAYED_CONNECTIONS), relay_paces),
            body_window: settings.body_window,
            body_window_bytes: settings.body_window_bytes,
            read_timeout: settings.read_timeout,
            read_window_bytes: settings.read_window_bytes,
        }
    }

    /// Times for callers under the configuration in force.
    pub(super) fn caller_paces(&self, cx: &Entry) -> Paces {
        let limits = cx.deployment.borrow().as_ref().map(|deployment| deployment.limits);
        let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
        let head = limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| limits.header_timeout);
        Paces {
            idle: idle + TIMEOUT_MARGIN,
            head: head + TIMEOUT_MARGIN,
            window: self.body_window,
            window_bytes: self.body_window_bytes,
            read: self.read_timeout,
            read_bytes: self.read_window_bytes,
            answer: None,
            least: LEAST_TIME,
        }
    }
}

/// Closes connections that do not progress, and counts and logs the closed ones.
pub(crate) async fn watch_connections(cx: Rc<Entry>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = Instant::now();
        let doors = &cx.doors;
        doors.callers.connections.set_paces(doors.caller_paces(&cx));
        for door in [&doors.callers, &doors.readiness, &doors.metrics, &doors.relays] {
            door.sweep(&cx.metrics, now);
        }
        cx.metrics.caller_memory.set(doors.callers.connections.bytes() as i64);
    }
}
