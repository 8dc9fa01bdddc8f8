//! The HTTP server for operators: metrics, health checks and the data of the
//! query commands.

use std::sync::Arc;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use salvo::http::header::CONTENT_TYPE;
use serde::Deserialize;
use serde::Serialize;
use woadstage_config::fault::Faults;
use woadstage_config::plan;
use woadstage_core::trace::Step;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Time;

use crate::driver::Handle;
use crate::metrics::Metrics;

/// The maximum size of an intent in bytes.
const MAX_INTENT_BYTES: usize = 1 << 20;

/// A recorded step of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordedStep {
    /// The time, in microseconds since the Unix epoch.
    pub at: Time,
    /// The step.
    pub step: Step,
}

/// A planned change.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Change {
    /// The path of the setting.
    pub place: String,
    /// The value in force.
    pub from: Option<String>,
    /// The value after the plan is confirmed.
    pub to: Option<String>,
}

/// The plan made from an intent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Plan {
    /// The planned changes.
    pub changes: Vec<Change>,
    /// The document to publish.
    pub document: String,
    /// The revision of the document.
    pub revision: u64,
    /// The platform's index of the document in force, for a check-and-set on
    /// publication.
    pub base_index: u64,
}

/// A fault in a document or an intent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Fault {
    /// The path of the setting.
    pub place: String,
    /// The result code.
    pub code: String,
    /// The advice for correcting it.
    pub mend: String,
}

#[derive(Debug, Clone, Copy)]
enum Route {
    Metrics,
    Health,
    Ready,
    Status,
    Explain,
    Plan,
}

struct OperatorHandler {
    route: Route,
    handle: Handle,
    metrics: Arc<Metrics>,
}

/// Returns the router for operators.
pub fn router(handle: &Handle, metrics: &Arc<Metrics>) -> Router {
    let handler = |route| OperatorHandler {
        route,
        handle: handle.clone(),
        metrics: metrics.clone(),
    };
    Router::new()
        .push(Router::with_path("metrics").get(handler(Route::Metrics)))
        .push(Router::with_path("healthz").get(handler(Route::Health)))
        .push(Router::with_path("readyz").get(handler(Route::Ready)))
        .push(Router::with_path("v1/status").get(handler(Route::Status)))
        .push(Router::with_path("v1/explain/{request}").get(handler(Route::Explain)))
        .push(Router::with_path("v1/plan").post(handler(Route::Plan)))
}

#[async_trait]
impl Handler for OperatorHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        match self.route {
            Route::Metrics => text(response, StatusCode::OK, self.metrics.to_text()),
            Route::Health => self.health(response).await,
            Route::Ready => self.ready(response).await,
            Route::Status => self.status(response).await,
            Route::Explain => self.explain(request, response).await,
            Route::Plan => self.plan(request, response).await,
        }
    }
}

fn text(response: &mut Response, status: StatusCode, body: String) {
    response.status_code(status);
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response.body(body);
}

fn json<T: Serialize>(response: &mut Response, status: StatusCode, value: &T) {
    response.status_code(status);
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response.body(serde_json::to_string(value).unwrap_or_default());
}

fn faults(response: &mut Response, status: StatusCode, faults: &Faults) {
    let shown: Vec<Fault> = faults
        .0
        .iter()
        .map(|fault| Fault {
            place: fault.path.clone(),
            code: fault.code.to_string(),
            mend: fault.remedy.clone(),
        })
        .collect();
    json(response, status, &shown);
}

fn fault(response: &mut Response, status: StatusCode, code: Code) {
    let mut one = Faults::default();
    one.add("", code, code.text());
    faults(response, status, &one);
}

impl OperatorHandler {
    async fn health(&self, response: &mut Response) {
        let alive = self.handle.ask(|_, _| ()).await.is_some();
        let status = if alive {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        text(response, status, "alive\n".into());
    }

    async fn ready(&self, response: &mut Response) {
        let ready = self
            .handle
            .ask(|node, _| node.is_ready())
            .await
            .unwrap_or(false);
        match ready {
            true => text(response, StatusCode::OK, "ready\n".into()),
            false => text(
                response,
                StatusCode::SERVICE_UNAVAILABLE,
                "not ready\n".into(),
            ),
        }
    }

    async fn status(&self, response: &mut Response) {
        match self.handle.ask(|node, now| node.status(now)).await {
            Some(status) => json(response, StatusCode::OK, &status),
            None => fault(response, StatusCode::SERVICE_UNAVAILABLE, Code::Stopping),
        }
    }

    async fn explain(&self, request: &Request, response: &mut Response) {
        let id = request
            .param::<String>("request")
            .and_then(|id| id.parse::<id::Request>().ok());
        let Some(id) = id else {
            return fault(response, StatusCode::BAD_REQUEST, Code::RequestUnknown);
        };
        let steps = self
            .handle
            .ask(move |node, _| node.explain_opt(id).map(<[_]>::to_vec))
            .await;
        match steps.flatten() {
            Some(steps) => {
                let shown: Vec<RecordedStep> = steps
                    .into_iter()
                    .map(|(at, step)| RecordedStep { at, step })
                    .collect();
                json(response, StatusCode::OK, &shown);
            }
            None => fault(response, StatusCode::NOT_FOUND, Code::RequestUnknown),
        }
    }

    async fn plan(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload_with_max_size(MAX_INTENT_BYTES).await;
        let intent = body
            .ok()
            .and_then(|body| String::from_utf8(body.to_vec()).ok());
        let Some(intent) = intent else {
            return fault(response, StatusCode::BAD_REQUEST, Code::IntentInvalid);
        };
        let document = self
            .handle
            .ask(|node, _| node.document_opt().cloned())
            .await
            .flatten();
        let base = document.as_ref().map_or("", |document| &document.text);
        match plan::build(base, &intent) {
            Ok(plan) => {
                let change = |change: plan::Change| {
                    let plan::Change {
                        path: place,
                        from,
                        to,
                    } = change;
                    Change { place, from, to }
                };
                let shown = Plan {
                    changes: plan.changes.into_iter().map(change).collect(),
                    document: plan.document,
                    revision: plan.confirmation.revision,
                    base_index: document.map_or(0, |document| document.index),
                };
                json(response, StatusCode::OK, &shown);
            }
            Err(found) => faults(response, StatusCode::UNPROCESSABLE_ENTITY, &found),
        }
    }
}
