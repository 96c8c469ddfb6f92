//! The hookway binary: runs a controller, checks settings files, or executes a client command.
//!
//! Exit codes: 0 for success, 1 for failure, and 2 for invalid arguments (given by clap).

mod arguments;
mod client;
mod logging;

use arguments::{Cli, Command};
use clap::Parser;
use hookway_controller::{ConfigError, OperatorSettings, Settings};
use std::path::Path;
use std::process::ExitCode;
use tokio::runtime::Runtime;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(error),
    };
    match (cli.config, cli.command) {
        (Some(config), None) => run_controller(&runtime, &config, cli.operator.as_deref()),
        (_, Some(Command::Check { config, operator })) => {
            check_settings(&config, operator.as_deref())
        }
        (_, Some(command)) => exit_code(runtime.block_on(client::execute(command))),
        (None, None) => fail("nothing to do: give --config FILE or a command (see --help)"),
    }
}

/// Runs a controller until the process ends; fails if the controller cannot start.
fn run_controller(runtime: &Runtime, config: &Path, operator: Option<&Path>) -> ExitCode {
    logging::start();
    match load_settings(config, operator) {
        Ok((settings, operator)) => {
            exit_code(runtime.block_on(hookway_controller::run(settings, operator)))
        }
        Err(error) => fail(error),
    }
}

/// Checks the settings files without starting a controller.
fn check_settings(config: &Path, operator: Option<&Path>) -> ExitCode {
    let checked = load_settings(config, operator);
    exit_code(checked.map(|(settings, _)| {
        println!("{}: the settings are sound", settings.controller_name);
    }))
}

/// Loads the platform's settings, and the operators' settings or, without a file, their defaults.
fn load_settings(
    config: &Path,
    operator: Option<&Path>,
) -> Result<(Settings, OperatorSettings), ConfigError> {
    let settings = Settings::load(config)?;
    let operator = operator.map(OperatorSettings::load).transpose()?.unwrap_or_default();
    Ok((settings, operator))
}

fn exit_code(result: Result<(), impl std::fmt::Display>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error),
    }
}

/// Prints an error and returns the exit code of a failure.
fn fail(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("hookway: {error}");
    ExitCode::FAILURE
}
