//! Whether this router still knows the newest configuration.
//!
//! A withdrawn key must stop working within a bound on every router, also on one that has lost the store. A router
//! therefore serves a keyed request only while a linearizable answer proves that it knew the newest configuration a
//! short time ago. The proof counts from the moment at which the read started, as the answer may have been made at
//! any time after that. A peer that holds the same version may lend its own proof: a few routers follow the store, and the
//! others borrow their proofs.

use godwitroad_base::{ClockSpan, ClockTime};

/// The settings of the proof.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ContactSettings {
    /// The age up to which a proof counts. The operator's bound for withdrawals, less a margin.
    pub proof_span: ClockSpan,
    /// Whether keyed requests are refused without a proof.
    pub strict: bool,
    /// How long a watch waits for changes. Two waits must fit the span of the proof, and a connection that went silent
    /// shows only after one.
    pub wait: ClockSpan,
    /// How long the watch of the first router waits that follows the store. A proof counts from the start of the
    /// watch, so that a short one gives young proofs; the notes hand them to the others.
    pub first_wait: ClockSpan,
}

/// What this router can prove about its configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigFreshness {
    proven_at: Option<ClockTime>,
}

impl Default for ContactSettings {
    fn default() -> ContactSettings {
        ContactSettings {
            proof_span: ClockSpan::from_ms(4_500),
            strict: true,
            wait: ClockSpan::from_ms(1_200),
            first_wait: ClockSpan::from_ms(500),
        }
    }
}

impl ConfigFreshness {
    /// Notes a proof that counts from `read_from`: an answer of the store to a read that started then, or the proof of a
    /// peer that holds the same version. It stays true when a newer version shows up: that one was confirmed later.
    pub fn record_proof(&mut self, read_from: ClockTime) {
        self.proven_at = self.proven_at.max(Some(read_from));
    }

    /// Returns the age of the newest proof.
    pub fn age(&self, now: ClockTime) -> Option<ClockSpan> {
        self.proven_at.map(|proven_at| now.since(proven_at))
    }

    /// Returns whether keyed requests may run.
    pub fn is_fresh(&self, now: ClockTime, settings: &ContactSettings) -> bool {
        !settings.strict || self.age(now).is_some_and(|age| age < settings.proof_span)
    }
}
