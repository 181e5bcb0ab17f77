//! Compact encoding of forwarded entries.
//!
//! Forwarded entries are the largest share of the traffic between routers. An entry therefore takes only the 8 bytes
//! of its short hash, and everything else is written once per target. The encoded bytes are the message body, so
//! their number is known exactly.

use godwitroad_base::Incarnation;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

const FORMAT_VERSION: u8 = 1;
const FLAG_GAP: u8 = 1;
const FLAG_REPLACE: u8 = 2;

/// An error in the encoding of a batch.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The batch is truncated.
    #[error("the batch of index entries ends early")]
    Truncated,
    /// The batch has an unknown format version, as a different release may send it.
    #[error("the batch of index entries has the unknown format {0}")]
    Format(u8),
}

/// The result of decoding a batch.
pub type Result<T> = std::result::Result<T, Error>;

/// The hash of the name of a target, which identifies the target at every router.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct TargetTag(pub u64);

impl TargetTag {
    /// Returns the tag of the target `name`.
    pub fn of(name: &str) -> TargetTag {
        TargetTag(xxh3_64(name.as_bytes()))
    }
}

/// A change of one entry, with the short hash of its block.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EntryOp {
    /// An event confirmed that the block is cached.
    Stored(u64),
    /// The target evicted the block.
    Evicted(u64),
    /// The block belongs to a dispatched prompt, and no event has confirmed it yet.
    Provisional(u64),
}

/// The changes of the entries of one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetEntries {
    /// The hash of the name of the target.
    pub tag: TargetTag,
    /// The incarnation to which the entries are bound.
    pub incarnation: Incarnation,
    /// Whether earlier entries become unconfirmed.
    pub gap: bool,
    /// Whether earlier entries are replaced by these.
    pub replace: bool,
    /// The changes, at most one per block.
    pub ops: Vec<EntryOp>,
}

/// Changes that are sent to a holder of index partitions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EntryBatch {
    /// The changes, one item for each target.
    pub targets: Vec<TargetEntries>,
}

impl EntryBatch {
    /// Returns the batch encoded in the current format version.
    pub fn encode(&self) -> Vec<u8> {
        let entries: usize = self.targets.iter().map(|target| target.ops.len()).sum();
        let mut bytes = Vec::with_capacity(4 + self.targets.len() * 20 + entries * 8);
        bytes.push(FORMAT_VERSION);
        write_varint(&mut bytes, self.targets.len() as u64);
        for target in &self.targets {
            bytes.extend_from_slice(&target.tag.0.to_le_bytes());
            write_varint(&mut bytes, target.incarnation.0);
            let gap = if target.gap { FLAG_GAP } else { 0 };
            bytes.push(gap | if target.replace { FLAG_REPLACE } else { 0 });
            let [mut stored, mut evicted, mut provisional] = [const { Vec::new() }; 3];
            for op in &target.ops {
                match *op {
                    EntryOp::Stored(block) => stored.push(block),
                    EntryOp::Evicted(block) => evicted.push(block),
                    EntryOp::Provisional(block) => provisional.push(block),
                }
            }
            for blocks in [stored, evicted, provisional] {
                write_varint(&mut bytes, blocks.len() as u64);
                blocks.iter().for_each(|block| bytes.extend_from_slice(&block.to_le_bytes()));
            }
        }
        bytes
    }

    /// Decodes a batch; the changes of each target are ordered by kind.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are truncated or have an unknown format version.
    pub fn decode(mut bytes: &[u8]) -> Result<EntryBatch> {
        match read_array::<1>(&mut bytes)?[0] {
            FORMAT_VERSION => {}
            other => return Err(Error::Format(other)),
        }
        let count = read_varint(&mut bytes)?;
        let targets = (0..count).map(|_| read_target(&mut bytes)).collect::<Result<_>>()?;
        Ok(EntryBatch { targets })
    }
}

fn read_target(bytes: &mut &[u8]) -> Result<TargetEntries> {
    let tag = TargetTag(u64::from_le_bytes(read_array(bytes)?));
    let incarnation = Incarnation(read_varint(bytes)?);
    let [flags] = read_array(bytes)?;
    let mut ops = Vec::new();
    for kind in [EntryOp::Stored, EntryOp::Evicted, EntryOp::Provisional] {
        for _ in 0..read_varint(bytes)? {
            ops.push(kind(u64::from_le_bytes(read_array(bytes)?)));
        }
    }
    let (gap, replace) = (flags & FLAG_GAP != 0, flags & FLAG_REPLACE != 0);
    Ok(TargetEntries { tag, incarnation, gap, replace, ops })
}

fn write_varint(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

fn read_varint(bytes: &mut &[u8]) -> Result<u64> {
    let mut number = 0;
    for shift in (0..64).step_by(7) {
        let [byte] = read_array(bytes)?;
        number |= u64::from(byte & 0x7f) << shift;
        if byte & 0x80 == 0 {
            return Ok(number);
        }
    }
    Err(Error::Truncated)
}

fn read_array<const N: usize>(bytes: &mut &[u8]) -> Result<[u8; N]> {
    let (head, remaining) = bytes.split_first_chunk::<N>().ok_or(Error::Truncated)?;
    *bytes = remaining;
    Ok(*head)
}
