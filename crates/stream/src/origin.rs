//! The engines that may write one stream.

use std::sync::Arc;

use godwitroad_base::BuildName;

/// What the engine that writes a stream runs: the text of another build, or of other weights, doesn't fit to it.
///
/// An engine that states no build belongs to one unnamed build, and likewise for the weights.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamOrigin {
    /// The version of the engine's software.
    pub build: Option<BuildName>,
    /// The version of the model's weights.
    pub weights: Option<Arc<str>>,
}

impl StreamOrigin {
    /// Returns whether `other` only states parts that this origin leaves open.
    pub fn is_refined_by(&self, other: &StreamOrigin) -> bool {
        (self.build.is_none() || self.build == other.build)
            && (self.weights.is_none() || self.weights == other.weights)
    }
}
