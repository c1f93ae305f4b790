//! Decides when and where replicas and adapters are loaded, kept and unloaded.
//!
//! [`Placement`] is pure: it takes an event, a [`View`] of the group and the time, and returns
//! decisions. It never exceeds the free memory and the allowances of the view, also while the
//! view does not yet show what was decided before.

mod adapters;
mod ahead;
mod clock;
mod estimate;
mod event;
mod history;
mod idle;
mod outstanding;
mod pending;
mod placement;
mod release;
mod settings;
mod start;
mod store;
mod turn;
mod view;

pub use event::*;
pub use placement::Placement;
pub use settings::Settings;
pub use view::*;
