//! Kinds under which the tables count messages between instances.

use instance::message::PeerMessage;

/// Returns the name of a message's kind in the tables. Messages that serve single requests are all
/// counted as `others`.
pub(crate) fn kind(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Heartbeat(_) => "heartbeats",
        PeerMessage::Summary(_) => "summaries",
        PeerMessage::Announcement(_) => "announcements",
        PeerMessage::Handover(_) => "handovers",
        PeerMessage::Configuration(_) => "configuration",
        PeerMessage::GroupState(_) => "group states",
        PeerMessage::GroupChanges(_) => "group changes",
        PeerMessage::StateWanted(_) => "states wanted",
        PeerMessage::Arrivals(_) => "arrivals",
        _ => "others",
    }
}
