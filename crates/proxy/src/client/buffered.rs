//! The memory of answers that are read to their ends before they are passed on.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;

/// The size limit of an answer body that is buffered completely.
pub const MAX_BUFFERED_BODY_BYTES: usize = 4 << 20;

/// The size limit of all answer bodies that are being buffered at one time, so that many targets whose bodies don't end
/// can't exhaust the memory of the process.
const MAX_BUFFERED_TOTAL_BYTES: usize = 12 << 20;

/// A body that was read to its end and counts among those that are being buffered. Clones share the count.
#[derive(Clone, Debug)]
pub struct BufferedBody {
    /// The body.
    pub bytes: Bytes,
    _counted: Rc<BufferedBytes>,
}

/// Counts the bytes of one answer among those that are being buffered, until it is dropped.
#[derive(Debug)]
pub(super) struct BufferedBytes {
    total: Rc<Cell<usize>>,
    own: usize,
}

impl BufferedBody {
    /// Returns a body with the count of its bytes.
    pub(super) fn new(bytes: Bytes, counted: BufferedBytes) -> BufferedBody {
        BufferedBody { bytes, _counted: Rc::new(counted) }
    }
}

impl BufferedBytes {
    /// Counts nothing yet. `total` has the bytes of all answers.
    pub(super) fn new(total: Rc<Cell<usize>>) -> BufferedBytes {
        BufferedBytes { total, own: 0 }
    }

    /// Counts further bytes; returns whether they are within the limits.
    pub(super) fn add(&mut self, bytes: usize) -> bool {
        self.own += bytes;
        self.total.set(self.total.get() + bytes);
        self.own <= MAX_BUFFERED_BODY_BYTES && self.total.get() <= MAX_BUFFERED_TOTAL_BYTES
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.own);
    }
}
