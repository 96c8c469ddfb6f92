//! A small HTTP/1.1 server and client over TCP, with one thread for each connection.

use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request as the server received it.
pub struct Req {
    pub method: String,
    /// The path without the query, percent-decoded.
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn q(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// What the server does with a request.
pub enum Reply {
    Json(u16, Value),
    /// No answer: the connection stays open until the client closes it.
    Silent,
    /// The connection is closed without an answer.
    Close,
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut i = 0;
    while i < bytes.len() {
        let hex = bytes.get(i + 1..i + 3).and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[i], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                i += 1;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one message: its first line, its headers in lower case, and its body.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<(String, Vec<(String, String)>, Vec<u8>)>> {
    let mut chunk = [0u8; 16 * 1024];
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..n]);
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()))
        .collect();
    let header = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.clone());
    let mut more = |buffer: &mut Vec<u8>| -> std::io::Result<()> {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Err(std::io::Error::other("connection closed inside a message"));
        }
        buffer.extend_from_slice(&chunk[..n]);
        Ok(())
    };
    let mut body = Vec::new();
    if header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let line_end = loop {
                if let Some(at) = buffer.windows(2).position(|w| w == b"\r\n") {
                    break at;
                }
                more(buffer)?;
            };
            let text = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
            let size = usize::from_str_radix(text.split(';').next().unwrap_or("0").trim(), 16)
                .unwrap_or(0);
            buffer.drain(..line_end + 2);
            while buffer.len() < size + 2 {
                more(buffer)?;
            }
            body.extend(buffer.drain(..size));
            buffer.drain(..2);
            if size == 0 {
                break;
            }
        }
    } else {
        let length: usize = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while buffer.len() < length {
            more(buffer)?;
        }
        body.extend(buffer.drain(..length));
    }
    Ok(Some((first, headers, body)))
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Serves requests at `address` until the process ends. Returns the address.
pub fn serve<F>(address: &str, handler: F) -> SocketAddr
where
    F: Fn(&Req) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).expect("a free port");
    let bound = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = std::thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || serve_connection(stream, &*handler));
        }
    });
    bound
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(&Req) -> Reply) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some((first, headers, body))) = read_message(&mut stream, &mut buffer) {
        let mut parts = first.split(' ');
        let method = parts.next().unwrap_or_default().to_owned();
        let target = parts.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(n, v)| (decode(n), decode(v)))
            .collect();
        let close = headers.iter().any(|(n, v)| n == "connection" && v.eq_ignore_ascii_case("close"));
        let req = Req { method, path: decode(path), query, body };
        match handler(&req) {
            Reply::Json(status, value) => {
                let text = value.to_string();
                let head = format!(
                    "HTTP/1.1 {status} {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    reason(status),
                    text.len()
                );
                if stream.write_all(format!("{head}{text}").as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silent => {
                let mut rest = [0u8; 1024];
                while matches!(stream.read(&mut rest), Ok(n) if n > 0) {}
                return;
            }
            Reply::Close => return,
        }
        if close {
            return;
        }
    }
}

/// Sends one request over a connection of its own. `None`: no answer in time, or no connection.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    body: Option<&Value>,
    timeout: Duration,
) -> Option<(u16, Value)> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1))).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let body = body.map(Value::to_string).unwrap_or_default();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut buffer = Vec::new();
    let (first, _, body) = read_message(&mut stream, &mut buffer).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}
