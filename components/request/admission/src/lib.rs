//! Deadlines, fair queueing, limits and their shares.
