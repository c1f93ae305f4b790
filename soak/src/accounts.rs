//! Client accounts of a run: keys that come and go, a hot account and a quota that moves.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use platform_stand_in::{Account, Outcome, Server, with_accounts};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

/// Keys of the accounts without a quota, whose callers must be served as without accounts.
pub(crate) const STEADY_KEYS: [&str; 3] = ["sk-steady-0", "sk-steady-1", "sk-steady-2"];
/// Key of the account that sends as fast as it can.
pub(crate) const HOT_KEY: &str = "sk-hot";
/// Key that is added and removed.
pub(crate) const GUEST_KEY: &str = "sk-guest";
/// Key that no configuration contains.
pub(crate) const UNKNOWN_KEY: &str = "sk-unknown";
/// Tokens of a request that states none, as the stand-in's configurations have it.
const COST: u64 = 100;
/// Quotas between which the hot account's moves: tokens per second, and at once.
const QUOTAS: [(u64, u64); 3] = [(2_000, 2_000), (4_000, 3_000), (1_000, 2_000)];
/// Time for which tokens may be granted before they are used: their life, and a reservation.
const GRANTED_AHEAD: Duration = Duration::from_millis(750);
/// Windows in which what was let through is added up.
const WINDOWS: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_secs(3), Duration::from_secs(9)];
/// Mean time between two changes of the accounts.
const MEAN_INTERVAL: Duration = Duration::from_millis(2_500);

/// A change of the accounts.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Change {
    /// The guest's key is added or removed.
    Guest,
    /// The hot account gets another of the quotas.
    Quota(usize),
}

/// Changes of a seed, which do not depend on its faults, sorted by time.
pub(crate) fn changes(seed: u64, fault_duration: Duration) -> Vec<(Duration, Change)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xacc0);
    let mut at = Duration::ZERO;
    let mut changes = Vec::new();
    loop {
        at += MEAN_INTERVAL.mul_f64(rng.random_range(0.2..1.8));
        if at >= fault_duration {
            return changes;
        }
        let change = match rng.random_range(0..2) {
            0 => Change::Guest,
            _ => Change::Quota(rng.random_range(0..QUOTAS.len())),
        };
        changes.push((at, change));
    }
}

/// Accounts of the newest configuration.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    has_guest: bool,
    quota: usize,
}

impl Accounts {
    fn state(&self) -> State {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn apply(&self, change: Change) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        match change {
            Change::Guest => state.has_guest = !state.has_guest,
            Change::Quota(quota) => state.quota = quota,
        }
    }

    /// Adds the accounts to a configuration.
    pub(crate) fn add_to(&self, configuration: Value) -> Value {
        let State { has_guest, quota } = self.state();
        let names = ["steady-0", "steady-1", "steady-2"];
        let keys = STEADY_KEYS.each_ref().map(std::slice::from_ref);
        let steady = names.into_iter().zip(keys);
        let mut accounts: Vec<Account<'_>> =
            steady.map(|(name, keys)| Account { name, keys, ..Account::default() }).collect();
        let quota = Some(QUOTAS[quota]);
        accounts.push(Account { name: "hot", keys: &[HOT_KEY], quota, ..Account::default() });
        let keys: &[&str] = if has_guest { &[GUEST_KEY] } else { &[] };
        accounts.push(Account { name: "guest", keys, ..Account::default() });
        with_accounts(configuration, &accounts, &[])
    }
}

/// A request of the hot account, of the guest or with the unknown key.
#[derive(Clone, Debug)]
pub(crate) struct KeyRecord {
    pub(crate) id: String,
    pub(crate) key: &'static str,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) outcome: Outcome,
    /// Whether it was sent after all faults had ended.
    pub(crate) is_after_faults: bool,
}

/// Returns a line for each violated guarantee.
pub(crate) fn violations(
    accounts: &Accounts,
    records: &[KeyRecord],
    servers: &[Server],
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for (id, count) in servers.iter().flat_map(Server::all_runs) {
        *runs.entry(id).or_default() += count;
    }
    let has_run = |record: &&KeyRecord| runs.contains_key(&record.id);
    let State { has_guest, quota } = accounts.state();
    for record in records {
        let KeyRecord { id, key, outcome, .. } = record;
        let is_denied = outcome.status == Some(401);
        if *key == UNKNOWN_KEY && (has_run(&record) || outcome.status == Some(200)) {
            violations.push(format!("{id}: ran with an unknown key: {outcome:?}"));
        }
        if *key == HOT_KEY && is_denied {
            violations.push(format!("{id}: a known key is denied"));
        }
        let is_known = *key == HOT_KEY || (*key == GUEST_KEY && has_guest);
        if record.is_after_faults && is_denied == is_known {
            violations.push(format!("{id} {key}: known {is_known}, but {outcome:?}"));
        }
        if *key == GUEST_KEY && record.is_after_faults && is_known && outcome.status != Some(200) {
            violations.push(format!("{id}: not served after the faults: {outcome:?}"));
        }
        if outcome.status == Some(429) && has_run(&record) {
            violations.push(format!("{id}: refused as not run, but ran"));
        }
    }
    let hot = records.iter().filter(|record| record.key == HOT_KEY);
    let mut ran: Vec<&KeyRecord> = hot.filter(has_run).collect();
    ran.sort_by_key(|record| record.sent_at);
    let most = |value: fn(&(u64, u64)) -> u64| QUOTAS.iter().map(value).max().unwrap_or(0);
    let largest = (most(|quota| quota.0), most(|quota| quota.1));
    violations.extend(excess(&ran, largest));
    ran.retain(|record| record.is_after_faults);
    violations.extend(excess(&ran, QUOTAS[quota]));
    let calm = ran.first().zip(ran.iter().map(|record| record.ended_at).max());
    let seconds = calm.map_or(0.0, |(first, end)| (end - first.sent_at).as_secs_f64());
    let tokens = ran.len() as u64 * COST;
    let least = (seconds * QUOTAS[quota].0 as f64 / 2.0) as u64;
    if seconds < 1.0 || tokens < least {
        violations.push(format!("hot account: {tokens} tokens in {seconds:.1} s after the faults"));
    }
    violations
}

/// The first window in which more than the bound was let through. `ran` is sorted by the time of the
/// send.
fn excess(ran: &[&KeyRecord], (per_second, burst): (u64, u64)) -> Option<String> {
    for window in WINDOWS {
        for (n, first) in ran.iter().enumerate() {
            let end = first.sent_at + window;
            let inside = ran[n..].iter().take_while(|record| record.sent_at < end);
            let count = inside.filter(|record| record.ended_at <= end).count() as u64;
            let bound = per_second as f64 * (window + GRANTED_AHEAD).as_secs_f64() + burst as f64;
            if (count * COST) as f64 > bound {
                let id = &first.id;
                return Some(format!("hot account: {count} requests in {window:?} from {id} on"));
            }
        }
    }
    None
}
