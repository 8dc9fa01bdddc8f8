//! A plain service that counts every execution.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use salvo::http::StatusCode;
use serde::Deserialize;
use serde_json::json;

use super::BODY_LIMIT;

/// What a test may change.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
pub struct Control {
    /// How long one execution takes.
    pub delay_ms: u64,
    /// Refuses a key that it has seen.
    pub checks: bool,
    /// Says that it is leaving.
    pub leaving: bool,
    /// Executes but never answers.
    pub mute: bool,
}

#[derive(Default)]
struct State {
    control: Control,
    /// Executions by body, or by path where there is none.
    runs: BTreeMap<String, u64>,
    keys: HashMap<String, String>,
    running: u32,
}

/// A service that serves.
#[derive(Clone, Default)]
pub struct Served {
    state: Arc<Mutex<State>>,
}

enum Route {
    Work,
    Load,
    Control,
    Counts,
}

struct Page {
    route: Route,
    served: Served,
}

impl Served {
    /// Its routes.
    pub fn router(&self) -> Router {
        let page = |route| Page {
            route,
            served: self.clone(),
        };
        Router::new()
            .push(Router::with_path("load").get(page(Route::Load)))
            .push(Router::with_path("control").post(page(Route::Control)))
            .push(Router::with_path("counts").get(page(Route::Counts)))
            .push(Router::with_path("{**path}").goal(page(Route::Work)))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Executions by what was asked.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.lock().runs.clone()
    }

    /// Changes how it behaves.
    pub fn set(&self, control: Control) {
        self.lock().control = control;
    }
}

#[async_trait]
impl Handler for Page {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        match self.route {
            Route::Work => self.work(request, response).await,
            Route::Load => {
                let state = self.served.lock();
                let (running, leaving) = (state.running, state.control.leaving);
                let load = json!({"running": running, "waiting": 0, "leaving": leaving});
                super::json(response, StatusCode::OK, &load);
            }
            Route::Control => self.control(request, response).await,
            Route::Counts => {
                let runs = self.served.runs();
                super::json(response, StatusCode::OK, &json!(runs));
            }
        }
    }
}

impl Page {
    async fn control(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload_with_max_size(BODY_LIMIT).await;
        if let Some(control) = body.ok().and_then(|body| serde_json::from_slice(body).ok()) {
            self.served.set(control);
        }
        super::json(response, StatusCode::OK, &json!({}));
    }

    async fn work(&self, request: &mut Request, response: &mut Response) {
        let key = request.header::<String>("idempotency-key");
        let path = request.uri().path().to_string();
        let body = request
            .payload_with_max_size(BODY_LIMIT)
            .await
            .cloned()
            .unwrap_or_default();
        let body = String::from_utf8_lossy(&body).to_string();
        let what = if body.is_empty() { path.clone() } else { body };
        let control = {
            let mut state = self.served.lock();
            let known = key.as_ref().and_then(|key| state.keys.get(key)).cloned();
            if let Some(answer) = known.filter(|_| state.control.checks) {
                let body = json!({"ran": answer, "repeated": true});
                return super::json(response, StatusCode::OK, &body);
            }
            *state.runs.entry(what.clone()).or_default() += 1;
            if let Some(key) = key {
                state.keys.insert(key, what.clone());
            }
            state.running += 1;
            state.control
        };
        tokio::time::sleep(Duration::from_millis(control.delay_ms)).await;
        while self.served.lock().control.mute {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.served.lock().running -= 1;
        super::json(
            response,
            StatusCode::OK,
            &json!({"ran": what, "path": path}),
        );
    }
}
