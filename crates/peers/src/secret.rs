//! Authentication of a peer by the shared secret.
//!
//! Each side sends a nonce in its hello frame and then a message authentication code (MAC) over both hello frames:
//! HMAC-SHA-256 (RFC 2104) with the shared secret as its key. The secret itself is never sent. The nonces prevent the
//! replay of a recorded MAC, and the role in the authenticated text prevents a MAC from being reflected to its sender.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The block size of SHA-256 in bytes.
const BLOCK_BYTES: usize = 64;

/// The side of a link that computes a MAC.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LinkRole {
    Caller,
    Listener,
}

/// The secret that all routers of a fleet share. `Debug` doesn't print its text.
#[derive(Clone)]
pub struct PeerSecret(String);

impl PeerSecret {
    /// Creates a secret from its text.
    pub fn new(text: impl Into<String>) -> PeerSecret {
        PeerSecret(text.into())
    }

    /// Returns the MAC of the side `role` over the two hello frames of a handshake.
    pub(crate) fn compute_mac(&self, role: LinkRole, caller: &[u8], listener: &[u8]) -> [u8; 32] {
        let label: &[u8] = match role {
            LinkRole::Caller => b"godwitroad peer caller",
            LinkRole::Listener => b"godwitroad peer listener",
        };
        // With the lengths, two different pairs of hello frames can't yield the same authenticated text.
        let lengths = [caller.len() as u64, listener.len() as u64].map(u64::to_be_bytes);
        hmac(self.0.as_bytes(), &[label, &lengths[0], &lengths[1], caller, listener])
    }

    /// Returns whether `mac` is the MAC of the side `role`. The comparison takes the same time wherever they differ.
    pub(crate) fn verify_mac(
        &self,
        role: LinkRole,
        caller: &[u8],
        listener: &[u8],
        mac: &[u8],
    ) -> bool {
        self.compute_mac(role, caller, listener).as_slice().ct_eq(mac).into()
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
#[path = "../tests/unit/secret.rs"]
mod tests;
