//! Asking a sibling for shards of its zone, and answering such questions.
//!
//! Questions go over kept TCP connections, one at a time on each. A question
//! that nobody waits for any more ends with its connection: the sibling sees
//! the end and stops its work at once.
//!
//! The head of a request is opaque here; whoever knows it encodes it.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use bytes::Bytes;
use crossbeam_queue::ArrayQueue;
use endivevale_core::{
    forward::{
        ForwardTransport, RelayClient, RelayError, RelayReplies, RelayReply, RelayReplySink,
        RelayRequest, RelayServer,
    },
    intent::Rank,
    name::{RouteName, ServiceName},
    sibling::Sibling,
};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream, tcp::OwnedWriteHalf},
    sync::Semaphore,
    time::{sleep, timeout},
};

use crate::{
    exchange::{ExchangeError, read_message, write_message},
    heartbeat::Siblings,
    wire::{self, Kind, WireError},
};

/// How long opening a connection to a sibling may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// The connections that are kept idle for one sibling.
const IDLE_CAPACITY: usize = 16;

/// The questions that are answered at the same time.
const MAX_QUESTIONS: usize = 512;

/// The largest question or answer, in bytes.
const MAX_RELAY_BYTES: usize = 512 * 1024;

/// The pause after the system would not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Encodes the head of a request for a sibling.
pub trait HeadCodec: Send + Sync + 'static {
    /// The head.
    type Head: Send + Sync + 'static;

    /// The head as bytes.
    fn encode(head: &Self::Head) -> Vec<u8>;

    /// The head from bytes; `None` when they are none.
    fn decode(bytes: &[u8]) -> Option<Self::Head>;
}

/// A question on the wire.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Question {
    route: RouteName,
    shards: Vec<ServiceName>,
    top: u64,
    rank: Rank,
    answer_within: Duration,
    objective: Duration,
    patience: Duration,
    head: Vec<u8>,
}

/// An answer on the wire.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Answer {
    body: Vec<u8>,
    parts: Vec<(u16, String)>,
    unasked: Vec<u16>,
    is_last: bool,
}

/// Encodes a question.
///
/// # Errors
///
/// [`WireError::Oversized`] when the head is too large.
pub fn encode_question<C: HeadCodec>(ask: &RelayRequest<C::Head>) -> Result<Vec<u8>, WireError> {
    let question = Question {
        route: ask.route.clone(),
        shards: ask.shards.clone(),
        top: ask.top as u64,
        rank: ask.rank,
        answer_within: ask.first_reply_within,
        objective: ask.objective_in,
        patience: ask.deadline_in,
        head: C::encode(&ask.head),
    };
    wire::encode(Kind::Question, &question, MAX_RELAY_BYTES)
}

/// Decodes a question.
///
/// # Errors
///
/// The reason to drop the message.
pub fn decode_question<C: HeadCodec>(bytes: &[u8]) -> Result<RelayRequest<C::Head>, WireError> {
    let question: Question = wire::decode(Kind::Question, bytes, MAX_RELAY_BYTES)?;
    let head = C::decode(&question.head).ok_or(WireError::Malformed)?;
    Ok(RelayRequest {
        route: question.route,
        shards: question.shards,
        top: usize::try_from(question.top).unwrap_or(usize::MAX),
        rank: question.rank,
        first_reply_within: question.answer_within,
        objective_in: question.objective,
        deadline_in: question.patience,
        head: Arc::new(head),
    })
}

/// Encodes an answer.
///
/// # Errors
///
/// [`WireError::Oversized`] when the records are too many.
pub fn encode_answer(answer: &RelayReply) -> Result<Vec<u8>, WireError> {
    let parts = answer.parts.iter().map(|(place, signature)| (*place, signature.to_string()));
    let answer = Answer {
        body: answer.body.to_vec(),
        parts: parts.collect(),
        unasked: answer.unreached.clone(),
        is_last: answer.is_last,
    };
    wire::encode(Kind::Answer, &answer, MAX_RELAY_BYTES)
}

/// Decodes an answer.
///
/// # Errors
///
/// The reason to drop the message.
pub fn decode_answer(bytes: &[u8]) -> Result<RelayReply, WireError> {
    let answer: Answer = wire::decode(Kind::Answer, bytes, MAX_RELAY_BYTES)?;
    let parts = answer.parts.into_iter().map(|(place, signature)| (place, Arc::from(signature)));
    Ok(RelayReply {
        body: Bytes::from(answer.body),
        parts: parts.collect(),
        unreached: answer.unasked,
        is_last: answer.is_last,
    })
}

type Idle = Arc<ArrayQueue<TcpStream>>;

/// Asks siblings over kept connections.
#[derive(Debug)]
pub struct TcpRelay<C> {
    idle: ArcSwap<HashMap<SocketAddr, Idle>>,
    codec: std::marker::PhantomData<fn() -> C>,
}

impl<C> Default for TcpRelay<C> {
    fn default() -> Self {
        Self { idle: ArcSwap::default(), codec: std::marker::PhantomData }
    }
}

