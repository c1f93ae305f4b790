//! `apply`: puts the configuration in a directory into effect.

mod outcome;
mod wait;

use std::collections::VecDeque;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use configuration::{Apply, ApplyAction, ApplyOutcome, Proposal};
use platform::Call;
use types::ids::ConfigurationVersion;

use crate::args;
use crate::cmd;
use crate::error::CommandError;
use crate::platform_client::PlatformClient;
use outcome::Outcome;

/// Default time limit of `--wait`: several times the 4 s within which a version takes effect.
const DEFAULT_WAIT_TIMEOUT: &str = "30s";

/// Time limit for writing the new version.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit for one platform call. If its response is lost, [`Apply`] finds out with another call
/// whether the write took place.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the definition of the command.
pub(crate) fn command() -> Command {
    Command::new("apply")
        .about("Checks a directory and puts it into effect as a new configuration version")
        .arg(args::path_arg("DIR", "A directory of contracts and the catalogue"))
        .arg(
            Arg::new("based-on")
                .long("based-on")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("Version that the directory is based on; any other accepted version is a conflict"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until the version is in effect everywhere, and list the instances that are behind"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("DURATION")
                .default_value(DEFAULT_WAIT_TIMEOUT)
                .value_parser(|text: &str| humantime::parse_duration(text))
                .help("Time limit of --wait"),
        )
        .arg(args::platform_arg())
        .arg(args::platform_timeout_arg())
        .arg(args::operators_arg())
        .arg(args::format_arg(&["text", "json"]))
}

/// Runs the command. Mistakes in the directory are reported before anything is sent.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let proposed = contracts::read_directory(&args::path(matches))?;
    let based_on = matches.get_one::<ConfigurationVersion>("based-on").copied();
    let timeout = matches.get_one::<Duration>("timeout").copied().unwrap_or_default();
    let operators_addresses = args::operators_addresses(matches);
    let outcome = cmd::block_on(async {
        let platform = args::platform_client(matches);
        let accepted = platform.accepted_configuration().await?;
        let proposal = Proposal {
            contracts: proposed.contracts.clone(),
            catalogue: proposed.catalogue.clone(),
            // Without the option, the proposal is based on the version that was just read, so that
            // the diff shown is exactly the change that is made.
            based_on: Some(based_on.unwrap_or(accepted.version)),
        };
        let applied = execute(&platform, proposal).await;
        let mut outcome = Outcome::new(applied, &accepted, &proposed, &platform).await;
        if let (true, Some(version)) = (matches.get_flag("wait"), outcome.version()) {
            let platform = args::platform_client(matches);
            let deadline = Instant::now() + timeout;
            outcome.rollout = Some(
                wait::until_in_effect(version, &operators_addresses, &platform, deadline).await,
            );
        }
        Ok::<_, CommandError>(outcome)
    })??;
    match args::format(matches) {
        args::Format::Json => cmd::print_json(&outcome.to_json())?,
        _ => cmd::print(outcome.to_string())?,
    }
    Ok(cmd::exit_code(outcome.is_success()))
}

/// Puts a proposal into effect by executing the actions of [`Apply`] until it is done.
pub(crate) async fn execute(platform: &PlatformClient, proposal: Proposal) -> ApplyOutcome {
    let mut rng = rand::rng();
    let mut apply = Apply::new(proposal, Instant::now() + APPLY_TIMEOUT);
    let mut actions = VecDeque::from(apply.start());
    loop {
        match actions.pop_front() {
            Some(ApplyAction::Done(applied)) => return applied,
            Some(ApplyAction::Call { call, request }) => {
                let limits = Call::with_deadline(Instant::now() + CALL_TIMEOUT);
                let response = platform.client.call(&request, limits).await;
                actions.extend(apply.on_answer(Instant::now(), call, response, &mut rng));
            }
            None => {
                tokio::time::sleep_until(apply.next_timer().into()).await;
                actions.extend(apply.on_timer(Instant::now()));
            }
        }
    }
}
