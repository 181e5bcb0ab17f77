//! The fair division of the work that client accounts ask for.

use godwitroad_base::AccountName;

/// The work that one account's callers ask for, over all routers.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountDemand {
    /// The account.
    pub account: AccountName,
    /// Units per second that its callers ask for.
    pub per_second: f64,
}

/// Returns the part of an account's demand that is within an even division of the accounts' total demand, at most 1.
///
/// An account with less than an even part gets all of it; the others share the remainder evenly. The division is that of
/// the demand itself, so an account counts as large only relative to the other accounts.
pub(crate) fn fair_part(demands: &[AccountDemand], account: Option<&AccountName>) -> f64 {
    let own = demands.iter().find(|demand| Some(&demand.account) == account);
    let Some(own) = own.filter(|own| own.per_second > 0.0) else { return 1.0 };
    let total: f64 = demands.iter().map(|demand| demand.per_second.max(0.0)).sum();
    let active = demands.iter().filter(|demand| demand.per_second > 0.0).count();
    let even = total / active as f64;
    (even / own.per_second).min(1.0)
}
