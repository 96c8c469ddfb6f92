//! The client commands: requests to the API of a controller or load balancer.

use crate::arguments::Command;
use hookway_clients::{ApiClient, ApiError};
use hookway_wire::{JobId, JobStatus};
use std::path::PathBuf;

/// Why a client command failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The job file cannot be read.
    #[error("can't read {}: {source}", path.display())]
    UnreadableFile {
        /// Path of the job file, as given on the command line.
        path: PathBuf,
        /// Why the file cannot be read.
        source: std::io::Error,
    },
    /// The `job` argument does not have the form of a job id.
    #[error("a job's id has the form req-000412")]
    InvalidJobId,
    /// The command, such as `check`, sends no request to the API.
    #[error("not a client command")]
    NotAClientCommand,
    /// The request to the API failed or was rejected.
    #[error(transparent)]
    Api(#[from] ApiError),
}

/// Executes a client command and prints the status of the job.
pub async fn execute(command: Command) -> Result<(), ClientError> {
    let status = match command {
        Command::Submit { server, job: path } => match std::fs::read(&path) {
            Ok(body) => ApiClient::new(&server).submit(body).await?,
            Err(source) => return Err(ClientError::UnreadableFile { path, source }),
        },
        Command::Status { server, job } => {
            ApiClient::new(&server).status(&parse_job_id(&job)?).await?
        }
        Command::Cancel { server, job } => {
            ApiClient::new(&server).cancel(&parse_job_id(&job)?).await?
        }
        Command::Check { .. } => return Err(ClientError::NotAClientCommand),
    };
    print_status(&status);
    Ok(())
}

fn parse_job_id(text: &str) -> Result<JobId, ClientError> {
    JobId::parse(text).ok_or(ClientError::InvalidJobId)
}

fn print_status(status: &JobStatus) {
    println!("{}: {}, {} done, {} running", status.id, status.state, status.done, status.running);
    if let Some(team) = &status.team {
        println!("  team: {team}");
    }
    if let Some(leader) = &status.leader {
        println!("  commanded by: {leader}");
    }
    for note in &status.notes {
        println!("  {note}");
    }
}
