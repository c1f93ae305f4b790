//! Finds the property of requests that ends servers, and keeps further requests with it from the
//! servers. Workload: a few requests, all different, with one thing in common that crashes each
//! server that begins to answer them, among many sound requests that share their other properties.
//!
//! A server that ends leaves behind the requests that it had not begun to answer. Their properties
//! are suspects until a request with them is answered. If a suspect was at two ends, requests with
//! it are banned. Does no I/O.

mod ban;
mod property;
mod recent_keys;
mod suspects;

#[cfg(test)]
mod tests;

pub use ban::{Ban, PublishedBan, millis};
pub use property::{CrashId, Property, PropertyKey, crash_id, property_keys};
pub use suspects::Quarantine;
