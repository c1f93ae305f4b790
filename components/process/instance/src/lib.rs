//! The loop of one entry instance.
