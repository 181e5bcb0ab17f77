//! The order in which routers share the room of a brittle target.

/// This router's place among those that have requests for a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomPosition {
    /// The number of claiming routers that come before this one. All routers must order each other alike.
    pub index: usize,
    /// The number of reachable routers that claim a part of the room, this one included.
    pub claiming: usize,
    /// The number of reachable routers, this one included.
    pub reachable: usize,
    /// The number of known routers, this one included.
    pub known: usize,
}

impl RoomPosition {
    // Returns the part of a room that the reachable routers may use. The last place belongs to those that are the most.
    pub(super) fn usable(self, room: u32) -> u32 {
        let part = self.reachable as f64 / self.known.max(1) as f64;
        let usable = (f64::from(room) * part.min(1.0)) as u32;
        usable.max(u32::from(part > 0.5))
    }

    // Returns this router's part of the usable room, which at most `holders` routers share.
    pub(super) fn part(self, room: u32, holders: u32) -> u32 {
        let [index, claiming] =
            [self.index, self.claiming].map(|count| u32::try_from(count).unwrap_or(u32::MAX));
        let sharing = claiming.min(holders).max(1);
        if index >= sharing {
            return 0;
        }
        room / sharing + u32::from(index < room % sharing)
    }
}
