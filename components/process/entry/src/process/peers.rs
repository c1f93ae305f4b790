//! Datagrams between instances.
//!
//! They are small, and the next one follows within a quarter of a second, so a lost one does not
//! matter. A connection to each other instance would cost more than the data that it carries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::waiting::sum_groups;
use replica_placement::{BootTime, HeldLease};
use server_directory::{ServerId, SteadyTime};
use tokio::net::UdpSocket;

use super::instances::Delivery;
use super::messages::{LeaderUpdate, Message, PassOn, ServerHoldings, Status};
use super::{Entry, Phase, boot_now};

/// Interval between two status messages.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Number of status messages in a row that may be skipped while there is nothing to report.
const MAX_SKIPPED_STATUSES: u32 = 4;
/// Least time between two status messages that waiting requests trigger.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(4);
/// Largest datagram, in bytes. IPv4 allows up to 65,507.
const MAX_DATAGRAM: usize = 60_000;
/// Number of messages that carry an arrival count after its last change.
const ARRIVAL_SENDS: u32 = 8;

/// Socket for messages to and from other instances.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
}

impl PeerSocket {
    pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address).await? })
    }

    /// Sends a message to some instances. A datagram that cannot be sent at once is dropped, as if
    /// the network had lost it.
    pub(crate) fn send(&self, message: &Message, to: &[SocketAddr]) {
        if let Some(datagram) = encode(message) {
            self.send_encoded(&datagram, to);
        }
    }

    fn send_encoded(&self, datagram: &[u8], to: &[SocketAddr]) {
        for address in to {
            if let Err(error) = self.socket.try_send_to(datagram, *address) {
                tracing::debug!(%address, %error, "peers: message not sent");
            }
        }
    }

    /// Sends a message to many instances, to some of them through others.
    pub(crate) fn deliver(&self, message: &Message, delivery: &Delivery) {
        let Some(datagram) = encode(message) else { return };
        self.send_encoded(&datagram, &delivery.direct);
        for (relay, to) in &delivery.relayed {
            let pass_on = PassOn { to: to.clone(), message: datagram.clone() };
            self.send(&Message::PassOn(pass_on), &[*relay]);
        }
    }
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    match postcard::to_allocvec(message) {
        Ok(datagram) if datagram.len() <= MAX_DATAGRAM => Some(datagram),
        Ok(datagram) => {
            tracing::warn!(bytes = datagram.len(), "peers: message too large to send");
            None
        }
        Err(error) => {
            tracing::error!(%error, "peers: cannot encode a message");
            None
        }
    }
}

fn build_status(cx: &Entry, incarnation: u64, recent: &mut RecentArrivals) -> Status {
    let counts = cx.request_counts.borrow();
    let in_flight = counts
        .in_flight
        .iter()
        .map(|(server, models)| {
            (server.clone(), models.iter().map(|(model, n)| (model.clone(), *n)).collect())
        })
        .collect();
    let arrivals = counts
        .arrivals
        .iter()
        .filter(|(key, count)| recent.is_due(key, **count))
        .map(|(key, count)| (key.clone(), *count))
        .collect();
    let requests = cx.waiting_requests.borrow();
    let waiting = requests
        .iter()
        .map(|(service, key, count)| (service.clone(), key.clone(), count))
        .collect();
    let waiting_groups = match cx.has_accounts() {
        true => requests.groups().map(|(_, _, groups)| sum_groups(groups)).collect(),
        false => Vec::new(),
    };
    let now = Instant::now();
    let health = cx.health.borrow();
    let backing_off = health.iter().filter(|(_, health)| health.is_backing_off(now));
    let mut unreachable: Vec<ServerId> = backing_off.map(|(server, _)| server.clone()).collect();
    unreachable.extend(cx.cut_off_servers());
    unreachable.sort();
    unreachable.dedup();
    let stale_holdings = std::mem::take(&mut *cx.stale_holdings.borrow_mut()).into_iter().collect();
    let paces = cx.paces.borrow_mut().take();
    Status {
        leaving: cx.leaving_hints(),
        quarantine: cx.quarantine_report(),
        paces,
        unreachable,
        stale_holdings,
        from: cx.settings.name.clone(),
        data_centre: cx.settings.data_centre.clone(),
        incarnation,
        is_leaving: *cx.phase.borrow() != Phase::Serving,
        is_small: cx.settings.is_small(),
        up_for_s: cx.started_at.elapsed().as_secs() as u32,
        in_flight,
        arrivals,
        waiting,
        waiting_groups,
    }
}

