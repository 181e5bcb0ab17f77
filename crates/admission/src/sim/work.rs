//! The routers' work at the targets, and what they know of their peers' work.

/// The number of zones.
pub(super) const ZONES: usize = 3;

/// Unread tokens, requests and memory.
type Work = [f64; 3];

/// The work of each router at each target, and what the last gossip told of it.
#[derive(Clone, Debug)]
pub(super) struct GossipedWork {
    own: Vec<Vec<Work>>,
    // Each router's own work in the last message within its zone.
    sent: Vec<Vec<Work>>,
    // By zone: the sum of the last messages, as known within the zone and outside.
    near: Vec<Vec<Work>>,
    far: Vec<Vec<Work>>,
}

impl GossipedWork {
    pub(super) fn new(routers: usize, targets: usize) -> GossipedWork {
        let none = |count| vec![vec![[0.0; 3]; targets]; count];
        GossipedWork {
            own: none(routers),
            sent: none(routers),
            near: none(ZONES),
            far: none(ZONES),
        }
    }

    pub(super) fn add(&mut self, router: usize, target: usize, work: Work) {
        let own = &mut self.own[router][target];
        own.iter_mut().zip(work).for_each(|(sum, part)| *sum += part);
    }

    /// Returns the work at a target as a router knows it: its own now, and its peers' late.
    pub(super) fn known(&self, router: usize, target: usize) -> Work {
        let zone = router % ZONES;
        let part = |index: usize| {
            let others = (0..ZONES).filter(|other| *other != zone);
            let far: f64 = others.map(|other| self.far[other][target][index]).sum();
            let near = self.near[zone][target][index] - self.sent[router][target][index];
            (self.own[router][target][index] + near + far).max(0.0)
        };
        [part(0), part(1), part(2)]
    }

    /// Sends the gossip of a zone's routers to each other.
    pub(super) fn send_within(&mut self, zone: usize) {
        for sum in &mut self.near[zone] {
            *sum = [0.0; 3];
        }
        for router in (zone..self.own.len()).step_by(ZONES) {
            self.sent[router].clone_from(&self.own[router]);
            for (sum, own) in self.near[zone].iter_mut().zip(&self.own[router]) {
                sum.iter_mut().zip(own).for_each(|(sum, part)| *sum += part);
            }
        }
    }

    /// Sends the gossip of all routers to the other zones.
    pub(super) fn send_far(&mut self) {
        self.far.clone_from(&self.near);
    }
}
