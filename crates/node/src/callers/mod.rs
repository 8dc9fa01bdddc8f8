//! The HTTP server for callers.

use std::sync::Arc;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use tokio::sync::Semaphore;
use woadstage_config::settings::Limits;
use woadstage_core::node::Refusal;
use woadstage_types::code::Code;
use woadstage_types::id;

use crate::clock::Clock;
use crate::driver::Handle;

mod read;
mod reply;

pub use reply::submit;

/// State shared by the handlers of caller requests.
pub struct Shared {
    /// The handle to the driver loop.
    pub handle: Handle,
    /// The clock.
    pub clock: Clock,
    /// The configured limits.
    pub limits: Limits,
    /// One permit for each request in progress.
    pub permits: Arc<Semaphore>,
    /// One permit for each KiB of request bodies in memory.
    pub bodies: Arc<Semaphore>,
}

/// The kind of request that a path serves.
#[derive(Debug, Clone, Copy)]
enum Route {
    Chat,
    Service,
    Models,
    Tickets,
    Unknown,
}

struct CallerHandler {
    route: Route,
    shared: Arc<Shared>,
}

/// Returns the router for callers.
pub fn router(shared: Arc<Shared>) -> Router {
    let handler = |route| CallerHandler {
        route,
        shared: shared.clone(),
    };
    Router::new()
        .push(Router::with_path("v1/chat/completions").post(handler(Route::Chat)))
        .push(Router::with_path("v1/models").get(handler(Route::Models)))
        .push(Router::with_path("v1/tickets").post(handler(Route::Tickets)))
        .push(Router::with_path("services/{service}/{**path}").goal(handler(Route::Service)))
        .push(Router::with_path("services/{service}").goal(handler(Route::Service)))
        .push(Router::with_path("{**path}").goal(handler(Route::Unknown)))
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        match self.route {
            Route::Chat | Route::Service => self.serve(request, response).await,
            Route::Models => self.models(request, response).await,
            Route::Tickets => self.ticket(request, response).await,
            Route::Unknown => reply::refuse(response, None, &Refusal::new(Code::PathUnknown)),
        }
    }
}

impl CallerHandler {
    async fn serve(&self, request: &mut Request, response: &mut Response) {
        let shared = &self.shared;
        let Ok(permit) = shared.permits.clone().try_acquire_owned() else {
            reply::refuse(response, None, &Refusal::new(Code::NodeBusy));
            return;
        };
        let id = id::Request(id::new_v7(shared.clock.now(), rand::random()));
        let read = match self.route {
            Route::Chat => read::chat(request, id, shared).await,
            _ => read::service(request, id, shared).await,
        };
        match read {
            Ok((arrival, work, body_permit)) => {
                let answer = reply::submit(&shared.handle, arrival, work).await;
                reply::relay(response, answer, vec![permit, body_permit]).await;
            }
            Err(code) => reply::refuse(response, Some(id), &Refusal::new(code)),
        }
    }

    async fn models(&self, request: &mut Request, response: &mut Response) {
        let token = match read::token(request) {
            Ok(token) => token,
            Err(code) => return reply::refuse(response, None, &Refusal::new(code)),
        };
        let names = self
            .shared
            .handle
            .ask(move |node, _| node.models(&token))
            .await;
        match names.unwrap_or(Err(Code::NotReady)) {
            Ok(names) => reply::models(response, &names),
            Err(code) => reply::refuse(response, None, &Refusal::new(code)),
        }
    }

    async fn ticket(&self, request: &mut Request, response: &mut Response) {
        let token = match read::token(request) {
            Ok(token) => token,
            Err(code) => return reply::refuse(response, None, &Refusal::new(code)),
        };
        let issued = self
            .shared
            .handle
            .ask(move |node, now| node.issue_ticket(now, &token))
            .await;
        match issued.unwrap_or(Err(Code::Stopping)) {
            Ok(ticket) => reply::ticket(response, &ticket.to_string()),
            Err(code) => reply::refuse(response, None, &Refusal::new(code)),
        }
    }
}
