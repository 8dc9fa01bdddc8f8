//! The platform's read-only service, as far as the system sees it; writing is
//! the test's. Each view of it has switches of its own, so that some hosts may
//! be cut off from it or see old values.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use serde_json::json;
use tokio::sync::watch;

#[derive(Debug, Clone, Default)]
struct Entry {
    value: String,
    index: u64,
}

#[derive(Default)]
struct Store {
    entries: HashMap<String, Entry>,
    index: u64,
}

/// The values.
#[derive(Clone)]
pub struct Platform {
    store: Arc<Mutex<Store>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform {
            store: Arc::new(Mutex::new(Store::default())),
            changed: Arc::new(watch::Sender::new(0)),
        }
    }
}

/// One view of the platform, with its switches.
#[derive(Clone)]
pub struct View {
    platform: Platform,
    frozen: Arc<Mutex<Option<HashMap<String, Entry>>>>,
    down: Arc<AtomicBool>,
    calls: Arc<AtomicU64>,
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Publishes a value. Gives its index.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let index = {
            let mut store = self.lock();
            store.index += 1;
            let index = store.index;
            store.entries.insert(
                key.into(),
                Entry {
                    value: value.into(),
                    index,
                },
            );
            index
        };
        self.changed.send_replace(index);
        index
    }

    /// A view of it.
    pub fn view(&self) -> View {
        View {
            platform: self.clone(),
            frozen: Arc::default(),
            down: Arc::default(),
            calls: Arc::default(),
        }
    }
}

impl View {
    /// Refuses all calls, or takes them again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Shows the values as they are now from here on, or the true ones again.
    pub fn set_stale(&self, stale: bool) {
        let now = stale.then(|| self.platform.lock().entries.clone());
        *self
            .frozen
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner()) = now;
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Its routes.
    pub fn router(&self) -> Router {
        Router::with_path("v1/kv/{**key}").get(Page { view: self.clone() })
    }

    fn get(&self, key: &str) -> Option<Entry> {
        let frozen = self
            .frozen
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        match frozen.as_ref() {
            Some(entries) => entries.get(key).cloned(),
            None => self.platform.lock().entries.get(key).cloned(),
        }
    }
}

struct Page {
    view: View,
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
        let view = &self.view;
        view.calls.fetch_add(1, Ordering::Relaxed);
        let key = request.param::<String>("key").unwrap_or_default();
        let index = request.query::<u64>("index").unwrap_or(0);
        let wait = request.query::<String>("wait").unwrap_or_default();
        let secs = wait.trim_end_matches('s').parse().unwrap_or(0);
        let mut changed = view.platform.changed.subscribe();
        let deadline = tokio::time::Instant::now() + Duration::from_secs(secs);
        let entry = loop {
            if view.down.load(Ordering::Relaxed) {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                return;
            }
            let entry = view.get(&key);
            if entry.as_ref().is_none_or(|entry| entry.index != index) {
                break entry;
            }
            // A switch may be turned meanwhile, so look again now and then.
            let look = tokio::time::Instant::now() + Duration::from_millis(100);
            let until = deadline.min(look);
            let _ = tokio::time::timeout_at(until, changed.changed()).await;
            if tokio::time::Instant::now() >= deadline {
                break entry;
            }
        };
        let Some(entry) = entry else {
            response.status_code(StatusCode::NOT_FOUND);
            return;
        };
        let value = STANDARD.encode(&entry.value);
        let items = json!([{"Key": key, "Value": value, "ModifyIndex": entry.index}]);
        response
            .headers_mut()
            .insert("x-consul-index", HeaderValue::from(entry.index));
        super::json(response, StatusCode::OK, &items);
    }
}
