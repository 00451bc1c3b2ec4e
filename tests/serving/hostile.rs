//! Upstreams that send endless heads, bodies or events, or that stall.
//!
//! The tests check these bounds: the memory for one response (1 MB, 16 kB for a refusal), the sockets' buffers, and the
//! request's deadline of 2 s.

use std::time::Duration;

use almondrack::{
    error::Kind,
    serving::{
        buffer_memory,
        exchange::{Body, CallerResponse},
        table::RetryPolicy,
    },
};
use quickcheck::quickcheck;
use tokio::{
    task::LocalSet,
    time::{Instant, sleep, timeout},
};

use crate::exchange::{Continuation, Observation, Script, routed_request, run_script};

/// Most bytes that the socket buffers of a loopback connection hold, both sides together.
const MAX_SOCKET_BUFFER_BYTES: usize = 8 << 20;

/// Time within which each request has to end: its deadline of 2 s and one second of tolerance.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_000);

const FILLER: &str = concat!(
    "................................................................................................",
    "................................................................................................",
);

async fn run_once(
    stream: bool,
    script: Script,
    buffer_memory: &buffer_memory::Memory,
) -> Observation {
    let result = timeout(
        REQUEST_TIMEOUT,
        run_script(routed_request(stream, RetryPolicy::Never), script, buffer_memory.clone()),
    );
    result.await.expect("the request ends by its deadline")
}

