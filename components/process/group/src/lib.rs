//! The decision object of one group: write-ahead orders, memory and replica accounting, recovery.
