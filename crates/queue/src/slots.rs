//! Limits on the number of requests that a router runs at each target.
//!
//! The slots of a target are divided over the routers. The shares overlap, because routers are rarely all busy at
//! once. Requests beyond the share of a router wait in its fair queue, which orders them by account and priority.

/// The settings of a slot table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotSettings {
    /// The sum of the shares of all routers, relative to the slots of a target.
    pub overlap: f64,
    /// The minimum share of one router in slots.
    pub min_share: u32,
}

impl Default for SlotSettings {
    fn default() -> SlotSettings {
        SlotSettings { overlap: 2.0, min_share: 1 }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct TargetSlots {
    slots: u32,
    running: u32,
}

/// The slots of all targets, which are identified by their position.
#[derive(Clone, Debug)]
pub struct SlotTable {
    settings: SlotSettings,
    routers: u32,
    targets: Vec<TargetSlots>,
}

impl SlotTable {
    /// Returns a table without targets that are shared by one router.
    pub fn new(settings: SlotSettings) -> SlotTable {
        SlotTable { settings, routers: 1, targets: Vec::new() }
    }

    /// Sets the number of routers that share the targets.
    pub fn set_routers(&mut self, routers: usize) {
        self.routers = u32::try_from(routers).unwrap_or(u32::MAX).max(1);
    }

    /// Sets the number of slots of a target; zero excludes the target.
    pub fn set_slots(&mut self, target: usize, slots: u32) {
        if self.targets.len() <= target {
            self.targets.resize(target + 1, TargetSlots::default());
        }
        self.targets[target].slots = slots;
    }

    /// Returns the number of slots of a target that this router may use.
    pub fn share(&self, target: usize) -> u32 {
        let slots = self.targets.get(target).map_or(0, |target| target.slots);
        if slots == 0 {
            return 0;
        }
        let share = f64::from(slots) * self.settings.overlap / f64::from(self.routers);
        (share.ceil() as u32).clamp(self.settings.min_share, slots.max(self.settings.min_share))
    }

    /// Returns the number of further requests that this router may send to a target.
    pub fn free(&self, target: usize) -> u32 {
        let running = self.targets.get(target).map_or(0, |target| target.running);
        self.share(target).saturating_sub(running)
    }

    /// Takes a slot of a target and returns whether one was free.
    pub fn take(&mut self, target: usize) -> bool {
        let is_free = self.free(target) > 0;
        if is_free {
            self.targets[target].running += 1;
        }
        is_free
    }

    /// Releases a slot of a target.
    pub fn release(&mut self, target: usize) {
        if let Some(target) = self.targets.get_mut(target) {
            target.running = target.running.saturating_sub(1);
        }
    }

    /// Returns the number of free slots and the share of slots, both summed over the targets that `usable` accepts.
    pub fn totals(&self, usable: impl Fn(usize) -> bool) -> (u32, u32) {
        let selected = (0..self.targets.len()).filter(|&target| usable(target));
        selected.fold((0, 0), |(free, all), target| {
            (free + self.free(target), all + self.share(target))
        })
    }
}
