//! A stand-in for the platform's store, which the operator and the workers write to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Head;

/// The data and its history.
#[derive(Default)]
struct State {
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key, and value in base64; no value for a removal.
    history: Vec<(u64, String, Option<String>)>,
    revision: u64,
    /// Whether it gives no answers.
    is_silent: bool,
    /// Counts the outages: a connection that lost an answer says nothing further.
    outages: u64,
}

/// The stand-in.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a value, or removes the key if there is none.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no panic");
        state.revision += 1;
        let revision = state.revision;
        let value = value.map(|value| base64(value.as_bytes()));
        match value.clone() {
            Some(value) => state.items.insert(key.to_owned(), (value, revision)),
            None => state.items.remove(key),
        };
        state.history.push((revision, key.to_owned(), value));
        changed.notify_all();
    }

    /// Sets whether it gives no answers.
    pub fn set_silent(&self, is_silent: bool) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no panic");
        state.is_silent = is_silent;
        state.outages += u64::from(is_silent);
        changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        let (state, changed) = &*self.state;
        let outages = state.lock().expect("no panic").outages;
        while let Ok(Some(head)) = connection.read_head() {
            let answer = match head.path().split('?').next() {
                Some("/-/kv-range") => self.range(&head),
                Some("/-/kv-watch") => self.watch(&head),
                _ => "{}".to_owned(),
            };
            let mut state = state.lock().expect("no panic");
            while state.is_silent || state.outages != outages {
                state = changed.wait(state).expect("no panic");
            }
            drop(state);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, head: &Head) -> String {
        let state = self.state.0.lock().expect("no panic");
        let prefix = parameter(head, "PathPrefix");
        let after = parameter(head, "AfterRev");
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = items
            .map(|(key, (value, revision))| item(key, Some(value), *revision))
            .collect();
        format!(
            "{{\"Entries\":[{}],\"more\":false,\"at\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, head: &Head) -> String {
        let (state, changed) = &*self.state;
        let prefix = parameter(head, "PathPrefix");
        let after: u64 = parameter(head, "AfterRev").parse().unwrap_or(0);
        let wait: u64 = parameter(head, "WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = state.lock().expect("no panic");
        loop {
            let events = state.history.iter();
            let events = events.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<String> = events
                .map(|(at, key, value)| item(key, value.as_deref(), *at))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"at\":{at}}}");
            }
            state = changed.wait_timeout(state, left).expect("no panic").0;
        }
    }
}

fn item(key: &str, value: Option<&str>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"PrivateKey\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"made\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"PrivateKey\":\"{key}\",\"Revision\":{revision},\"gone\":true}}"),
    }
}

fn parameter(head: &Head, name: &str) -> String {
    let query = head.path().split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map_or_else(String::new, |(_, value)| value.to_owned())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0u32;
        for index in 0..3 {
            number = number << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
