//! Errors of calls.

use quick_error::quick_error;

quick_error! {
    /// Why a call gave no answer. None of these is a state of the object.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The platform could not be reached before the deadline.
        Unavailable {
            display("platform: no answer before the deadline")
        }
        /// The platform refused the call for good.
        Refused(status: u16) {
            display("platform: call refused with status {status}")
        }
        /// The answer has another form than expected.
        Malformed(text: Box<str>) {
            display("platform: unusable answer: {text}")
        }
        /// The changes since the version asked for are no longer kept; list again.
        TooOld {
            display("platform: the version to watch from is too old")
        }
    }
}
