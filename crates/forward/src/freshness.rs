//! Evidence that this router's configuration was current at a given time.
//!
//! A withdrawn key must stop working within a bound on every router, also on one that has lost the store. A router
//! therefore serves a keyed request only while it has a recent freshness proof: a linearizable answer of the store that
//! shows that its configuration was the newest. The proof is dated to the start of the read, as the store may have made
//! the answer at any time after that. A proof of a peer with the same version is as good as the router's own: a few
//! routers watch the store, and the others use the proofs in their gossip messages.

use godwitroad_base::{ClockSpan, ClockTime};

/// The settings of freshness proofs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ContactSettings {
    /// The age up to which a proof is valid: the operator's bound for withdrawals, less a margin.
    pub proof_span: ClockSpan,
    /// The age of a proof up to which requests are handled by this configuration although a peer has a newer one: the
    /// operator's bound for the effect of a configuration, less a margin.
    pub apply_span: ClockSpan,
    /// Whether keyed requests are refused without a proof.
    pub strict: bool,
    /// How long a watch call waits for changes. `proof_span` must cover two waits, as an unresponsive connection is
    /// noticed only after one.
    pub wait: ClockSpan,
    /// How long the watch calls of the first watcher wait. A proof is dated to the start of the call, so short calls
    /// give recent proofs, which gossip passes on to the other routers.
    pub first_wait: ClockSpan,
}

/// The newest freshness proof of this router's configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigFreshness {
    proof: Option<FreshnessProof>,
}

/// A proof with its age at some time. The two are kept apart because a time before the start of the process has no
/// [`ClockTime`].
#[derive(Clone, Copy, Debug)]
struct FreshnessProof {
    known_at: ClockTime,
    prior_age: ClockSpan,
}

impl Default for ContactSettings {
    fn default() -> ContactSettings {
        ContactSettings {
            proof_span: ClockSpan::from_ms(4_500),
            apply_span: ClockSpan::from_ms(2_000),
            strict: true,
            wait: ClockSpan::from_ms(1_200),
            first_wait: ClockSpan::from_ms(500),
        }
    }
}

impl ConfigFreshness {
    /// Records a proof dated to `read_from`: an answer of the store to a read that started then. It stays valid when a newer
    /// version arrives, as that one was confirmed later.
    pub fn record_proof(&mut self, read_from: ClockTime) {
        self.record_aged_proof(read_from, ClockSpan::ZERO);
    }

    /// Records the proof of a peer with the same version, which was `prior_age` old at `known_at`.
    pub fn record_aged_proof(&mut self, known_at: ClockTime, prior_age: ClockSpan) {
        let is_newest =
            |proof: FreshnessProof| known_at + proof.prior_age > proof.known_at + prior_age;
        if self.proof.is_none_or(is_newest) {
            self.proof = Some(FreshnessProof { known_at, prior_age });
        }
    }

    /// Returns the age of the newest proof, or `None` if there was none yet.
    pub fn age(&self, now: ClockTime) -> Option<ClockSpan> {
        self.proof.map(|proof| now.since(proof.known_at) + proof.prior_age)
    }

    /// Returns whether keyed requests may run: the newest proof is valid, or the settings don't require one.
    pub fn is_fresh(&self, now: ClockTime, settings: &ContactSettings) -> bool {
        !settings.strict || self.age(now).is_some_and(|age| age < settings.proof_span)
    }
}
