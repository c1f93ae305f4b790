//! The deployment of the demo: stand-ins for the external systems, and instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use configuration::{ApplyOutcome, Proposal};
use contracts::{catalogue_file, contract_file};
use ini_file::{Diagnostics, Ini};
use instance::Listeners;
use settings::Settings;
use stand_ins::engine::{Engine, EngineConfig};
use stand_ins::platform::{Platform, PlatformConfig};
use stand_ins::service::Service;
use stand_ins::weight_store::{WeightStore, WeightStoreConfig};
use tokio::sync::watch;
use types::prelude::*;
use types::status::InstanceStatus;

use crate::cmd::apply;
use crate::error::CommandError;
use crate::instance_client;
use crate::platform_client::PlatformClient;

/// Time limit for the instances to be ready and to own their groups.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the instances are polled while they start.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Accelerator memory of an engine in bytes; three models of the sample fit.
const ENGINE_MEMORY: u64 = 80 << 30;

const CATALOGUE: &str = include_str!("../../../samples/demo/catalogue.ini");
const CONTRACTS: [(&str, &str); 2] = [
    ("foremen", include_str!("../../../samples/demo/foremen.ini")),
    ("counter", include_str!("../../../samples/demo/counter.ini")),
];

/// Name and data centre of each engine, whether it checks fencing numbers, and its models that are
/// cached on disk.
const ENGINES: [(&str, &str, bool, &[&str]); 3] = [
    ("engine-1", "north", true, &["summary"]),
    ("engine-2", "north", false, &["quotes"]),
    ("engine-3", "south", true, &[]),
];

/// Name and data centre of each instance.
const INSTANCES: [(&str, &str); 2] = [("entry-north", "north"), ("entry-south", "south")];

/// A deployment that runs in this process.
pub(super) struct Deployment {
    /// The ledger, which counts how often each withdrawal ran.
    pub(super) ledger: Service,
    /// The engines, which count the orders and attempts that they should not have received.
    pub(super) engines: Vec<Engine>,
    platform: Platform,
    instances: Vec<RunningInstance>,
}

/// An instance that runs on its own thread.
struct RunningInstance {
    callers_address: SocketAddr,
    operators_address: SocketAddr,
    stop_tx: watch::Sender<bool>,
    thread: JoinHandle<Result<(), instance::Error>>,
}

impl Deployment {
    /// Starts everything and waits until the instances are ready.
    pub(super) async fn start(seed: u64) -> Result<Self, CommandError> {
        let platform = Platform::start(PlatformConfig::default()).await?;
        let store = WeightStore::new(WeightStoreConfig {
            loads_per_second: 20.0,
            seed,
            ..WeightStoreConfig::default()
        });
        let mut engines = Vec::new();
        for (name, data_centre, checks_fencing, cached) in ENGINES {
            let cfg = EngineConfig {
                name: name.into(),
                checks_fencing,
                memory_total: ENGINE_MEMORY,
                load_times: load_times(),
                cached_on_disk: cached.iter().map(|model| (*model).into()).collect(),
                ..EngineConfig::default()
            };
            let engine = Engine::start(cfg, store.clone()).await?;
            platform
                .upsert_instance(engine.listed_instance(data_centre, &format!("{data_centre}-1")));
            engines.push(engine);
        }
        let ledger = Service::start(None).await?;
        platform.upsert_instance(listed_ledger(&ledger));
        apply_sample(platform.address()).await?;
        let mut instances = Vec::new();
        for (name, data_centre) in INSTANCES {
            instances.push(RunningInstance::start(name, data_centre, &platform)?);
        }
        let deployment = Self { ledger, engines, platform, instances };
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the callers' address of an instance. The number is taken modulo the number of
    /// instances.
    pub(super) fn callers_address(&self, number: usize) -> SocketAddr {
        self.instances[number % self.instances.len()].callers_address
    }

    /// Returns the operators' addresses of all instances.
    pub(super) fn operators_addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.operators_address).collect()
    }

    /// Shuts down the instances gracefully, then stops the platform.
    pub(super) async fn stop(self) -> Result<(), CommandError> {
        for instance in &self.instances {
            instance.stop_tx.send_replace(true);
        }
        for instance in self.instances {
            let address = instance.callers_address;
            // Joins on a blocking thread, so that the stand-ins keep running on this one: the
            // instances hand over through the platform.
            let joined = tokio::task::spawn_blocking(|| instance.thread.join()).await;
            let joined = joined.map_err(|e| CommandError::Instance(address, e.to_string()))?;
            joined.map_err(|_| {
                CommandError::Instance(address, "the instance's thread panicked".into())
            })??;
        }
        self.platform.stop();
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), CommandError> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let responses =
                instance_client::get_all::<InstanceStatus>(&self.operators_addresses(), "/status")
                    .await;
            let is_ready = |status: &InstanceStatus| {
                let group = format!("{}-1", status.data_centre);
                status.ready && status.owned_groups.iter().any(|owned| **owned == *group)
            };
            if responses.iter().all(|(_, response)| response.as_ref().is_ok_and(is_ready)) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let states = responses.iter().map(|(_, response)| format!("{response:?}"));
                let states = states.collect::<Vec<_>>().join("; ");
                return Err(CommandError::Instance(
                    self.instances[0].operators_address,
                    format!("not ready: {states}"),
                ));
            }
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
    }
}

