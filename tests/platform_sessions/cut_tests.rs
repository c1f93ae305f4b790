//! Behaviour of instances while a data centre is cut off.

use std::net::SocketAddr;
use std::time::Duration;

use platform_stand_in::Call;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::cluster::{TestCluster, WAIT, ledger};

/// Log lines about data centres that are cut off.
const CUT_OFF: &[&str] = &["data centre is cut off"];

/// An address at which nothing answers, not even with a refusal, until it is opened again: its
/// queue of new connections is full.
struct SilentAddress {
    address: SocketAddr,
    listener: TcpListener,
    _queue: Vec<tokio::task::JoinHandle<std::io::Result<TcpStream>>>,
}

impl SilentAddress {
    async fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("no socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("no port");
        let listener = socket.listen(1).expect("not listening");
        let address = listener.local_addr().expect("no address");
        let queue = (0..4).map(|_| tokio::spawn(TcpStream::connect(address))).collect();
        tokio::time::sleep(Duration::from_millis(100)).await;
        Self { address, listener, _queue: queue }
    }

    fn entry(&self) -> serde_json::Value {
        serde_json::json!({"service": "ledger", "address": self.address.to_string(), "zone": "b",
            "slots": 8, "state": "ready", "born": 5})
    }

    /// Accepts connections and closes them.
    async fn accept_all(self) {
        while let Ok((connection, _)) = self.listener.accept().await {
            drop(connection);
        }
    }
}

/// Load: a data centre is cut off while requests for its servers go on arriving. Guards against
/// requests that wait for connections to one of its servers after the other.
#[tokio::test]
async fn data_centre_that_is_cut_off_gets_no_requests_until_it_answers_a_probe() {
    let mut cluster = TestCluster::new(vec![ledger("l1")]).await;
    let mut silent = Vec::new();
    for n in 0..3 {
        let address = SilentAddress::new().await;
        cluster.store.put("servers", &format!("dark{n}"), address.entry());
        silent.push(address);
    }
    cluster.start_instance().await;
    let read = async |cluster: &TestCluster, id: &str| {
        let outcome = cluster.caller.call(cluster.entry_address(), &Call::new(id, "/read/x")).await;
        assert_eq!(outcome.status, Some(200), "{outcome:?}");
    };
    let until = std::time::Instant::now() + WAIT;
    let mut n = 0;
    while cluster.instances[0].log_lines(CUT_OFF).is_empty() {
        assert!(std::time::Instant::now() < until, "the cut was not noticed");
        n += 1;
        read(&cluster, &format!("before{n}")).await;
    }
    for n in 0..40 {
        read(&cluster, &format!("after{n}")).await;
    }
    let tried = cluster.instances[0].log_lines(&["request: ended", "after", "dark"]);
    assert_eq!(tried, Vec::<String>::new());
    for address in silent {
        tokio::spawn(address.accept_all());
    }
    let is_back = async || !cluster.instances[0].log_lines(&["can be reached again"]).is_empty();
    while !is_back().await {
        assert!(std::time::Instant::now() < until, "the end of the cut was not noticed");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
