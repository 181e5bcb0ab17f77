//! Numbered event streams and their resumption.
