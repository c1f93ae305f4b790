//! Schedule for reading the reports of a group's backend servers.

use types::prelude::*;

/// Time between reads of a server's report while nothing changes. An instance with 6 servers reads
/// reports of 1.5 KB, which is at most 9 KB/s.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// First interval after an order. An adapter takes 5 to 14 ms to load.
const MIN_BUSY_INTERVAL: Duration = Duration::from_millis(15);
/// Longest interval while an order is being carried out. A load takes seconds, so this delays the
/// detection of its end only a little.
const MAX_BUSY_INTERVAL: Duration = Duration::from_millis(240);

/// Schedules the report reads for all servers of one group. Idle servers are read at the same
/// time, so that one publication carries the changes of all of them.
#[derive(Debug, Default)]
pub struct ReportPolls {
    servers: BTreeMap<BackendServerId, Poll>,
    /// The last time at which idle servers were due.
    last_idle_at: Option<Instant>,
}

#[derive(Debug)]
struct Poll {
    address: Box<str>,
    next_at: Instant,
    is_in_flight: bool,
    /// Next interval while an order is being carried out; doubles with each read.
    busy_interval: Duration,
}

impl ReportPolls {
    /// Replaces the set of servers by the platform's list of the group's servers.
    pub fn set_servers(&mut self, servers: &[ListedInstance], now: Instant) {
        self.last_idle_at.get_or_insert(now);
        self.servers.retain(|name, _| servers.iter().any(|s| s.name == *name));
        for server in servers {
            let poll = self.servers.entry(server.name.clone()).or_insert_with(|| Poll {
                address: server.address.clone(),
                next_at: now,
                is_in_flight: false,
                busy_interval: MIN_BUSY_INTERVAL,
            });
            poll.address = server.address.clone();
        }
    }

    /// Schedules an early read of every server, after the instance gained the group.
    pub fn poll_all_soon(&mut self, now: Instant) {
        let servers: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        servers.iter().for_each(|server| self.poll_soon(server, now));
    }

    /// Schedules an early read of a server, after an order was sent to it.
    pub fn poll_soon(&mut self, server: &str, now: Instant) {
        if let Some(poll) = self.servers.get_mut(server) {
            poll.busy_interval = MIN_BUSY_INTERVAL;
            poll.next_at = poll.next_at.min(now + MIN_BUSY_INTERVAL);
        }
    }

    /// Schedules the next read after one has ended. `is_busy` tells whether the server is carrying
    /// out an order.
    pub fn on_read_completed(&mut self, server: &str, is_busy: bool, now: Instant) {
        let next_idle_at = self.next_idle_at(now);
        let Some(poll) = self.servers.get_mut(server) else { return };
        poll.is_in_flight = false;
        if is_busy {
            poll.next_at = now + poll.busy_interval;
            poll.busy_interval = (poll.busy_interval * 2).min(MAX_BUSY_INTERVAL);
        } else {
            poll.next_at = next_idle_at;
            poll.busy_interval = MIN_BUSY_INTERVAL;
        }
    }

    /// The next time at which idle servers are due; at most `IDLE_INTERVAL` after `now`.
    fn next_idle_at(&mut self, now: Instant) -> Instant {
        let last = *self.last_idle_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last).as_nanos() / IDLE_INTERVAL.as_nanos();
        let last = last + IDLE_INTERVAL * u32::try_from(elapsed).unwrap_or(u32::MAX);
        self.last_idle_at = Some(last);
        last + IDLE_INTERVAL
    }

    /// Returns the servers to read now, with their addresses, and marks their reads as in flight.
    pub fn take_due(&mut self, now: Instant) -> Vec<(BackendServerId, Box<str>)> {
        let due =
            self.servers.iter_mut().filter(|(_, poll)| poll.next_at <= now && !poll.is_in_flight);
        due.map(|(server, poll)| {
            poll.is_in_flight = true;
            (server.clone(), poll.address.clone())
        })
        .collect()
    }

    /// When the next read is due.
    pub fn next_at(&self) -> Option<Instant> {
        self.servers.values().filter(|poll| !poll.is_in_flight).map(|poll| poll.next_at).min()
    }
}
