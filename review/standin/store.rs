//! A stand-in for the platform's store: PROTOCOL.md, "The platform's metadata store". Writers use
//! `PUT /put?key=KEY`, which only the stand-ins know.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

#[derive(Default)]
struct State {
    items: BTreeMap<String, (String, u64, u64)>,
    history: Vec<(u64, String, Option<String>)>,
    revision: u64,
}

#[derive(Default)]
struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// Serves the store at an address.
pub fn run(address: &str) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let store = Arc::new(Store::default());
    for stream in listener.incoming() {
        let (stream, store) = (stream?, store.clone());
        thread::spawn(move || store.serve(stream));
    }
    Ok(())
}

impl Store {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let path = head.word(1);
            let answer = match path.split('?').next().unwrap_or("") {
                "/-/kv-range" => self.range(path),
                "/-/kv-watch" => self.watch(path),
                "/put" => self.put(path, &body),
                _ => String::from("{}"),
            };
            let length = answer.len();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {length}\r\n\r\n"
            );
            writer.write_all((head + &answer).as_bytes())?;
        }
        Ok(())
    }

    fn put(&self, path: &str, body: &[u8]) -> String {
        let key = http::parameter(path, "key").unwrap_or("").to_owned();
        let value = to_base64(body);
        let mut state = self.state.lock().expect("the state");
        let known = state.items.get(&key).cloned();
        if known.as_ref().is_none_or(|(known, _, _)| *known != value) {
            state.revision += 1;
            let revision = state.revision;
            let made = known.map_or(revision, |(_, _, made)| made);
            state
                .history
                .push((revision, key.clone(), Some(value.clone())));
            state.items.insert(key, (value, revision, made));
            self.changed.notify_all();
        }
        format!("{{\"at\":{}}}", state.revision)
    }

    fn range(&self, path: &str) -> String {
        let prefix = http::parameter(path, "PathPrefix").unwrap_or("");
        let after = http::parameter(path, "AfterRev").unwrap_or("");
        let state = self.state.lock().expect("the state");
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items
            .map(|(key, (value, revision, made))| to_item(key, value, *revision, *made))
            .collect();
        let at = state.revision;
        format!(
            "{{\"Entries\":[{}],\"more\":false,\"at\":{at}}}",
            items.join(",")
        )
    }

    fn watch(&self, path: &str) -> String {
        let number = |name| http::parameter(path, name).and_then(|text| text.parse().ok());
        let after: u64 = number("AfterRev").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let mut state = self.state.lock().expect("the state");
        while state.revision <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).expect("the state").0;
        }
        let events = state
            .history
            .iter()
            .filter(|(revision, _, _)| *revision > after);
        let events: Vec<String> = events
            .map(|(revision, key, value)| match value {
                Some(value) => to_item(key, value, *revision, *revision),
                None => {
                    format!("{{\"PrivateKey\":\"{key}\",\"Revision\":{revision},\"gone\":true}}")
                }
            })
            .collect();
        format!(
            "{{\"events\":[{}],\"at\":{}}}",
            events.join(","),
            state.revision
        )
    }
}

fn to_item(key: &str, value: &str, revision: u64, made: u64) -> String {
    format!(
        "{{\"PrivateKey\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\
         \"made\":{made},\"lease\":0}}"
    )
}

fn to_base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            match place <= part.len() {
                true => text.push(SIGNS[(bits >> (18 - 6 * place) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
