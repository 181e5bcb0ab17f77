//! Zone membership: heartbeats, rosters and ownership.
