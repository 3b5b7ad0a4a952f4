//! Transcripts of sessions, and the callers, operators and upstreams that write them.

pub mod operator;
pub mod upstream;

use {
    bytes::Bytes,
    http::{HeaderMap, Method, Request},
    std::{
        collections::BTreeMap,
        fs,
        path::Path,
        sync::{Arc, Mutex},
    },
    yuccacroft_fakes::caller::{Answer, Caller},
};

/// If this environment variable is set, the tests rewrite the golden files instead of comparing
/// them.
const REWRITE_VARIABLE: &str = "YUCCACROFT_REWRITE_SESSIONS";
/// Headers left out of transcripts because they depend on the machine or carry no information.
const HIDDEN_HEADERS: [&str; 5] = ["date", "host", "content-length", "accept", "user-agent"];

/// The messages of one session in the order in which they were observed.
#[derive(Clone, Default)]
pub struct Transcript(Arc<Mutex<String>>);

/// Replaces values that differ from run to run by placeholders, which consist of the kind of the
/// value and a number in order of first appearance.
#[derive(Default)]
struct Placeholders {
    assigned: BTreeMap<String, String>,
    counts: BTreeMap<&'static str, usize>,
}

impl Transcript {
    /// Adds a comment of the test.
    pub fn add_comment(&self, text: &str) {
        self.push(&format!("\n# {text}\n"));
    }

    /// Adds a message that an actor sent or received.
    pub fn add_message(&self, actor: &str, head: &str, headers: &HeaderMap, body: &[u8]) {
        let mut text = format!("{actor} {head}\n");
        for (name, value) in headers {
            if !HIDDEN_HEADERS.contains(&name.as_str()) {
                text.push_str(&format!("    {name}: {}\n", value.to_str().unwrap_or("(binary)")));
            }
        }
        for line in String::from_utf8_lossy(body).lines() {
            text.push_str(&format!("    | {line}\n"));
        }
        self.push(&text);
    }

    /// Asserts that the transcript equals the golden file `tests/sessions/{name}.txt`.
    pub fn assert_golden(&self, name: &str) {
        let text = normalize(self.0.lock().unwrap().trim_start());
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/sessions/{name}.txt"));
        if std::env::var_os(REWRITE_VARIABLE).is_some() {
            fs::write(&file, text).unwrap();
            return;
        }
        let golden = fs::read_to_string(&file).unwrap_or_default();
        for (number, (expected, found)) in golden.lines().zip(text.lines()).enumerate() {
            assert_eq!(found, expected, "{name}.txt line {}; all:\n{text}", number + 1);
        }
        assert_eq!(text, golden, "{name}.txt and the transcript have different lengths");
    }

    fn push(&self, text: &str) {
        self.0.lock().unwrap().push_str(text);
    }
}

/// Sends a request as a caller, and records it and its answer.
pub async fn call(
    transcript: &Transcript,
    caller: &mut Caller,
    request: Request<()>,
    body: &'static [u8],
) -> Answer {
    record_request(transcript, &request, body);
    let answer = caller.request(request, Bytes::from_static(body)).await.unwrap();
    record_answer(transcript, &answer);
    answer
}

/// Records a request of a caller.
pub fn record_request(transcript: &Transcript, request: &Request<()>, body: &[u8]) {
    let head = format!("{} {}", request.method(), request.uri().path());
    transcript.add_message("caller sends", &head, request.headers(), body);
}

/// Records an answer that a caller received.
pub fn record_answer(transcript: &Transcript, answer: &Answer) {
    let Answer { status, headers, body, .. } = answer;
    transcript.add_message("caller receives", &status.to_string(), headers, body);
}

/// Builds a request of a caller.
pub fn request(method: Method, path: &str, headers: &[(&str, &str)]) -> Request<()> {
    let uri = format!("https://{}{path}", crate::support::HOST_NAME);
    let mut request = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).unwrap()
}

/// Replaces the values that differ from run to run.
fn normalize(text: &str) -> String {
    let mut placeholders = Placeholders::default();
    let mut lines = String::new();
    for line in text.lines() {
        lines.push_str(&placeholders.replace_in_line(line));
        lines.push('\n');
    }
    lines
}

impl Placeholders {
    fn replace_in_line(&mut self, line: &str) -> String {
        let line = self.replace(line, "revision", "\"revision\": \"", |c| c.is_ascii_digit());
        // Whether another balancer has the change in force when it answers depends on timing.
        let line = self.replace(&line, "in force", "\"in_force\": \"", |c| c.is_ascii_digit());
        let line = self.replace(&line, "revision", "\"base\": \"", |c| c.is_ascii_digit());
        let line = self.replace(&line, "revision", "on revision ", |c| c.is_ascii_digit());
        let line = self.replace(&line, "revision", ", but ", |c| c.is_ascii_digit());
        let line = self.replace(&line, "revision", "if-match: \"", |c| c.is_ascii_digit());
        let line = self.replace(&line, "change", "\"change\": \"", |c| c.is_ascii_hexdigit());
        let line =
            self.replace(&line, "incarnation", "\"incarnation\": \"", |c| c.is_ascii_digit());
        let line = self.replace(&line, "time", "yuccacroft-deadline: ", |_| true);
        let line = self.replace(&line, "owner", "yuccacroft-owner: ", |_| true);
        let line = self.replace(&line, "uptime", "\"uptime\": \"", |c| c != '"');
        self.replace(&line, "address", "127.", |c| c.is_ascii_digit() || c == '.' || c == ':')
    }

    /// Replaces each value that follows `before` and whose characters satisfy `belongs`.
    fn replace(
        &mut self,
        line: &str,
        kind: &'static str,
        before: &str,
        belongs: fn(char) -> bool,
    ) -> String {
        let mut text = String::new();
        let mut rest = line;
        while let Some(position) = rest.find(before) {
            let (head, tail) = rest.split_at(position + before.len());
            let end = tail.find(|c| !belongs(c)).unwrap_or(tail.len());
            // The placeholder of an address covers the prefix as well.
            text.push_str(head.strip_suffix("127.").unwrap_or(head));
            text.push_str(&self.placeholder(kind, &tail[..end]));
            rest = &tail[end..];
        }
        text + rest
    }

    /// Returns the placeholder for a value.
    fn placeholder(&mut self, kind: &'static str, value: &str) -> String {
        // Revision 0 stays, since it means that there is no contract.
        if value.is_empty() || (kind == "revision" && value == "0") {
            return value.to_owned();
        }
        if ["in force", "owner", "time", "uptime"].contains(&kind) {
            return format!("<{kind}>");
        }
        if let Some(name) = self.assigned.get(&format!("{kind} {value}")) {
            return name.clone();
        }
        let count = self.counts.entry(kind).or_default();
        *count += 1;
        let name = format!("<{kind} {count}>");
        self.assigned.insert(format!("{kind} {value}"), name.clone());
        name
    }
}