/// Tracks which arrival counts the next status messages still have to carry.
#[derive(Default)]
struct RecentArrivals {
    sends: std::collections::HashMap<super::ModelKey, (u64, u32)>,
}

impl RecentArrivals {
    fn is_due(&mut self, key: &super::ModelKey, count: u64) -> bool {
        let (sent, times) = self.sends.entry(key.clone()).or_default();
        if *sent != count {
            (*sent, *times) = (count, 0);
        }
        *times += 1;
        *times <= ARRIVAL_SENDS
    }
}

/// Sends the status of this instance to the leader, at intervals and whenever requests begin to
/// wait for another model.
pub(crate) async fn send_status(cx: Rc<Entry>, socket: Rc<PeerSocket>, incarnation: u64) {
    let mut recent = RecentArrivals::default();
    let mut next = Instant::now();
    let mut skipped = 0;
    loop {
        let is_triggered = tokio::select! {
            () = tokio::time::sleep_until(next.into()) => false,
            () = cx.waiting_changed.notified() => true,
        };
        if is_triggered {
            // Requests that arrive together are reported in one message.
            tokio::time::sleep(MIN_STATUS_INTERVAL).await;
        } else {
            next = Instant::now() + STATUS_INTERVAL;
        }
        let holder = cx.leader_lease.borrow().holder().map(Box::<str>::from);
        if holder.as_deref() == Some(&*cx.settings.name) {
            if is_triggered {
                cx.plan_due.notify_one();
            }
            continue;
        }
        let Some(name) = holder else { continue };
        let Some(address) = cx.instances.borrow().address(&name) else {
            cx.list_instances.notify_one();
            continue;
        };
        let mut status = build_status(&cx, incarnation, &mut recent);
        let is_quiet = status.in_flight.is_empty()
            && status.arrivals.is_empty()
            && status.waiting.is_empty()
            && status.unreachable.is_empty()
            && status.stale_holdings.is_empty()
            && status.paces.is_empty()
            && status.leaving.is_empty()
            && status.quarantine.is_empty()
            && !status.is_leaving;
        if is_quiet && !is_triggered && skipped < MAX_SKIPPED_STATUSES {
            skipped += 1;
            continue;
        }
        skipped = 0;
        let message = match status.waiting_groups.is_empty() {
            true => Message::Status(status),
            false => {
                let groups = std::mem::take(&mut status.waiting_groups);
                Message::StatusByAccount(status, groups)
            }
        };
        socket.send(&message, &[address]);
    }
}

/// Receives and applies the messages of the other instances.
pub(crate) async fn receive(cx: Rc<Entry>, socket: Rc<PeerSocket>) {
    let mut buf = vec![0; 65_536];
    loop {
        let (len, from) = match socket.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                // Reports an ICMP error for an earlier datagram; the socket stays usable.
                tracing::debug!(%error, "peers: receive failed");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let mut message = postcard::from_bytes::<Message>(&buf[..len]);
        if let Ok(Message::PassOn(PassOn { to, message: inner })) = &message {
            socket.send_encoded(inner, to);
            message = postcard::from_bytes(inner);
        }
        match message {
            Ok(Message::Status(status)) => receive_status(&cx, status, from),
            Ok(Message::StatusByAccount(status, waiting_groups)) => {
                receive_status(&cx, Status { waiting_groups, ..status }, from);
            }
            Ok(Message::LeaderUpdate(update)) => receive_leader_update(&cx, update),
            Ok(Message::Holdings(part)) => {
                if receive_lease(&cx, &part.from, part.lease, part.sent_at).is_some() {
                    observe_holdings(&cx, part.holdings);
                    cx.servers_changed.notify_waiters();
                }
            }
            Ok(Message::QueuedByAccount(queues)) => {
                if receive_lease(&cx, &queues.from, queues.lease, queues.sent_at).is_some() {
                    *cx.queued_groups.borrow_mut() = queues.queued.into_iter().collect();
                }
            }
            Ok(Message::Bans(notice)) => cx.receive_bans(&notice.from, &notice.bans),
            Ok(Message::QuotaRequest(req)) => {
                if let Some(grant) = cx.answer_quota_request(&req) {
                    socket.send(&Message::QuotaGrant(grant), &[from]);
                }
            }
            Ok(Message::QuotaGrant(grant)) => cx.receive_quota_grant(&grant),
            Ok(Message::LongPrompts(notice)) => cx.receive_long_prompts(&notice),
            Ok(Message::PassOn(_)) => tracing::warn!(%from, "peers: message passed on twice"),
            Ok(Message::Released) => {
                tracing::info!(%from, "orders: told that the lease is free");
                cx.leader_lease.borrow_mut().receive_release();
                cx.lease_due.notify_one();
            }
            Err(error) => tracing::warn!(%from, %error, "peers: cannot decode a message"),
        }
    }
}

