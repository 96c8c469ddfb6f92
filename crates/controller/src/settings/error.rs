//! Errors of settings.

use crate::networks::NetworksError;

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("can't read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A setting is invalid.
    #[error("{path}: {source}")]
    Invalid {
        /// The file.
        path: String,
        /// What is invalid.
        source: SettingError,
    },
}

/// What is invalid about settings. The text names the setting.
#[derive(Debug, thiserror::Error)]
pub enum SettingError {
    /// The text is not TOML, or a setting is missing or has the wrong type.
    #[error("{message} (line {line}: {text})")]
    Toml {
        /// The message of the parser, which names the setting.
        message: String,
        /// The number of the line.
        line: usize,
        /// The line.
        text: String,
    },
    /// The same, where the parser names no line.
    #[error("{0}")]
    TomlWithoutLine(String),
    /// The text is not an INI file.
    #[error(transparent)]
    Ini(#[from] ini::ParseError),
    /// There is no such setting.
    #[error("unknown setting {0}")]
    Unknown(String),
    /// The setting must not be empty.
    #[error("{0} must not be empty")]
    Empty(&'static str),
    /// The setting must list at least one zone.
    #[error("{0} must name a zone")]
    NoZone(&'static str),
    /// The setting is not an address with a port.
    #[error("{name} must be an address with a port, not {value:?}")]
    Address {
        /// The setting.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// The setting is not a positive number.
    #[error("{name} must be a number above 0, not {value}")]
    NotPositive {
        /// The setting.
        name: &'static str,
        /// Its value.
        value: f64,
    },
    /// The setting is negative or not a number.
    #[error("{name} must be a number of at least 0, not {value}")]
    Negative {
        /// The setting.
        name: &'static str,
        /// Its value.
        value: f64,
    },
    /// The setting is below its minimum.
    #[error("{name} must be at least {min}")]
    BelowMinimum {
        /// The setting.
        name: &'static str,
        /// The minimum.
        min: usize,
    },
    /// An amount of a team is negative or not a number.
    #[error("settings.teams: {0} has a negative amount")]
    NegativeTeamAmount(String),
    /// The setting is not a number.
    #[error("{0} must be a number")]
    NotANumber(String),
    /// The setting is not a whole number.
    #[error("{0} must be a whole number")]
    NotAWholeNumber(String),
    /// The setting is not a time in its range.
    #[error("{name} must be from {min_s} to {max_s} seconds")]
    OutOfRange {
        /// The setting.
        name: String,
        /// The minimum, s.
        min_s: u64,
        /// The maximum, s.
        max_s: u64,
    },
    /// The setting is neither `on` nor `off`.
    #[error("{0} must be on or off")]
    NotASwitch(String),
    /// The setting is not a list of networks.
    #[error("{name}: {source}")]
    Networks {
        /// The setting.
        name: String,
        /// The part that is invalid.
        source: NetworksError,
    },
}
