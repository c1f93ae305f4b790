//! Starts and stops one instance.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;

use backend_server::BackendClient;
use body_memory::BodyMemory;
use configuration::Follower;
use front::{CallerLimits, KeyTable, serve_callers, serve_operators};
use membership::Membership;
use ownership::Ownership;
use peer::PeerClient;
use platform::{Client, ClientConfig, Rate, Rates};
use quick_error::quick_error;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use settings::Settings;
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use types::prelude::*;

use crate::context::Context;
use crate::demand::DemandRouting;
use crate::directory::Directory;
use crate::instance::{Drain, Inputs, Instance};
use crate::key_owners::KeyOwners;
use crate::keys::KeyRanges;
use crate::request_accounting::RequestAccounting;
use crate::requests::Requests;
use crate::retention::Retention;
use crate::shares::Shares;
use group::ReceivedStates;

/// Maximum number of requests queued for the event loop; further ones are refused as not run.
const ARRIVAL_QUEUE: usize = 4096;
/// Maximum number of peer messages queued for the event loop; further ones are refused.
const PEER_QUEUE: usize = 1024;
/// Maximum number of operator queries queued for the event loop.
const OPERATOR_QUEUE: usize = 16;
/// Maximum number of headers in a caller's request.
const MAX_HEADERS: usize = 64;
/// Time for open connections to close after a planned stop has answered the last request.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// Error while starting an instance.
    #[derive(Debug)]
    pub enum Error {
        /// The instance cannot listen on an address.
        Listen(what: &'static str, address: SocketAddr, e: io::Error) {
            display("cannot listen for {what} on {address}: {e}")
            source(e)
        }
        /// The async runtime or its sockets cannot be set up.
        Runtime(e: io::Error) {
            display("cannot set up the runtime: {e}")
            source(e)
        }
    }
}

/// The listening sockets of one instance.
#[derive(Debug)]
pub struct Listeners {
    callers: StdListener,
    operators: StdListener,
    peers: StdListener,
}

impl Listeners {
    /// Binds the listeners to the addresses in the settings.
    pub fn bind(settings: &Settings) -> Result<Self, Error> {
        Ok(Self {
            callers: listen("callers", settings.callers.address)?,
            operators: listen("operators", settings.operators.address)?,
            peers: listen("peers", settings.peers.address)?,
        })
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> io::Result<SocketAddr> {
        self.callers.local_addr()
    }

    /// Returns the address for operators.
    pub fn operators(&self) -> io::Result<SocketAddr> {
        self.operators.local_addr()
    }

    /// Returns the address for other instances.
    pub fn peers(&self) -> io::Result<SocketAddr> {
        self.peers.local_addr()
    }
}

fn listen(what: &'static str, address: SocketAddr) -> Result<StdListener, Error> {
    let listener = StdListener::bind(address).map_err(|e| Error::Listen(what, address, e))?;
    listener.set_nonblocking(true).map_err(|e| Error::Listen(what, address, e))?;
    Ok(listener)
}

/// Runs an instance on the calling thread until `stop` becomes true and the planned stop is
/// complete.
pub fn run_blocking(
    settings: &Settings,
    listeners: Listeners,
    stop: watch::Receiver<bool>,
) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    LocalSet::new().block_on(&runtime, run(settings, listeners, stop))
}

/// Runs an instance as a local task until `stop` becomes true and the planned stop is complete.
pub async fn run(
    settings: &Settings,
    listeners: Listeners,
    stop: watch::Receiver<bool>,
) -> Result<(), Error> {
    let peer_address = listeners.peers().map_err(Error::Runtime)?.to_string();
    let callers_address = advertised_address(&listeners).map_err(Error::Runtime)?.to_string();
    let (events_tx, events) = mpsc::unbounded_channel();
    let (arrivals_tx, arrivals) = mpsc::channel(ARRIVAL_QUEUE);
    let (operators_tx, operators) = mpsc::channel(OPERATOR_QUEUE);
    let (peers_tx, peers) = mpsc::channel(PEER_QUEUE);
    let (key_table, keys) = watch::channel(Arc::new(KeyTable::new()));
    let (closed_tx, closed) = watch::channel(false);

    let memory = BodyMemory::default();
    let from_std = |l| TcpListener::from_std(l).map_err(Error::Runtime);
    let callers = tokio::spawn(serve_callers(
        from_std(listeners.callers)?,
        settings.instance.name.clone(),
        caller_limits(settings),
        memory.clone(),
        keys,
        arrivals_tx,
        wait_until_true(closed.clone()),
    ));
    let operator_server = serve_operators(
        from_std(listeners.operators)?,
        operators_tx,
        wait_until_true(closed.clone()),
    );
    let operator_server = tokio::spawn(operator_server);
    let peer_server = peer::serve(from_std(listeners.peers)?, peers_tx, wait_until_true(closed));
    let peer_server = tokio::spawn(peer_server);

    let cx = build_context(settings, events_tx, memory);
    let instance =
        build_instance(settings, cx, (peer_address.into(), callers_address.into()), key_table);
    instance.run(Inputs { arrivals, operators, peers, events, stop }).await;

    tracing::info!("instance: all requests finished; closing");
    let _ = closed_tx.send(true);
    let close = async {
        let _ = tokio::join!(callers, operator_server, peer_server);
    };
    if tokio::time::timeout(CLOSE_TIMEOUT, close).await.is_err() {
        tracing::info!("instance: dropped connections that were still open");
    }
    Ok(())
}

