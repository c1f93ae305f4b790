//! A buffer in one allocation that is counted by its capacity.

use std::ops::Deref;

use bytes::Bytes;

use crate::{BUFFER_OVERHEAD, BodyMemory, OutOfMemory, Reservation};

/// Smallest capacity of a buffer with content, in bytes.
const MIN_CAPACITY: usize = 512;

/// Collects pieces of a body in one allocation.
#[derive(Debug)]
pub struct BodyBuffer {
    buf: Vec<u8>,
    /// The capacity of `buf` and [`BUFFER_OVERHEAD`]; nothing while `buf` has no allocation.
    reservation: Reservation,
}

impl Deref for BodyBuffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.buf
    }
}

/// Keeps the reservation for as long as the bytes are referenced.
struct Owner {
    buf: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Owner {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

impl BodyBuffer {
    /// An empty buffer, which takes no memory.
    pub fn new(memory: &BodyMemory) -> Self {
        Self { buf: Vec::new(), reservation: Reservation::empty(memory) }
    }

    /// Copies bytes into a buffer of their size.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for them.
    pub fn copy_of(bytes: &[u8], memory: &BodyMemory) -> Result<Self, OutOfMemory> {
        let mut buffer = Self::new(memory);
        buffer.extend(bytes, bytes.len())?;
        Ok(buffer)
    }

    /// Appends bytes. The capacity grows beyond `expected_len` only if the content does.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for them. The buffer is then unchanged.
    pub fn extend(&mut self, bytes: &[u8], expected_len: usize) -> Result<(), OutOfMemory> {
        let len = self.buf.len() + bytes.len();
        if len > self.buf.capacity() {
            let doubled = (self.buf.capacity() * 2).max(MIN_CAPACITY).min(expected_len).max(len);
            let grown = self.grow(doubled);
            grown.or_else(|_| self.grow(len))?;
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    fn grow(&mut self, capacity: usize) -> Result<(), OutOfMemory> {
        self.reservation.resize(capacity + BUFFER_OVERHEAD)?;
        self.buf.reserve_exact(capacity - self.buf.len());
        Ok(())
    }

    /// Drops the bytes after the first `len`. The capacity stays.
    pub fn truncate(&mut self, len: usize) {
        self.buf.truncate(len);
    }

    /// Takes the first `len` bytes out of the buffer.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for a copy. The buffer is then unchanged.
    pub fn take_front(&mut self, len: usize) -> Result<Bytes, OutOfMemory> {
        if len == self.buf.len() {
            let empty = Self::new(self.reservation.memory());
            return Ok(std::mem::replace(self, empty).into_bytes());
        }
        let front = Self::copy_of(&self.buf[..len], self.reservation.memory())?;
        self.buf.drain(..len);
        Ok(front.into_bytes())
    }

    /// The content. Its memory counts until the last reference is dropped.
    pub fn into_bytes(self) -> Bytes {
        if self.buf.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(Owner { buf: self.buf, _reservation: self.reservation })
    }
}