fn receive_status(cx: &Entry, status: Status, from: SocketAddr) {
    if status.from == cx.settings.name {
        return;
    }
    record_leaving(cx, &status.leaving, &status.from);
    cx.receive_quarantine_report(&status.from, &status.quarantine);
    let is_plan_due = !status.waiting.is_empty() || !status.stale_holdings.is_empty();
    cx.instances.borrow_mut().record_status(status, from, Instant::now());
    if is_plan_due {
        cx.plan_due.notify_one();
    }
}

fn record_leaving(cx: &Entry, leaving: &[(ServerId, u64)], from: &str) {
    for (server, born) in leaving {
        cx.record_leaving(server, *born, from);
    }
}

/// Records the lease that a message of the leader contains. Returns how long the message was held
/// up, or `None` if it is outdated.
fn receive_lease(cx: &Entry, from: &str, lease: HeldLease, sent_at: BootTime) -> Option<Duration> {
    let now = boot_now();
    let (lease, delay) = cx.instances.borrow_mut().correct_delay(lease, sent_at, now)?;
    let former = cx.leader_lease.borrow().holder().map(Box::<str>::from);
    if !cx.leader_lease.borrow_mut().receive_lease(from, lease, now) {
        return None;
    }
    if former.as_deref() != Some(from) {
        tracing::info!(holder = %from, fence = lease.fence, "peers: leader changed");
        // The new leader does not know the waiting requests of this instance yet.
        cx.waiting_changed.notify_one();
    }
    Some(delay)
}

fn observe_holdings(cx: &Entry, published: Vec<ServerHoldings>) {
    let now = Instant::now();
    let mut directory = cx.directory.borrow_mut();
    for published in published {
        directory.observe(&published.server, published.born, now, |holdings| {
            holdings.models = published
                .models
                .into_iter()
                .map(|(model, adapters)| (model, adapters.into_iter().collect()))
                .collect();
            holdings.loading = published.loading;
        });
    }
}

fn receive_leader_update(cx: &Entry, update: LeaderUpdate) {
    let delay = receive_lease(cx, &update.from, update.lease, update.sent_at);
    let Some(delay) = delay else { return };
    let now = Instant::now();
    let sent_at = now.checked_sub(delay).unwrap_or(now);
    {
        let mut instances = cx.instances.borrow_mut();
        instances.put(&update.from, update.address);
        instances.apply_leader_update(&update, &cx.own_in_flight(), sent_at);
    }
    let ago = |ms: u32| Duration::from_millis(u64::from(ms));
    let until = sent_at.checked_sub(ago(update.registry.age_ms));
    let since = until.and_then(|until| until.checked_sub(ago(update.registry_steady_ms)));
    if let Some((since, until)) = since.zip(until) {
        cx.record_steady_registry(&update.from, SteadyTime { since, until });
    }
    observe_holdings(cx, update.holdings);
    cx.leader_updated.notify_waiters();
    let ready_at = update
        .ready_in
        .into_iter()
        .map(|(model, remaining)| (model, sent_at + Duration::from_millis(u64::from(remaining))))
        .collect();
    *cx.ready_at.borrow_mut() = ready_at;
    let slow = update.slow.into_iter();
    *cx.slow_servers.borrow_mut() =
        slow.map(|(server, percent)| (server, f64::from(percent) / 100.0)).collect();
    record_leaving(cx, &update.leaving, &update.from);
    cx.record_quota_holder_alive(&update.from);
    cx.follow_quarantine(&update.quarantine, sent_at);
    *cx.queued.borrow_mut() = update.queued.into_iter().collect();
    let queued = cx.queued.borrow();
    cx.queued_groups.borrow_mut().retain(|model, _| queued.contains_key(model));
    drop(queued);
    cx.servers_changed.notify_waiters();
}
