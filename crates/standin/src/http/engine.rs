//! An engine behind the OpenAI-compatible API.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use salvo::http::HeaderValue;
use salvo::http::ResBody;
use salvo::http::StatusCode;
use salvo::http::header::CONTENT_TYPE;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use woadstage_core::pool::prefix_cache;

use super::BODY_LIMIT;
use crate::engine::Engine;
use crate::engine::Job;
use crate::engine::Options;
use crate::engine::Outcome;

/// What a test may change.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
pub struct Control {
    /// Times slower; 0 leaves it.
    pub slow: f64,
    /// Answers nothing and computes nothing.
    pub frozen: bool,
    /// Says that it is leaving and refuses new work.
    pub leaving: bool,
    /// Breaks every stream after this many tokens; 0 for never.
    pub break_after: u64,
}

enum Part {
    Token,
    Done { cached: u64 },
}

struct State {
    engine: Engine,
    control: Control,
    waiters: HashMap<u64, mpsc::UnboundedSender<Part>>,
    next: u64,
    served: u64,
    cancelled: u64,
}

/// An engine that serves.
#[derive(Clone)]
pub struct Served {
    state: Arc<Mutex<State>>,
    wake: Arc<Notify>,
    name: Arc<str>,
}

enum Route {
    Chat,
    Load,
    Control,
    Counts,
}

struct Page {
    route: Route,
    served: Served,
}

impl Served {
    /// An idle engine; its steps run on the current runtime.
    pub fn start(name: &str, options: Options) -> Served {
        let state = State {
            engine: Engine::new(options),
            control: Control::default(),
            waiters: HashMap::new(),
            next: 0,
            served: 0,
            cancelled: 0,
        };
        let served = Served {
            state: Arc::new(Mutex::new(state)),
            wake: Arc::new(Notify::new()),
            name: name.into(),
        };
        tokio::spawn(served.clone().run());
        served
    }

    /// Its routes.
    pub fn router(&self) -> Router {
        let page = |route| Page {
            route,
            served: self.clone(),
        };
        Router::new()
            .push(Router::with_path("v1/chat/completions").post(page(Route::Chat)))
            .push(Router::with_path("load").get(page(Route::Load)))
            .push(Router::with_path("counts").get(page(Route::Counts)))
            .push(Router::with_path("control").post(page(Route::Control)))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn run(self) {
        loop {
            let idle = {
                let state = self.lock();
                state.engine.is_idle() || state.control.frozen
            };
            if idle {
                self.wake.notified().await;
                continue;
            }
            let (time, outcomes) = self.lock().engine.step();
            tokio::time::sleep(Duration::from_micros(time.0)).await;
            self.lock().pass_on(outcomes);
        }
    }
}

impl State {
    fn pass_on(&mut self, outcomes: Vec<Outcome>) {
        for outcome in outcomes {
            match outcome {
                Outcome::Token { id } => {
                    let gone = self
                        .waiters
                        .get(&id)
                        .is_some_and(|to| to.send(Part::Token).is_err());
                    if gone {
                        self.engine.cancel(id);
                        self.waiters.remove(&id);
                        self.cancelled += 1;
                    }
                }
                Outcome::Done { id, cached, .. } => {
                    if let Some(to) = self.waiters.remove(&id) {
                        self.served += 1;
                        let _ = to.send(Part::Done { cached });
                    }
                }
            }
        }
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
            Route::Chat => self.chat(request, response).await,
            Route::Load => self.load(response).await,
            Route::Control => self.control(request, response).await,
            Route::Counts => self.counts(response),
        }
    }
}

impl Page {
    fn counts(&self, response: &mut Response) {
        let state = self.served.lock();
        let counts = json!({
            "served": state.served,
            "cancelled": state.cancelled,
            "computed": state.engine.computed,
        });
        super::json(response, StatusCode::OK, &counts);
    }

    async fn load(&self, response: &mut Response) {
        self.thaw().await;
        let state = self.served.lock();
        let (running, waiting) = state.engine.load();
        let leaving = state.control.leaving;
        let load = json!({"running": running, "waiting": waiting, "leaving": leaving});
        super::json(response, StatusCode::OK, &load);
    }

