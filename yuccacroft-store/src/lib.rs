//! The trait of the key-value store that the processes share, and a client of etcd.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod errors;
pub mod etcd;
pub mod exchange;
pub mod store;
