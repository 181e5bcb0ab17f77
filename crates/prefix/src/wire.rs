//! The compact encoding of forwarded entries.
//!
//! Forwarding is the largest share of the traffic between routers, so an entry takes the 8 bytes of its piece and
//! everything else is written once per target. The bytes are the message body itself and can be counted exactly.

use godwitroad_base::Incarnation;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

const FORMAT: u8 = 1;
const FLAG_GAP: u8 = 1;
const FLAG_REPLACE: u8 = 2;

/// The error of decoding a batch.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The batch ends early.
    #[error("the batch of index entries ends early")]
    Truncated,
    /// The batch was written by a release with another format.
    #[error("the batch of index entries has the unknown format {0}")]
    Format(u8),
}

/// The result of decoding.
pub type Result<T> = std::result::Result<T, Error>;

/// The name of a target as a hash, the same at every router.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct TargetTag(pub u64);

impl TargetTag {
    /// Returns the tag of the target `name`.
    pub fn of(name: &str) -> TargetTag {
        TargetTag(xxh3_64(name.as_bytes()))
    }
}

/// A change of one entry; pieces are in their short form.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EntryOp {
    /// Events confirm the piece.
    Stored(u64),
    /// The engine evicted the piece.
    Evicted(u64),
    /// The piece was dispatched and no event has confirmed it yet.
    Noted(u64),
}

/// The changes of one target's entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetEntries {
    /// The target.
    pub tag: TargetTag,
    /// The incarnation to which the entries are bound.
    pub incarnation: Incarnation,
    /// Whether earlier entries become unconfirmed.
    pub gap: bool,
    /// Whether earlier entries are replaced by these.
    pub replace: bool,
    /// The changes, at most one for each piece.
    pub ops: Vec<EntryOp>,
}

/// Changes on their way to a holder of index partitions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EntryBatch {
    /// The changes per target.
    pub targets: Vec<TargetEntries>,
}

impl EntryBatch {
    /// Returns the batch as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let entries: usize = self.targets.iter().map(|target| target.ops.len()).sum();
        let mut bytes = Vec::with_capacity(4 + self.targets.len() * 20 + entries * 8);
        bytes.push(FORMAT);
        put_number(&mut bytes, self.targets.len() as u64);
        for target in &self.targets {
            bytes.extend_from_slice(&target.tag.0.to_le_bytes());
            put_number(&mut bytes, target.incarnation.0);
            let gap = if target.gap { FLAG_GAP } else { 0 };
            bytes.push(gap | if target.replace { FLAG_REPLACE } else { 0 });
            let [mut stored, mut evicted, mut noted] = [const { Vec::new() }; 3];
            for op in &target.ops {
                match *op {
                    EntryOp::Stored(piece) => stored.push(piece),
                    EntryOp::Evicted(piece) => evicted.push(piece),
                    EntryOp::Noted(piece) => noted.push(piece),
                }
            }
            for pieces in [stored, evicted, noted] {
                put_number(&mut bytes, pieces.len() as u64);
                pieces.iter().for_each(|piece| bytes.extend_from_slice(&piece.to_le_bytes()));
            }
        }
        bytes
    }

    /// Reads a batch from bytes; the changes of a target come back sorted by kind.
    ///
    /// # Errors
    ///
    /// Fails when the bytes end early or have another format.
    pub fn decode(mut bytes: &[u8]) -> Result<EntryBatch> {
        match take_array::<1>(&mut bytes)?[0] {
            FORMAT => {}
            other => return Err(Error::Format(other)),
        }
        let count = take_number(&mut bytes)?;
        let targets = (0..count).map(|_| take_target(&mut bytes)).collect::<Result<_>>()?;
        Ok(EntryBatch { targets })
    }
}

fn take_target(bytes: &mut &[u8]) -> Result<TargetEntries> {
    let tag = TargetTag(u64::from_le_bytes(take_array(bytes)?));
    let incarnation = Incarnation(take_number(bytes)?);
    let [flags] = take_array(bytes)?;
    let mut ops = Vec::new();
    for kind in [EntryOp::Stored, EntryOp::Evicted, EntryOp::Noted] {
        for _ in 0..take_number(bytes)? {
            ops.push(kind(u64::from_le_bytes(take_array(bytes)?)));
        }
    }
    let (gap, replace) = (flags & FLAG_GAP != 0, flags & FLAG_REPLACE != 0);
    Ok(TargetEntries { tag, incarnation, gap, replace, ops })
}

fn put_number(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

fn take_number(bytes: &mut &[u8]) -> Result<u64> {
    let mut number = 0;
    for shift in (0..64).step_by(7) {
        let [byte] = take_array(bytes)?;
        number |= u64::from(byte & 0x7f) << shift;
        if byte & 0x80 == 0 {
            return Ok(number);
        }
    }
    Err(Error::Truncated)
}

fn take_array<const N: usize>(bytes: &mut &[u8]) -> Result<[u8; N]> {
    let (head, rest) = bytes.split_first_chunk::<N>().ok_or(Error::Truncated)?;
    *bytes = rest;
    Ok(*head)
}
