//! Limits on what callers can make a process hold.
//!
//! [`Parts`] divides the memory and the descriptors of an instance. A [`ConnectionTable`] counts the
//! connections of one listener and what each of them takes. When a limit is reached, it closes the
//! connections that progress least: those that send ahead without reading, idle ones, unfinished heads,
//! unfinished bodies, answers that their callers do not read, and new ones. A connection whose request is being served and whose
//! caller reads is never closed.

mod connection;
mod parts;
mod table;

pub use connection::{Cost, TrackedConnection};
pub use parts::{OPERATOR_CONNECTIONS, Parts, RELAYED_CONNECTIONS};
pub use table::{Close, ConnectionTable, Counts, Full, Paces, Reason, TableLimits};

#[cfg(test)]
mod tests;