    async fn thaw(&self) {
        while self.served.lock().control.frozen {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn control(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload_with_max_size(BODY_LIMIT).await;
        let control = body
            .ok()
            .and_then(|body| serde_json::from_slice::<Control>(body).ok());
        let Some(control) = control else {
            return super::json(response, StatusCode::BAD_REQUEST, &json!({}));
        };
        let mut state = self.served.lock();
        state.control = control;
        if control.slow > 0.0 {
            state.engine.slow = control.slow;
        }
        self.served.wake.notify_one();
        super::json(response, StatusCode::OK, &json!({}));
    }

    async fn chat(&self, request: &mut Request, response: &mut Response) {
        self.thaw().await;
        let body = request
            .payload_with_max_size(BODY_LIMIT)
            .await
            .cloned()
            .unwrap_or_default();
        let Ok(fields) = serde_json::from_slice::<Value>(&body) else {
            return super::json(
                response,
                StatusCode::BAD_REQUEST,
                &json!({"error": "not JSON"}),
            );
        };
        let text = fields["messages"].to_string();
        let prompt = (text.len() as u64 / 4).max(1);
        let output = fields["max_tokens"].as_u64().unwrap_or(16).max(1);
        let (to, parts) = mpsc::unbounded_channel();
        let break_after = {
            let mut state = self.served.lock();
            if state.control.leaving {
                response
                    .headers_mut()
                    .insert("woadstage-leaving", HeaderValue::from_static("true"));
                return super::json(response, StatusCode::SERVICE_UNAVAILABLE, &json!({}));
            }
            state.next += 1;
            let id = state.next;
            state.waiters.insert(id, to);
            let priority = fields["priority"].as_u64().unwrap_or(0) as u8;
            let blocks = prefix_cache::blocks(0, text.as_bytes());
            state.engine.submit(Job {
                id,
                priority,
                prompt,
                output,
                blocks,
            });
            state.control.break_after
        };
        self.served.wake.notify_one();
        let echo = last_words(&fields);
        let answer = Answer {
            name: self.served.name.clone(),
            echo,
            prompt,
            output,
            break_after,
        };
        if fields["stream"].as_bool() == Some(true) {
            answer.stream(parts, response);
        } else {
            answer.whole(parts, response).await;
        }
    }
}

fn last_words(fields: &Value) -> String {
    let last = fields["messages"]
        .as_array()
        .and_then(|messages| messages.last());
    let text = last
        .and_then(|message| message["content"].as_str())
        .unwrap_or_default();
    text.chars().take(64).collect()
}

struct Answer {
    name: Arc<str>,
    echo: String,
    prompt: u64,
    output: u64,
    break_after: u64,
}

impl Answer {
    fn usage(&self, cached: u64) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.output,
            "prompt_tokens_details": {"cached_tokens": cached},
        })
    }

    async fn whole(self, mut parts: mpsc::UnboundedReceiver<Part>, response: &mut Response) {
        let mut cached = 0;
        while let Some(part) = parts.recv().await {
            if let Part::Done { cached: found } = part {
                cached = found;
                break;
            }
        }
        let content = format!("{} answers: {}", self.name, self.echo);
        let message = json!({"role": "assistant", "content": content});
        let body = json!({
            "object": "chat.completion",
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": self.usage(cached),
        });
        super::json(response, StatusCode::OK, &body);
    }

    fn stream(self, parts: mpsc::UnboundedReceiver<Part>, response: &mut Response) {
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response.status_code(StatusCode::OK);
        let body = stream::unfold((self, parts, 0), |(answer, mut parts, sent)| async move {
            let part = parts.recv().await?;
            if answer.break_after > 0 && sent >= answer.break_after {
                let broken = Err(std::io::Error::other("broken by the test"));
                return Some((broken, (answer, parts, sent)));
            }
            let text = match part {
                Part::Token => answer.token(sent),
                Part::Done { cached } => format!(
                    "data: {}\n\ndata: [DONE]\n\n",
                    json!({"choices": [], "usage": answer.usage(cached)})
                ),
            };
            Some((
                Ok::<_, std::io::Error>(Bytes::from(text)),
                (answer, parts, sent + 1),
            ))
        });
        response.body(ResBody::stream(body));
    }

    fn token(&self, place: u64) -> String {
        let content = match place {
            0 => format!("{} answers: {}", self.name, self.echo),
            _ => format!(" t{place}"),
        };
        let choice = json!({"index": 0, "delta": {"content": content}});
        format!("data: {}\n\n", json!({"choices": [choice]}))
    }
}
