//! The latest changes of the store as this router read them, kept for peers that read them from here.
//!
//! Each change of the store concerns every router, and each call to the store is paid for. A router that hears of a
//! change therefore reads it from a peer that has it. What is handed on is the store's own answer, so that a chain of
//! routers can't distort it.

use std::{collections::VecDeque, sync::Arc};

use godwitroad_base::StoreRevision;

/// The limit of answers that are kept.
const MAX_PIECES: usize = 128;

/// The size limit of all answers that are kept.
pub const MAX_CHANGES_BYTES: usize = 512 * 1024;

/// An answer of the store that contains all changes after one revision up to another one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangePiece {
    /// The revision after which the changes begin.
    pub after: StoreRevision,
    /// The revision up to which there are no other changes.
    pub upto: StoreRevision,
    /// The answer as the store sent it; empty if it had no changes.
    pub body: Arc<[u8]>,
}

/// Answers of the store without a gap between them, oldest first.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    pieces: VecDeque<ChangePiece>,
    bytes: usize,
}

impl ChangeLog {
    /// Adds the next answer. Earlier ones are dropped if there is a gap before it, and the oldest ones if they are too
    /// many or too large.
    pub fn record(&mut self, piece: ChangePiece) {
        if self.pieces.back().is_some_and(|last| !follows(last, &piece)) {
            self.pieces.clear();
            self.bytes = 0;
        }
        match self.pieces.back_mut() {
            Some(last) if piece.upto <= last.upto => return,
            Some(last) if piece.body.is_empty() => {
                last.upto = piece.upto;
                return;
            }
            _ => {}
        }
        self.bytes += piece.body.len();
        self.pieces.push_back(piece);
        while self.bytes > MAX_CHANGES_BYTES || self.pieces.len() > MAX_PIECES {
            let Some(oldest) = self.pieces.pop_front() else { break };
            self.bytes -= oldest.body.len();
        }
    }

    /// Returns answers with all changes after a revision, or `None` if there are none or some are no longer kept. The
    /// first one may contain earlier changes, too.
    pub fn since(&self, after: StoreRevision) -> Option<Vec<ChangePiece>> {
        let newer: Vec<ChangePiece> =
            self.pieces.iter().filter(|piece| piece.upto > after).cloned().collect();
        let first = newer.first()?;
        (first.after <= after && first.after.era() == after.era()).then_some(newer)
    }
}

// Returns whether no change is missing between two answers.
fn follows(last: &ChangePiece, next: &ChangePiece) -> bool {
    next.after.era() == last.upto.era() && next.after <= last.upto
}
