//! Reads newer configurations from peers that have them.

use godwitroad_base::ClockSpan;
use godwitroad_forward::{ForwardEvent, ForwardState};
use tokio::time::timeout_at;

use crate::{core::SharedCore, platform::PlatformAdapter, relay};

/// The longest time between two checks while no read is due.
const MAX_PAUSE: ClockSpan = ClockSpan::from_secs(1);

/// Reads the configuration from peers that have a newer one, for as long as the process runs.
pub(crate) async fn run<P: PlatformAdapter>(core: SharedCore<P>) {
    loop {
        let now = core.now();
        if let Some(read) = core.update(|state| state.begin_config_read(now)) {
            if let Some(rules) = relay::read_config(&core, &read).await {
                core.handle(ForwardEvent::PeerRules(rules));
            }
            continue;
        }
        let due = core.read(ForwardState::next_config_read);
        let pause = due.map_or(MAX_PAUSE, |due| due.since(core.now()));
        // A message of a peer may bring the next read forward.
        let _ = timeout_at(core.deadline(pause), core.read_config.notified()).await;
    }
}