#[tokio::test]
async fn a_refusal_without_end_is_not_read_on() {
    let script = Script {
        first: "HTTP/1.1 503 Full\r\ntransfer-encoding: chunked\r\n\r\n",
        then: Continuation::Repeat("10\r\nthe host is full\r\n"),
    };
    let check = async {
        let observed = run_once(false, script, &buffer_memory::Memory::new(0)).await;
        assert_eq!(observed.response.expect_err("every upstream refuses").kind, Kind::Shed);
        let start = Instant::now();
        while observed.open.get() > 0 {
            assert!(
                start.elapsed() < REQUEST_TIMEOUT,
                "{} connections stay open",
                observed.open.get()
            );
            sleep(Duration::from_millis(20)).await;
        }
        assert!(
            observed.written.get() < 4 * MAX_SOCKET_BUFFER_BYTES,
            "{} bytes were read",
            observed.written.get()
        );
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test]
async fn a_refusal_that_stalls_is_not_waited_for() {
    let script = Script {
        first: "HTTP/1.1 503 Full\r\ntransfer-encoding: chunked\r\n\r\n",
        then: Continuation::Stall,
    };
    let check = async {
        let observed = run_once(false, script, &buffer_memory::Memory::new(0)).await;
        assert_eq!(observed.response.expect_err("every upstream refuses").kind, Kind::Shed);
        let start = Instant::now();
        while observed.open.get() > 0 {
            assert!(
                start.elapsed() < REQUEST_TIMEOUT,
                "{} connections stay open",
                observed.open.get()
            );
            sleep(Duration::from_millis(20)).await;
        }
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test]
async fn a_head_without_end_is_no_answer() {
    let heads = [
        Script { first: "HTTP/1.1 200 OK\r\nx: ", then: Continuation::Repeat(FILLER) },
        Script { first: "HTTP/1.1 200 OK\r\n", then: Continuation::Repeat("x: y\r\n") },
        Script { first: FILLER, then: Continuation::Repeat(FILLER) },
        Script {
            first: "HTTP/1.1 100 Continue\r\n\r\n",
            then: Continuation::Repeat("HTTP/1.1 100 Continue\r\n\r\n"),
        },
    ];
    for script in heads {
        let check = async {
            let observed = run_once(false, script, &buffer_memory::Memory::new(0)).await;
            let error = observed.response.expect_err("there is no response");
            assert!(matches!(error.kind, Kind::UpstreamCut | Kind::UpstreamTimeout), "{error}");
            assert_eq!(observed.sent.get(), 1, "a request that may have run is not retried");
        };
        LocalSet::new().run_until(check).await;
    }
}

#[tokio::test]
async fn an_answer_without_end_is_passed_on_and_keeps_no_memory() {
    let script = Script { first: "HTTP/1.1 200 OK\r\n\r\n", then: Continuation::Repeat(FILLER) };
    let check = async {
        let buffer_memory = buffer_memory::Memory::new(64 << 10);
        let observed = run_once(false, script, &buffer_memory).await;
        let Ok(CallerResponse { body: Body::Large(mut large), .. }) = observed.response else {
            panic!("the response is not forwarded");
        };
        // The caller does not read for a while, so the upstream has to be blocked by full socket buffers.
        sleep(Duration::from_millis(200)).await;
        let written = observed.written.get();
        assert!(written < MAX_SOCKET_BUFFER_BYTES, "{written} bytes were read ahead");
        let mut forwarded = 0;
        let cut = loop {
            match large.next().await {
                Ok(Some(bytes)) => forwarded += bytes.len(),
                Ok(None) => panic!("an endless response ended"),
                Err(kind) => break kind,
            }
        };
        assert_eq!(cut, Kind::UpstreamTimeout);
        assert!(forwarded > written, "{forwarded} bytes were forwarded");
        drop(large);
        assert!(buffer_memory.reservation().try_resize(64 << 10), "the memory was released");
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test]
async fn a_large_answer_that_breaks_off_does_not_look_whole() {
    let script = Script {
        first: "HTTP/1.1 200 OK\r\ncontent-length: 300000\r\n\r\n",
        then: Continuation::Close,
    };
    let check = async {
        let observed = run_once(false, script, &buffer_memory::Memory::new(0)).await;
        assert_eq!(observed.response.expect_err("the response was cut").kind, Kind::UpstreamCut);
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test]
async fn events_without_end_leave_memory_to_other_streams() {
    let endless = Script {
        first: "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: ",
        then: Continuation::Repeat(FILLER),
    };
    let valid = Script {
        first: "HTTP/1.1 200 OK\r\ncontent-length: 18\r\n\r\nid: 1\ndata: one\n\n",
        then: Continuation::Close,
    };
    let check = async {
        let buffer_memory = buffer_memory::Memory::new(256 << 10);
        let streams = (0..40).map(|_| run_once(true, endless, &buffer_memory));
        let all = futures::future::join(
            futures::future::join_all(streams),
            futures::future::join_all((0..40).map(|_| run_once(true, valid, &buffer_memory))),
        );
        let (endless, valid) = all.await;
        for observed in endless {
            assert_eq!(
                observed.response.expect_err("no event is complete").kind,
                Kind::UpstreamInvalid
            );
        }
        assert!(valid.into_iter().all(|it| it.response.is_ok()), "valid streams are not affected");
        assert!(buffer_memory.reservation().try_resize(256 << 10), "the memory was released");
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test]
async fn an_event_for_which_there_is_no_room_is_not_kept() {
    let event = format!("id: 1\ndata: {}\n\n", "x".repeat(200_000));
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    let script =
        Script { first: String::leak(format!("{head}{event}")), then: Continuation::Close };
    let check = async {
        let observed = run_once(true, script, &buffer_memory::Memory::new(0)).await;
        assert_eq!(
            observed.response.expect_err("there is no memory for the event").kind,
            Kind::UpstreamInvalid
        );
        let observed = run_once(true, script, &buffer_memory::Memory::new(1 << 20)).await;
        assert!(observed.response.is_ok(), "the event is forwarded if there is memory for it");
    };
    LocalSet::new().run_until(check).await;
}

quickcheck! {
    fn memory_is_never_given_twice_and_always_returned(steps: Vec<(u8, u32)>) -> bool {
        const MEMORY_BYTES: usize = 100_000;
        let buffer_memory = buffer_memory::Memory::new(MEMORY_BYTES);
        let mut reservations: Vec<_> = (0..4).map(|_| buffer_memory.reservation()).collect();
        for (which, bytes) in steps {
            let reservation = &mut reservations[usize::from(which % 4)];
            let (before, bytes) = (reservation.reserved(), bytes as usize % (2 * MEMORY_BYTES));
            let changed = reservation.try_resize(bytes);
            if reservation.reserved() != if changed { bytes } else { before } {
                return false;
            }
            let shared = reservations.iter().map(|it| it.reserved().saturating_sub(16 << 10)).sum::<usize>();
            if shared > MEMORY_BYTES {
                return false;
            }
        }
        drop(reservations);
        buffer_memory.reservation().try_resize(MEMORY_BYTES + (16 << 10))
            && !buffer_memory.reservation().try_resize(MEMORY_BYTES + (16 << 10) + 1)
    }
}
