//! Answers of a stream, whole or event by event.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt as _, StreamBody};
use tokio::sync::watch;

use super::{
    batch::{End, Progress},
    state::Engine,
    text::{self, Ask, Writer},
};
use crate::{
    owner::Owner,
    server::{self, Body, Cut},
};

/// Events written in one piece when many are ready.
const MAX_EVENTS_PER_WRITE: u32 = 64;

/// What an answer needs of a stream.
#[derive(Debug, Clone)]
pub(super) struct Stream {
    /// Place in the engine's history.
    pub(super) key: usize,
    pub(super) id: Arc<str>,
    pub(super) ask: Arc<Ask>,
    pub(super) progress: watch::Receiver<Progress>,
}

/// Tells the engine that a stream's reader is gone.
#[derive(Debug)]
pub(super) struct Guard {
    owner: Owner<Engine>,
    key: usize,
}

impl Guard {
    pub(super) fn new(owner: Owner<Engine>, key: usize) -> Guard {
        Guard { owner, key }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let (owner, key) = (self.owner.clone(), self.key);
        self.owner.tell(move |engine| engine.leave(key, owner));
    }
}

struct Reader {
    writer: Writer,
    progress: watch::Receiver<Progress>,
    next: u32,
    /// Offset at which the connection is cut, zero for never.
    cut: u32,
    closed: bool,
    _guard: Guard,
}

/// The answer from an offset on, as server-sent events; the head comes with the first event.
pub(super) async fn events(
    mut stream: Stream,
    guard: Guard,
    from: u32,
    cut: u32,
) -> Result<Response<Body>, Cut> {
    let first = |it: &Progress| it.produced > 0 || it.end.is_some();
    let started = *stream.progress.wait_for(first).await.map_err(|_| Cut)?;
    if started.produced == 0 && started.end != Some(End::Done) {
        return Err(Cut);
    }
    let writer = Writer::new(&stream.ask, &stream.id);
    let progress = stream.progress;
    let reader = Reader { writer, progress, next: from, cut, closed: false, _guard: guard };
    let mut answer = Response::new(StreamBody::new(stream::unfold(reader, step)).boxed_unsync());
    let form = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(header::CONTENT_TYPE, form);
    answer.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    if let Ok(id) = HeaderValue::from_str(&stream.id) {
        answer.headers_mut().insert("x-request-id", id);
    }
    Ok(answer)
}

/// The next events, the end, or the cut of a stream.
async fn step(mut reader: Reader) -> Option<(Result<Frame<Bytes>, Cut>, Reader)> {
    let events = reader.writer.events();
    if reader.closed || reader.next >= events {
        return None;
    }
    let next = reader.next;
    let state = reader.progress.wait_for(|it| it.produced > next || it.end.is_some()).await;
    let Ok(state) = state.map(|it| *it) else {
        reader.closed = true;
        return Some((server::cut().await, reader));
    };
    let mut ready = if state.end == Some(End::Done) { events } else { state.produced };
    if reader.cut > 0 {
        ready = ready.min(reader.cut);
    }
    if ready <= next {
        reader.closed = true;
        return Some((server::cut().await, reader));
    }
    let until = ready.min(next + MAX_EVENTS_PER_WRITE);
    let mut out = Vec::with_capacity(256 * (until - next) as usize);
    for offset in next..until {
        reader.writer.write(offset, &mut out);
    }
    reader.next = until;
    Some((Ok(Frame::data(Bytes::from(out))), reader))
}

/// The whole answer, or half of it.
pub(super) async fn whole(
    mut stream: Stream,
    _guard: Guard,
    half: bool,
) -> Result<Response<Body>, Cut> {
    let end = stream.progress.wait_for(|it| it.end.is_some()).await.map_err(|_| Cut)?.end;
    if end != Some(End::Done) {
        return Err(Cut);
    }
    let text = text::whole(&stream.ask, &stream.id);
    let mut answer = if half { server::half(text) } else { server::raw(StatusCode::OK, text) };
    let form = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, form);
    Ok(answer)
}
