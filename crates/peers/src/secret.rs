//! Proof that a peer holds the shared secret.
//!
//! Each side sends a nonce and proves the secret by a keyed hash (HMAC-SHA-256, RFC 2104) over both hellos. The
//! secret is never sent, a recorded proof is useless against a fresh nonce, and the role in the hashed text keeps a
//! proof from being sent back to the side that made it.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The block size of SHA-256 in bytes.
const BLOCK_BYTES: usize = 64;

/// The side of a link that makes a proof.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LinkRole {
    Caller,
    Listener,
}

/// The secret that all routers of a fleet share; its text never appears in output.
#[derive(Clone)]
pub struct PeerSecret(String);

impl PeerSecret {
    /// Returns the secret holding `text`.
    pub fn new(text: impl Into<String>) -> PeerSecret {
        PeerSecret(text.into())
    }

    /// Returns the proof of `role` over the two hellos of a handshake.
    pub(crate) fn prove(&self, role: LinkRole, caller: &[u8], listener: &[u8]) -> [u8; 32] {
        let label: &[u8] = match role {
            LinkRole::Caller => b"godwitroad peer caller",
            LinkRole::Listener => b"godwitroad peer listener",
        };
        // The lengths keep two different pairs of hellos from giving the same hashed text.
        let lengths = [caller.len() as u64, listener.len() as u64].map(u64::to_be_bytes);
        hmac(self.0.as_bytes(), &[label, &lengths[0], &lengths[1], caller, listener])
    }

    /// Returns whether `proof` is the one of `role`, in a time that doesn't depend on where they differ.
    pub(crate) fn verify(
        &self,
        role: LinkRole,
        caller: &[u8],
        listener: &[u8],
        proof: &[u8],
    ) -> bool {
        self.prove(role, caller, listener).as_slice().ct_eq(proof).into()
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerSecret(..)")
    }
}

/// Returns the HMAC-SHA-256 of the concatenated `parts` under `key`.
fn hmac(key: &[u8], parts: &[&[u8]]) -> [u8; 32] {
    let mut block = [0_u8; BLOCK_BYTES];
    if key.len() > BLOCK_BYTES {
        block[..32].copy_from_slice(&Sha256::digest(key));
    } else {
        block[..key.len()].copy_from_slice(key);
    }
    let mut inner = Sha256::new();
    inner.update(block.map(|byte| byte ^ 0x36));
    for part in parts {
        inner.update(part);
    }
    let mut outer = Sha256::new();
    outer.update(block.map(|byte| byte ^ 0x5c));
    outer.update(inner.finalize());
    outer.finalize().into()
}

#[cfg(test)]
#[path = "../tests/unit/proof.rs"]
mod tests;
