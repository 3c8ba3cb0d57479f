//! Parses files into directives and blocks, and expands `include`.

use std::fmt;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use logos::Logos;

use crate::problem::{Location, Problem};

/// Maximum size of a file. Guards against reading a device without end.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Maximum number of files. Guards against a pattern that matches a whole disk.
const MAX_FILES: usize = 256;
/// Maximum nesting depth of blocks, and of included files. Guards against a stack overflow.
const MAX_DEPTH: usize = 16;

/// Kind of a token, as the lexer finds it.
#[derive(Logos, Clone, Copy, Debug, PartialEq)]
#[logos(skip r"[ \t\r]+")]
#[logos(skip(r"#[^\n]*", allow_greedy = true))]
enum TokenKind {
    #[token("\n")]
    Newline,
    #[token("{")]
    Open,
    #[token("}")]
    Close,
    // Any mix of bare characters, escapes and quoted parts, as in a shell; a `#` inside it does not begin a
    // comment.
    #[regex(r##"([^\s{}"'#\\]|\\[^\n]|"([^"\\]|\\[^\n])*"|'[^']*')([^\s{}"'\\]|\\[^\n]|"([^"\\]|\\[^\n])*"|'[^']*')*"##)]
    Text,
}

/// A name or an argument with its location, without quotes and escapes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Token {
    pub text: String,
    pub location: Location,
}

/// A directive: its name, its arguments, and its block if it has one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Directive {
    pub name: Token,
    pub args: Vec<Token>,
    pub block: Option<Vec<Directive>>,
}

/// Reads a file and everything it includes.
pub(crate) fn read(path: &Path, problems: &mut Vec<Problem>) -> Vec<Directive> {
    let mut reader = Reader { open: Vec::new(), files: 0, problems };
    let name: Rc<str> = path.display().to_string().into();
    reader.file(path, &Location { file: name, line: 1, column: 1 })
}

/// Parses a text that does not come from a file. An `include` in it is kept as a directive.
pub(crate) fn parse(name: &str, text: &str, problems: &mut Vec<Problem>) -> Vec<Directive> {
    Parser::new(name.into(), text, problems).lines()
}

impl fmt::Display for Directive {
    /// Writes the directive so that parsing it again yields the same tokens.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write(f, 0)
    }
}

impl Directive {
    fn write(&self, f: &mut fmt::Formatter<'_>, depth: usize) -> fmt::Result {
        let indent = "    ".repeat(depth);
        write!(f, "{indent}{}", quoted(&self.name.text))?;
        self.args.iter().try_for_each(|arg| write!(f, " {}", quoted(&arg.text)))?;
        if let Some(block) = &self.block {
            writeln!(f, " {{")?;
            block.iter().try_for_each(|inner| inner.write(f, depth + 1))?;
            write!(f, "{indent}}}")?;
        }
        writeln!(f)
    }
}

/// Quotes a token if it needs quotes.
fn quoted(text: &str) -> String {
    let plain = |c: char| c.is_alphanumeric() || "-_./:%+=,@".contains(c);
    if !text.is_empty() && text.chars().all(plain) {
        return text.to_string();
    }
    let mut quoted = String::from('\'');
    for c in text.chars() {
        match c {
            '\'' => quoted.push_str("'\"'\"'"),
            c => quoted.push(c),
        }
    }
    quoted.push('\'');
    quoted
}

struct Reader<'p> {
    /// Files that are being read, outermost first.
    open: Vec<PathBuf>,
    /// Number of files read so far.
    files: usize,
    problems: &'p mut Vec<Problem>,
}

