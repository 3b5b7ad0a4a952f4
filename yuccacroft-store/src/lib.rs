//! The platform's key-value store, as the rest of the system sees it.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod errors;
pub mod etcd;
pub mod store;
