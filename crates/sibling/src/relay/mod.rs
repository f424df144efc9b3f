//! Relaying of sub-requests over TCP: the client that sends a request to a
//! sibling, and the server that carries out requests of siblings.
//!
//! A relay request names shards of which the sibling is an aggregator.
//! Connections are kept open between requests and carry one request at a time.
//! A client cancels a request by closing its connection, on which the server
//! stops the sub-requests at once. After the first reply, the client may grant
//! the server the extra attempts, by a message on the same connection.
//!
//! The request head is opaque to this module; a [`RequestHeadCodec`] encodes it.

mod client;
mod codec;
mod server;

pub use client::{TcpRelayClient, TcpRelayReplies};
pub use codec::{
    RequestHeadCodec, decode_relay_reply, decode_relay_request, encode_relay_grant,
    encode_relay_reply, encode_relay_request,
};
pub use server::{RelayPermits, serve_relay_requests};
