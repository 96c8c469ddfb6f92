//! A small HTTP/1.1 server and client over TCP on loopback.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as a server received it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// What a server does with a request.
pub enum Reply {
    /// Status and body of the response.
    Answer(u16, String),
    /// The connection is closed without a response.
    #[allow(dead_code)]
    Drop,
}

pub fn json(status: u16, body: serde_json::Value) -> Reply {
    Reply::Answer(status, body.to_string())
}

/// Listens on a free port of `ip` and serves requests until the process ends. Returns the address.
pub fn serve(ip: &str, handler: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> std::io::Result<String> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?.to_string();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    Ok(address)
}

fn serve_connection(stream: TcpStream, handler: &(impl Fn(&Request) -> Reply + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((request, close)) = read_request(&mut reader) {
        let Reply::Answer(status, body) = handler(&request) else { return };
        let end = if close { "connection: close\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n{end}content-length: {}\r\n\r\n",
            body.len()
        );
        let message = [head.as_bytes(), body.as_bytes()].concat();
        if writer.write_all(&message).is_err() || close {
            return;
        }
    }
}

/// Reads a head and a body. The second part of the result is true if the other side closes the connection afterwards.
fn read_message(reader: &mut impl BufRead) -> Option<(String, Vec<u8>, bool)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let (mut length, mut close) = (0, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            match name {
                "content-length" => length = value.trim().parse().ok()?,
                "connection" => close = value.trim() == "close",
                _ => {}
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim().to_owned(), body, close))
}

fn read_request(reader: &mut impl BufRead) -> Option<(Request, bool)> {
    let (first, body, close) = read_message(reader)?;
    let mut parts = first.split(' ');
    let (method, target) = (parts.next()?.to_owned(), parts.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), decoded(value)))
        .collect();
    Some((Request { method, path: decoded(path), query, body }, close))
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.filter(|_| bytes[at] == b'%').and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own. `None`: no response within `timeout`.
pub fn request(address: &str, method: &str, path: &str, body: &str, timeout: Duration) -> Option<(u16, String)> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let message = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(message.as_bytes()).ok()?;
    let (first, body, _) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