impl Reader<'_> {
    fn problem(&mut self, location: &Location, what: impl Into<String>) {
        self.problems.push(Problem { location: location.clone(), description: what.into() });
    }

    /// Reads one file; `from` is the location that includes it.
    fn file(&mut self, path: &Path, from: &Location) -> Vec<Directive> {
        let real = match std::fs::canonicalize(path) {
            Ok(real) => real,
            Err(error) => {
                self.problem(from, format!("{} cannot be read: {error}", path.display()));
                return Vec::new();
            }
        };
        if self.open.contains(&real) {
            self.problem(from, format!("{} includes itself, expected another file", path.display()));
            return Vec::new();
        }
        if self.open.len() >= MAX_DEPTH || self.files >= MAX_FILES {
            let what = format!("too many files, expected at most {MAX_FILES}, {MAX_DEPTH} deep");
            self.problem(from, what);
            return Vec::new();
        }
        self.files += 1;
        let plain = std::fs::metadata(&real).is_ok_and(|m| m.is_file() && m.len() <= MAX_FILE_BYTES);
        let bytes = match plain.then(|| std::fs::read(&real)) {
            Some(Ok(bytes)) => bytes,
            Some(Err(error)) => {
                self.problem(from, format!("{} cannot be read: {error}", path.display()));
                return Vec::new();
            }
            None => {
                let what = format!("{} is not a file of at most {MAX_FILE_BYTES} bytes", path.display());
                self.problem(from, what);
                return Vec::new();
            }
        };
        let name: Rc<str> = path.display().to_string().into();
        let text = match std::str::from_utf8(&bytes) {
            Ok(text) => text,
            Err(error) => {
                let valid = String::from_utf8_lossy(&bytes[..error.valid_up_to()]);
                let location = location(&name, &valid, valid.len());
                self.problem(&location, "invalid UTF-8, expected text");
                return Vec::new();
            }
        };
        self.open.push(real);
        let parsed = Parser::new(name, text, self.problems).lines();
        let read = self.expand(parsed, path);
        self.open.pop();
        read
    }

    /// Replaces each `include` by the directives of the included files.
    fn expand(&mut self, lines: Vec<Directive>, path: &Path) -> Vec<Directive> {
        let mut all = Vec::new();
        for mut line in lines {
            if line.name.text != "include" {
                line.block = line.block.map(|block| self.expand(block, path));
                all.push(line);
                continue;
            }
            if line.args.is_empty() || line.block.is_some() {
                self.problem(&line.name.location, "include, expected the pattern of a file");
            }
            for pattern in &line.args {
                let whole = path.parent().unwrap_or(Path::new("")).join(&pattern.text);
                let found = match glob::glob(&whole.to_string_lossy()) {
                    Ok(found) => found.filter_map(Result::ok).take(MAX_FILES + 1).collect::<Vec<PathBuf>>(),
                    Err(error) => {
                        self.problem(
                            &pattern.location,
                            format!("{:?} is not a valid pattern: {}", pattern.text, error.msg),
                        );
                        continue;
                    }
                };
                // A pattern may match nothing; a plain name must exist.
                let plain = !pattern.text.contains(['*', '?', '[']);
                if found.is_empty() && plain {
                    self.problem(&pattern.location, format!("{} does not exist", whole.display()));
                }
                for file in found {
                    all.extend(self.file(&file, &pattern.location));
                }
            }
        }
        all
    }
}

/// Converts a byte offset to a location.
fn location(file: &Rc<str>, text: &str, at: usize) -> Location {
    let before = &text[..at];
    let start = before.rfind('\n').map_or(0, |n| n + 1);
    let (line, column) = (before.matches('\n').count() + 1, before[start..].chars().count() + 1);
    Location { file: Rc::clone(file), line, column }
}

struct Parser<'t, 'p> {
    file: Rc<str>,
    text: &'t str,
    tokens: Vec<(Result<TokenKind, ()>, std::ops::Range<usize>)>,
    at: usize,
    problems: &'p mut Vec<Problem>,
}

impl<'t, 'p> Parser<'t, 'p> {
    fn new(file: Rc<str>, text: &'t str, problems: &'p mut Vec<Problem>) -> Self {
        let tokens = TokenKind::lexer(text).spanned().collect();
        Parser { file, text, tokens, at: 0, problems }
    }

