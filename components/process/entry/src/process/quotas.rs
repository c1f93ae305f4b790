//! Quotas of client accounts: pledges the share of this instance, and gets and grants tokens.
//!
//! Sends nothing where no account of the configuration has a quota.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::quota::{
    AccountKey, InstanceKey, QuotaDecision, QuotaGrant, QuotaLimits, QuotaPool, QuotaRequest,
    QuotaShare, QuotaUse, QuotaVerdict, ShareState, Ticket,
};
use replica_placement::{BootTime, InstanceName};
use routes::{Deployment, DeploymentVersion, Quota};
use tokio::sync::{Notify, oneshot};
use xxhash_rust::xxh3::xxh3_64;

use super::messages::Message;
use super::peers::PeerSocket;
use super::{Entry, boot_now};

/// Interval of the checks whether the configuration has quotas.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The key of an account in messages.
fn account_key(name: &str) -> AccountKey {
    xxh3_64(name.as_bytes())
}

/// The key of an instance in messages.
fn instance_key(name: &str) -> InstanceKey {
    xxh3_64(name.as_bytes()) as InstanceKey
}

fn limits(quota: &Quota) -> QuotaLimits {
    QuotaLimits { per_second: quota.per_second, burst: quota.at_once() }
}

/// Quotas of one configuration version.
#[derive(Debug, Default)]
struct QuotaTable {
    version: Option<DeploymentVersion>,
    limits: HashMap<AccountKey, QuotaLimits>,
}

impl QuotaTable {
    fn apply(&mut self, deployment: &Deployment) {
        if self.version == Some(deployment.version) {
            return;
        }
        self.version = Some(deployment.version);
        let quotas = deployment.accounts.iter().filter_map(|account| {
            Some((account_key(&account.name), limits(account.quota.as_ref()?)))
        });
        self.limits = quotas.collect();
    }
}

/// State of the quotas of this process.
pub(crate) struct Quotas {
    key: InstanceKey,
    table: RefCell<QuotaTable>,
    share: RefCell<QuotaShare>,
    pool: RefCell<QuotaPool>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<QuotaVerdict>>>,
    /// Instances that may hold the share of this one, the preferred one first.
    holders: RefCell<Vec<InstanceName>>,
    /// State of the share when it was last logged.
    logged_state: Cell<ShareState>,
    /// Makes the exchange look for messages that are due.
    due: Notify,
    /// The same time on the clock of timers and on the one that counts suspension.
    started_at: (Instant, BootTime),
}

impl Quotas {
    pub(crate) fn new(name: &str) -> Self {
        let now = Instant::now();
        let (key, run) = (instance_key(name), rand::random());
        Self {
            key,
            table: RefCell::default(),
            share: RefCell::new(QuotaShare::new(key, run, now)),
            pool: RefCell::new(QuotaPool::new(run, now)),
            waiting: RefCell::default(),
            holders: RefCell::default(),
            logged_state: Cell::new(ShareState::Blocked),
            due: Notify::new(),
            started_at: (now, boot_now()),
        }
    }

    /// The time that the state of quotas is given.
    pub(crate) fn now(&self) -> Instant {
        let (start, boot_start) = self.started_at;
        start + boot_now().saturating_sub(boot_start)
    }

    /// Waits until a time of [`Self::now`].
    pub(crate) async fn sleep_until(&self, at: Instant) {
        let rest = at.saturating_duration_since(self.now());
        if !rest.is_zero() {
            tokio::time::sleep(rest).await;
        }
    }

    /// Puts back the tokens of a request that certainly did not run.
    pub(crate) fn put_back(&self, used: QuotaUse) {
        self.share.borrow_mut().put_back(used, self.now());
    }

    fn take_standing(
        &self,
        account: AccountKey,
        limits: QuotaLimits,
        cost: u64,
    ) -> Result<QuotaUse, Option<Instant>> {
        self.share.borrow_mut().take_standing(account, limits, cost, self.now())
    }
}

/// Removes a waiting request whose caller leaves or whose time is over.
struct WaitGuard<'a> {
    quotas: &'a Quotas,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.quotas.waiting.borrow_mut().remove(&self.ticket).is_some() {
            self.quotas.share.borrow_mut().cancel(self.ticket);
        }
    }
}

/// Puts back the tokens of a request whose caller leaves before they may be used.
struct GrantGuard<'a> {
    quotas: &'a Quotas,
    used: Option<QuotaUse>,
}

impl Drop for GrantGuard<'_> {
    fn drop(&mut self) {
        if let Some(used) = self.used.take() {
            self.quotas.put_back(used);
        }
    }
}

/// Why a request gets no tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoTokens {
    /// When the quota has them; `None` if it never will.
    pub(crate) retry_at: Option<Instant>,
    /// Tokens in the bucket of the holder, if it was asked.
    pub(crate) level: Option<u64>,
}

