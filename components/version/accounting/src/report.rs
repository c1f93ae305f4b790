//! Splits the accelerator time of a period.

use std::ops::Range;

use serde::Serialize;
use types::prelude::*;

use crate::ledger::{Ledger, Replica, RunState, VersionState};
use crate::records::{ContractVersion, FLUSH_INTERVAL, MINUTE_MS, Minute, millis};
use crate::split::largest_remainder;

/// Cost of one client account for one model under one contract version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CostLine {
    /// The client account; `None` for time that no rule gives to a client account.
    pub client_account: Option<ClientAccountId>,
    /// The model.
    pub model: ModelId,
    /// The contract version; `None` for unattributed time.
    pub contract_version: Option<ContractVersion>,
    /// Tokens counted in minutes with accelerator time.
    pub tokens: u64,
    /// Accelerator-milliseconds of minutes with counted work.
    pub busy_ms: u64,
    /// Accelerator-milliseconds of idle minutes.
    pub idle_ms: u64,
    /// Part of `busy_ms + idle_ms` from minutes in which counted work may be missing.
    pub flagged_ms: u64,
}

impl CostLine {
    /// All accelerator-milliseconds of the line.
    pub fn total_ms(&self) -> u64 {
        self.busy_ms + self.idle_ms
    }

    fn add(&mut self, share: &Share, flagged: bool) {
        self.tokens += share.tokens;
        *(if share.idle { &mut self.idle_ms } else { &mut self.busy_ms }) += share.ms;
        if flagged {
            self.flagged_ms += share.ms;
        }
    }
}

/// A period in which a run may have counted work that was never flushed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// The instance.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Whether the death of the run was noticed. Otherwise it may still write what is missing.
    pub died: bool,
    /// Milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// Milliseconds since the Unix epoch, exclusive.
    pub to_ms: u64,
}

/// The split of a period. Lines are sorted by client account, model and contract version, and their
/// totals add up to `total_ms` exactly.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CostReport {
    /// Begin of the period in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End of the period, exclusive.
    pub to_ms: u64,
    /// Cost lines.
    pub lines: Vec<CostLine>,
    /// Accelerator-milliseconds of all replicas in the period.
    pub total_ms: u64,
    /// Tokens counted in minutes in which their model held no accelerator. They cost nothing; more
    /// than a few mean that clocks disagree or that intervals are missing.
    pub unmatched_tokens: u64,
    /// Periods in which counted work may be missing.
    pub gaps: Vec<Gap>,
}

type LineKey = (Option<ClientAccountId>, ModelId, Option<ContractVersion>);

/// Accelerator-milliseconds of one model by minute.
type Pools = BTreeMap<Minute, u64>;

impl Ledger {
    /// Splits the accelerator time between two times. `as_of` is the time of the report: work that
    /// a run counted between its last flush and `as_of` may be missing.
    pub fn report(&self, from: SystemTime, to: SystemTime, as_of: SystemTime) -> CostReport {
        let period = millis(from)..millis(to).max(millis(from));
        let gaps = self.gaps(&period, millis(as_of));
        let flagged = flagged_minutes(&gaps);
        let mut report =
            CostReport { from_ms: period.start, to_ms: period.end, gaps, ..CostReport::default() };
        let mut lines = BTreeMap::<LineKey, CostLine>::new();
        // Model by model, since the minutes of all models at one time need much memory.
        for (model, replicas) in self.models() {
            let pools = pools(&replicas, &period);
            report.total_ms += pools.values().sum::<u64>();
            report.unmatched_tokens += self.unmatched_tokens(model, &period, &pools);
            for (minute, pool) in pools {
                for share in self.split(minute, model, pool) {
                    let key = (
                        share.client_account.clone(),
                        model.clone(),
                        share.contract_version.clone(),
                    );
                    let line = lines.entry(key).or_insert_with(|| empty_line(&share, model));
                    line.add(&share, flagged.contains(&minute));
                }
            }
        }
        // A share of less than one millisecond may leave a line with nothing in it.
        lines.retain(|_, line| line.total_ms() > 0 || line.tokens > 0);
        report.lines = lines.into_values().collect();
        report
    }

    /// Models that held accelerators or did work, each with its replicas.
    fn models(&self) -> BTreeMap<&ModelId, Vec<&Replica>> {
        let mut models: BTreeMap<_, Vec<_>> =
            self.work.keys().map(|model| (model, Vec::new())).collect();
        for replica in self.replicas.values() {
            models.entry(&replica.model).or_default().push(replica);
        }
        models
    }

    /// Begin of the first and end of the last interval; `None` without intervals.
    pub fn span(&self) -> Option<(SystemTime, SystemTime)> {
        let pieces = || self.replicas.values().flat_map(|r| &r.pieces);
        let from = pieces().map(|(from, _)| *from).min()?;
        let to = pieces().map(|(_, to)| *to).max()?;
        let time = |ms| std::time::UNIX_EPOCH + Duration::from_millis(ms);
        Some((time(from), time(to)))
    }

    fn split(&self, minute: Minute, model: &ModelId, pool: u64) -> Vec<Share> {
        let by_work = self.split_by_work(minute, model, pool);
        by_work.or_else(|| self.split_idle(minute, model, pool)).unwrap_or_else(|| {
            vec![Share {
                client_account: None,
                contract_version: None,
                tokens: 0,
                ms: pool,
                idle: true,
            }]
        })
    }

