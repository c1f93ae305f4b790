//! Decides when and where replicas and adapters are loaded, kept and unloaded.
