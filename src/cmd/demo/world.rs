//! The stand-ins and instances of the demo.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use configuration::{Applied, Proposal};
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

/// Time for the instances to be ready and to own their groups.
const START_TIME: Duration = Duration::from_secs(30);
/// Time between looks at the instances while they start.
const START_POLL: Duration = Duration::from_millis(50);
/// Accelerator memory of an engine: three models of the sample fit.
const ENGINE_MEMORY: u64 = 80 << 30;

const CATALOGUE: &str = include_str!("../../../samples/demo/catalogue.ini");
const CONTRACTS: [(&str, &str); 2] = [
    ("foremen", include_str!("../../../samples/demo/foremen.ini")),
    ("counter", include_str!("../../../samples/demo/counter.ini")),
];

/// Engines with data centre, whether they check fencing numbers, and models cached on disk.
const ENGINES: [(&str, &str, bool, &[&str]); 3] = [
    ("engine-1", "north", true, &["summary"]),
    ("engine-2", "north", false, &["quotes"]),
    ("engine-3", "south", true, &[]),
];

/// Instances with their data centres.
const INSTANCES: [(&str, &str); 2] = [("entry-north", "north"), ("entry-south", "south")];

/// A running deployment.
pub(super) struct World {
    /// The ledger, whose counters tell how often each withdrawal ran.
    pub(super) ledger: Service,
    /// The engines, whose counters tell what they refused.
    pub(super) engines: Vec<Engine>,
    platform: Platform,
    entries: Vec<Entry>,
}

/// One instance on a thread of its own.
struct Entry {
    callers: SocketAddr,
    operators: SocketAddr,
    stop: watch::Sender<bool>,
    thread: JoinHandle<Result<(), instance::Error>>,
}

impl World {
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
            platform.list_instance(engine.listed(data_centre, &format!("{data_centre}-1")));
            engines.push(engine);
        }
        let ledger = Service::start(None).await?;
        platform.list_instance(listed_ledger(&ledger));
        apply_samples(platform.address()).await?;
        let mut entries = Vec::new();
        for (name, data_centre) in INSTANCES {
            entries.push(Entry::start(name, data_centre, &platform)?);
        }
        let world = Self { ledger, engines, platform, entries };
        world.wait_until_ready().await?;
        Ok(world)
    }

    /// Callers' address of an instance, chosen by number.
    pub(super) fn callers(&self, number: usize) -> SocketAddr {
        self.entries[number % self.entries.len()].callers
    }

    /// Operators' addresses of all instances.
    pub(super) fn operators(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.operators).collect()
    }

    /// Stops the instances as planned, then the stand-ins.
    pub(super) async fn stop(self) -> Result<(), CommandError> {
        for entry in &self.entries {
            entry.stop.send_replace(true);
        }
        for entry in self.entries {
            let name = entry.callers;
            // The stand-ins go on meanwhile, because the instances hand over through the platform.
            let ended = tokio::task::spawn_blocking(|| entry.thread.join()).await;
            let ended = ended.map_err(|e| CommandError::Instance(name, e.to_string()))?;
            ended.map_err(|_| {
                CommandError::Instance(name, "the instance's thread panicked".into())
            })??;
        }
        self.platform.stop();
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), CommandError> {
        let deadline = Instant::now() + START_TIME;
        loop {
            let answers =
                instance_client::get_all::<InstanceStatus>(&self.operators(), "/status").await;
            let is_ready = |status: &InstanceStatus| {
                let group = format!("{}-1", status.data_centre);
                status.ready && status.owned_groups.iter().any(|owned| **owned == *group)
            };
            if answers.iter().all(|(_, answer)| answer.as_ref().is_ok_and(is_ready)) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let what = answers.iter().map(|(_, answer)| format!("{answer:?}"));
                let what = what.collect::<Vec<_>>().join("; ");
                return Err(CommandError::Instance(
                    self.entries[0].operators,
                    format!("not ready: {what}"),
                ));
            }
            tokio::time::sleep(START_POLL).await;
        }
    }
}

impl Entry {
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
        platform.list_instance(ListedInstance {
            name: name.into(),
            role: ListedRole::Entry,
            data_centre: data_centre.into(),
            group: "".into(),
            address: listeners.peers()?.to_string().into(),
            state: ListedState::Live,
            checks_fencing: false,
        });
        let (callers, operators) = (listeners.callers()?, listeners.operators()?);
        let (stop, stopped) = watch::channel(false);
        let thread = std::thread::Builder::new()
            .name(name.into())
            .spawn(move || instance::run_blocking(&settings, listeners, stopped))?;
        Ok(Self { callers, operators, stop, thread })
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
    catalogue_file::catalogue(&ini, diagnostics)
}

/// Puts the sample contracts into effect, as `apply` does.
async fn apply_samples(address: SocketAddr) -> Result<(), CommandError> {
    let mut diagnostics = Diagnostics::new();
    let catalogue = catalogue(&mut diagnostics);
    let mut contracts = BTreeMap::new();
    for (client_account, text) in CONTRACTS {
        let file = format!("samples/demo/{client_account}.ini");
        let ini = Ini::parse(&file, text, &mut diagnostics);
        let contract = contract_file::contract(client_account, &ini, &mut diagnostics).contract;
        contracts.insert(contract.client_account.clone(), Arc::new(contract));
    }
    let (contracts, catalogue) = diagnostics.into_result(Some((contracts, catalogue)))?;
    let proposal = Proposal { contracts, catalogue: Arc::new(catalogue), based_on: None };
    let platform = PlatformClient::new([address].into(), Instant::now() + START_TIME);
    match apply::execute(&platform, proposal).await {
        Applied::Accepted { .. } => Ok(()),
        other => Err(CommandError::Instance(address, format!("contracts not accepted: {other:?}"))),
    }
}
