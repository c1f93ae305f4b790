//! The outcome of `apply`, as text and JSON.

use std::fmt;

use configuration::{ApplyOutcome, Change, Conflict};
use contracts::{Diff, diff};
use serde_json::{Value, json};
use types::contract::Configuration;
use types::ids::ConfigurationVersion;

use super::wait::Rollout;
use crate::platform_client::{PlatformClient, join_addresses};

/// The outcome of `apply`.
pub(super) struct Outcome {
    applied: ApplyOutcome,
    /// The proposed change.
    ours: Diff,
    /// The change that was accepted instead, if both of its versions could be read.
    theirs: Option<Diff>,
    /// Addresses of the platform that were tried.
    tried: String,
    /// Where the version is in effect; `None` without `--wait`.
    pub(super) rollout: Option<Rollout>,
}

impl Outcome {
    /// Creates the outcome. After a conflict it also reads the change that was accepted instead.
    pub(super) async fn new(
        applied: ApplyOutcome,
        before: &Configuration,
        proposed: &Configuration,
        platform: &PlatformClient,
    ) -> Self {
        let theirs = match &applied {
            ApplyOutcome::Conflict(conflict) if conflict.base == before.version => {
                platform.accepted_configuration().await.ok().map(|now| diff(before, &now))
            }
            _ => None,
        };
        let tried = join_addresses(&platform.client.attempted_addresses());
        Self { applied, ours: diff(before, proposed), theirs, tried, rollout: None }
    }

    /// Returns the version whose content is the proposal; `None` if there is none.
    pub(super) fn version(&self) -> Option<ConfigurationVersion> {
        match self.applied {
            ApplyOutcome::Accepted { version } | ApplyOutcome::Unchanged { version } => {
                Some(version)
            }
            _ => None,
        }
    }

    /// Returns true if the proposal is accepted and, with `--wait`, in effect everywhere.
    pub(super) fn is_success(&self) -> bool {
        self.version().is_some() && self.rollout.as_ref().is_none_or(|r| r.behind.is_empty())
    }

    /// Returns the outcome as JSON.
    pub(super) fn to_json(&self) -> Value {
        let mut json = match &self.applied {
            ApplyOutcome::Accepted { version } => {
                json!({ "outcome": "accepted", "version": version })
            }
            ApplyOutcome::Unchanged { version } => {
                json!({ "outcome": "unchanged", "version": version })
            }
            ApplyOutcome::Conflict(conflict) => json!({
                "outcome": "conflict",
                "based_on": conflict.base,
                "accepted_version": conflict.accepted,
                "theirs": self.theirs.as_ref().map(|diff| &diff.objects),
                "their_objects": conflict.theirs.keys().collect::<Vec<_>>(),
            }),
            ApplyOutcome::NotApplied => json!({ "outcome": "not_applied" }),
            ApplyOutcome::Unknown { nonce } => json!({ "outcome": "unknown", "nonce": nonce }),
        };
        json["changes"] = json!(self.ours.objects);
        if let Some(rollout) = &self.rollout {
            json["in_effect"] = json!(rollout.in_effect);
            json["behind"] = json!(rollout.behind);
        }
        json
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.applied {
            ApplyOutcome::Accepted { version } => {
                write!(f, "accepted as version {version}:\n{}", self.ours)?
            }
            ApplyOutcome::Unchanged { version } => {
                writeln!(f, "version {version} has the same content; nothing was written")?;
            }
            ApplyOutcome::Conflict(conflict) => self.write_conflict(f, conflict)?,
            ApplyOutcome::NotApplied => {
                writeln!(
                    f,
                    "not applied: the platform did not answer in time; nothing was written \
                     (addresses tried: {})",
                    self.tried
                )?;
            }
            ApplyOutcome::Unknown { nonce } => writeln!(
                f,
                "unknown: the platform did not answer after the write was sent (nonce {nonce}); \
                 once it answers, `diff` without differences means that the change was accepted \
                 (addresses tried: {})",
                self.tried
            )?,
        }
        self.rollout.as_ref().map_or(Ok(()), |rollout| write_rollout(f, rollout))
    }
}

impl Outcome {
    fn write_conflict(&self, f: &mut fmt::Formatter<'_>, conflict: &Conflict) -> fmt::Result {
        let (base, accepted) = (conflict.base, conflict.accepted);
        writeln!(
            f,
            "conflict: the change is based on version {base}, but version {accepted} is accepted"
        )?;
        writeln!(f, "nothing of the change is in effect")?;
        match &self.theirs {
            Some(diff) => {
                write!(f, "accepted since version {base}:\n{diff}refused:\n{}", self.ours)
            }
            // The platform stores only the current head, so an older version cannot be read.
            None if conflict.theirs.is_empty() => write!(
                f,
                "the content of version {base} is not known any more; \
                 your directory against version {accepted}:\n{}",
                self.ours
            ),
            None => {
                writeln!(f, "accepted since version {base}:")?;
                conflict
                    .theirs
                    .iter()
                    .try_for_each(|(object, change)| write_change(f, object, change))?;
                write!(f, "refused:\n{}", self.ours)
            }
        }
    }
}

fn write_change(f: &mut fmt::Formatter<'_>, object: &str, change: &Change) -> fmt::Result {
    match change {
        Change::Added(hash) => writeln!(f, "+ {object} ({})", short_hash(hash)),
        Change::Changed(hash) => writeln!(f, "~ {object} ({})", short_hash(hash)),
        Change::Removed => writeln!(f, "- {object}"),
    }
}

fn write_rollout(f: &mut fmt::Formatter<'_>, rollout: &Rollout) -> fmt::Result {
    writeln!(f, "instances with the version in effect: {}", rollout.in_effect.len())?;
    rollout.behind.iter().try_for_each(|behind| writeln!(f, "behind: {behind}"))
}

fn short_hash(hash: &str) -> &str {
    hash.get(..8).unwrap_or(hash)
}
