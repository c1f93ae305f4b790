//! Buffers for message bodies, bounded by the memory that they take in the whole process.
//!
//! A peer chooses the sizes of the pieces in which it sends a body. Buffers here copy the pieces
//! into one allocation and count its capacity, so that neither small pieces nor many bodies at once
//! take more than the limit. Each buffer may take at most half of what the others leave: however
//! many peers send bodies without end, small bodies still find room.

mod buffer;
mod collect;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use quick_error::quick_error;

pub use buffer::BodyBuffer;
pub use collect::{CollectError, collect, collect_waiting};

#[cfg(test)]
mod tests;

/// Default limit, in bytes.
pub const DEFAULT_LIMIT_BYTES: usize = 64 << 20;

/// Counted for each buffer in addition to its capacity: its handles and the allocator's own data.
pub(crate) const BUFFER_OVERHEAD: usize = 128;

quick_error! {
    /// The bodies in the process leave no room for this one.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum OutOfMemory {
        /// No room.
        NoRoom {
            display("the memory for message bodies is in use")
        }
    }
}

/// Memory for the message bodies of a process. Clones share one limit.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit: usize,
    /// Sum of all reservations; at most `limit`.
    used: AtomicUsize,
}

impl Default for BodyMemory {
    fn default() -> Self {
        Self::with_limit(DEFAULT_LIMIT_BYTES)
    }
}

impl BodyMemory {
    /// Allows `limit` bytes for all bodies together.
    pub fn with_limit(limit: usize) -> Self {
        Self { shared: Arc::new(Shared { limit, used: AtomicUsize::new(0) }) }
    }

    /// Bytes that all bodies together may take.
    pub fn limit(&self) -> usize {
        self.shared.limit
    }

    /// Bytes that the bodies take now.
    pub fn used(&self) -> usize {
        self.shared.used.load(Ordering::Relaxed)
    }
}

/// Part of the memory that one buffer takes, until it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: BodyMemory,
    /// Included in `used` of the memory.
    bytes: usize,
}

impl Reservation {
    pub(crate) fn empty(memory: &BodyMemory) -> Self {
        Self { memory: memory.clone(), bytes: 0 }
    }

    pub(crate) fn memory(&self) -> &BodyMemory {
        &self.memory
    }

    /// Changes the reservation to `bytes`. It may always shrink.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let Shared { limit, used } = &*self.memory.shared;
        let own = self.bytes;
        let update = |used: usize| {
            let others = used - own;
            let is_allowed = bytes <= own || bytes <= limit.saturating_sub(others) / 2;
            is_allowed.then_some(others + bytes)
        };
        let updated = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
        updated.map_err(|_| OutOfMemory::NoRoom)?;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.shared.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
