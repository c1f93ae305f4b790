//! Ends of servers under requests, and the requests that are kept from servers because of them.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quarantine::{
    Ban, CrashId, Property, PropertyKey, PublishedBan, crash_id, millis, property_keys,
};
use serde::{Deserialize, Serialize};
use server_directory::{Server, ServerId};

use super::messages::{BanNotice, Message};
use super::peers::PeerSocket;
use super::{Entry, boot_now};
use crate::connection::{ConnectError, Connection};

/// Time for which an end is repeated in the messages to the leader, in case one is lost.
const REPORT_TIME: Duration = Duration::from_secs(1);
/// Most ends that a message to the leader has.
const MAX_REPORTS: usize = 32;
/// Timeout of the connection that tells whether a server ended.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// The end of a server under a request that it had not begun to answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct CrashReport {
    crash: CrashId,
    /// Sorted properties of the request.
    properties: Box<[PropertyKey]>,
    /// Milliseconds since the end.
    age_ms: u32,
}

/// What an instance tells the leader of requests that end servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct QuarantineReport {
    /// Ends of servers in the last second.
    crashes: Vec<CrashReport>,
    /// Properties that the leader watches, of requests that were answered, with the milliseconds
    /// since the last answer.
    answers: Vec<(PropertyKey, u32)>,
    /// Bans that the leader does not publish.
    unpublished: Vec<PublishedBan>,
}

impl QuarantineReport {
    pub(super) fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What the leader tells the other instances of requests that end servers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct PublishedQuarantine {
    /// All bans.
    bans: Vec<PublishedBan>,
    /// Properties that were lately taken out of a ban, with the milliseconds since then.
    cleared: Vec<(PropertyKey, u32)>,
    /// Properties for which each instance says when a request with them was last answered.
    watched: Vec<PropertyKey>,
}

/// Ends that this instance has seen and reports to the leader.
#[derive(Debug, Default)]
pub(crate) struct CrashReports {
    /// Ends with the time of each and the properties of its request, oldest first.
    reports: VecDeque<(Instant, CrashId, Box<[PropertyKey]>)>,
}

impl CrashReports {
    fn push(&mut self, crash: CrashId, properties: &[PropertyKey], now: Instant) {
        self.reports.push_back((now, crash, properties.into()));
        let excess = self.reports.len().saturating_sub(MAX_REPORTS);
        self.reports.drain(..excess);
    }

    fn current(&mut self, now: Instant) -> Vec<CrashReport> {
        let age = |at: Instant| now.saturating_duration_since(at);
        while self.reports.front().is_some_and(|(at, ..)| age(*at) >= REPORT_TIME) {
            self.reports.pop_front();
        }
        let report = |(at, crash, properties): &(Instant, CrashId, Box<[PropertyKey]>)| {
            let age_ms = millis(age(*at));
            CrashReport { crash: *crash, properties: properties.clone(), age_ms }
        };
        self.reports.iter().map(report).collect()
    }
}

/// A request without an answer at a server, as far as it matters for the server's end.
pub(crate) struct LostRequest<'a> {
    pub(crate) id: &'a str,
    pub(crate) server: &'a ServerId,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) properties: &'a [PropertyKey],
}

/// A request that tests a ban, until it is dropped.
pub(crate) struct BanTest {
    cx: Rc<Entry>,
}

impl Drop for BanTest {
    fn drop(&mut self) {
        self.cx.is_testing_ban.set(false);
    }
}

impl Entry {
    /// The ban that keeps requests with these properties from the servers, if there is one.
    pub(crate) fn ban(&self, properties: &[PropertyKey]) -> Option<Ban> {
        let quarantine = self.quarantine.borrow();
        quarantine.has_bans().then(|| quarantine.ban(properties, Instant::now()).cloned())?
    }

    /// Lets a request through that tests a ban which has ended; at most one at a time.
    pub(crate) fn begin_ban_test(self: &Rc<Self>, properties: &[PropertyKey]) -> Option<BanTest> {
        let is_leader = self.leader_lease.borrow().held_lease(boot_now()).is_some();
        let now = Instant::now();
        let may_test =
            self.quarantine.borrow().may_test(properties, now, is_leader, self.ban_test_spread);
        if !may_test || self.is_testing_ban.replace(true) {
            return None;
        }
        tracing::info!(properties = %hex(properties), "quarantine: a request tests a ban");
        Some(BanTest { cx: self.clone() })
    }

