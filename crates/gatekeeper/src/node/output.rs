//! Writes an answer to a peer that may not accept all of it at once. Used by the control socket and the control address,
//! which both answer one request per connection.

use std::io::{self, ErrorKind, Write};

/// Writes the bytes from position `written` on, and moves `written` forward. Returns whether everything is written. A
/// peer that accepts nothing more for now is not an error.
///
/// # Errors
///
/// Fails if the stream is closed or broken.
pub fn write_remaining(stream: &mut impl Write, bytes: &[u8], written: &mut usize) -> io::Result<bool> {
    while *written < bytes.len() {
        match stream.write(&bytes[*written..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => *written += n,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(true)
}

#[cfg(test)]
mod tests {
    use super::write_remaining;
    use std::io::{self, Write};

    /// Accepts two bytes per call, for a limited number of calls.
    struct ShortWriter(Vec<u8>, usize);

    impl Write for ShortWriter {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            if self.1 == 0 {
                return Err(io::ErrorKind::WouldBlock.into());
            }
            self.1 -= 1;
            let n = bytes.len().min(2);
            self.0.extend(&bytes[..n]);
            Ok(n)
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn bytes_that_the_peer_does_not_accept_are_written_by_a_later_call() {
        let mut peer = ShortWriter(Vec::new(), 2);
        let mut written = 0;
        assert!(!write_remaining(&mut peer, b"hello", &mut written).unwrap());
        assert_eq!(written, 4);
        peer.1 = 5;
        assert!(write_remaining(&mut peer, b"hello", &mut written).unwrap());
        assert_eq!(peer.0, b"hello");
    }
}
