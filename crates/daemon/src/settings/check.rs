//! Checks the files that the settings refer to.

use super::{DaemonSettings, InvalidSetting, Result, SettingsError};

pub(super) fn check_files(settings: &DaemonSettings) -> Result<()> {
    let mut errors = Vec::new();
    let mut add_error = |path: &str, reason: String| {
        errors.push(InvalidSetting { path: path.to_string(), reason });
    };
    if let Some(path) = &settings.config_file
        && let Err(error) = crate::app::load_document(path)
    {
        add_error("$.config_file", format!("{error:#}"));
    }
    if let Some(tls) = &settings.tls
        && let Err(error) = crate::tls::load_certificate(tls)
    {
        add_error("$.tls", error.to_string());
    }
    if let Some(path) = &settings.target_ca
        && let Err(error) = crate::tls::target_config(path)
    {
        add_error("$.target_ca", error.to_string());
    }
    if errors.is_empty() { Ok(()) } else { Err(SettingsError(errors)) }
}
