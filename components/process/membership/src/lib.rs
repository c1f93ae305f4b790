//! Heartbeats, failure detection, leaving and data centre summaries.
