//! Finds the ends of JSON objects in a stream, one byte at a time.

/// The role of a byte in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ScannedByte {
    /// White space between two objects.
    BetweenObjects,
    /// A byte of an object other than white space between its tokens.
    Content,
    /// White space between the tokens of an object.
    Whitespace,
    /// The last byte of an object.
    ObjectEnd,
}

/// The error for a stream that is not a sequence of JSON objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed stream: not a sequence of JSON objects")]
pub(super) struct MalformedStreamError;

/// Scans a sequence of JSON objects.
///
/// It checks the order of tokens only far enough to detect a truncated object that is followed by another one. A parser
/// has to check each complete object.
#[derive(Debug, Default)]
pub(super) struct ListScanner {
    /// The number of open braces and brackets.
    depth: usize,
    string: StringState,
    /// The last token outside a string, if there was one.
    last_token: Option<Token>,
}

/// The position of the scanner relative to strings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StringState {
    #[default]
    Outside,
    Inside,
    /// Inside a string, after a backslash.
    Escaped,
}

/// The last token outside a string.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Token {
    OpeningBrace,
    OpeningBracket,
    /// A comma or a colon.
    Separator,
    /// A number, `true`, `false` or `null`.
    Literal,
    /// The end of a string, an object or an array.
    ValueEnd,
}

impl ListScanner {
    /// Scans the next byte.
    ///
    /// # Errors
    /// Returns [`MalformedStreamError`] if the byte cannot continue a sequence of objects.
    pub(super) fn scan(&mut self, byte: u8) -> Result<ScannedByte, MalformedStreamError> {
        match self.string {
            StringState::Outside => self.scan_outside_string(byte),
            StringState::Escaped => {
                self.string = StringState::Inside;
                Ok(ScannedByte::Content)
            }
            StringState::Inside => self.scan_in_string(byte),
        }
    }

    fn scan_in_string(&mut self, byte: u8) -> Result<ScannedByte, MalformedStreamError> {
        match byte {
            b'\\' => self.string = StringState::Escaped,
            b'"' => {
                self.string = StringState::Outside;
                self.last_token = Some(Token::ValueEnd);
            }
            _ if byte.is_ascii_control() => return Err(MalformedStreamError),
            _ => {}
        }
        Ok(ScannedByte::Content)
    }

    fn scan_outside_string(&mut self, byte: u8) -> Result<ScannedByte, MalformedStreamError> {
        if byte.is_ascii_whitespace() {
            return Ok(if self.depth == 0 {
                ScannedByte::BetweenObjects
            } else {
                ScannedByte::Whitespace
            });
        }
        if self.depth == 0 && byte != b'{' {
            return Err(MalformedStreamError);
        }
        match byte {
            b'{' => self.open(Token::OpeningBrace)?,
            b'[' => self.open(Token::OpeningBracket)?,
            b'}' | b']' => {
                self.depth -= 1;
                self.last_token = Some(Token::ValueEnd);
            }
            b'"' if self.may_begin_string() => self.string = StringState::Inside,
            b',' | b':' => self.last_token = Some(Token::Separator),
            b'"' => return Err(MalformedStreamError),
            _ if self.may_continue_literal() => self.last_token = Some(Token::Literal),
            _ => return Err(MalformedStreamError),
        }
        Ok(if self.depth == 0 {
            ScannedByte::ObjectEnd
        } else {
            ScannedByte::Content
        })
    }

    fn open(&mut self, bracket: Token) -> Result<(), MalformedStreamError> {
        if self.depth > 0 && !self.may_begin_value() {
            return Err(MalformedStreamError);
        }
        self.depth += 1;
        self.last_token = Some(bracket);
        Ok(())
    }

    fn may_begin_value(&self) -> bool {
        matches!(
            self.last_token,
            Some(Token::OpeningBracket | Token::Separator)
        )
    }

    fn may_begin_string(&self) -> bool {
        self.may_begin_value() || self.last_token == Some(Token::OpeningBrace)
    }

    fn may_continue_literal(&self) -> bool {
        self.may_begin_value() || self.last_token == Some(Token::Literal)
    }
}
