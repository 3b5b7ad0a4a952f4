//! The parts that the administration interfaces of both roles share: the token check, error
//! responses, metrics and the text form of a state dump.

use {
    axum::{
        Json, Router,
        extract::{Request, State},
        http::{StatusCode, header},
        middleware::{self, Next},
        response::{IntoResponse, Response},
        routing::get,
    },
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    serde_json::Value,
    std::{
        net::SocketAddr,
        sync::{Arc, OnceLock},
    },
    yuccacroft_core::token::Token,
    yuccacroft_wire::admin::{Problem, ProblemKind, ProgramVersion},
};

/// The path of the metrics in the text format of Prometheus.
pub const METRICS_PATH: &str = "/metrics";
/// The path of the program's version.
pub const VERSION_PATH: &str = "/v1/version";
/// The path of the state dump as JSON.
pub const DUMP_PATH: &str = "/v1/dump";
/// The path of the state dump as text.
pub const DUMP_TEXT_PATH: &str = "/v1/dump.txt";

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// The address of an administration interface and the token that protects it.
#[derive(Clone, Debug)]
pub struct Access {
    /// The address that it listens on.
    pub listen: SocketAddr,
    /// The bearer token that every request must carry.
    pub token: Token,
}

/// An error response: a problem, sent with the HTTP status of its kind.
#[derive(Clone, Debug)]
pub struct ErrorResponse(pub Problem);

/// Installs the global metrics recorder. Metrics recorded before this call are lost.
pub fn install_metrics_recorder() {
    // The installation fails if another recorder is installed already; the metrics page is then
    // empty.
    RECORDER.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// Adds the version and metrics routes to the routes of a role and requires the token for all of
/// them.
pub fn protect_routes(routes: Router, access: &Access) -> Router {
    let token = Arc::new(access.token.clone());
    routes
        .route(METRICS_PATH, get(async || metrics()))
        .route(VERSION_PATH, get(async || Json(ProgramVersion::current())))
        .fallback(async || failure(ProblemKind::NotFound, "no such path"))
        .method_not_allowed_fallback(async || failure(ProblemKind::Invalid, "no such method"))
        .layer(middleware::from_fn_with_state(token, check_token))
}

/// Returns the metrics route without a token check.
pub fn public_metrics_routes() -> Router {
    Router::new().route(METRICS_PATH, get(async || metrics()))
}

/// Creates an error response.
pub fn failure(kind: ProblemKind, detail: &str) -> ErrorResponse {
    ErrorResponse(Problem::new(kind, detail))
}

/// Formats a JSON value as indented lines of `key: value`.
pub fn format_text(value: &Value) -> String {
    let mut text = String::new();
    write_value(&mut text, value, 0);
    text
}

impl IntoResponse for ErrorResponse {
    fn into_response(self) -> Response {
        (status_of(self.0.error), Json(self.0)).into_response()
    }
}

fn status_of(kind: ProblemKind) -> StatusCode {
    match kind {
        ProblemKind::Unauthorized => StatusCode::UNAUTHORIZED,
        ProblemKind::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
        ProblemKind::BaseMissing => StatusCode::PRECONDITION_REQUIRED,
        ProblemKind::Conflict | ProblemKind::RemovesService => StatusCode::CONFLICT,
        ProblemKind::NotFound => StatusCode::NOT_FOUND,
        ProblemKind::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        ProblemKind::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

async fn check_token(State(token): State<Arc<Token>>, request: Request, next: Next) -> Response {
    let value = request.headers().get(header::AUTHORIZATION);
    let token_text = value.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    if token_text.is_some_and(|token_text| token.matches(token_text)) {
        return next.run(request).await;
    }
    let answer = failure(ProblemKind::Unauthorized, "the bearer token is missing or wrong");
    let challenge = [(header::WWW_AUTHENTICATE, "Bearer")];
    (challenge, answer).into_response()
}

fn metrics() -> String {
    let handle = RECORDER.get().and_then(Option::as_ref);
    handle.map(PrometheusHandle::render).unwrap_or_default()
}

fn write_value(text: &mut String, value: &Value, depth: usize) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                write_field(text, key, value, depth);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                write_field(text, &format!("{}", index + 1), item, depth);
            }
        }
        scalar => text.push_str(&format!("{}{}\n", "  ".repeat(depth), format_scalar(scalar))),
    }
}

fn write_field(text: &mut String, key: &str, value: &Value, depth: usize) {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(_) | Value::Array(_) => {
            text.push_str(&format!("{indent}{key}:\n"));
            write_value(text, value, depth + 1);
        }
        scalar => text.push_str(&format!("{indent}{key}: {}\n", format_scalar(scalar))),
    }
}

fn format_scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "none".to_owned(),
        other => other.to_string(),
    }
}
