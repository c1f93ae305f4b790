//! The decision object of one group: write-ahead orders, memory and replica accounting, recovery.
//!
//! [`Group`] is a state machine without I/O. The owner of the group records every load, unload and
//! role change in the object `decision/GROUP` before it sends the order. It keeps the memory and
//! the replica of an order reserved until a report proves that they are released. The placement
//! policy reads a [`GroupView`] and submits a [`Decision`], which the group rejects if it would
//! break an invariant.

mod accounting;
mod action;
mod decide;
mod decision;
mod group;
mod objects;
mod orders;
mod permits;
mod polls;
mod pool;
mod publication;
mod publish;
mod reports;
mod schedule;
mod server;
mod settings;
mod store;
mod view;

pub use action::{Action, OrderResult};
pub use decision::{Decision, DecisionError};
pub use group::Group;
pub use objects::{
    DecisionObject, Interval, OrderRecord, Permit, PoolObject, PoolReceipt, Receipt, ReplicaRecord,
    ReplicaStage, ServerRecord, Transfer, TransferTarget,
};
pub use polls::ReportPolls;
pub use publication::{
    ChangesResult, FullState, GroupChanges, Publication, Publisher, ReceivedStates, ServerLoads,
};
pub use schedule::PublishSchedule;
pub use settings::Settings;
pub use view::{GroupView, ReplicaView, ServerView};