    /// Records that a request was refused because of a ban.
    pub(crate) fn record_quarantined(&self, properties: &[PropertyKey]) {
        self.quarantine.borrow_mut().record_refusal(properties, Instant::now());
    }

    /// Records that a server answered a request.
    pub(crate) fn record_answered(&self, properties: &[PropertyKey]) {
        if self.quarantine.borrow_mut().record_answer(properties, Instant::now()) {
            tracing::info!(properties = %hex(properties), "quarantine: answered; ban narrowed or lifted");
            self.servers_changed.notify_waiters();
        }
    }

    /// Records that the connection of a request ended before the answer began. If the server ended
    /// as well, the request may be the cause.
    pub(crate) async fn record_lost(&self, lost: LostRequest<'_>) {
        let LostRequest { id, server, address, properties } = lost;
        let born = self.directory.borrow().get(server).map_or(0, |s| s.entry.holdings.born);
        let deadline = Instant::now() + CHECK_TIMEOUT;
        match Connection::connect(server, address, deadline).await {
            Err(ConnectError::Refused) => {}
            // The connection alone ended, or nobody can tell.
            Ok(_) | Err(ConnectError::Unreachable) => return,
        }
        self.record_unreachable(server);
        self.metrics.server_crashes.inc();
        let now = Instant::now();
        let crash = crash_id(server, born);
        tracing::info!(id, %server, born, crash, properties = %hex(properties),
            "quarantine: server ended under a request without an answer");
        let ban = self.quarantine.borrow_mut().record_crash(crash, properties, now);
        self.crash_reports.borrow_mut().push(crash, properties, now);
        if let Some(ban) = ban {
            self.announce(&ban);
        }
        self.waiting_changed.notify_one();
    }

    /// Until when a model, or an adapter of it, is not loaded on any server. Afterwards the leader,
    /// which alone orders loads, tests the ban by the next one.
    pub(crate) fn load_banned_until(
        &self,
        service: &str,
        model: &str,
        adapter: Option<&str>,
    ) -> Option<Instant> {
        let now = Instant::now();
        let until = |adapter: Option<&str>| {
            let ban = self.ban(&load_key(service, model, adapter));
            ban.map(|ban| ban.until).filter(|until| *until > now)
        };
        until(None).max(adapter.and_then(|adapter| until(Some(adapter))))
    }

    /// Records that a load failed after its order was sent. If the server ended, the load may be the
    /// cause, and further servers are spared it.
    pub(crate) async fn record_failed_load(
        &self,
        server: &ServerId,
        model: &str,
        adapter: Option<&str>,
    ) {
        let known = self
            .directory
            .borrow()
            .get(server)
            .map(|known| (known.entry.address, load_key(&known.entry.service, model, adapter)));
        if let Some((address, properties)) = known {
            let properties = &*properties;
            let is_held = |s: &Server| s.entry.holdings.serves(model, adapter);
            if self.directory.borrow().servers().any(is_held) {
                self.quarantine.borrow_mut().record_former_answers(properties, Instant::now());
            }
            self.record_lost(LostRequest { id: "load", server, address, properties }).await;
        }
    }

    /// Records that a server refused the load itself. Another server would hardly take it.
    pub(crate) fn record_refused_load(&self, server: &str, model: &str, adapter: Option<&str>) {
        let known = self.directory.borrow().get(server).map(|known| {
            (known.entry.holdings.born, load_key(&known.entry.service, model, adapter))
        });
        let Some((born, properties)) = known else { return };
        // A refusal for the load of one model must not explain other losses of the server.
        let refusal = crash_id(server, born) ^ properties.first().copied().unwrap_or(0);
        let ban = self.quarantine.borrow_mut().record_crash(refusal, &properties, Instant::now());
        if let Some(ban) = ban {
            self.announce(&ban);
        }
    }

    /// Records that a model or an adapter was loaded.
    pub(crate) fn record_load(&self, server: &str, model: &str, adapter: Option<&str>) {
        let service = self.directory.borrow().get(server).map(|s| s.entry.service.clone());
        if let Some(service) = service {
            self.record_answered(&load_key(&service, model, adapter));
        }
    }