impl Entry {
    /// Takes the tokens of a request out of the quota of an account. Waits for them until `latest`,
    /// a time of [`Quotas::now`], if the holder has to be asked.
    pub(crate) async fn take_quota(
        &self,
        account: &str,
        quota: &Quota,
        cost: u64,
        latest: Instant,
    ) -> Result<QuotaUse, NoTokens> {
        let quotas = &self.quotas;
        let (account, limits) = (account_key(account), limits(quota));
        let decision = quotas.share.borrow_mut().decide(account, limits, cost, quotas.now());
        match decision {
            QuotaDecision::Admitted(used) => return Ok(used),
            QuotaDecision::Refused { retry_at } => return Err(NoTokens { retry_at, level: None }),
            QuotaDecision::Ask => {}
        }
        let ticket = quotas.share.borrow_mut().enqueue(account, cost, latest);
        let (tx, rx) = oneshot::channel();
        quotas.waiting.borrow_mut().insert(ticket, tx);
        let guard = WaitGuard { quotas, ticket };
        quotas.due.notify_one();
        let verdict = tokio::select! {
            biased;
            verdict = rx => verdict.ok(),
            () = quotas.sleep_until(latest) => None,
        };
        drop(guard);
        match verdict {
            Some(QuotaVerdict::Granted(used)) => {
                let mut granted = GrantGuard { quotas, used: Some(used) };
                quotas.sleep_until(used.ready_at).await;
                granted.used = None;
                let is_void = quotas.now() >= used.void_at;
                if is_void {
                    Err(NoTokens { retry_at: Some(quotas.now()), level: None })
                } else {
                    Ok(used)
                }
            }
            Some(QuotaVerdict::Refused { retry_at, level }) => {
                Err(NoTokens { retry_at, level: Some(level) })
            }
            None => quotas.take_standing(account, limits, cost).map_err(|retry_at| NoTokens {
                retry_at: retry_at.or(Some(quotas.now())),
                level: None,
            }),
        }
    }

    /// Instances that should hold shares if this one, the leader, fails; none without quotas.
    pub(super) fn choose_quota_holders(&self, now: Instant) -> Vec<InstanceName> {
        if !self.has_quotas() {
            return Vec::new();
        }
        let mut instances = self.instances.borrow_mut();
        let holders = instances.choose_quota_holders(&self.settings.data_centre, now);
        instances.set_quota_holders(&holders);
        holders
    }

    /// Answers a request for tokens, if it is no outdated one.
    pub(super) fn answer_quota_request(&self, req: &QuotaRequest) -> Option<QuotaGrant> {
        self.has_quotas();
        let instances = self.instances.borrow().registered_count();
        let table = self.quotas.table.borrow();
        let limits = |account| table.limits.get(&account).copied();
        self.quotas.pool.borrow_mut().handle(req, limits, instances, self.quotas.now())
    }

    /// Hands the verdicts of a holder to the requests that wait for them.
    pub(super) fn receive_quota_grant(&self, grant: &QuotaGrant) {
        let verdicts = self.quotas.share.borrow_mut().receive(grant, self.quotas.now());
        let mut waiting = self.quotas.waiting.borrow_mut();
        for (ticket, verdict) in verdicts {
            let unsent = waiting.remove(&ticket).and_then(|tx| tx.send(verdict).err());
            if let Some(QuotaVerdict::Granted(used)) = unsent {
                self.quotas.put_back(used);
            }
        }
        // Requests that arrived meanwhile are asked for next.
        self.quotas.due.notify_one();
    }

    pub(super) fn record_quota_holder_alive(&self, name: &str) {
        let quotas = &self.quotas;
        quotas.share.borrow_mut().record_alive(instance_key(name), quotas.now());
    }

    /// Whether an account of the newest configuration has a quota. Applies that configuration.
    fn has_quotas(&self) -> bool {
        let mut table = self.quotas.table.borrow_mut();
        if let Some(deployment) = self.deployment.borrow().as_deref() {
            table.apply(deployment);
        }
        !table.limits.is_empty()
    }

    /// Determines who may hold the share of this instance: the leader, then those it names.
    fn update_holders(&self) {
        let instances = self.instances.borrow();
        let lease = self.leader_lease.borrow();
        let mut holders = self.quotas.holders.borrow_mut();
        if let Some(leader) = lease.holder() {
            holders.clear();
            holders.push(leader.into());
            let others = instances.quota_holders().iter();
            holders.extend(others.filter(|name| ***name != *leader).cloned());
        }
        let keys: Vec<InstanceKey> = holders.iter().map(|name| instance_key(name)).collect();
        self.quotas.share.borrow_mut().set_instances(instances.registered_count(), &keys);
    }

    fn send_quota_requests(&self, socket: &PeerSocket) {
        let now = self.quotas.now();
        self.quotas.share.borrow_mut().count_use(now);
        loop {
            let next = self.quotas.share.borrow_mut().next_request(now);
            let Some((to, req)) = next else { break };
            if to == self.quotas.key {
                if let Some(grant) = self.answer_quota_request(&req) {
                    self.receive_quota_grant(&grant);
                }
                continue;
            }
            let holders = self.quotas.holders.borrow();
            let name = holders.iter().find(|name| instance_key(name) == to);
            let address = name.and_then(|name| self.instances.borrow().address(name));
            match address {
                Some(address) => socket.send(&Message::QuotaRequest(req), &[address]),
                None => self.list_instances.notify_one(),
            }
        }
    }

    fn log_share_state(&self) {
        let state = self.quotas.share.borrow().state(self.quotas.now());
        if self.quotas.logged_state.replace(state) == state {
            return;
        }
        match state {
            ShareState::Pledged(holder) => {
                let holders = self.quotas.holders.borrow();
                let holder = holders.iter().find(|name| instance_key(name) == holder);
                tracing::info!(holder = holder.map_or("-", |name| name), "quotas: share is pooled");
            }
            ShareState::Standing => {
                tracing::info!("quotas: no holder answers; this instance uses its own share");
            }
            ShareState::Blocked => {}
        }
    }
}

/// Renews the pledge of the share and sends the requests for tokens, as long as the process runs.
pub(super) async fn exchange(cx: Rc<Entry>, socket: Rc<PeerSocket>) {
    loop {
        let now = cx.quotas.now();
        let mut due = now + CHECK_INTERVAL;
        if cx.has_quotas() {
            cx.update_holders();
            cx.send_quota_requests(&socket);
            cx.log_share_state();
            due = cx.quotas.share.borrow().next_due(now);
        }
        tokio::select! {
            () = cx.quotas.sleep_until(due) => {}
            () = cx.quotas.due.notified() => {}
        }
    }
}
