//! The HTTP server: the API for users, workers' heartbeats, the state of replication, and health
//! checks.

use crate::actor::HeartbeatReply;
use crate::api::{ApiService, Origin};
use crate::concurrency_limiter::ConcurrencyLimiter;
use crate::request_outcome::RequestOutcome;
use hookway_constants as constants;
use hookway_wire::{ErrorBody, Heartbeat, HeartbeatRedirect, JobId, JobStatus};
use salvo::http::{HeaderValue, StatusCode};
use salvo::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Creates the HTTP service with all routes.
pub fn service(api: Arc<ApiService>) -> Service {
    let limits = Arc::new(UserLimits::new(api.max_sockets()));
    let user_handler = |kind| UserHandler { api: api.clone(), limits: limits.clone(), kind };
    let router = Router::new()
        .push(Router::with_path("up").get(health_check))
        .push(Router::with_path("replication").get(ReplicationHandler(api.clone())))
        .push(Router::with_path("checkin").post(HeartbeatHandler(api.clone())))
        .push(
            Router::with_path("api/jobs")
                .post(user_handler(UserRequestKind::Submit))
                .push(Router::with_path("{id}").get(user_handler(UserRequestKind::Status)))
                .push(
                    Router::with_path("{id}/withdraw").post(user_handler(UserRequestKind::Cancel)),
                ),
        );
    Service::new(router).catcher(salvo::catcher::Catcher::default().hoop(render_router_error))
}

/// The kind of a user's request, which determines its time limit and concurrency limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UserRequestKind {
    Submit,
    Status,
    Cancel,
}

impl UserRequestKind {
    /// Returns the time limit for the response.
    fn time_limit(self) -> Duration {
        match self {
            Self::Status => constants::STATUS_TIMEOUT,
            Self::Submit | Self::Cancel => constants::SUBMISSION_TIMEOUT,
        }
    }

    /// Returns the value of `Retry-After` in responses with status 503, s.
    fn retry_after_s(self) -> u32 {
        match self {
            Self::Status => constants::STATUS_RETRY_AFTER_S,
            Self::Submit | Self::Cancel => constants::RETRY_AFTER_S,
        }
    }
}

/// The concurrency limits on users' requests. Status requests have a limit of their own, so that
/// many of them don't block submissions and cancellations, and slow responses to one kind don't
/// lower the limit of the other.
struct UserLimits {
    reads: ConcurrencyLimiter,
    writes: ConcurrencyLimiter,
}

impl UserLimits {
    fn new(max_sockets: usize) -> Self {
        let max_requests = (max_sockets as f64 * constants::CONCURRENCY_SOCKET_SHARE) as usize;
        Self {
            reads: ConcurrencyLimiter::new(max_requests),
            writes: ConcurrencyLimiter::new(max_requests),
        }
    }

    fn limiter(&self, kind: UserRequestKind) -> &ConcurrencyLimiter {
        match kind {
            UserRequestKind::Status => &self.reads,
            UserRequestKind::Submit | UserRequestKind::Cancel => &self.writes,
        }
    }
}

struct UserHandler {
    api: Arc<ApiService>,
    limits: Arc<UserLimits>,
    kind: UserRequestKind,
}

#[async_trait]
impl Handler for UserHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let retry_after_s = self.kind.retry_after_s();
        let limiter = self.limits.limiter(self.kind);
        let Some(permit) = limiter.try_acquire() else {
            return render_unavailable(res, "too many requests in progress", retry_after_s);
        };
        let started_at = Instant::now();
        let outcome = tokio::time::timeout(self.kind.time_limit(), self.execute(req))
            .await
            .unwrap_or_else(|_| RequestOutcome::unavailable("no decision in time"));
        limiter.record_latency(started_at.elapsed());
        drop(permit);
        render_outcome(res, outcome, retry_after_s);
    }
}

impl UserHandler {
    async fn execute(&self, req: &mut Request) -> RequestOutcome {
        if self.kind == UserRequestKind::Submit {
            return self.submit(req).await;
        }
        let Some(job) = req.param::<String>("id").as_deref().and_then(JobId::parse) else {
            return RequestOutcome::NotFound;
        };
        if self.kind == UserRequestKind::Status {
            self.api.user_status(&job).await
        } else {
            self.api.cancel(&job, Origin::User).await
        }
    }