impl<C: HeadCodec> TcpRelay<C> {
    /// A relay without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn idle_of(&self, addr: SocketAddr) -> Idle {
        if let Some(idle) = self.idle.load().get(&addr) {
            return Arc::clone(idle);
        }
        let fresh: Idle = Arc::new(ArrayQueue::new(IDLE_CAPACITY));
        self.idle.rcu(|idle| {
            let mut idle = HashMap::clone(idle);
            idle.entry(addr).or_insert_with(|| Arc::clone(&fresh));
            idle
        });
        self.idle.load().get(&addr).map_or(fresh, Arc::clone)
    }
}

/// Opens a connection, or takes one that is idle and open.
async fn checkout(addr: SocketAddr, idle: &Idle) -> io::Result<TcpStream> {
    while let Some(stream) = idle.pop() {
        if is_quiet(&stream) {
            return Ok(stream);
        }
    }
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    endivevale_socket::set_options(&stream);
    Ok(stream)
}

/// Whether the other end has neither closed the connection nor sent anything
/// unasked.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

impl<C: HeadCodec> RelayClient for TcpRelay<C> {
    type Head = C::Head;
    type Replies = TcpAnswers;

    async fn send(
        &self,
        sibling: &Sibling,
        ask: RelayRequest<C::Head>,
    ) -> Result<TcpAnswers, RelayError> {
        let question = encode_question::<C>(&ask).map_err(|e| {
            log::debug!(target: "sibling", "A question was not encoded: {e}.");
            RelayError::Down
        })?;
        let idle = self.idle_of(sibling.relay_addr());
        let mut stream = checkout(sibling.relay_addr(), &idle).await.map_err(|e| {
            log::debug!(target: "sibling", "{} takes no connection: {e}.", sibling.name());
            RelayError::Down
        })?;
        if let Err(e) = write_message(&mut stream, &question).await {
            log::debug!(target: "sibling", "{} took no question: {e}.", sibling.name());
            return Err(RelayError::Lost);
        }
        Ok(TcpAnswers { stream: Some(stream), idle })
    }
}

/// The answers to one question on one connection.
#[derive(Debug)]
pub struct TcpAnswers {
    /// Invariant: present until the last answer or an error.
    stream: Option<TcpStream>,
    /// Where the connection goes after the last answer.
    idle: Idle,
}

impl RelayReplies for TcpAnswers {
    async fn next(&mut self) -> Result<RelayReply, RelayError> {
        let mut stream = self.stream.take().ok_or(RelayError::Lost)?;
        let answer = match read_answer(&mut stream).await {
            Ok(answer) => answer,
            Err(e) => {
                log::debug!(target: "sibling", "A sibling's answer broke off: {e}.");
                return Err(RelayError::Lost);
            }
        };
        match answer.is_last {
            // A full queue hands the connection back, and dropping closes it.
            true => drop(self.idle.push(stream)),
            false => self.stream = Some(stream),
        }
        Ok(answer)
    }
}

async fn read_answer(stream: &mut TcpStream) -> Result<RelayReply, ExchangeError> {
    let answer = read_message(stream, MAX_RELAY_BYTES).await?;
    Ok(decode_answer(&answer)?)
}

/// Answers the questions of listed siblings, for as long as the task runs.
pub async fn serve<H: HeadCodec, C: ForwardTransport<Head = H::Head>>(
    listener: TcpListener,
    siblings: Arc<Siblings>,
    service: Arc<RelayServer<C>>,
) {
    let places = Arc::new(Semaphore::new(MAX_QUESTIONS));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!(target: "sibling", "A connection was not accepted: {e}.");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if !siblings.is_listed_ip(&from) {
            log::debug!(target: "sibling", "{from} is no listed sibling.");
            continue;
        }
        endivevale_socket::set_options(&stream);
        let (service, places) = (Arc::clone(&service), Arc::clone(&places));
        tokio::spawn(async move {
            if let Err(e) = serve_one::<H, C>(stream, &service, &places).await {
                log::debug!(target: "sibling", "The connection of {from} ended: {e}.");
            }
        });
    }
}

/// Answers one question after the other on a connection.
async fn serve_one<H: HeadCodec, C: ForwardTransport<Head = H::Head>>(
    stream: TcpStream,
    service: &RelayServer<C>,
    places: &Semaphore,
) -> Result<(), ExchangeError> {
    let (mut reader, writer) = stream.into_split();
    let mut sink = StreamSink { writer };
    loop {
        let question = read_message(&mut reader, MAX_RELAY_BYTES).await?;
        let ask = decode_question::<H>(&question)?;
        // Without a place the asker goes straight to searchers.
        let Ok(_place) = places.try_acquire() else { return Ok(()) };
        let mut byte = [0];
        tokio::select! {
            biased;
            // The asker sends nothing before it has the last answer, so this
            // is the end of the connection. It is looked for first, so that a
            // question that was read late is not taken up.
            _ = reader.peek(&mut byte) => return Ok(()),
            () = service.serve(ask, &mut sink) => {}
        }
    }
}

/// Sends answers on a connection.
struct StreamSink {
    writer: OwnedWriteHalf,
}

impl RelayReplySink for StreamSink {
    async fn send(&mut self, answer: RelayReply) -> bool {
        let written = match encode_answer(&answer) {
            Ok(message) => write_message(&mut self.writer, &message).await,
            Err(e) => Err(io::Error::other(e.to_string())),
        };
        if let Err(e) = &written {
            log::debug!(target: "sibling", "An answer was not sent: {e}.");
        }
        written.is_ok()
    }
}