    fn split_by_work(&self, minute: Minute, model: &ModelId, pool: u64) -> Option<Vec<Share>> {
        let counters = self.work.get(model)?.get(&minute)?;
        let mut tokens = BTreeMap::<(&ClientAccountId, &ContractVersion), u64>::new();
        for (key, count) in counters {
            *tokens.entry((&key.client_account, &key.contract_version)).or_default() += count;
        }
        let weights: Vec<_> = tokens.values().copied().collect();
        let parts = largest_remainder(pool, &weights)?;
        let shares = tokens.into_iter().zip(parts);
        Some(shares.map(|((who, tokens), ms)| Share::of(who, tokens, ms, false)).collect())
    }

    /// `None` if it is not known who is entitled, or nobody is.
    fn split_idle(&self, minute: Minute, model: &ModelId, pool: u64) -> Option<Vec<Share>> {
        let version = self.version_in(minute)?;
        let mut entitled = Vec::new();
        for (client_account, hash) in &version.contracts {
            // A contract that cannot be read may hold a share. To split without it would be a guess.
            let terms = self.contracts.get(&(client_account.clone(), hash.clone()))?;
            if terms.models.contains(model) {
                entitled.push(((client_account, hash), u64::from(terms.cost_share)));
            }
        }
        let weights: Vec<_> = entitled.iter().map(|(_, share)| *share).collect();
        let parts = largest_remainder(pool, &weights)?;
        Some(
            entitled
                .into_iter()
                .zip(parts)
                .map(|((who, _), ms)| Share::of(who, 0, ms, true))
                .collect(),
        )
    }

    /// The version in effect at the start of a minute: the highest one that was adopted by then,
    /// where a version is never adopted before a lower one. The very first version replaces none,
    /// so it counts from the minute in which it was adopted.
    fn version_in(&self, minute: Minute) -> Option<&VersionState> {
        let start = minute * MINUTE_MS;
        let adopted =
            self.versions.values().take_while(|version| version.adopted_at <= start).last();
        adopted
            .or_else(|| self.versions.values().next().filter(|v| v.adopted_at < start + MINUTE_MS))
    }

    fn unmatched_tokens(&self, model: &ModelId, period: &Range<u64>, pools: &Pools) -> u64 {
        let Some(by_minute) = self.work.get(model) else { return 0 };
        let counted = by_minute.range(period.start / MINUTE_MS..period.end.div_ceil(MINUTE_MS));
        let unmatched = counted.filter(|(minute, _)| !pools.contains_key(minute));
        unmatched.flat_map(|(_, counters)| counters.values()).sum()
    }

    fn gaps(&self, period: &Range<u64>, as_of: u64) -> Vec<Gap> {
        let mut gaps = Vec::new();
        for ((instance, incarnation), run) in &self.runs {
            let Some(gap) = gap(run, as_of) else { continue };
            if gap.start < period.end && gap.end > period.start {
                gaps.push(Gap {
                    instance: instance.clone(),
                    incarnation: *incarnation,
                    died: run.died_at.is_some(),
                    from_ms: gap.start,
                    to_ms: gap.end,
                });
            }
        }
        gaps
    }
}

/// The time of one model's replicas within a period.
fn pools(replicas: &[&Replica], period: &Range<u64>) -> Pools {
    let mut pools = Pools::new();
    for replica in replicas {
        for (from, to) in &replica.pieces {
            let (mut at, to) = ((*from).max(period.start), (*to).min(period.end));
            while at < to {
                let minute = at / MINUTE_MS;
                let end = to.min((minute + 1) * MINUTE_MS);
                *pools.entry(minute).or_default() += (end - at) * u64::from(replica.accelerators);
                at = end;
            }
        }
    }
    pools
}

/// When a run may have counted work that was never flushed.
fn gap(run: &RunState, as_of: u64) -> Option<Range<u64>> {
    let interval = u64::try_from(FLUSH_INTERVAL.as_millis()).unwrap_or(u64::MAX);
    if run.closed {
        return None;
    }
    let gap = match (run.flushed_until, run.died_at) {
        // A run that dies while the platform is away loses more than one interval. The observed
        // death bounds the loss.
        (Some(flushed), Some(died)) => Some(flushed..died.max(flushed.saturating_add(interval))),
        // The run died before its first flush.
        (None, Some(died)) => Some(died.saturating_sub(interval)..died),
        // The run may be alive, but what it counted since its last flush is not in the report.
        (Some(flushed), None) => Some(flushed..as_of.min(flushed.saturating_add(interval))),
        // The run is known to exist and has not flushed yet.
        (None, None) => Some(as_of.saturating_sub(interval)..as_of),
    };
    gap.filter(|gap| gap.start < gap.end)
}

fn flagged_minutes(gaps: &[Gap]) -> BTreeSet<Minute> {
    gaps.iter().flat_map(|gap| gap.from_ms / MINUTE_MS..gap.to_ms.div_ceil(MINUTE_MS)).collect()
}

/// Part of one pool.
struct Share {
    client_account: Option<ClientAccountId>,
    contract_version: Option<ContractVersion>,
    tokens: u64,
    ms: u64,
    idle: bool,
}

impl Share {
    fn of(who: (&ClientAccountId, &ContractVersion), tokens: u64, ms: u64, idle: bool) -> Self {
        let (client_account, version) = who;
        Self {
            client_account: Some(client_account.clone()),
            contract_version: Some(version.clone()),
            tokens,
            ms,
            idle,
        }
    }
}

fn empty_line(share: &Share, model: &ModelId) -> CostLine {
    CostLine {
        client_account: share.client_account.clone(),
        model: model.clone(),
        contract_version: share.contract_version.clone(),
        tokens: 0,
        busy_ms: 0,
        idle_ms: 0,
        flagged_ms: 0,
    }
}
