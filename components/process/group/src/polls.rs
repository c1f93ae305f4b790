//! When the reports of a group's backend servers are read.

use types::prelude::*;

/// Time between reads of a server's report while nothing changes. 6 servers of one instance at
/// 1.5 KB a report stay below 9 KB/s.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// First interval after an order; an adapter takes 5 to 14 ms to load.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(15);
/// Longest interval while an order is being carried out. A load takes seconds, so that this adds
/// little to it.
const LONGEST_BUSY_INTERVAL: Duration = Duration::from_millis(240);

/// Reads of all servers of one group. Idle servers are read at the same moments, so that one
/// publication carries the changes of all of them.
#[derive(Debug, Default)]
pub struct ReportPolls {
    servers: BTreeMap<BackendServerId, Poll>,
    /// The last moment at which idle servers were due.
    idle_at: Option<Instant>,
}

#[derive(Debug)]
struct Poll {
    address: Box<str>,
    at: Instant,
    in_flight: bool,
    /// Next interval while an order is being carried out; doubles with each read.
    busy_interval: Duration,
}

impl ReportPolls {
    /// Takes the platform's list of the group's servers.
    pub fn set_servers(&mut self, servers: &[ListedInstance], now: Instant) {
        self.idle_at.get_or_insert(now);
        self.servers.retain(|name, _| servers.iter().any(|s| s.name == *name));
        for server in servers {
            let poll = self.servers.entry(server.name.clone()).or_insert_with(|| Poll {
                address: server.address.clone(),
                at: now,
                in_flight: false,
                busy_interval: SHORTEST_INTERVAL,
            });
            poll.address = server.address.clone();
        }
    }

    /// Reads every server soon, because the group was gained.
    pub fn poll_all_soon(&mut self, now: Instant) {
        let servers: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        servers.iter().for_each(|server| self.poll_soon(server, now));
    }

    /// Reads a server soon, because an order was sent.
    pub fn poll_soon(&mut self, server: &str, now: Instant) {
        if let Some(poll) = self.servers.get_mut(server) {
            poll.busy_interval = SHORTEST_INTERVAL;
            poll.at = poll.at.min(now + SHORTEST_INTERVAL);
        }
    }

    /// A read has ended. `is_busy` tells whether something is being carried out on the server.
    pub fn on_read_completed(&mut self, server: &str, is_busy: bool, now: Instant) {
        let next_idle = self.next_idle(now);
        let Some(poll) = self.servers.get_mut(server) else { return };
        poll.in_flight = false;
        if is_busy {
            poll.at = now + poll.busy_interval;
            poll.busy_interval = (poll.busy_interval * 2).min(LONGEST_BUSY_INTERVAL);
        } else {
            poll.at = next_idle;
            poll.busy_interval = SHORTEST_INTERVAL;
        }
    }

    /// The next moment at which idle servers are due; at most `IDLE_INTERVAL` after `now`.
    fn next_idle(&mut self, now: Instant) -> Instant {
        let last = *self.idle_at.get_or_insert(now);
        let passed = now.saturating_duration_since(last).as_nanos() / IDLE_INTERVAL.as_nanos();
        let last = last + IDLE_INTERVAL * u32::try_from(passed).unwrap_or(u32::MAX);
        self.idle_at = Some(last);
        last + IDLE_INTERVAL
    }

    /// Servers to read now, with their addresses.
    pub fn take_due(&mut self, now: Instant) -> Vec<(BackendServerId, Box<str>)> {
        let due = self.servers.iter_mut().filter(|(_, poll)| poll.at <= now && !poll.in_flight);
        due.map(|(server, poll)| {
            poll.in_flight = true;
            (server.clone(), poll.address.clone())
        })
        .collect()
    }

    /// When a read is due.
    pub fn next_at(&self) -> Option<Instant> {
        self.servers.values().filter(|poll| !poll.in_flight).map(|poll| poll.at).min()
    }
}
