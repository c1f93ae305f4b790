//! Leases and ownership of groups with fencing numbers.
