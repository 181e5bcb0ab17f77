//! Checks the files that the settings refer to.

use super::{DaemonSettings, Result, SettingsError, SettingsProblem};

pub(super) fn check_files(settings: &DaemonSettings) -> Result<()> {
    let mut problems = Vec::new();
    let mut problem = |path: &str, reason: String| {
        problems.push(SettingsProblem { path: path.to_string(), reason });
    };
    if let Some(path) = &settings.config_file
        && let Err(error) = crate::app::load_document(path)
    {
        problem("$.config_file", format!("{error:#}"));
    }
    if let Some(tls) = &settings.tls
        && let Err(error) = crate::tls::load_certificate(tls)
    {
        problem("$.tls", error.to_string());
    }
    if let Some(path) = &settings.target_ca
        && let Err(error) = crate::tls::target_config(path)
    {
        problem("$.target_ca", error.to_string());
    }
    if problems.is_empty() { Ok(()) } else { Err(SettingsError(problems)) }
}
