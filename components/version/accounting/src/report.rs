//! Splits the accelerator time of a period between client accounts.

use std::ops::Range;

use serde::Serialize;
use types::prelude::*;

use crate::ledger::{Ledger, Replica, RunState, VersionState};
use crate::records::{ContractVersion, FLUSH_INTERVAL, MINUTE_MS, Minute, millis};
use crate::split::largest_remainder;

/// Accelerator time of one client account for one model under one contract version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CostLine {
    /// The client account; `None` for time that no rule gives to a client account.
    pub client_account: Option<ClientAccountId>,
    /// The model.
    pub model: ModelId,
    /// The contract version; `None` for unattributed time.
    pub contract_version: Option<ContractVersion>,
    /// Tokens counted in minutes in which the model held accelerators.
    pub tokens: u64,
    /// Accelerator-milliseconds of minutes with counted work.
    pub busy_ms: u64,
    /// Accelerator-milliseconds of idle minutes.
    pub idle_ms: u64,
    /// Part of `busy_ms + idle_ms` that falls in minutes in which counted work may be missing.
    pub flagged_ms: u64,
}

impl CostLine {
    /// Returns the sum of busy and idle accelerator-milliseconds.
    pub fn total_ms(&self) -> u64 {
        self.busy_ms + self.idle_ms
    }

    fn add(&mut self, share: &Share, flagged: bool) {
        self.tokens += share.tokens;
        *(if share.is_idle { &mut self.idle_ms } else { &mut self.busy_ms }) += share.ms;
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
    /// The run of the instance.
    pub incarnation: Incarnation,
    /// Whether another instance noticed the death of the run. If not, the run may still write the
    /// missing work.
    pub died: bool,
    /// Begin in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End in milliseconds since the Unix epoch, exclusive.
    pub to_ms: u64,
}

/// Accelerator time of a period, split into cost lines. The lines are sorted by client account,
/// model and contract version, and their totals add up to `total_ms` exactly.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CostReport {
    /// Begin of the period in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End of the period in milliseconds since the Unix epoch, exclusive.
    pub to_ms: u64,
    /// The cost lines.
    pub lines: Vec<CostLine>,
    /// Accelerator-milliseconds of all replicas in the period.
    pub total_ms: u64,
    /// Tokens counted in minutes in which their model held no accelerator. They cost nothing. More
    /// than a few of them mean that clocks disagree or that intervals are missing.
    pub unmatched_tokens: u64,
    /// Periods in which counted work may be missing.
    pub gaps: Vec<Gap>,
}

type LineKey = (Option<ClientAccountId>, ModelId, Option<ContractVersion>);

/// Accelerator-milliseconds of one model by minute.
type TimeByMinute = BTreeMap<Minute, u64>;

