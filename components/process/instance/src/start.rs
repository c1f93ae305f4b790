//! Starting and stopping one instance.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;

use backend_server::BackendClient;
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

use crate::bookings::Bookings;
use crate::context::Context;
use crate::demand::DemandRouting;
use crate::directory::Directory;
use crate::instance::{Drain, Inputs, Instance};
use crate::key_owners::KeyOwners;
use crate::keys::KeyRanges;
use crate::requests::Requests;
use crate::retention::Retention;
use crate::shares::Shares;
use group::Received;

/// Arrivals that wait for the loop; further ones are refused as not run.
const ARRIVAL_QUEUE: usize = 4096;
/// Messages of other instances that wait for the loop; further ones are refused.
const PEER_QUEUE: usize = 1024;
/// Questions of operators that wait for the loop.
const OPERATOR_QUEUE: usize = 16;
/// Headers of one request of a caller.
const MAX_HEADERS: usize = 64;
/// Time for open connections to close after the last request of a planned stop was answered.
const CLOSE_TIME: Duration = Duration::from_secs(2);

quick_error! {
    /// Why an instance could not be started.
    #[derive(Debug)]
    pub enum Error {
        /// An address cannot be listened on.
        Listen(what: &'static str, address: SocketAddr, e: io::Error) {
            display("cannot listen for {what} on {address}: {e}")
            source(e)
        }
        /// The runtime cannot be set up.
        Runtime(e: io::Error) {
            display("cannot set up the runtime: {e}")
            source(e)
        }
    }
}

/// The sockets of one instance.
#[derive(Debug)]
pub struct Listeners {
    callers: StdListener,
    operators: StdListener,
    peers: StdListener,
}

impl Listeners {
    /// Listens on the addresses of the settings.
    pub fn bind(settings: &Settings) -> Result<Self, Error> {
        Ok(Self {
            callers: listen("callers", settings.callers.address)?,
            operators: listen("operators", settings.operators.address)?,
            peers: listen("peers", settings.peers.address)?,
        })
    }

    /// Address for callers.
    pub fn callers(&self) -> io::Result<SocketAddr> {
        self.callers.local_addr()
    }

    /// Address for operators.
    pub fn operators(&self) -> io::Result<SocketAddr> {
        self.operators.local_addr()
    }

    /// Address for other instances.
    pub fn peers(&self) -> io::Result<SocketAddr> {
        self.peers.local_addr()
    }
}

fn listen(what: &'static str, address: SocketAddr) -> Result<StdListener, Error> {
    let listener = StdListener::bind(address).map_err(|e| Error::Listen(what, address, e))?;
    listener.set_nonblocking(true).map_err(|e| Error::Listen(what, address, e))?;
    Ok(listener)
}

/// Runs an instance on the calling thread until `stop` turns true and the planned stop is complete.
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

/// Runs an instance as a local task until `stop` turns true and the planned stop is complete.
pub async fn run(
    settings: &Settings,
    listeners: Listeners,
    stop: watch::Receiver<bool>,
) -> Result<(), Error> {
    let peer_address = listeners.peers().map_err(Error::Runtime)?.to_string();
    let callers_address = reachable(&listeners).map_err(Error::Runtime)?.to_string();
    let (events_tx, events) = mpsc::unbounded_channel();
    let (arrivals_tx, arrivals) = mpsc::channel(ARRIVAL_QUEUE);
    let (operators_tx, operators) = mpsc::channel(OPERATOR_QUEUE);
    let (peers_tx, peers) = mpsc::channel(PEER_QUEUE);
    let (key_table, keys) = watch::channel(Arc::new(KeyTable::new()));
    let (closed_tx, closed) = watch::channel(false);

    let from_std = |l| TcpListener::from_std(l).map_err(Error::Runtime);
    let callers = tokio::spawn(serve_callers(
        from_std(listeners.callers)?,
        settings.instance.name.clone(),
        caller_limits(settings),
        keys,
        arrivals_tx,
        turned_true(closed.clone()),
    ));
    let operator_server =
        serve_operators(from_std(listeners.operators)?, operators_tx, turned_true(closed.clone()));
    let operator_server = tokio::spawn(operator_server);
    let peer_server = peer::serve(from_std(listeners.peers)?, peers_tx, turned_true(closed));
    let peer_server = tokio::spawn(peer_server);

    let cx = context(settings, events_tx);
    let instance = assemble(settings, cx, (peer_address.into(), callers_address.into()), key_table);
    instance.run(Inputs { arrivals, operators, peers, events, stop }).await;

    tracing::info!("instance: all requests finished; closing");
    let _ = closed_tx.send(true);
    let close = async {
        let _ = tokio::join!(callers, operator_server, peer_server);
    };
    if tokio::time::timeout(CLOSE_TIME, close).await.is_err() {
        tracing::info!("instance: idle connections were dropped");
    }
    Ok(())
}

