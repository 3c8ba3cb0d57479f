//! Writing an answer to a peer that may not take it all at once: the control socket's and the control
//! address's, which both answer one question a connection.

use std::io::{self, ErrorKind, Write};

/// Writes on from `done`; returns whether all is written. A peer that takes nothing more for now is no error.
pub fn write_remaining(stream: &mut impl Write, bytes: &[u8], done: &mut usize) -> io::Result<bool> {
    while *done < bytes.len() {
        match stream.write(&bytes[*done..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => *done += n,
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

    /// Takes two bytes a call, and then nothing.
    struct Narrow(Vec<u8>, usize);

    impl Write for Narrow {
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
    fn what_is_not_taken_now_is_written_later() {
        let mut peer = Narrow(Vec::new(), 2);
        let mut done = 0;
        assert!(!write_remaining(&mut peer, b"hello", &mut done).unwrap());
        assert_eq!(done, 4);
        peer.1 = 5;
        assert!(write_remaining(&mut peer, b"hello", &mut done).unwrap());
        assert_eq!(peer.0, b"hello");
    }
}
