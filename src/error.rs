//! The error type of the commands.

use std::io;
use std::net::SocketAddr;

use ini_file::Diagnostics;
use quick_error::quick_error;

quick_error! {
    /// The error that ends a command with exit code 1.
    // `quick_error!` does not accept `pub(crate)`.
    #[allow(unreachable_pub)]
    #[derive(Debug)]
    pub enum CommandError {
        /// Files contain invalid values.
        InvalidFiles(diagnostics: Diagnostics) {
            from()
            display("{diagnostics}")
        }
        /// The asynchronous runtime cannot be built, or the output cannot be written.
        Io(e: io::Error) {
            from()
            display("{e}")
        }
        /// An instance cannot be started.
        Start(e: instance::Error) {
            from()
            display("{e}")
        }
        /// An entry instance cannot be started.
        StartEntry(e: entry::Error) {
            from()
            display("{e}")
        }
        /// Logging cannot be initialised, for example because the log level is invalid.
        LogSetup(message: String) {
            display("the log cannot be set up: {message}")
        }
        /// An instance does not respond or behave as expected.
        Instance(address: SocketAddr, message: String) {
            display("{address}: {message}")
        }
        /// A call to the platform fails at all the addresses in the second field.
        Platform(e: platform::Error, tried: String) {
            display("{e} (addresses tried: {tried})")
        }
        /// The store of the platform cannot be read at the address.
        Store(address: SocketAddr, e: platform_adapter::Error) {
            display("{address}: {e}")
        }
        /// The configuration to compare with is not there or not valid.
        Against(source: String, message: String) {
            display("{source}: {message}")
        }
        /// An object that another object refers to does not exist.
        MissingObject(object: String) {
            display("platform: object {object} does not exist")
        }
        /// An object contradicts other accounting records.
        ContradictoryRecords(object: String, e: accounting::Error) {
            display("platform: object {object}: {e}")
        }
        /// The output cannot be written as CSV.
        Csv(e: csv::Error) {
            from()
            display("the output cannot be written: {e}")
        }
        /// The output cannot be written as JSON.
        Json(e: serde_json::Error) {
            from()
            display("the output cannot be written: {e}")
        }
    }
}
