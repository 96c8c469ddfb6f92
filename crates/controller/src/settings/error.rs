//! Errors in settings files.

use crate::networks::NetworksError;

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("can't read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A setting is invalid.
    #[error("{path}: {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// The setting that is invalid, and why.
        source: SettingError,
    },
}

/// Why a setting is invalid. The text names the setting.
#[derive(Debug, thiserror::Error)]
pub enum SettingError {
    /// The text is not TOML, or a setting is missing or has the wrong type.
    #[error("{message} (line {line}: {text})")]
    Toml {
        /// The message of the parser, which names the setting.
        message: String,
        /// Number of the line in the file, counted from 1.
        line: usize,
        /// The line, without white space at its ends.
        text: String,
    },
    /// The same as [`Toml`](Self::Toml), but the parser gives no position in the file.
    #[error("{0}")]
    TomlWithoutLine(String),
    /// The text is not an INI file.
    #[error(transparent)]
    Ini(#[from] ini::ParseError),
    /// No setting has this name.
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
        /// Name of the setting.
        name: &'static str,
        /// The value that was set.
        value: String,
    },
    /// The setting is not a finite number above 0.
    #[error("{name} must be a number above 0, not {value}")]
    NotPositive {
        /// Name of the setting.
        name: &'static str,
        /// The value that was set.
        value: f64,
    },
    /// The setting is not a finite number of at least 0.
    #[error("{name} must be a number of at least 0, not {value}")]
    Negative {
        /// Name of the setting.
        name: &'static str,
        /// The value that was set.
        value: f64,
    },
    /// The setting is below its minimum.
    #[error("{name} must be at least {min}")]
    BelowMinimum {
        /// Name of the setting.
        name: &'static str,
        /// The minimum that is allowed.
        min: usize,
    },
    /// A guarantee or limit of the team with this name is not a finite number of at least 0.
    #[error("settings.teams: {0} has a negative amount")]
    NegativeTeamAmount(String),
    /// The setting is not a number.
    #[error("{0} must be a number")]
    NotANumber(String),
    /// The setting is not a whole number of at least 0.
    #[error("{0} must be a whole number")]
    NotAWholeNumber(String),
    /// The setting is not a time, or not within its range.
    #[error("{name} must be from {min_s} to {max_s} seconds")]
    OutOfRange {
        /// Name of the setting.
        name: String,
        /// The shortest time that is allowed, s.
        min_s: u64,
        /// The longest time that is allowed, s.
        max_s: u64,
    },
    /// The setting is neither `on` nor `off`.
    #[error("{0} must be on or off")]
    NotOnOrOff(String),
    /// The setting is not a list of networks.
    #[error("{name}: {source}")]
    Networks {
        /// Name of the setting.
        name: String,
        /// The part of the list that is invalid.
        source: NetworksError,
    },
}
