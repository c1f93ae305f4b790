//! Life cycle of one dispatched request and its retries.