    /// Applies what another instance reports of ends of servers, answers and bans.
    pub(super) fn receive_quarantine_report(&self, from: &str, report: &QuarantineReport) {
        let QuarantineReport { crashes, answers, unpublished } = report;
        let now = Instant::now();
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.merge(unpublished, now);
        if quarantine.record_answers_elsewhere(answers, now) {
            tracing::info!(from, answers = %aged(answers),
                "quarantine: answered elsewhere; ban narrowed or lifted");
            self.servers_changed.notify_waiters();
        }
        let bans: Vec<Ban> = crashes
            .iter()
            .filter_map(|CrashReport { crash, properties, age_ms }| {
                quarantine.record_crash_elsewhere(*crash, properties, *age_ms, now)
            })
            .collect();
        drop(quarantine);
        bans.iter().for_each(|ban| self.announce(ban));
    }

    pub(super) fn quarantine_report(&self) -> QuarantineReport {
        let now = Instant::now();
        let crashes = self.crash_reports.borrow_mut().current(now);
        let quarantine = self.quarantine.borrow();
        let answers = quarantine.watched_answers(now);
        QuarantineReport { crashes, answers, unpublished: quarantine.unpublished(now) }
    }

    pub(super) fn published_quarantine(&self) -> PublishedQuarantine {
        let now = Instant::now();
        let quarantine = self.quarantine.borrow();
        PublishedQuarantine {
            bans: quarantine.published_bans(now),
            cleared: quarantine.cleared(now),
            watched: quarantine.watch_list(),
        }
    }

    /// Follows what the leader sent at `sent_at`.
    pub(super) fn follow_quarantine(&self, published: &PublishedQuarantine, sent_at: Instant) {
        let PublishedQuarantine { bans, cleared, watched } = published;
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.follow_leader(bans, cleared, watched, sent_at, Instant::now()) {
            tracing::info!(cleared = %aged(cleared), "quarantine: the leader narrowed or lifted a ban");
            self.servers_changed.notify_waiters();
        }
    }

    /// Lets the other instances and the waiting requests know of a new ban.
    fn announce(&self, ban: &Ban) {
        let until_ms = ban.until.saturating_duration_since(Instant::now()).as_millis() as u64;
        tracing::warn!(properties = %hex(&ban.properties), until_ms, count = ban.count,
            was_answered = ban.was_answered, "quarantine: requests are kept from the servers");
        self.bans_changed.notify_one();
        self.servers_changed.notify_waiters();
    }

    /// Takes over new bans of another instance.
    pub(super) fn receive_bans(&self, from: &str, bans: &[PublishedBan]) {
        for ban in bans {
            tracing::info!(from, properties = %hex(&ban.properties), until_ms = ban.remaining_ms,
                "quarantine: ban received");
        }
        self.quarantine.borrow_mut().merge(bans, Instant::now());
        self.servers_changed.notify_waiters();
    }
}

fn load_key(service: &str, model: &str, adapter: Option<&str>) -> Box<[PropertyKey]> {
    property_keys(service, [Property::Load(model, adapter)].into_iter())
}

/// Properties as they are written in log lines.
fn hex(properties: &[PropertyKey]) -> String {
    let texts: Vec<String> = properties.iter().map(|key| format!("{key:016x}")).collect();
    texts.join(",")
}

/// Properties with milliseconds, as they are written in log lines.
fn aged(properties: &[(PropertyKey, u32)]) -> String {
    let texts: Vec<String> =
        properties.iter().map(|(key, age_ms)| format!("{key:016x}@{age_ms}")).collect();
    texts.join(",")
}

/// Sends the bans to all instances whenever this one has a new one. The leader also publishes them
/// all the time.
pub(crate) async fn share_bans(cx: Rc<Entry>, socket: Rc<PeerSocket>) {
    loop {
        cx.bans_changed.notified().await;
        let bans = cx.quarantine.borrow().published_bans(Instant::now());
        let notice = BanNotice { from: cx.settings.name.clone(), bans };
        let addresses = cx.instances.borrow().addresses();
        socket.send(&Message::Bans(notice), &addresses);
    }
}
