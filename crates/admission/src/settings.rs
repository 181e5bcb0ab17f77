//! The limits and thresholds of admission.

use std::fmt;

/// The limits and thresholds of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Whether routers admit requests by these settings.
    pub active: bool,
    /// The multiple of its latency objective up to which a request's estimated time to the first event may reach.
    pub objective_factor: f64,
    /// The fraction of more urgent requests' latency objective up to which a less urgent request may find a backlog.
    pub urgent_fraction: f64,
    /// The fraction of requests of every kind and account that are admitted regardless of priority and account.
    pub exempt_fraction: f64,
    /// The smallest factor that an account's share of the work applies to the backlog that its requests may find.
    pub min_account_factor: f64,
}

/// A setting outside its range.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// The name of the setting in settings files.
    pub name: &'static str,
    /// The range of valid values.
    pub range: &'static str,
}

impl Default for AdmissionSettings {
    fn default() -> AdmissionSettings {
        AdmissionSettings {
            active: false,
            objective_factor: 1.0,
            urgent_fraction: 0.5,
            exempt_fraction: 0.3,
            min_account_factor: 0.5,
        }
    }
}

impl AdmissionSettings {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that isn't.
    pub fn validate(&self) -> std::result::Result<(), SettingsError> {
        let checks = [
            ((0.1..=10.0).contains(&self.objective_factor), "ObjectiveFactor", "0.1 to 10"),
            ((0.0..=10.0).contains(&self.urgent_fraction), "UrgentFraction", "0 to 10"),
            ((0.0..=1.0).contains(&self.exempt_fraction), "ExemptFraction", "0 to 1"),
            ((0.0..=1.0).contains(&self.min_account_factor), "MinAccountFactor", "0 to 1"),
        ];
        match checks.into_iter().find(|(is_valid, ..)| !is_valid) {
            Some((_, name, range)) => Err(SettingsError { name, range }),
            None => Ok(()),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "`{}` must be {}", self.name, self.range)
    }
}

impl std::error::Error for SettingsError {}
