//! Parses the HTTP requests to the control address and formats the responses.
//!
//! The head of a request is parsed with httparse. There is one request per connection, so every response closes its
//! connection.

/// Maximum size of a request's head; a larger one is refused with status 431.
pub const MAX_HEAD_BYTES: usize = 8192;
/// Maximum number of headers; a request with more is refused with status 431.
pub const MAX_HEADERS: usize = 32;

/// An endpoint of the control address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// `GET /_ready`: whether the gatekeeper accepts clients.
    Ready,
    /// `GET /_vars`: the figures.
    Vars,
    /// `POST /_lameduck/on`: drain.
    LameduckOn,
    /// `POST /_lameduck/off`: accept clients again.
    LameduckOff,
}

/// A refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: u16,
    /// A short reason for the client.
    pub reason: &'static str,
}

/// Result of parsing the bytes received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParsedRequest {
    /// The head is incomplete.
    Partial,
    /// A valid request for an endpoint.
    Endpoint(Endpoint),
    /// An invalid request, to be answered with this refusal.
    Refused(Refusal),
}

const fn refused(status: u16, reason: &'static str) -> ParsedRequest {
    ParsedRequest::Refused(Refusal { status, reason })
}

/// Parses the bytes that a connection received so far.
pub fn parse(bytes: &[u8]) -> ParsedRequest {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_HEAD_BYTES => refused(431, "head too large"),
        Ok(httparse::Status::Partial) => ParsedRequest::Partial,
        Ok(httparse::Status::Complete(length)) if length > MAX_HEAD_BYTES => refused(431, "head too large"),
        Ok(httparse::Status::Complete(length)) => route(&request, bytes.len() > length),
        Err(httparse::Error::TooManyHeaders) => refused(431, "too many headers"),
        Err(_) => refused(400, "malformed request"),
    }
}

fn route(request: &httparse::Request, more: bool) -> ParsedRequest {
    let (Some(method), Some(path)) = (request.method, request.path) else {
        return refused(400, "malformed request");
    };
    if request.version != Some(1) && request.version != Some(0) {
        return refused(400, "not HTTP/1");
    }
    let path = path.split_once('?').map_or(path, |(path, _)| path);
    let (want, call) = match path {
        "/_ready" => ("GET", Endpoint::Ready),
        "/_vars" => ("GET", Endpoint::Vars),
        "/_lameduck/on" => ("POST", Endpoint::LameduckOn),
        "/_lameduck/off" => ("POST", Endpoint::LameduckOff),
        _ => return refused(404, "no such call"),
    };
    // HEAD is refused too: its response would have to omit the body.
    if method != want {
        return match want {
            "GET" => refused(405, "use GET"),
            _ => refused(405, "use POST"),
        };
    }
    let body = request.headers.iter().any(|h| {
        let value = std::str::from_utf8(h.value).unwrap_or("?").trim();
        (h.name.eq_ignore_ascii_case("content-length") && value != "0")
            || h.name.eq_ignore_ascii_case("transfer-encoding")
    });
    if body || more {
        return refused(400, "no body belongs to this call");
    }
    ParsedRequest::Endpoint(call)
}

/// Formats a response, which announces the close of the connection.
pub fn response(status: u16, content_type: &str, body: &str) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Error",
    };
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n\
         Cache-Control: no-store\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Formats the response for a refused request.
pub fn refusal_response(refusal: Refusal) -> Vec<u8> {
    response(refusal.status, "text/plain", &format!("{}\n", refusal.reason))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn status(bytes: &[u8]) -> Option<u16> {
        match parse(bytes) {
            ParsedRequest::Refused(r) => Some(r.status),
            _ => None,
        }
    }

    #[test]
    fn each_endpoint_is_parsed_from_its_request() {
        assert_eq!(
            parse(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n"),
            ParsedRequest::Endpoint(Endpoint::Ready)
        );
        assert_eq!(parse(b"GET /_vars HTTP/1.0\r\n\r\n"), ParsedRequest::Endpoint(Endpoint::Vars));
        let on = b"POST /_lameduck/on HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
        assert_eq!(parse(on), ParsedRequest::Endpoint(Endpoint::LameduckOn));
        assert_eq!(
            parse(b"POST /_lameduck/off HTTP/1.1\r\n\r\n"),
            ParsedRequest::Endpoint(Endpoint::LameduckOff)
        );
        assert_eq!(parse(b"GET /_ready?x=1 HTTP/1.1\r\n\r\n"), ParsedRequest::Endpoint(Endpoint::Ready));
    }

    #[test]
    fn a_head_received_in_parts_is_partial_until_it_is_complete() {
        let whole = b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n";
        for cut in 0..whole.len() {
            assert_eq!(parse(&whole[..cut]), ParsedRequest::Partial, "cut at {cut}");
        }
    }

    #[test]
    fn an_invalid_request_is_refused_with_the_matching_status() {
        assert_eq!(status(b"GET /nothing HTTP/1.1\r\n\r\n"), Some(404));
        assert_eq!(status(b"POST /_ready HTTP/1.1\r\n\r\n"), Some(405));
        assert_eq!(status(b"GET /_lameduck/on HTTP/1.1\r\n\r\n"), Some(405));
        assert_eq!(status(b"GET /_vars HTTP/1.1\r\n\r\ntrailing"), Some(400));
        assert_eq!(status(b"POST /_lameduck/on HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"), Some(400));
        let chunked = b"POST /_lameduck/on HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert_eq!(status(chunked), Some(400));
        assert_eq!(status(b"\x00\x01\x02 garbage\r\n\r\n"), Some(400));
        let long = [b"GET /_ready HTTP/1.1\r\nX: ".as_slice(), &[b'a'; MAX_HEAD_BYTES]].concat();
        assert_eq!(status(&long), Some(431));
        let many: String = (0..=MAX_HEADERS).map(|n| format!("X{n}: y\r\n")).collect();
        assert_eq!(status(format!("GET /_ready HTTP/1.1\r\n{many}\r\n").as_bytes()), Some(431));
    }

    #[test]
    fn a_response_has_its_length_and_closes_the_connection() {
        let text = String::from_utf8(response(200, "application/json", "{}")).unwrap();
        assert!(text.starts_with("HTTP/1.1 200 OK\r\n"));
        assert!(text.contains("Content-Length: 2\r\n"));
        assert!(text.contains("Connection: close\r\n"));
        assert!(text.ends_with("\r\n\r\n{}"));
    }
}
