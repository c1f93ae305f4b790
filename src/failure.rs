//! Why a command fails.

use std::io;
use std::net::SocketAddr;

use ini_file::Diagnostics;
use quick_error::quick_error;

quick_error! {
    /// Why a command cannot do its work. The command exits with 1.
    // `quick_error!` has no form for `pub(crate)`.
    #[allow(unreachable_pub)]
    #[derive(Debug)]
    pub enum Failure {
        /// Files with mistakes.
        Files(diagnostics: Diagnostics) {
            from()
            display("{diagnostics}")
        }
        /// No asynchronous runtime, or no output.
        Io(e: io::Error) {
            from()
            display("{e}")
        }
        /// An instance that cannot be started.
        Start(e: instance::Error) {
            from()
            display("{e}")
        }
        /// An entry instance that cannot be started.
        StartEntry(e: entry::Error) {
            from()
            display("{e}")
        }
        /// A log level that cannot be set.
        Log(message: String) {
            display("the log cannot be set up: {message}")
        }
        /// An instance that does not answer as expected.
        Instance(address: SocketAddr, message: String) {
            display("{address}: {message}")
        }
        /// The platform cannot be used; with the addresses tried.
        Platform(e: platform::Error, tried: String) {
            display("{e} (addresses tried: {tried})")
        }
        /// An object that others refer to does not exist.
        Missing(object: String) {
            display("platform: object {object} does not exist")
        }
        /// Records that contradict each other.
        Records(object: String, e: accounting::Error) {
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
