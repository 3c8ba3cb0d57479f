//! Lines, words and blocks; files and what they include.

use std::fmt;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use logos::Logos;

use crate::problem::{Location, Problem};

/// Longest file, most files, deepest nesting of blocks and of files. Guards against a device, a pattern that
/// takes in a whole disk, and a stack that runs out.
const MAX_FILE_BYTES: u64 = 1 << 20;
const MAX_FILES: usize = 256;
const MAX_DEPTH: usize = 16;

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
    // Bare characters, escapes and quoted stretches in any mix, as a shell has them; a `#` inside a word
    // begins no comment.
    #[regex(r##"([^\s{}"'#\\]|\\[^\n]|"([^"\\]|\\[^\n])*"|'[^']*')([^\s{}"'\\]|\\[^\n]|"([^"\\]|\\[^\n])*"|'[^']*')*"##)]
    Text,
}

/// A word and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Token {
    pub text: String,
    pub location: Location,
}

/// A line: its name, its arguments, and its block where it has one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Directive {
    pub name: Token,
    pub args: Vec<Token>,
    pub block: Option<Vec<Directive>>,
}

/// Reads a file and all that it includes.
pub(crate) fn read(path: &Path, problems: &mut Vec<Problem>) -> Vec<Directive> {
    let mut reader = Reader { open: Vec::new(), files: 0, problems };
    let name: Rc<str> = path.display().to_string().into();
    reader.file(path, &Location { file: name, line: 1, column: 1 })
}

/// Reads a text that is no file. An `include` in it stays a line.
pub(crate) fn parse(name: &str, text: &str, problems: &mut Vec<Problem>) -> Vec<Directive> {
    Parser::new(name.into(), text, problems).lines()
}

impl fmt::Display for Directive {
    /// As it may be read again, a word of its own for each word.
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

/// A word in quotes where it needs them.
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
    /// Files that are being read, from the outermost.
    open: Vec<PathBuf>,
    files: usize,
    problems: &'p mut Vec<Problem>,
}

impl Reader<'_> {
    fn problem(&mut self, location: &Location, what: impl Into<String>) {
        self.problems.push(Problem { location: location.clone(), description: what.into() });
    }

    /// Reads one file; `from` is where it was asked for.
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
                let what = format!("{} is no file of at most {MAX_FILE_BYTES} bytes", path.display());
                self.problem(from, what);
                return Vec::new();
            }
        };
        let name: Rc<str> = path.display().to_string().into();
        let text = match std::str::from_utf8(&bytes) {
            Ok(text) => text,
            Err(error) => {
                let sound = String::from_utf8_lossy(&bytes[..error.valid_up_to()]);
                let location = location(&name, &sound, sound.len());
                self.problem(&location, "a byte that is no UTF-8, expected text");
                return Vec::new();
            }
        };
        self.open.push(real);
        let parsed = Parser::new(name, text, self.problems).lines();
        let read = self.expand(parsed, path);
        self.open.pop();
        read
    }

    /// Puts included files in the place of their lines.
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
                            format!("{:?} is no pattern: {}", pattern.text, error.msg),
                        );
                        continue;
                    }
                };
                // A pattern may match nothing; a plain name is meant to be there.
                let plain = !pattern.text.contains(['*', '?', '[']);
                if found.is_empty() && plain {
                    self.problem(&pattern.location, format!("{} is not there", whole.display()));
                }
                for file in found {
                    all.extend(self.file(&file, &pattern.location));
                }
            }
        }
        all
    }
}

/// The place of a byte offset.
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
        // What is left begins with a brace that closes nothing.
        while let Some((_, span)) = self.tokens.get(self.at).cloned() {
            self.problem(span.start, "`}` closes no block, expected a directive");
            self.at += 1;
            all.extend(self.block(0));
        }
        all
    }

    /// Lines up to a closing brace, which stays, or the end.
    fn block(&mut self, depth: usize) -> Vec<Directive> {
        let mut lines = Vec::new();
        while let Some((token, span)) = self.tokens.get(self.at).cloned() {
            match token {
                Ok(TokenKind::Newline) => self.at += 1,
                Ok(TokenKind::Close) => break,
                Ok(TokenKind::Open) => {
                    self.problem(span.start, "`{` opens a block of nothing, expected a directive before it");
                    self.at += 1;
                }
                Ok(TokenKind::Text) | Err(()) => lines.extend(self.line(depth)),
            }
        }
        lines
    }

    /// One line, and its block where it opens one.
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
                    // One word by the lexer's rule; the library takes its quotes and escapes away.
                    match shlex::split(&self.text[span.clone()]).as_deref() {
                        Some([text]) => words.push(Token { text: text.clone(), location }),
                        _ => self.problem(span.start, "quotes that make no word"),
                    }
                }
                Err(()) => {
                    broken = true;
                    self.problem(
                        span.start,
                        "a quote or an escape without its end, expected a closing quote",
                    );
                    // What follows an open quote cannot be told; the next line can.
                    while self.tokens.get(self.at).is_some_and(|t| t.0 != Ok(TokenKind::Newline)) {
                        self.at += 1;
                    }
                    break;
                }
            }
            self.at += 1;
        }
        let block = opened.map(|at| self.body(at, depth));
        // A line of which a part is not known would only bring mistakes that are none.
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
            Some((_, span)) => self.problem(span.start, "words after `{`, expected the end of the line"),
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
            Some((_, span)) => self.problem(span.start, "words after `}`, expected the end of the line"),
        }
        lines
    }
}