    async fn submit(&self, req: &mut Request) -> RequestOutcome {
        match req.payload_with_max_size(constants::MAX_REQUEST_BODY_BYTES).await {
            Ok(body) => self.api.submit(body, Origin::User).await,
            Err(_) => RequestOutcome::Rejected {
                status: StatusCode::BAD_REQUEST.as_u16(),
                reason: "the body is over 64 KiB or broken".into(),
            },
        }
    }
}

struct HeartbeatHandler(Arc<ApiService>);

#[async_trait]
impl Handler for HeartbeatHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let heartbeat = match read_heartbeat(req).await {
            Ok(heartbeat) => heartbeat,
            Err(reason) => {
                tracing::error!(reason, "invalid heartbeat");
                return render_error(res, StatusCode::BAD_REQUEST, &reason);
            }
        };
        match self.0.answer_heartbeat(heartbeat).await {
            HeartbeatReply::Respond { response, valid_until } if Instant::now() < valid_until => {
                res.status_code(StatusCode::OK);
                res.render(Json(response));
            }
            HeartbeatReply::Redirect(leader) => {
                res.status_code(StatusCode::MISDIRECTED_REQUEST);
                res.render(Json(HeartbeatRedirect { leader }));
            }
            HeartbeatReply::Respond { .. } | HeartbeatReply::Unavailable => {
                render_unavailable(res, "not entitled to answer", constants::RETRY_AFTER_S);
            }
        }
    }
}

/// Reads the heartbeat from the body of a request. The error says why the body has no valid one.
async fn read_heartbeat(req: &mut Request) -> Result<Heartbeat, String> {
    let body = req
        .payload_with_max_size(constants::MAX_REQUEST_BODY_BYTES)
        .await
        .map_err(|error| error.to_string())?;
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

/// Responds to health checks, whether or not this controller can do anything else.
#[handler]
async fn health_check(res: &mut Response) {
    res.status_code(StatusCode::OK);
    res.render(Json(serde_json::json!({ "up": true })));
}

struct ReplicationHandler(Arc<ApiService>);

#[async_trait]
impl Handler for ReplicationHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match tokio::time::timeout(constants::STATUS_TIMEOUT, self.0.replication_status()).await {
            Ok(Some(status)) => res.render(Json(status)),
            _ => render_unavailable(res, "no answer in time", constants::RETRY_AFTER_S),
        }
    }
}

/// Writes the body of responses to requests that no route matches, by an unknown path or a wrong
/// method.
#[handler]
async fn render_router_error(res: &mut Response, ctrl: &mut FlowCtrl) {
    let status = res.status_code.unwrap_or(StatusCode::NOT_FOUND);
    let reason = status.canonical_reason().unwrap_or("error").to_lowercase();
    render_error(res, status, &reason);
    ctrl.skip_rest();
}

fn render_outcome(res: &mut Response, outcome: RequestOutcome, retry_after_s: u32) {
    match outcome {
        RequestOutcome::Accepted(job) => {
            res.status_code(StatusCode::CREATED);
            res.render(Json(JobStatus::from(job)));
        }
        RequestOutcome::Known(job) => {
            res.status_code(StatusCode::OK);
            res.render(Json(JobStatus::from(job)));
        }
        RequestOutcome::NotFound => render_error(res, StatusCode::NOT_FOUND, "no such job"),
        RequestOutcome::Rejected { status, reason } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
            render_error(res, status, &reason);
        }
        RequestOutcome::Unavailable(reason) => render_unavailable(res, &reason, retry_after_s),
    }
}

fn render_unavailable(res: &mut Response, reason: &str, retry_after_s: u32) {
    tracing::debug!(reason, "responding with status 503");
    render_error(res, StatusCode::SERVICE_UNAVAILABLE, reason);
    res.headers_mut().insert("retry-after", HeaderValue::from(retry_after_s));
}

fn render_error(res: &mut Response, status: StatusCode, reason: &str) {
    res.status_code(status);
    res.render(Json(ErrorBody { error: reason.to_owned() }));
}
