//! Panics of the HTTP library.

use futures_lite::FutureExt;
use std::io;
use std::panic::AssertUnwindSafe;

/// Runs a call of the HTTP library, which panics when a header field or a trailer holds text that is not
/// ASCII. What the call has used must not be used again then.
///
/// # Errors
/// `InvalidData` when the library has panicked.
pub(super) fn catch_panic<T>(call: impl Future<Output = T>) -> impl Future<Output = io::Result<T>> {
    // Boxed, as the futures of the library are large.
    let call = AssertUnwindSafe(Box::pin(call)).catch_unwind();
    async {
        let outcome = call.await;
        outcome
            .map_err(|_panic| io::Error::new(io::ErrorKind::InvalidData, "malformed header field"))
    }
}
