//! Waits until a version is in effect everywhere.

use std::collections::BTreeSet;
use std::io::{IsTerminal, stderr};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indicatif::ProgressBar;
use platform::Call;
use types::group_state::{ListedInstance, ListedRole, ListedState};
use types::ids::{ConfigurationVersion, InstanceId};
use types::status::InstanceStatus;

use crate::accepted::Platform;
use crate::client::Answers;
use crate::cmd::status;

/// Time between two questions.
const POLL: Duration = Duration::from_millis(250);

/// Time for the platform's list. Without it, nobody knows whether all instances were asked.
const LIST_TIME: Duration = Duration::from_secs(3);

/// Where a version is in effect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Waited {
    /// Instances that have adopted it.
    pub(super) in_effect: BTreeSet<InstanceId>,
    /// All others, each with the reason.
    pub(super) behind: Vec<String>,
}

/// Asks all instances until every one has adopted the version or the deadline passes.
pub(super) async fn until_in_effect(
    version: ConfigurationVersion,
    operators: &[SocketAddr],
    platform: &Platform,
    deadline: Instant,
) -> Waited {
    let progress = stderr().is_terminal().then(ProgressBar::new_spinner);
    loop {
        let answers = status::ask(operators).await;
        let listed = platform.client.instances(Call::by(Instant::now() + LIST_TIME)).await;
        let listed = listed.map_err(|e| platform.fail(e).to_string());
        let waited = waited(version, &answers, listed.as_deref().map_err(Clone::clone));
        if waited.behind.is_empty() || Instant::now() + POLL >= deadline {
            if let Some(progress) = progress {
                progress.finish_and_clear();
            }
            return waited;
        }
        if let Some(progress) = &progress {
            progress.set_message(format!(
                "version {version}: {} instances are behind",
                waited.behind.len()
            ));
            progress.tick();
        }
        tokio::time::sleep(POLL).await;
    }
}

fn waited(
    version: ConfigurationVersion,
    answers: &Answers<InstanceStatus>,
    listed: Result<&[ListedInstance], String>,
) -> Waited {
    let mut waited = Waited::default();
    let mut asked = BTreeSet::new();
    for (_, answer) in answers {
        match answer {
            Ok(status) if status.configuration_version >= version => {
                waited.in_effect.insert(status.instance.clone());
            }
            Ok(status) => {
                asked.insert(status.instance.clone());
                waited.behind.push(format!(
                    "{}: at version {}",
                    status.instance, status.configuration_version
                ));
            }
            Err(e) => waited.behind.push(e.to_string()),
        }
    }
    asked.extend(waited.in_effect.iter().cloned());
    match listed {
        Ok(listed) => waited.behind.extend(not_asked(listed, &asked)),
        Err(e) => waited.behind.push(format!("the list of instances cannot be read: {e}")),
    }
    waited
}

/// Live instances of the platform's list for which no operators' address answered.
fn not_asked(listed: &[ListedInstance], asked: &BTreeSet<InstanceId>) -> Vec<String> {
    let live =
        listed.iter().filter(|i| i.role == ListedRole::Entry && i.state == ListedState::Live);
    live.filter(|i| !asked.contains(&i.name))
        .map(|i| {
            format!("{}: listed by the platform, but no operators' address answers for it", i.name)
        })
        .collect()
}
