//! Arguments of the command line. The comments of the fields and commands are the texts of `--help`.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// hookway, a cluster scheduler.
#[derive(Debug, Parser)]
#[command(name = "hookway", version, about, args_conflicts_with_subcommands = true)]
pub struct Cli {
    /// Run a controller with this settings file (TOML).
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The operators' own settings (INI).
    #[arg(long, value_name = "FILE", env = "HOOKWAY_OPERATOR_SETTINGS")]
    pub operator: Option<PathBuf>,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check settings without starting anything.
    Check {
        /// The platform's settings file (TOML).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' own settings (INI).
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Submit a job.
    Submit {
        /// Address of a controller or load balancer.
        #[arg(long, value_name = "HOST:PORT")]
        server: String,
        /// The job as a JSON file.
        job: PathBuf,
    },
    /// Show a job's state.
    Status {
        /// Address of a controller or load balancer.
        #[arg(long, value_name = "HOST:PORT")]
        server: String,
        /// The job's id, such as req-000412.
        job: String,
    },
    /// Cancel a job.
    #[command(visible_alias = "withdraw")]
    Cancel {
        /// Address of a controller or load balancer.
        #[arg(long, value_name = "HOST:PORT")]
        server: String,
        /// The job's id, such as req-000412.
        job: String,
    },
}