    fn location(&self, at: usize) -> Location {
        location(&self.file, self.text, at)
    }

    fn problem(&mut self, at: usize, what: impl Into<String>) {
        let location = self.location(at);
        self.problems.push(Problem { location, description: what.into() });
    }

    fn lines(mut self) -> Vec<Directive> {
        let mut all = self.block(0);
        // The rest begins with a closing brace that has no block.
        while let Some((_, span)) = self.tokens.get(self.at).cloned() {
            self.problem(span.start, "`}` closes no block, expected a directive");
            self.at += 1;
            all.extend(self.block(0));
        }
        all
    }

    /// Parses directives up to a closing brace, which is not consumed, or up to the end.
    fn block(&mut self, depth: usize) -> Vec<Directive> {
        let mut lines = Vec::new();
        while let Some((token, span)) = self.tokens.get(self.at).cloned() {
            match token {
                Ok(TokenKind::Newline) => self.at += 1,
                Ok(TokenKind::Close) => break,
                Ok(TokenKind::Open) => {
                    self.problem(span.start, "`{` without a directive, expected one before it");
                    self.at += 1;
                }
                Ok(TokenKind::Text) | Err(()) => lines.extend(self.line(depth)),
            }
        }
        lines
    }

    /// Parses one directive, and its block if it opens one.
    fn line(&mut self, depth: usize) -> Option<Directive> {
        let mut words = Vec::new();
        let (mut opened, mut broken) = (None, false);
        while let Some((token, span)) = self.tokens.get(self.at).cloned() {
            match token {
                Ok(TokenKind::Newline | TokenKind::Close) => break,
                Ok(TokenKind::Open) => {
                    self.at += 1;
                    opened = Some(span.start);
                    break;
                }
                Ok(TokenKind::Text) => {
                    let location = self.location(span.start);
                    // One token according to the lexer; the library removes its quotes and escapes.
                    match shlex::split(&self.text[span.clone()]).as_deref() {
                        Some([text]) => words.push(Token { text: text.clone(), location }),
                        _ => self.problem(span.start, "quotes that do not form one token"),
                    }
                }
                Err(()) => {
                    broken = true;
                    self.problem(
                        span.start,
                        "a quote or an escape without its end, expected a closing quote",
                    );
                    // What follows an open quote cannot be parsed; parsing goes on with the next line.
                    while self.tokens.get(self.at).is_some_and(|t| t.0 != Ok(TokenKind::Newline)) {
                        self.at += 1;
                    }
                    break;
                }
            }
            self.at += 1;
        }
        let block = opened.map(|at| self.body(at, depth));
        // Checking a directive with an unknown part would only report problems that are not real.
        if broken {
            return None;
        }
        let mut words = words.into_iter();
        let name = words.next()?;
        Some(Directive { name, args: words.collect(), block })
    }

    fn body(&mut self, opened: usize, depth: usize) -> Vec<Directive> {
        match self.tokens.get(self.at).cloned() {
            None | Some((Ok(TokenKind::Newline | TokenKind::Close), _)) => {}
            Some((_, span)) => self.problem(span.start, "text after `{`, expected the end of the line"),
        }
        if depth >= MAX_DEPTH {
            self.problem(opened, format!("blocks nested too deep, expected at most {MAX_DEPTH}"));
            self.at = self.tokens.len();
            return Vec::new();
        }
        let lines = self.block(depth + 1);
        match self.tokens.get(self.at) {
            Some(_) => self.at += 1,
            None => self.problem(opened, "the block is not closed, expected `}`"),
        }
        match self.tokens.get(self.at).cloned() {
            None | Some((Ok(TokenKind::Newline | TokenKind::Close), _)) => {}
            Some((_, span)) => self.problem(span.start, "text after `}`, expected the end of the line"),
        }
        lines
    }
}
