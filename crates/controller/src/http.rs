//! The HTTP interface for users, workers and health checks.

use crate::actor::HeartbeatReply;
use crate::api_service::ApiService;
use crate::request_outcome::RequestOutcome;
use hookway_constants as constants;
use hookway_wire::{ErrorBody, Heartbeat, HeartbeatRedirect, JobId, JobStatus};
use salvo::http::{HeaderValue, StatusCode};
use salvo::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

fn refuse(res: &mut Response, status: StatusCode, why: &str) {
    res.status_code(status);
    res.render(Json(ErrorBody { error: why.to_owned() }));
}

fn unavailable(res: &mut Response, why: &str, back_s: u32) {
    tracing::debug!("503: {why}");
    refuse(res, StatusCode::SERVICE_UNAVAILABLE, why);
    res.headers_mut().insert("retry-after", HeaderValue::from(back_s));
}

fn render(res: &mut Response, verdict: RequestOutcome, back_s: u32) {
    match verdict {
        RequestOutcome::Accepted(told) => {
            res.status_code(StatusCode::CREATED);
            res.render(Json(JobStatus::from(told)));
        }
        RequestOutcome::Known(told) => {
            res.status_code(StatusCode::OK);
            res.render(Json(JobStatus::from(told)));
        }
        RequestOutcome::NotFound => refuse(res, StatusCode::NOT_FOUND, "no such job"),
        RequestOutcome::Rejected(status, why) => {
            refuse(res, StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST), &why);
        }
        RequestOutcome::Unavailable(why) => unavailable(res, &why, back_s),
    }
}

/// Which request of a user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Submit,
    Status,
    Cancel,
}

struct UserHandler(Arc<ApiService>, Kind);

#[async_trait]
impl Handler for UserHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Self(api, kind) = self;
        // Many questions must not shut out submissions, nor one kind's slow answers lower the other's limit.
        let back_s = match kind {
            Kind::Status => constants::STATUS_RETRY_AFTER_S,
            Kind::Submit | Kind::Cancel => constants::RETRY_AFTER_S,
        };
        let limiter = if *kind == Kind::Status { &api.status_limiter } else { &api.limiter };
        let Some(pass) = limiter.try_acquire() else {
            return unavailable(res, "too many requests in progress", back_s);
        };
        let begun = Instant::now();
        let limit = match kind {
            Kind::Status => constants::STATUS_LIMIT_MS,
            Kind::Submit | Kind::Cancel => constants::SUBMIT_LIMIT_MS,
        };
        let work = async {
            if *kind == Kind::Submit {
                return match req.payload_with_max_size(constants::BODY_LIMIT).await {
                    Ok(body) => api.submit(body, false).await,
                    Err(_) => {
                        RequestOutcome::Rejected(400, "the body is over 64 KiB or broken".into())
                    }
                };
            }
            let Some(id) = req.param::<String>("id").as_deref().and_then(JobId::parse) else {
                return RequestOutcome::NotFound;
            };
            if *kind == Kind::Status {
                api.status(&id, false).await
            } else {
                api.cancel(&id, false).await
            }
        };
        let verdict = tokio::time::timeout(Duration::from_millis(limit), work)
            .await
            .unwrap_or_else(|_| RequestOutcome::unavailable("no decision in time"));
        limiter.record_latency(begun.elapsed());
        drop(pass);
        render(res, verdict, back_s);
    }
}

struct HeartbeatHandler(Arc<ApiService>);

#[async_trait]
impl Handler for HeartbeatHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let report = match req.payload_with_max_size(constants::BODY_LIMIT).await {
            Ok(body) => serde_json::from_slice::<Heartbeat>(body).map_err(|e| e.to_string()),
            Err(e) => Err(e.to_string()),
        };
        let report = match report {
            Ok(report) => report,
            Err(why) => {
                tracing::error!("a report can't be read: {why}");
                return refuse(res, StatusCode::BAD_REQUEST, &why);
            }
        };
        match self.0.handle_heartbeat(report).await {
            HeartbeatReply::Respond { response, valid_until } if Instant::now() < valid_until => {
                res.status_code(StatusCode::OK);
                res.render(Json(response));
            }
            HeartbeatReply::Redirect(report_to) => {
                res.status_code(StatusCode::MISDIRECTED_REQUEST);
                res.render(Json(HeartbeatRedirect { leader: report_to }));
            }
            HeartbeatReply::Respond { .. } | HeartbeatReply::Unavailable => {
                unavailable(res, "not entitled to answer", constants::RETRY_AFTER_S)
            }
        }
    }
}

#[handler]
async fn up(res: &mut Response) {
    res.status_code(StatusCode::OK);
    res.render(Json(serde_json::json!({ "up": true })));
}

struct ReplicationHandler(Arc<ApiService>);

#[async_trait]
impl Handler for ReplicationHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let limit = Duration::from_millis(constants::STATUS_LIMIT_MS);
        match tokio::time::timeout(limit, self.0.replication_status()).await {
            Ok(Some(status)) => res.render(Json(status)),
            _ => unavailable(res, "no answer in time", constants::RETRY_AFTER_S),
        }
    }
}

#[handler]
async fn plain_error(res: &mut Response, ctrl: &mut FlowCtrl) {
    let status = res.status_code.unwrap_or(StatusCode::NOT_FOUND);
    let why = status.canonical_reason().unwrap_or("error").to_lowercase();
    refuse(res, status, &why);
    ctrl.skip_rest();
}

/// All routes.
pub fn service(api: Arc<ApiService>) -> Service {
    let user = |kind| UserHandler(api.clone(), kind);
    let router = Router::new()
        .push(Router::with_path("up").get(up))
        .push(Router::with_path("replication").get(ReplicationHandler(api.clone())))
        .push(Router::with_path("checkin").post(HeartbeatHandler(api.clone())))
        .push(
            Router::with_path("api/jobs")
                .post(user(Kind::Submit))
                .push(Router::with_path("{id}").get(user(Kind::Status)))
                .push(Router::with_path("{id}/withdraw").post(user(Kind::Cancel))),
        );
    Service::new(router).catcher(salvo::catcher::Catcher::default().hoop(plain_error))
}
