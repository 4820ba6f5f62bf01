//! Slow-start credit: attempts that may be sent to a server while it warms up.

/// Credit that one attempt takes.
const CREDIT_PER_ATTEMPT: f64 = 1.0;

/// The number of attempts that may be sent to a server while it warms up. The credit is negative if
/// attempts were sent while the server was warm, because these require no credit.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartCredit(f64);

impl SlowStartCredit {
    /// Returns whether there is credit for one more attempt.
    pub(super) fn covers_attempt(self) -> bool {
        self.0 >= CREDIT_PER_ATTEMPT
    }

    /// Takes the credit of one attempt.
    pub(super) fn take_attempt(&mut self) {
        self.0 -= CREDIT_PER_ATTEMPT;
    }

    /// Retains a fraction of the unused credit and adds `gained`, up to `maximum`.
    pub(crate) fn add(&mut self, gained: f64, retained_fraction: f64, maximum: f64) {
        let retained = self.0.max(0.0) * retained_fraction;
        self.0 = (retained + gained).min(maximum);
    }
}
