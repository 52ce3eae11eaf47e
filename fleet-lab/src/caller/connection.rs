//! A non-blocking HTTP/1.1 connection of a caller. It carries one request at a time.

use super::response::{Response, ResponseError, ResponseParser};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};

/// A failure after which a connection cannot be used any longer.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    #[error("cannot connect: {0}")]
    NotConnected(io::Error),
    #[error("connection ended before the first byte of a response")]
    ClosedBeforeResponse,
    #[error("connection ended within a response")]
    ClosedWithinResponse,
    #[error("invalid response: {0}")]
    Unreadable(#[from] ResponseError),
}

/// A connection to a target, and its parser of responses.
pub(super) struct Connection {
    stream: TcpStream,
    is_connecting: bool,
    /// The part of the request that has not been written yet.
    outgoing: Vec<u8>,
    parser: ResponseParser,
    /// True once the connection has carried a complete response.
    is_reused: bool,
}

impl Connection {
    /// Starts to connect and returns before the connection is established.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be created or the connection fails at once.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        let is_connecting = match socket.connect(&address.into()) {
            Ok(()) => false,
            Err(error) if is_in_progress(&error) => true,
            Err(error) => return Err(error),
        };
        Ok(Connection {
            stream: socket.into(),
            is_connecting,
            outgoing: Vec::new(),
            parser: ResponseParser::default(),
            is_reused: false,
        })
    }

    /// Returns true if the connection has carried a complete response. The peer may have closed such a connection as
    /// idle.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request, at once or when the connection is established.
    pub fn send(&mut self, request: Vec<u8>) -> Result<(), ConnectionError> {
        self.outgoing = request;
        if self.is_connecting {
            Ok(())
        } else {
            self.write()
        }
    }

    /// Connects, writes and reads as far as the socket's readiness allows. Returns the response once it is complete.
    /// `has_hung_up` is true if the peer has closed its sending side or the socket has an error.
    pub fn advance(
        &mut self,
        buffer: &mut [u8],
        has_hung_up: bool,
    ) -> Result<Option<Response>, ConnectionError> {
        self.finish_connecting()?;
        self.write()?;
        let response = self.read(buffer, has_hung_up)?;
        self.is_reused |= response.is_some();
        Ok(response)
    }

    fn finish_connecting(&mut self) -> Result<(), ConnectionError> {
        if self.is_connecting {
            let error = self.stream.take_error().unwrap_or_else(Some);
            error.map_or(Ok(()), |error| Err(ConnectionError::NotConnected(error)))?;
            self.is_connecting = false;
        }
        Ok(())
    }

    fn write(&mut self) -> Result<(), ConnectionError> {
        while !self.outgoing.is_empty() {
            match self.stream.write(&self.outgoing) {
                Ok(written) => drop(self.outgoing.drain(..written)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(self.closed_error()),
            }
        }
        Ok(())
    }

    /// Reads all available bytes. After a read that does not fill the buffer there is nothing more to read, unless the
    /// peer has hung up. The poller reports bytes or an end that arrive later.
    fn read(
        &mut self,
        buffer: &mut [u8],
        has_hung_up: bool,
    ) -> Result<Option<Response>, ConnectionError> {
        let mut response = None;
        loop {
            match self.stream.read(buffer) {
                Ok(0) => return self.handle_end(response),
                Ok(length) => {
                    if response.is_some() {
                        return Err(ResponseError::ExcessBytes.into());
                    }
                    response = self.parser.push(&buffer[..length])?;
                    if length < buffer.len() && !has_hung_up {
                        return Ok(response);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(response),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.handle_end(response),
            }
        }
    }

    /// Handles the end of the connection. A response that is already complete is returned as the last one of the
    /// connection; without one, the end is an error.
    fn handle_end(&self, response: Option<Response>) -> Result<Option<Response>, ConnectionError> {
        let response = response.ok_or_else(|| self.closed_error())?;
        Ok(Some(Response {
            keep_alive: false,
            ..response
        }))
    }

    fn closed_error(&self) -> ConnectionError {
        if self.parser.has_started() {
            ConnectionError::ClosedWithinResponse
        } else {
            ConnectionError::ClosedBeforeResponse
        }
    }
}

impl AsFd for Connection {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error())
}
