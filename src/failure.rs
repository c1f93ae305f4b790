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
        /// An instance that does not answer as expected.
        Instance(address: SocketAddr, message: String) {
            display("{address}: {message}")
        }
        /// The output cannot be written as JSON.
        Json(e: serde_json::Error) {
            from()
            display("the output cannot be written: {e}")
        }
    }
}
