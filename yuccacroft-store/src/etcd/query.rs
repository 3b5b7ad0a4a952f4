//! The JSON bodies of the etcd gateway and their conversion.

use {
    crate::{
        errors::{Error, Result},
        store::{KeyValue, Unreadable, ValueError},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    serde::{Deserialize, Serialize},
    yuccacroft_core::ids::Revision,
};

#[derive(Serialize)]
pub(super) struct Range<'a> {
    pub key: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<&'a str>,
}

#[derive(Deserialize)]
pub(super) struct RangeAnswer {
    #[serde(default)]
    pub header: Header,
    #[serde(default)]
    pub kvs: Vec<RawKeyValue>,
}

#[derive(Default, Deserialize)]
pub(super) struct Header {
    #[serde(default)]
    pub revision: Box<str>,
}

#[derive(Deserialize)]
pub(super) struct RawKeyValue {
    pub key: Box<str>,
    #[serde(default)]
    pub value: Box<str>,
    pub mod_revision: Box<str>,
    /// Missing in the event of a removal.
    #[serde(default)]
    pub create_revision: Option<Box<str>>,
}

#[derive(Serialize)]
pub(super) struct Transaction<'a> {
    pub compare: &'a [Compare<'a>],
    pub success: [Operation<'a>; 1],
    pub failure: [Operation<'a>; 1],
}

#[derive(Serialize)]
pub(super) struct Compare<'a> {
    pub key: &'a str,
    pub result: &'static str,
    #[serde(flatten)]
    pub expected: Expected,
}

#[derive(Serialize)]
#[serde(tag = "target", rename_all = "UPPERCASE")]
pub(super) enum Expected {
    Mod { mod_revision: Box<str> },
    Lease { lease: Box<str> },
}

#[derive(Serialize)]
pub(super) struct GrantQuery {
    #[serde(rename = "TTL")]
    pub seconds: Box<str>,
}

#[derive(Deserialize)]
pub(super) struct GrantAnswer {
    #[serde(rename = "ID")]
    pub id: Box<str>,
}

#[derive(Serialize)]
pub(super) struct LeaseQuery {
    #[serde(rename = "ID")]
    pub id: Box<str>,
}

#[derive(Deserialize)]
pub(super) struct RenewAnswer {
    pub result: Renewal,
}

#[derive(Deserialize)]
pub(super) struct Renewal {
    /// Absent or zero when the lease has ended.
    #[serde(rename = "TTL", default)]
    pub seconds: Box<str>,
}

#[derive(Deserialize)]
pub(super) struct RevokeAnswer {}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Operation<'a> {
    RequestPut {
        key: &'a str,
        value: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        lease: Option<Box<str>>,
    },
    RequestRange(Range<'a>),
}

#[derive(Deserialize)]
pub(super) struct TransactionAnswer {
    #[serde(default)]
    pub header: Header,
    #[serde(default)]
    pub succeeded: bool,
    #[serde(default)]
    pub responses: Vec<OperationAnswer>,
}

#[derive(Deserialize)]
pub(super) struct OperationAnswer {
    pub response_range: Option<RangeAnswer>,
}

/// Decodes an item. The value is an [`Unreadable`] if it is not text, which leaves the other items
/// in use.
pub(super) fn decode_item(pair: RawKeyValue) -> Result<std::result::Result<KeyValue, Unreadable>> {
    let key = decode_text(&pair.key)?;
    let bytes = STANDARD.decode(&*pair.value).map_err(|e| protocol_error(&e))?;
    let Ok(value) = String::from_utf8(bytes) else {
        return Ok(Err(Unreadable { key, error: ValueError::Text }));
    };
    let revision = parse_revision(&pair.mod_revision)?;
    let created = parse_revision(pair.create_revision.as_deref().unwrap_or("0"))?;
    Ok(Ok(KeyValue { key, value: value.into(), revision, created }))
}

pub(super) fn decode_text(encoded: &str) -> Result<Box<str>> {
    let bytes = STANDARD.decode(encoded).map_err(|e| protocol_error(&e))?;
    String::from_utf8(bytes).map(Into::into).map_err(|e| protocol_error(&e))
}

pub(super) fn parse_revision(text: &str) -> Result<Revision> {
    text.parse().map_err(|e: yuccacroft_core::errors::Error| protocol_error(&e))
}

pub(super) fn protocol_error(cause: &dyn std::fmt::Display) -> Error {
    Error::Protocol(cause.to_string().into())
}
