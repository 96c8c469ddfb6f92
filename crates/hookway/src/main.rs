//! The hookway service and its client commands.

use clap::{Parser, Subcommand};
use hookway_clients::{ApiClient, ApiError};
use hookway_controller::{OperatorSettings, Settings};
use hookway_wire::{JobId, JobStatus};
use std::path::PathBuf;
use std::process::ExitCode;

/// hookway, a cluster scheduler.
#[derive(Debug, Parser)]
#[command(name = "hookway", version, about, args_conflicts_with_subcommands = true)]
struct Cli {
    /// Run a controller with this settings file (TOML).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' own settings (INI).
    #[arg(long, value_name = "FILE", env = "HOOKWAY_OPERATOR_SETTINGS")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
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

fn fail(why: impl std::fmt::Display) -> ExitCode {
    eprintln!("hookway: {why}");
    ExitCode::FAILURE
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => return fail(e),
    };
    match (cli.config, cli.command) {
        (Some(config), None) => {
            start_logging();
            let (settings, operator) = match load(&config, cli.operator.as_deref()) {
                Ok(loaded) => loaded,
                Err(why) => return fail(why),
            };
            match runtime.block_on(hookway_controller::run(settings, operator)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(why) => fail(why),
            }
        }
        (_, Some(Command::Check { config, operator })) => {
            match load(&config, operator.as_deref()) {
                Ok((settings, _)) => {
                    println!("{}: the settings are sound", settings.controller_name);
                    ExitCode::SUCCESS
                }
                Err(why) => fail(why),
            }
        }
        (_, Some(command)) => runtime.block_on(client(command)),
        (None, None) => fail("nothing to do: give --config FILE or a command (see --help)"),
    }
}

fn load(
    config: &std::path::Path,
    operator: Option<&std::path::Path>,
) -> Result<(Settings, OperatorSettings), hookway_controller::ConfigError> {
    let settings = Settings::load(config)?;
    let operator = match operator {
        Some(path) => OperatorSettings::load(path)?,
        None => OperatorSettings::default(),
    };
    Ok((settings, operator))
}

/// Logs go to standard error, as much as `LOG_LEVEL` says.
fn start_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("error") => tracing::Level::ERROR,
        _ => tracing::Level::INFO,
    };
    let hookway_only = tracing_subscriber::filter::filter_fn(|m| m.target().starts_with("hookway"));
    use tracing_subscriber::layer::SubscriberExt;
    use tracing_subscriber::util::SubscriberInitExt;
    tracing_subscriber::registry()
        .with(tracing_subscriber::filter::LevelFilter::from_level(level))
        .with(hookway_only)
        .with(
            tracing_subscriber::fmt::layer()
                .with_writer(std::io::stderr)
                .with_ansi(false)
                .without_time()
                .with_target(false),
        )
        .init();
}

async fn client(command: Command) -> ExitCode {
    let id = |job: &str| JobId::parse(job).ok_or("a job's id has the form req-000412");
    let answer: Result<Result<JobStatus, ApiError>, String> = match command {
        Command::Submit { server, job } => match std::fs::read(&job) {
            Ok(body) => Ok(ApiClient::new(&server).submit(body).await),
            Err(e) => Err(format!("can't read {}: {e}", job.display())),
        },
        Command::Status { server, job } => match id(&job) {
            Ok(id) => Ok(ApiClient::new(&server).status(&id).await),
            Err(e) => Err(e.into()),
        },
        Command::Cancel { server, job } => match id(&job) {
            Ok(id) => Ok(ApiClient::new(&server).cancel(&id).await),
            Err(e) => Err(e.into()),
        },
        Command::Check { .. } => Err("not a client command".into()),
    };
    match answer {
        Ok(Ok(status)) => {
            show(&status);
            ExitCode::SUCCESS
        }
        Ok(Err(why)) => fail(why),
        Err(why) => fail(why),
    }
}

fn show(status: &JobStatus) {
    println!("{}: {}, {} done, {} running", status.id, status.state, status.done, status.running);
    if let Some(team) = &status.team {
        println!("  team: {team}");
    }
    if let Some(commander) = &status.leader {
        println!("  commanded by: {commander}");
    }
    for note in &status.notes {
        println!("  {note}");
    }
}
