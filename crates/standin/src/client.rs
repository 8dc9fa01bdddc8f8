//! A small caller.

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

const WITHIN: Duration = Duration::from_secs(30);

/// An answer, read to its end.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `Woadstage-Code`.
    pub code: String,
    /// `Woadstage-Outcome`.
    pub outcome: String,
    /// `Woadstage-Request`.
    pub request: String,
    /// `Woadstage-Ticket`.
    pub ticket: Option<String>,
    /// `Retry-After` in seconds.
    pub retry_after: Option<u64>,
    /// The body as far as it came.
    pub body: String,
    /// False where the body broke off.
    pub whole: bool,
}

/// A caller with connections of its own.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    token: String,
}

impl Caller {
    /// A caller that shows a token.
    pub fn new(token: &str) -> Caller {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Caller {
            client,
            token: token.into(),
        }
    }

    /// Sends a request and reads the answer.
    pub async fn send(
        &self,
        method: &str,
        uri: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> anyhow::Result<Answer> {
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_string())))?;
        tokio::time::timeout(WITHIN, self.exchange(request))
            .await
            .context("no answer in time")?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> anyhow::Result<Answer> {
        let response = self.client.request(request).await?;
        let header = |name: &str| {
            response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
                .map(str::to_string)
        };
        let mut answer = Answer {
            status: response.status().as_u16(),
            code: header("woadstage-code").unwrap_or_default(),
            outcome: header("woadstage-outcome").unwrap_or_default(),
            request: header("woadstage-request").unwrap_or_default(),
            ticket: header("woadstage-ticket"),
            retry_after: header("retry-after").and_then(|text| text.parse().ok()),
            body: String::new(),
            whole: true,
        };
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => {
                    let part = frame.into_data().unwrap_or_default();
                    answer.body.push_str(&String::from_utf8_lossy(&part));
                }
                Err(_) => {
                    answer.whole = false;
                    break;
                }
            }
        }
        Ok(answer)
    }

    /// A chat request.
    pub async fn chat(
        &self,
        node: &str,
        class: &str,
        words: &str,
        tokens: u64,
        stream: bool,
    ) -> anyhow::Result<Answer> {
        let body = serde_json::json!({
            "model": "roster-model",
            "messages": [{"role": "user", "content": words}],
            "max_tokens": tokens,
            "stream": stream,
        });
        let uri = format!("http://{node}/v1/chat/completions");
        self.send(
            "POST",
            &uri,
            &[("woadstage-class", class)],
            &body.to_string(),
        )
        .await
    }

    /// A ticket from a node.
    pub async fn ticket(&self, node: &str) -> anyhow::Result<String> {
        let answer = self
            .send("POST", &format!("http://{node}/v1/tickets"), &[], "")
            .await?;
        answer
            .ticket
            .with_context(|| format!("no ticket: {} {}", answer.code, answer.body))
    }

    /// A call of the roster service that may not be repeated.
    pub async fn confirm(
        &self,
        node: &str,
        class: &str,
        key: &str,
        what: &str,
    ) -> anyhow::Result<Answer> {
        let service = if class == "booking" {
            "ledger"
        } else {
            "roster"
        };
        let uri = format!("http://{node}/services/{service}/confirm");
        let headers = [("woadstage-class", class), ("idempotency-key", key)];
        self.send("POST", &uri, &headers, what).await
    }
}
