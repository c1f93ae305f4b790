//! The types that nearly every component uses.

pub use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
pub use std::time::{Duration, Instant, SystemTime};

pub use crate::backend::*;
pub use crate::contract::*;
pub use crate::group_state::*;
pub use crate::ids::*;
pub use crate::load_report::LoadReport;
pub use crate::status::*;
pub use crate::store_use::*;
pub use crate::verdict::*;
