//! Behaviour of instances while a data centre is cut off.

use std::net::SocketAddr;
use std::time::Duration;

use platform_stand_in::Call;
use tokio::io::AsyncReadExt;
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

/// Load: a cut begins right after a request was written onto a connection. Guards against leaving
/// the connection to the kernel, which ends it without a reset after 1.8 s: the network then
/// delivers the request when the cut ends, and the server may have left by then (DRAIN). The
/// listener stands for the network: it holds the request up and lets no new connection through.
#[tokio::test]
async fn request_that_a_cut_holds_up_is_reset_before_the_kernel_ends_its_connection() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut cluster = TestCluster::new(Vec::new()).await;
    let entry = serde_json::json!({"service": "ledger", "address": address.to_string(), "zone": "b",
        "slots": 8, "state": "ready", "born": 5});
    cluster.store.put("servers", "l1", entry);
    cluster.start_instance().await;
    let (caller, entry_address) = (cluster.caller.clone(), cluster.entry_address());
    let call = tokio::spawn(async move {
        let call = Call { body: Some("{}"), ..Call::new("a1", "/book/x") };
        caller.call(entry_address, &call).await
    });
    let (mut held, _) = listener.accept().await.unwrap();
    let sent_at = std::time::Instant::now();
    let _queue: Vec<_> = (0..4).map(|_| tokio::spawn(TcpStream::connect(address))).collect();
    let mut request = Vec::new();
    let end = loop {
        match held.read_buf(&mut request).await {
            Ok(0) => break None,
            Ok(_) => {}
            Err(error) => break Some(error.kind()),
        }
    };
    assert_eq!(end, Some(std::io::ErrorKind::ConnectionReset));
    let took = sent_at.elapsed();
    assert!(took < Duration::from_millis(1_300), "reset after {took:?}");
    assert_eq!(call.await.unwrap().status, Some(502));
}