impl Ledger {
    /// Splits the accelerator time between `from` and `to`. `as_of` is the time of the report: work
    /// that a run counted between its last flush and `as_of` may be missing.
    pub fn report(&self, from: SystemTime, to: SystemTime, as_of: SystemTime) -> CostReport {
        let period = millis(from)..millis(to).max(millis(from));
        let gaps = self.gaps(&period, millis(as_of));
        let flagged = flagged_minutes(&gaps);
        let mut report =
            CostReport { from_ms: period.start, to_ms: period.end, gaps, ..CostReport::default() };
        let mut lines = BTreeMap::<LineKey, CostLine>::new();
        // Processes one model at a time, since the minutes of all models together need much memory.
        for (model, replicas) in self.models() {
            let time = accelerator_time(&replicas, &period);
            report.total_ms += time.values().sum::<u64>();
            report.unmatched_tokens += self.unmatched_tokens(model, &period, &time);
            for (minute, accelerator_ms) in time {
                for share in self.split(minute, model, accelerator_ms) {
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
        // Drops lines that are empty because a share was rounded down to 0 ms.
        lines.retain(|_, line| line.total_ms() > 0 || line.tokens > 0);
        report.lines = lines.into_values().collect();
        report
    }

    /// Returns the models that held accelerators or have counted work, each with its replicas.
    fn models(&self) -> BTreeMap<&ModelId, Vec<&Replica>> {
        let mut models: BTreeMap<_, Vec<_>> =
            self.work.keys().map(|model| (model, Vec::new())).collect();
        for replica in self.replicas.values() {
            models.entry(&replica.model).or_default().push(replica);
        }
        models
    }

    /// Returns the begin of the first and the end of the last interval; `None` without intervals.
    pub fn span(&self) -> Option<(SystemTime, SystemTime)> {
        let ranges = || self.replicas.values().flat_map(|r| &r.ranges);
        let from = ranges().map(|(from, _)| *from).min()?;
        let to = ranges().map(|(_, to)| *to).max()?;
        let time = |ms| std::time::UNIX_EPOCH + Duration::from_millis(ms);
        Some((time(from), time(to)))
    }

    /// Splits a model's accelerator time of one minute.
    fn split(&self, minute: Minute, model: &ModelId, accelerator_ms: u64) -> Vec<Share> {
        let by_tokens = self.split_by_tokens(minute, model, accelerator_ms);
        by_tokens
            .or_else(|| self.split_by_cost_share(minute, model, accelerator_ms))
            .unwrap_or_else(|| {
                vec![Share {
                    client_account: None,
                    contract_version: None,
                    tokens: 0,
                    ms: accelerator_ms,
                    is_idle: true,
                }]
            })
    }

    /// Splits a busy minute by counted tokens; `None` if no tokens were counted.
    fn split_by_tokens(
        &self,
        minute: Minute,
        model: &ModelId,
        accelerator_ms: u64,
    ) -> Option<Vec<Share>> {
        let counters = self.work.get(model)?.get(&minute)?;
        let mut tokens = BTreeMap::<(&ClientAccountId, &ContractVersion), u64>::new();
        for (key, count) in counters {
            *tokens.entry((&key.client_account, &key.contract_version)).or_default() += count;
        }
        let weights: Vec<_> = tokens.values().copied().collect();
        let parts = largest_remainder(accelerator_ms, &weights)?;
        let shares = tokens.into_iter().zip(parts);
        Some(
            shares
                .map(|((contract, tokens), ms)| Share::new(contract, tokens, ms, false))
                .collect(),
        )
    }

    /// Splits an idle minute by the cost shares of the client accounts whose contracts permit the
    /// model. Returns `None` if no such client account has a cost share, or if the version in
    /// effect or one of its contracts is unknown.
    fn split_by_cost_share(
        &self,
        minute: Minute,
        model: &ModelId,
        accelerator_ms: u64,
    ) -> Option<Vec<Share>> {
        let version = self.version_in_effect(minute)?;
        let mut entitled = Vec::new();
        for (client_account, hash) in &version.contracts {
            // A missing contract may permit the model too. A split without it would be a guess.
            let terms = self.contracts.get(&(client_account.clone(), hash.clone()))?;
            if terms.models.contains(model) {
                entitled.push(((client_account, hash), u64::from(terms.cost_share)));
            }
        }
        let weights: Vec<_> = entitled.iter().map(|(_, share)| *share).collect();
        let parts = largest_remainder(accelerator_ms, &weights)?;
        Some(
            entitled
                .into_iter()
                .zip(parts)
                .map(|((contract, _), ms)| Share::new(contract, 0, ms, true))
                .collect(),
        )
    }

    /// Returns the version in effect at the start of a minute: the highest one that was adopted by
    /// then, where a version never takes effect before a lower one. The first version replaces no
    /// other, so it counts from the minute in which it was adopted.
    fn version_in_effect(&self, minute: Minute) -> Option<&VersionState> {
        let start = minute * MINUTE_MS;
        let adopted =
            self.versions.values().take_while(|version| version.adopted_at <= start).last();
        adopted
            .or_else(|| self.versions.values().next().filter(|v| v.adopted_at < start + MINUTE_MS))
    }

    /// Sums the tokens of minutes in which the model held no accelerator.
    fn unmatched_tokens(&self, model: &ModelId, period: &Range<u64>, time: &TimeByMinute) -> u64 {
        let Some(by_minute) = self.work.get(model) else { return 0 };
        let counted = by_minute.range(period.start / MINUTE_MS..period.end.div_ceil(MINUTE_MS));
        let unmatched = counted.filter(|(minute, _)| !time.contains_key(minute));
        unmatched.flat_map(|(_, counters)| counters.values()).sum()
    }

    /// Returns the gaps of all runs that overlap the period.
    fn gaps(&self, period: &Range<u64>, as_of: u64) -> Vec<Gap> {
        let mut gaps = Vec::new();
        for ((instance, incarnation), run) in &self.runs {
            let Some(gap) = unflushed_range(run, as_of) else { continue };
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

/// Sums the accelerator time of one model's replicas for each minute of a period.
fn accelerator_time(replicas: &[&Replica], period: &Range<u64>) -> TimeByMinute {
    let mut time = TimeByMinute::new();
    for replica in replicas {
        for (from, to) in &replica.ranges {
            let (mut at, to) = ((*from).max(period.start), (*to).min(period.end));
            while at < to {
                let minute = at / MINUTE_MS;
                let end = to.min((minute + 1) * MINUTE_MS);
                *time.entry(minute).or_default() += (end - at) * u64::from(replica.accelerators);
                at = end;
            }
        }
    }
    time
}

/// Returns the period in which a run may have counted work that it never flushed.
fn unflushed_range(run: &RunState, as_of: u64) -> Option<Range<u64>> {
    let interval = u64::try_from(FLUSH_INTERVAL.as_millis()).unwrap_or(u64::MAX);
    if run.closed {
        return None;
    }
    let gap = match (run.flushed_until, run.died_at) {
        // A run that dies during an outage of the platform loses the work of more than one flush
        // interval. The time at which its death was noticed bounds the loss.
        (Some(flushed), Some(died)) => Some(flushed..died.max(flushed.saturating_add(interval))),
        // The run died before its first flush.
        (None, Some(died)) => Some(died.saturating_sub(interval)..died),
        // The run may be alive, but the work that it counted since its last flush is not recorded.
        (Some(flushed), None) => Some(flushed..as_of.min(flushed.saturating_add(interval))),
        // The run is known to exist and has not flushed yet.
        (None, None) => Some(as_of.saturating_sub(interval)..as_of),
    };
    gap.filter(|gap| gap.start < gap.end)
}

/// Returns the minutes that overlap a gap.
fn flagged_minutes(gaps: &[Gap]) -> BTreeSet<Minute> {
    gaps.iter().flat_map(|gap| gap.from_ms / MINUTE_MS..gap.to_ms.div_ceil(MINUTE_MS)).collect()
}

/// Part of a model's accelerator time in one minute.
struct Share {
    client_account: Option<ClientAccountId>,
    contract_version: Option<ContractVersion>,
    tokens: u64,
    ms: u64,
    is_idle: bool,
}

impl Share {
    fn new(
        contract: (&ClientAccountId, &ContractVersion),
        tokens: u64,
        ms: u64,
        is_idle: bool,
    ) -> Self {
        let (client_account, version) = contract;
        Self {
            client_account: Some(client_account.clone()),
            contract_version: Some(version.clone()),
            tokens,
            ms,
            is_idle,
        }
    }
}

/// Creates the line that a share belongs to, without any amounts.
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
