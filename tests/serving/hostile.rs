//! Upstreams whose bytes never end, in a head or a body.
//!
//! Bounds: what a host may keep of one answer (1 MB, a refusal 16 kB), the sockets' buffers, and the request's deadline of 2 s.

use std::time::Duration;

use almondrack::{
    error::Kind,
    serving::{
        buffer_memory::BufferMemory,
        exchange::{Body, CallerResponse},
        table::RetryPolicy,
    },
};
use quickcheck::quickcheck;
use tokio::{
    task::LocalSet,
    time::{Instant, sleep, timeout},
};

use crate::exchange::{Script, Seen, Then, job, play};

/// Most that the buffers of a loopback connection hold, both sides together, in bytes.
const SOCKET_BYTES: usize = 8 << 20;

/// Deadline of the tests' requests with some time to see it.
const DEADLINE: Duration = Duration::from_millis(3_000);

const KILOBYTE: &str = concat!(
    "................................................................................................",
    "................................................................................................",
);

async fn once(stream: bool, script: Script, room: &BufferMemory) -> Seen {
    let played = timeout(DEADLINE, play(job(stream, RetryPolicy::Never), script, room.clone()));
    played.await.expect("the request ends by its deadline")
}

#[tokio::test]
async fn a_refusal_without_end_is_not_read_on() {
    let script = Script {
        first: "HTTP/1.1 503 Full\r\ntransfer-encoding: chunked\r\n\r\n",
        then: Then::Repeat("10\r\nthe host is full\r\n"),
    };
    let run = async {
        let seen = once(false, script, &BufferMemory::new(0)).await;
        assert_eq!(seen.answer.expect_err("every upstream refuses").kind, Kind::Shed);
        let start = Instant::now();
        while seen.open.get() > 0 {
            assert!(start.elapsed() < DEADLINE, "{} connections stay open", seen.open.get());
            sleep(Duration::from_millis(20)).await;
        }
        assert!(seen.written.get() < 4 * SOCKET_BYTES, "{} bytes were read", seen.written.get());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_refusal_that_stalls_is_not_waited_for() {
    let script = Script {
        first: "HTTP/1.1 503 Full\r\ntransfer-encoding: chunked\r\n\r\n",
        then: Then::Stall,
    };
    let run = async {
        let seen = once(false, script, &BufferMemory::new(0)).await;
        assert_eq!(seen.answer.expect_err("every upstream refuses").kind, Kind::Shed);
        let start = Instant::now();
        while seen.open.get() > 0 {
            assert!(start.elapsed() < DEADLINE, "{} connections stay open", seen.open.get());
            sleep(Duration::from_millis(20)).await;
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_head_without_end_is_no_answer() {
    let heads = [
        Script { first: "HTTP/1.1 200 OK\r\nx: ", then: Then::Repeat(KILOBYTE) },
        Script { first: "HTTP/1.1 200 OK\r\n", then: Then::Repeat("x: y\r\n") },
        Script { first: KILOBYTE, then: Then::Repeat(KILOBYTE) },
        Script {
            first: "HTTP/1.1 100 Continue\r\n\r\n",
            then: Then::Repeat("HTTP/1.1 100 Continue\r\n\r\n"),
        },
    ];
    for script in heads {
        let run = async {
            let seen = once(false, script, &BufferMemory::new(0)).await;
            let error = seen.answer.expect_err("there is no answer");
            assert!(matches!(error.kind, Kind::UpstreamCut | Kind::UpstreamTimeout), "{error}");
            assert_eq!(seen.sent.get(), 1, "what may have run is not sent again");
        };
        LocalSet::new().run_until(run).await;
    }
}

#[tokio::test]
async fn an_answer_without_end_is_passed_on_and_keeps_no_memory() {
    let script = Script { first: "HTTP/1.1 200 OK\r\n\r\n", then: Then::Repeat(KILOBYTE) };
    let run = async {
        let room = BufferMemory::new(64 << 10);
        let seen = once(false, script, &room).await;
        let Ok(CallerResponse { body: Body::Large(mut large), .. }) = seen.answer else {
            panic!("the answer is not passed on");
        };
        // A caller that does not read holds the upstream up.
        sleep(Duration::from_millis(200)).await;
        let written = seen.written.get();
        assert!(written < SOCKET_BYTES, "{written} bytes were read ahead");
        let mut passed = 0;
        let cut = loop {
            match large.next().await {
                Ok(Some(bytes)) => passed += bytes.len(),
                Ok(None) => panic!("an answer without end looks whole"),
                Err(kind) => break kind,
            }
        };
        assert_eq!(cut, Kind::UpstreamTimeout);
        assert!(passed > written, "{passed} bytes were passed on");
        drop(large);
        assert!(room.reservation().try_resize(64 << 10), "the memory is free again");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_large_answer_that_breaks_off_does_not_look_whole() {
    let script =
        Script { first: "HTTP/1.1 200 OK\r\ncontent-length: 300000\r\n\r\n", then: Then::Close };
    let run = async {
        let seen = once(false, script, &BufferMemory::new(0)).await;
        assert_eq!(seen.answer.expect_err("the answer broke off").kind, Kind::UpstreamCut);
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn events_without_end_leave_memory_to_other_streams() {
    let endless = Script {
        first: "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: ",
        then: Then::Repeat(KILOBYTE),
    };
    let sound = Script {
        first: "HTTP/1.1 200 OK\r\ncontent-length: 18\r\n\r\nid: 1\ndata: one\n\n",
        then: Then::Close,
    };
    let run = async {
        let room = BufferMemory::new(256 << 10);
        let streams = (0..40).map(|_| once(true, endless, &room));
        let all = futures::future::join(
            futures::future::join_all(streams),
            futures::future::join_all((0..40).map(|_| once(true, sound, &room))),
        );
        let (endless, sound) = all.await;
        for seen in endless {
            assert_eq!(seen.answer.expect_err("no event is whole").kind, Kind::UpstreamInvalid);
        }
        assert!(sound.into_iter().all(|it| it.answer.is_ok()), "sound streams go on");
        assert!(room.reservation().try_resize(256 << 10), "the memory is free again");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn an_event_for_which_there_is_no_room_is_not_kept() {
    let event = format!("id: 1\ndata: {}\n\n", "x".repeat(200_000));
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    let script = Script { first: String::leak(format!("{head}{event}")), then: Then::Close };
    let run = async {
        let seen = once(true, script, &BufferMemory::new(0)).await;
        assert_eq!(seen.answer.expect_err("there is no room").kind, Kind::UpstreamInvalid);
        let seen = once(true, script, &BufferMemory::new(1 << 20)).await;
        assert!(seen.answer.is_ok(), "the event is passed on where there is room");
    };
    LocalSet::new().run_until(run).await;
}

quickcheck! {
    fn memory_is_never_given_twice_and_always_returned(steps: Vec<(u8, u32)>) -> bool {
        const ALL: usize = 100_000;
        let room = BufferMemory::new(ALL);
        let mut spaces: Vec<_> = (0..4).map(|_| room.reservation()).collect();
        for (which, bytes) in steps {
            let space = &mut spaces[usize::from(which % 4)];
            let (before, bytes) = (space.reserved(), bytes as usize % (2 * ALL));
            let changed = space.try_resize(bytes);
            if space.reserved() != if changed { bytes } else { before } {
                return false;
            }
            let shared = spaces.iter().map(|it| it.reserved().saturating_sub(16 << 10)).sum::<usize>();
            if shared > ALL {
                return false;
            }
        }
        drop(spaces);
        room.reservation().try_resize(ALL + (16 << 10)) && !room.reservation().try_resize(ALL + (16 << 10) + 1)
    }
}
