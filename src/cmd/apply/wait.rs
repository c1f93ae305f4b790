//! Waits until a version is in effect at all instances.

use std::collections::BTreeSet;
use std::io::{IsTerminal, stderr};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indicatif::ProgressBar;
use platform::Call;
use types::group_state::{ListedInstance, ListedRole, ListedState};
use types::ids::{ConfigurationVersion, InstanceId};
use types::status::InstanceStatus;

use crate::cmd::status;
use crate::instance_client::Responses;
use crate::platform_client::PlatformClient;

/// Interval at which the instances are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time limit for reading the platform's list of instances. Without the list, the command cannot
/// tell whether it polled all instances.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// The progress of a version towards being in effect at all instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Rollout {
    /// Instances that have adopted it.
    pub(super) in_effect: BTreeSet<InstanceId>,
    /// One message per reason why the version is not known to be in effect at all instances.
    pub(super) behind: Vec<String>,
}

/// Polls all instances until each has adopted the version or the deadline passes.
pub(super) async fn until_in_effect(
    version: ConfigurationVersion,
    operators_addresses: &[SocketAddr],
    platform: &PlatformClient,
    deadline: Instant,
) -> Rollout {
    let progress = stderr().is_terminal().then(ProgressBar::new_spinner);
    loop {
        let responses = status::fetch_all(operators_addresses).await;
        let listed =
            platform.client.instances(Call::with_deadline(Instant::now() + LIST_TIMEOUT)).await;
        let listed = listed.map_err(|e| platform.error(e).to_string());
        let rollout =
            evaluate_rollout(version, &responses, listed.as_deref().map_err(Clone::clone));
        if rollout.behind.is_empty() || Instant::now() + POLL_INTERVAL >= deadline {
            if let Some(progress) = progress {
                progress.finish_and_clear();
            }
            return rollout;
        }
        if let Some(progress) = &progress {
            progress.set_message(format!(
                "version {version}: {} instances are behind",
                rollout.behind.len()
            ));
            progress.tick();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn evaluate_rollout(
    version: ConfigurationVersion,
    responses: &Responses<InstanceStatus>,
    listed: Result<&[ListedInstance], String>,
) -> Rollout {
    let mut rollout = Rollout::default();
    let mut responding = BTreeSet::new();
    for (_, response) in responses {
        match response {
            Ok(status) if status.configuration_version >= version => {
                rollout.in_effect.insert(status.instance.clone());
            }
            Ok(status) => {
                responding.insert(status.instance.clone());
                rollout.behind.push(format!(
                    "{}: at version {}",
                    status.instance, status.configuration_version
                ));
            }
            Err(e) => rollout.behind.push(e.to_string()),
        }
    }
    responding.extend(rollout.in_effect.iter().cloned());
    match listed {
        Ok(listed) => rollout.behind.extend(unaddressed_instances(listed, &responding)),
        Err(e) => rollout.behind.push(format!("the list of instances cannot be read: {e}")),
    }
    rollout
}

/// Returns a message for each live entry instance in the platform's list that did not respond at
/// any of the operators' addresses.
fn unaddressed_instances(
    listed: &[ListedInstance],
    responding: &BTreeSet<InstanceId>,
) -> Vec<String> {
    let live =
        listed.iter().filter(|i| i.role == ListedRole::Entry && i.state == ListedState::Live);
    live.filter(|i| !responding.contains(&i.name))
        .map(|i| {
            format!("{}: listed by the platform, but no operators' address answers for it", i.name)
        })
        .collect()
}
