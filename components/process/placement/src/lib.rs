//! Decides when and where replicas and adapters are loaded, retained and unloaded.
//!
//! [`Placement`] does no I/O: it gets an event, a [`View`] of the group and the time, and returns
//! decisions. The decisions stay within the free memory and the allowances of the view, even while
//! the view does not show earlier decisions yet.

mod adapters;
mod clock;
mod estimate;
mod event;
mod history;
mod idle;
mod memory_release;
mod outstanding;
mod pending;
mod placement;
mod prefetch;
mod scheduling;
mod settings;
mod store_rate;
mod store_sharing;
mod view;

pub use event::*;
pub use placement::Placement;
pub use settings::Settings;
pub use view::*;
