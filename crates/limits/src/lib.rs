//! Fleet-wide token rates and bursts.
