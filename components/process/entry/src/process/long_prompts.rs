//! Long prompts that servers still have to read, and the messages by which the instances tell each
//! other of them.
//!
//! A server has read most of them before the next load figures arrive. So an instance reports its
//! unread long prompts to the leader whenever it sends one or gets the first event of one, and the
//! leader passes those of all instances on. A prompt counts as a whole until its first event: a busy
//! server takes several times as long as an idle one, and reads the least urgent ones last.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use replica_placement::InstanceName;
use serde::{Deserialize, Serialize};

use super::Entry;
use super::messages::{Message, ServerKey, server_key};
use super::peers::PeerSocket;

/// Time over which an instance collects long prompts into one report to the leader.
const REPORT_DELAY: Duration = Duration::from_millis(10);
/// The same for the leader, which sends to all instances.
const PUBLISH_DELAY: Duration = Duration::from_millis(30);
/// Age at which a prompt of another instance no longer counts, so that a lost message or a failed
/// instance has no lasting effect. Callers of streams mostly leave before it.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Most prompts in one message.
const MAX_PROMPTS: usize = 500;

/// Hash of an instance's name, which is shorter.
type InstanceKey = u32;

/// A long prompt, as messages name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct PublishedPrompt {
    server: ServerKey,
    sender: InstanceKey,
    /// Milliseconds since it was sent.
    age_ms: u16,
    /// Milliseconds in which an idle server reads it.
    read_ms: u16,
}

/// A long prompt that was sent to a server.
#[derive(Clone, Copy, Debug)]
struct SentPrompt {
    server: ServerKey,
    sent_at: Instant,
    /// How long an idle server reads it.
    read_time: Duration,
}

/// Long prompts that servers are reading.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct LongPromptsNotice {
    from: InstanceName,
    /// Whether these are the prompts of all instances, as the leader knows them, and not only those
    /// of the sender.
    is_of_all: bool,
    prompts: Vec<PublishedPrompt>,
}

/// Time in which each server, if it does nothing else, reads its long prompts that have no first
/// event yet.
#[derive(Debug, Default)]
pub(crate) struct UnreadTimes {
    by_server: HashMap<ServerKey, Duration>,
    /// When the first prompt of another instance stops counting.
    valid_until: Option<Instant>,
}

impl UnreadTimes {
    /// Sums the prompts of this instance and those of others that still count.
    fn sum<'a>(
        own: impl Iterator<Item = &'a SentPrompt>,
        elsewhere: impl Iterator<Item = &'a SentPrompt> + Clone,
        now: Instant,
    ) -> Self {
        let mut unread = Self::default();
        let recent = elsewhere.filter(|prompt| now < prompt.sent_at + MAX_AGE);
        for prompt in own.chain(recent.clone()) {
            *unread.by_server.entry(prompt.server).or_default() += prompt.read_time;
        }
        unread.valid_until = recent.map(|prompt| prompt.sent_at + MAX_AGE).min();
        unread
    }

    /// The time of one server.
    pub(crate) fn at(&self, server: &str) -> Duration {
        if self.by_server.is_empty() {
            return Duration::ZERO;
        }
        self.by_server.get(&server_key(server)).copied().unwrap_or_default()
    }
}

/// Long prompts that have no first event yet.
#[derive(Debug, Default)]
pub(crate) struct LongPrompts {
    next_id: u64,
    /// Those that this instance sent, by number.
    own: HashMap<u64, SentPrompt>,
    /// Those of other instances, as last heard.
    elsewhere: HashMap<InstanceKey, Vec<SentPrompt>>,
    /// Sums of the prompts above; `None` after a change.
    unread: Option<UnreadTimes>,
}

impl LongPrompts {
    /// Time in which each server reads its long prompts. It is summed again only after a change, since
    /// all requests that wait select again whenever the servers change.
    pub(crate) fn unread(&mut self, now: Instant) -> &UnreadTimes {
        let is_over =
            |unread: &mut UnreadTimes| unread.valid_until.is_some_and(|until| until <= now);
        self.unread.take_if(is_over);
        self.unread.get_or_insert_with(|| {
            let elsewhere = self.elsewhere.values().flatten();
            UnreadTimes::sum(self.own.values(), elsewhere, now)
        })
    }

    fn add(&mut self, prompt: SentPrompt) -> u64 {
        self.unread = None;
        self.next_id += 1;
        self.own.insert(self.next_id, prompt);
        self.next_id
    }

    fn remove(&mut self, id: u64) {
        self.unread = None;
        self.own.remove(&id);
    }