/// Address for callers as other instances reach it. A listener on every address is reached under
/// the one that the instance has for its peers.
fn reachable(listeners: &Listeners) -> io::Result<SocketAddr> {
    let (mut callers, peers) = (listeners.callers()?, listeners.peers()?);
    if callers.ip().is_unspecified() {
        callers.set_ip(peers.ip());
    }
    Ok(callers)
}

async fn turned_true(mut flag: watch::Receiver<bool>) {
    // A dropped sender ends the servers as well.
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

fn context(settings: &Settings, events: mpsc::UnboundedSender<crate::event::Event>) -> Context {
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
    });
    Context {
        instance: settings.instance.name.clone(),
        incarnation: rng.random(),
        data_centre: settings.instance.data_centre.clone(),
        client: BackendClient::new(),
        platform: client,
        platform_timeout: platform.timeout,
        peers: Rc::new(PeerClient::new()),
        metrics: Rc::new(Metrics::new()),
        rng: Rc::new(RefCell::new(rng)),
        events,
    }
}

fn assemble(
    settings: &Settings,
    cx: Context,
    (peer_address, callers_address): (Box<str>, Box<str>),
    key_table: watch::Sender<Arc<KeyTable>>,
) -> Instance {
    let now = Instant::now();
    let mut lease = ownership::Settings::new(
        cx.instance.clone(),
        cx.incarnation,
        peer_address.clone(),
        cx.data_centre.clone(),
    );
    lease.renew_every = settings.lease.renewal;
    lease.lease_time = settings.lease.length;
    lease.margin = settings.lease.margin;
    let members = membership::Settings::new(
        cx.instance.clone(),
        cx.incarnation,
        peer_address,
        cx.data_centre.clone(),
    );
    let rng = cx.rng.clone();
    let rng = &mut *rng.borrow_mut();
    Instance {
        ownership: Ownership::new(lease, now, rng),
        membership: Membership::new(members, now, rng),
        follower: Follower::new(configuration::Settings::new(cx.instance.clone())),
        requests: Requests::new(&cx.instance, cx.incarnation),
        groups: BTreeMap::new(),
        owned: BTreeMap::new(),
        announced: HashMap::new(),
        directory: Directory::default(),
        demand: DemandRouting::default(),
        received: Received::default(),
        store_uses: Default::default(),
        keys: KeyRanges::default(),
        key_owners: KeyOwners::default(),
        shares: Shares::new(&cx.instance, cx.incarnation, now),
        bookings: Bookings::new(cx.instance.clone(), now),
        retention: Retention::new(settings.accounting.retention, now),
        held_replies: Rc::default(),
        key_table,
        drain: Drain::Serving,
        callers_address,
        seeds: settings.peers.seeds.iter().map(|seed| seed.to_string().into()).collect(),
        head_watch: None,
        cache_streams: HashMap::new(),
        list_at: now,
        arrivals_at: now,
        cx,
    }
}
