//! Decisions of the placement policy and the reasons for rejecting them.

use quick_error::quick_error;
use types::prelude::*;

/// A decision of the placement policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Load a replica.
    Load {
        /// Server that loads the replica.
        server: BackendServerId,
        /// Model to load; the catalogue gives its memory and the size of its adapter pool.
        model: ModelId,
        /// Where the server loads the weights from.
        source: LoadSource,
    },
    /// Unload a replica.
    Unload {
        /// The replica.
        replica: ReplicaId,
    },
    /// Copy a checkpoint to the host memory of a server.
    Prefetch {
        /// Server that fetches the checkpoint.
        server: BackendServerId,
        /// Model whose checkpoint is fetched.
        model: ModelId,
    },
    /// Load an adapter into a replica's pool.
    LoadAdapter {
        /// The replica.
        replica: ReplicaId,
        /// The adapter.
        adapter: AdapterId,
        /// Adapter to evict first; required when the pool is full.
        evict: Option<AdapterId>,
    },
    /// Change a server's role.
    SetRole {
        /// The server.
        server: BackendServerId,
        /// The new role.
        role: ServerRole,
    },
}

quick_error! {
    /// Why a decision was rejected. Nothing was recorded or sent.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum DecisionError {
        /// The instance does not own the group, is handing it over, or has not read the decision
        /// object yet.
        NotReady { display("the instance does not own the group or has not recovered it") }
        /// The server or replica is not recorded.
        Unknown { display("unknown server or replica") }
        /// The catalogue does not declare the model.
        UnknownModel { display("the catalogue does not declare the model") }
        /// The server is leaving.
        Leaving { display("the backend server is leaving") }
        /// The server must not get an order now: it is not sealed, has not reported, or has an
        /// outstanding order.
        Blocked { display("the backend server cannot be given an order now") }
        /// Not enough free memory.
        NoMemory { display("not enough free memory on the backend server") }
        /// The group's allowance for the model is used up.
        NoAllowance { display("the group's allowance for the model is used up") }
        /// The lease lapsed and no permit covers the decision.
        NoPermit { display("the lease lapsed and no standing permit covers the decision") }
        /// The replica is not ready, or is already being unloaded.
        WrongPhase { display("the replica is in the wrong phase for the decision") }
        /// The adapter pool is full and the decision names no adapter to evict.
        PoolFull { display("the adapter pool is full") }
        /// The decision object would come too close to the platform's limit of 1 MB.
        TooLarge { display("the decision object would become too large") }
    }
}