    /// Applies a message of another instance. `own` is the key of this instance, whose prompts it
    /// knows best itself.
    fn apply(&mut self, notice: &LongPromptsNotice, own: InstanceKey, now: Instant) {
        self.unread = None;
        if notice.is_of_all {
            self.elsewhere.clear();
        } else {
            self.elsewhere.remove(&server_key(&notice.from));
        }
        for prompt in notice.prompts.iter().filter(|prompt| prompt.sender != own) {
            let age = Duration::from_millis(u64::from(prompt.age_ms));
            let Some(sent_at) = now.checked_sub(age) else { continue };
            let read_time = Duration::from_millis(u64::from(prompt.read_ms));
            let sent = SentPrompt { server: prompt.server, sent_at, read_time };
            self.elsewhere.entry(prompt.sender).or_default().push(sent);
        }
    }

    /// Prompts to send: those of this instance, whose key is `own`, and with `is_of_all` those of the
    /// others as well.
    fn publishable(
        &mut self,
        own: InstanceKey,
        is_of_all: bool,
        now: Instant,
    ) -> Vec<PublishedPrompt> {
        self.elsewhere.retain(|_, prompts| {
            prompts.retain(|prompt| now.saturating_duration_since(prompt.sent_at) < MAX_AGE);
            !prompts.is_empty()
        });
        let own = self.own.values().map(|prompt| (own, prompt));
        let others = self.elsewhere.iter().filter(|_| is_of_all);
        let others = others.flat_map(|(sender, prompts)| prompts.iter().map(|p| (*sender, p)));
        let millis = |time: Duration| u16::try_from(time.as_millis()).unwrap_or(u16::MAX);
        let published = own.chain(others).map(|(sender, prompt)| PublishedPrompt {
            server: prompt.server,
            sender,
            age_ms: millis(now.saturating_duration_since(prompt.sent_at)),
            read_ms: millis(prompt.read_time),
        });
        let mut published: Vec<PublishedPrompt> = published.collect();
        published.sort_by_key(|prompt| prompt.age_ms);
        published.truncate(MAX_PROMPTS);
        published
    }
}

/// Counts a long prompt as unread at a server until this value is dropped, which is at the first
/// event or at the end of the attempt.
pub(crate) struct UnreadPrompt {
    cx: Rc<Entry>,
    id: u64,
}

impl UnreadPrompt {
    pub(crate) fn new(cx: &Rc<Entry>, server: &str, read_time: Duration) -> Self {
        let prompt = SentPrompt { server: server_key(server), sent_at: Instant::now(), read_time };
        let id = cx.long_prompts.borrow_mut().add(prompt);
        cx.long_prompts_changed.notify_one();
        cx.metrics.long_prompts.inc();
        Self { cx: cx.clone(), id }
    }
}

impl Drop for UnreadPrompt {
    fn drop(&mut self) {
        self.cx.long_prompts.borrow_mut().remove(self.id);
        self.cx.long_prompts_changed.notify_one();
    }
}

impl Entry {
    /// Applies a message of another instance about long prompts. The leader passes news on.
    pub(super) fn receive_long_prompts(&self, notice: &LongPromptsNotice) {
        let own = server_key(&self.settings.name);
        self.long_prompts.borrow_mut().apply(notice, own, Instant::now());
        if !notice.is_of_all {
            self.long_prompts_changed.notify_one();
        }
    }
}

/// Reports the long prompts of this instance to the leader, or as the leader those of all instances
/// to the others, whenever one is sent or read.
pub(super) async fn share_long_prompts(cx: Rc<Entry>, socket: Rc<PeerSocket>) {
    let own = server_key(&cx.settings.name);
    let mut turn = 0_usize;
    loop {
        cx.long_prompts_changed.notified().await;
        let holder = cx.leader_lease.borrow().holder().map(Box::<str>::from);
        let is_leader = holder.as_ref() == Some(&cx.settings.name);
        tokio::time::sleep(if is_leader { PUBLISH_DELAY } else { REPORT_DELAY }).await;
        let now = Instant::now();
        let prompts = cx.long_prompts.borrow_mut().publishable(own, is_leader, now);
        let from = cx.settings.name.clone();
        let notice = LongPromptsNotice { from, is_of_all: is_leader, prompts };
        let instances = cx.instances.borrow();
        if is_leader {
            turn = turn.wrapping_add(1);
            let delivery = instances.delivery(&cx.settings.data_centre, turn, now);
            socket.deliver(&Message::LongPrompts(notice), &delivery);
        } else if let Some(address) = holder.and_then(|name| instances.address(&name)) {
            socket.send(&Message::LongPrompts(notice), &[address]);
        }
    }
}

#[cfg(test)]
mod tests;