/// Returns the address for callers that other instances can reach. If the listener is bound to the
/// unspecified address, the IP address of the peer listener replaces it.
fn advertised_address(listeners: &Listeners) -> io::Result<SocketAddr> {
    let (mut callers, peers) = (listeners.callers()?, listeners.peers()?);
    if callers.ip().is_unspecified() {
        callers.set_ip(peers.ip());
    }
    Ok(callers)
}

async fn wait_until_true(mut flag: watch::Receiver<bool>) {
    // A dropped sender also stops the servers.
    let _ = flag.wait_for(|value| *value).await;
}

fn caller_limits(settings: &Settings) -> CallerLimits {
    let callers = &settings.callers;
    let bytes = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
    CallerLimits {
        max_connections: callers.max_connections as usize,
        max_headers: MAX_HEADERS,
        max_header_bytes: bytes(callers.max_header_bytes),
        max_body_bytes: bytes(callers.max_body_bytes),
        header_timeout: callers.header_timeout,
        body_timeout: callers.body_timeout,
        write_timeout: callers.write_timeout,
    }
}

fn build_context(
    settings: &Settings,
    events: mpsc::UnboundedSender<crate::event::Event>,
    memory: BodyMemory,
) -> Context {
    let mut rng = ChaCha8Rng::from_os_rng();
    let platform = &settings.platform;
    let rate = |per_second: u32, burst: u32| Rate {
        per_second: f64::from(per_second),
        burst: f64::from(burst),
    };
    let client = Client::new(&ClientConfig {
        addresses: platform.addresses.as_slice().into(),
        instance: settings.instance.name.clone(),
        rates: Rates {
            reads: rate(platform.reads_per_second, platform.read_burst),
            writes: rate(platform.writes_per_second, platform.write_burst),
        },
        seed: rng.random(),
        memory: memory.clone(),
    });
    Context {
        instance: settings.instance.name.clone(),
        incarnation: rng.random(),
        data_centre: settings.instance.data_centre.clone(),
        client: BackendClient::new(memory),
        platform: client,
        platform_timeout: platform.timeout,
        peers: Rc::new(PeerClient::new()),
        metrics: Rc::new(Metrics::new()),
        rng: Rc::new(RefCell::new(rng)),
        events,
    }
}

fn build_instance(
    settings: &Settings,
    cx: Context,
    (peer_address, callers_address): (Box<str>, Box<str>),
    key_table: watch::Sender<Arc<KeyTable>>,
) -> Instance {
    let now = Instant::now();
    let mut ownership_settings = ownership::Settings::new(
        cx.instance.clone(),
        cx.incarnation,
        peer_address.clone(),
        cx.data_centre.clone(),
    );
    ownership_settings.renewal_interval = settings.lease.renewal;
    ownership_settings.lease_duration = settings.lease.length;
    ownership_settings.margin = settings.lease.margin;
    let membership_settings = membership::Settings::new(
        cx.instance.clone(),
        cx.incarnation,
        peer_address,
        cx.data_centre.clone(),
    );
    let rng = cx.rng.clone();
    let rng = &mut *rng.borrow_mut();
    Instance {
        ownership: Ownership::new(ownership_settings, now, rng),
        membership: Membership::new(membership_settings, now, rng),
        follower: Follower::new(configuration::Settings::new(cx.instance.clone())),
        requests: Requests::new(&cx.instance, cx.incarnation),
        groups: BTreeMap::new(),
        owned: BTreeMap::new(),
        announced_fencing: HashMap::new(),
        directory: Directory::default(),
        demand_routing: DemandRouting::default(),
        received_states: ReceivedStates::default(),
        store_uses: Default::default(),
        keys: KeyRanges::default(),
        key_owners: KeyOwners::default(),
        shares: Shares::new(&cx.instance, cx.incarnation, now),
        accounting: RequestAccounting::new(cx.instance.clone(), now),
        retention: Retention::new(settings.accounting.retention, now),
        held_replies: Rc::default(),
        key_table,
        drain: Drain::Serving,
        callers_address,
        seeds: settings.peers.seeds.iter().map(|seed| seed.to_string().into()).collect(),
        head_watch: None,
        cache_streams: HashMap::new(),
        next_list_at: now,
        next_arrivals_at: now,
        cx,
    }
}