impl RunningInstance {
    fn start(name: &str, data_centre: &str, platform: &Platform) -> Result<Self, CommandError> {
        let text = format!(
            "[instance]\nname = {name}\ndata_centre = {data_centre}\n\
             [callers]\naddress = 127.0.0.1:0\n\
             [operators]\naddress = 127.0.0.1:0\n\
             [peers]\naddress = 127.0.0.1:0\n\
             [platform]\naddresses = {}\nreads_per_second = 200\nwrites_per_second = 100\n",
            platform.address()
        );
        let settings = Settings::parse("demo settings", &text)?;
        let listeners = Listeners::bind(&settings)?;
        platform.upsert_instance(ListedInstance {
            name: name.into(),
            role: ListedRole::Entry,
            data_centre: data_centre.into(),
            group: "".into(),
            address: listeners.peers()?.to_string().into(),
            state: ListedState::Live,
            checks_fencing: false,
        });
        let (callers_address, operators_address) = (listeners.callers()?, listeners.operators()?);
        let (stop_tx, stop_rx) = watch::channel(false);
        let thread = std::thread::Builder::new()
            .name(name.into())
            .spawn(move || instance::run_blocking(&settings, listeners, stop_rx))?;
        Ok(Self { callers_address, operators_address, stop_tx, thread })
    }
}

fn load_times() -> BTreeMap<ModelId, LoadTime> {
    let mut ignored = Diagnostics::new();
    let catalogue = catalogue(&mut ignored);
    catalogue.models.into_iter().map(|(name, model)| (name, model.load_time)).collect()
}

fn listed_ledger(ledger: &Service) -> ListedInstance {
    ListedInstance {
        name: "ledger-1".into(),
        role: ListedRole::Service("ledger".into()),
        data_centre: "north".into(),
        group: "".into(),
        address: ledger.address().to_string().into(),
        state: ListedState::Live,
        checks_fencing: false,
    }
}

fn catalogue(diagnostics: &mut Diagnostics) -> Catalogue {
    let ini = Ini::parse("samples/demo/catalogue.ini", CATALOGUE, diagnostics);
    catalogue_file::parse_catalogue(&ini, diagnostics)
}

/// Puts the sample contracts and catalogue into effect, as the command `apply` does.
async fn apply_sample(address: SocketAddr) -> Result<(), CommandError> {
    let mut diagnostics = Diagnostics::new();
    let catalogue = catalogue(&mut diagnostics);
    let mut contracts = BTreeMap::new();
    for (client_account, text) in CONTRACTS {
        let file = format!("samples/demo/{client_account}.ini");
        let ini = Ini::parse(&file, text, &mut diagnostics);
        let contract =
            contract_file::parse_contract(client_account, &ini, &mut diagnostics).contract;
        contracts.insert(contract.client_account.clone(), Arc::new(contract));
    }
    let (contracts, catalogue) = diagnostics.into_result(Some((contracts, catalogue)))?;
    let proposal = Proposal { contracts, catalogue: Arc::new(catalogue), based_on: None };
    let platform = PlatformClient::new([address].into(), Instant::now() + START_TIMEOUT);
    match apply::execute(&platform, proposal).await {
        ApplyOutcome::Accepted { .. } => Ok(()),
        other => Err(CommandError::Instance(address, format!("contracts not accepted: {other:?}"))),
    }
}
