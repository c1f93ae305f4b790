//! Errors of calls to the platform.

use quick_error::quick_error;

quick_error! {
    /// Why a call failed. None of these errors says anything about the state of the object.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The platform did not respond before the deadline.
        Unavailable {
            display("platform: no answer before the deadline")
        }
        /// The platform refused the call; a retry would not help.
        Refused(status: u16) {
            display("platform: call refused with status {status}")
        }
        /// The response could not be decoded.
        Malformed(text: Box<str>) {
            display("platform: malformed response: {text}")
        }
        /// The platform no longer has the changes since the requested version. The caller has to
        /// list the objects again.
        TooOld {
            display("platform: the changes since the requested version are no longer available")
        }
    }
}
