//! A small blocking HTTP/1.1 implementation, for stand-ins and clients.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request as a stand-in reads it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A response as a client reads it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Value of a header.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut all = headers.iter();
    all.find(|(known, _)| known.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Decoded value of a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next()?;
        Some(percent_decode(found))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut index) = (Vec::new(), 0);
    while index < bytes.len() {
        let hex = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match hex {
            Some(byte) => {
                out.push(byte);
                index += 3;
            }
            None => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn broken(cause: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("end within a head"))?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("a header"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    until_close: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let encoding = header(headers, "transfer-encoding").unwrap_or_default();
    if encoding.to_ascii_lowercase().contains("chunked") {
        loop {
            let line = read_line(reader)?.ok_or_else(|| broken("end within chunks"))?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| broken("a chunk"))?;
            if size == 0 {
                while read_line(reader)?.is_some_and(|line| !line.is_empty()) {}
                return Ok(body);
            }
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            read_line(reader)?;
        }
    }
    if let Some(length) = header(headers, "content-length") {
        let length = length.parse().map_err(|_| broken("a length"))?;
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if until_close {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(broken("a request line"));
    };
    let (method, target) = (method.to_owned(), target.to_owned());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers, false)?;
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

/// Writes a complete response.
pub fn write_response(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// Sends a request on a new connection and reads the whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "Connection: close\r\n\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_response(&mut BufReader::new(stream))
}

/// Reads a response; interim ones are skipped.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("no response"))?;
        let status = line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let status: u16 = status.ok_or_else(|| broken("a status line"))?;
        let headers = read_headers(reader)?;
        if (100..200).contains(&status) {
            continue;
        }
        let body = read_body(reader, &headers, true)?;
        return Ok(Response { status, body });
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in Base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let value = chunk
            .iter()
            .enumerate()
            .fold(0_u32, |value, (index, byte)| {
                value | u32::from(*byte) << (16 - 8 * index)
            });
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = (value >> (18 - 6 * index)) & 63;
                out.push(char::from(ALPHABET[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
