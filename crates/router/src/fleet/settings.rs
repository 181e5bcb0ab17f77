//! Settings of the components that depend on the store and on other routers.

use godwitroad_idempotency::ClaimSettings;
use godwitroad_limits::RateSettings;
use godwitroad_member::MemberSettings;
use godwitroad_store::ClientSettings;
use godwitroad_sync::SyncSettings;

use crate::RouterSettings;

/// The settings of the components that depend on the store and on other routers.
///
/// The node, the zone and the address in the settings of the components are overwritten by those of the router.
#[derive(Clone, Debug, Default)]
pub struct FleetSettings {
    /// The IP address and port at which peers reach this router.
    pub address: String,
    /// The settings of the store client.
    pub store: ClientSettings,
    /// The settings of the membership protocol.
    pub member: MemberSettings,
    /// The settings of the configuration sync.
    pub sync: SyncSettings,
    /// The settings of the idempotency claims.
    pub claims: ClaimSettings,
    /// The settings of the rate limits.
    pub rates: RateSettings,
}

impl FleetSettings {
    pub(crate) fn member_settings(&self, router: &RouterSettings) -> MemberSettings {
        MemberSettings {
            zone: router.zone.clone(),
            node: router.node.clone(),
            address: self.address.clone(),
            ..self.member.clone()
        }
    }

    pub(crate) fn sync_settings(&self, router: &RouterSettings) -> SyncSettings {
        SyncSettings { vm: router.node.vm.clone(), zone: router.zone.clone(), ..self.sync.clone() }
    }

    pub(crate) fn rate_settings(&self, router: &RouterSettings) -> RateSettings {
        RateSettings { node: router.node.clone(), zone: router.zone.clone(), ..self.rates.clone() }
    }

    pub(crate) fn claim_settings(&self, router: &RouterSettings) -> ClaimSettings {
        ClaimSettings { node: router.node.clone(), ..self.claims.clone() }
    }
}
