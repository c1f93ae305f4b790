//! Divides the memory and the descriptors of an instance.

/// Fraction of the memory for connections of callers, their requests, and the connections to
/// servers on their behalf.
const CONNECTION_MEMORY_FRACTION: f64 = 0.375;
/// Fraction of the memory for the bodies of requests and responses. The allocator may take twice as
/// much for buffers that grow side by side. The rest, three eighths, is for the process itself.
const BODY_MEMORY_FRACTION: f64 = 0.125;

/// Fraction of the memory for idle connections to servers, out of that for the process itself.
const IDLE_SERVER_MEMORY_FRACTION: f64 = 0.0625;
/// Memory of an idle connection to a server, in bytes.
const IDLE_SERVER_BYTES: f64 = 20.0 * 1024.0;

/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors for listeners, timers, signals and log output.
const OWN_DESCRIPTORS: usize = 16;
/// Connections to the store.
const STORE_DESCRIPTORS: usize = 16;
/// Connections to servers for orders and reports.
const ORDER_DESCRIPTORS: usize = 64;
/// Descriptors of connections that are closed but whose tasks have not run since.
const CLOSING_DESCRIPTORS: usize = 32;

/// Connections that the listener for metrics, or the one for the readiness check, holds.
pub const OPERATOR_CONNECTIONS: usize = 32;
/// Connections of other instances to the store that are passed on; each takes two descriptors.
pub const RELAYED_CONNECTIONS: usize = 16;

/// Parts of an instance's memory and descriptors. The parts of the memory add up to the whole with
/// three eighths for the process itself; the parts of the descriptors add up to the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parts {
    /// Memory for connections of callers and their requests, in bytes.
    pub connection_bytes: usize,
    /// Memory for the bodies of requests and responses, in bytes.
    pub body_bytes: usize,
    /// Most connections of callers.
    pub caller_connections: usize,
    /// Most connections to servers, idle ones included. Each connection of a caller needs at most
    /// one.
    pub server_connections: usize,
    /// Most idle connections to servers.
    pub idle_server_connections: usize,
}

impl Parts {
    /// Divides `memory_bytes` and `descriptors`.
    pub fn new(memory_bytes: f64, descriptors: usize) -> Self {
        let reserved = FILE_DESCRIPTORS
            + OWN_DESCRIPTORS
            + STORE_DESCRIPTORS
            + ORDER_DESCRIPTORS
            + CLOSING_DESCRIPTORS
            + 2 * OPERATOR_CONNECTIONS
            + 2 * RELAYED_CONNECTIONS;
        let caller_connections = (descriptors.saturating_sub(reserved) / 2).max(1);
        Self {
            connection_bytes: (memory_bytes * CONNECTION_MEMORY_FRACTION) as usize,
            body_bytes: (memory_bytes * BODY_MEMORY_FRACTION) as usize,
            caller_connections,
            server_connections: caller_connections,
            idle_server_connections: (memory_bytes * IDLE_SERVER_MEMORY_FRACTION
                / IDLE_SERVER_BYTES) as usize,
        }
    }
}
