//! Plain blocking HTTP/1.1, server and client side.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Debug, Default, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn param(&self, name: &str) -> &str {
        find(&self.query, name)
    }
}

fn find<'a>(pairs: &'a [(String, String)], name: &str) -> &'a str {
    pairs.iter().find(|(other, _)| other == name).map_or("", |(_, value)| value)
}

/// Reads a request; `None` when the caller has closed the connection.
pub fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if stream.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), unescape(value)))
        .collect();
    let mut request = Request { method, path: path.to_owned(), query, ..Request::default() };
    request.headers = read_headers(stream)?;
    let length = request.header("content-length").parse().unwrap_or(0);
    if request.header("transfer-encoding").contains("chunked") {
        request.body = read_chunks(stream).ok()?;
    } else {
        request.body = vec![0; length];
        stream.read_exact(&mut request.body).ok()?;
    }
    Some(request)
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_headers(stream: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(stream: &mut BufReader<TcpStream>) -> std::io::Result<Vec<u8>> {
    let broken = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(broken());
        }
        let length = usize::from_str_radix(line.trim(), 16).map_err(|_| broken())?;
        let mut chunk = vec![0; length + 2];
        stream.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

pub fn respond(
    stream: &mut BufReader<TcpStream>,
    status: u16,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let mut out =
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
            .into_bytes();
    out.extend_from_slice(body);
    stream.get_mut().write_all(&out)
}

/// What a client saw of its request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// 0: the connection ended or stayed silent before a head came.
    pub status: u16,
    pub seal: String,
    /// The whole body came.
    pub whole: bool,
    /// Why the answer is not whole.
    pub fault: String,
    pub body: Vec<u8>,
    pub took: Duration,
    pub retry_after: String,
}

/// A client's connection, which may be used for many requests.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream: BufReader::new(stream) })
    }

    /// Sends a request and reads its whole answer, for at most `patience`.
    pub fn ask(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &[u8],
        patience: Duration,
    ) -> Answer {
        let began = Instant::now();
        let mut answer = Answer {
            status: 0,
            seal: String::new(),
            whole: false,
            fault: String::new(),
            body: Vec::new(),
            took: Duration::ZERO,
            retry_after: String::new(),
        };
        if let Err(err) = self.exchange(method, path, headers, body, patience, &mut answer) {
            answer.fault = format!("{:?}", err.kind());
        }
        answer.took = began.elapsed();
        answer
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &[u8],
        patience: Duration,
        answer: &mut Answer,
    ) -> std::io::Result<()> {
        let closed = || std::io::Error::from(std::io::ErrorKind::ConnectionAborted);
        let mut out = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        out.extend_from_slice(body);
        self.stream.get_mut().set_read_timeout(Some(patience))?;
        self.stream.get_mut().write_all(&out)?;
        let mut line = String::new();
        if self.stream.read_line(&mut line)? == 0 {
            return Err(closed());
        }
        answer.status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        let headers = read_headers(&mut self.stream).ok_or_else(closed)?;
        answer.seal = find(&headers, "x-briarshift-runner-seal").to_owned();
        answer.retry_after = find(&headers, "retry-after").to_owned();
        if find(&headers, "transfer-encoding").contains("chunked") {
            answer.body = read_chunks(&mut self.stream)?;
        } else {
            let length = find(&headers, "content-length").parse().unwrap_or(0);
            answer.body = vec![0; length];
            self.stream.read_exact(&mut answer.body)?;
        }
        answer.whole = true;
        Ok(())
    }
}
