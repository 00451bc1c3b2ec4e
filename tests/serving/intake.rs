//! Who is turned away when callers hold more than a host has room for.

use std::net::SocketAddr;

use almondrack::{
    serving::{
        intake::{Full, Intake, Room, Stage, UNSHARED_BYTES},
        table::Limits,
    },
    time::Time,
};
use quickcheck::{Gen, QuickCheck};

use crate::fixture::at;

const ROOM: Room = Room { connections: 100, bytes: 1 << 20 };

/// Bytes of a body inside the limits.
const BODY: usize = 64 << 10;

fn caller(number: u16) -> SocketAddr {
    ([10, 0, (number / 50) as u8, 1], 1_000 + number).into()
}

/// An intake in which callers have sent all but the end of a body and stay, the first one since the beginning.
fn crowd(count: u16) -> Intake {
    let mut intake = Intake::new(ROOM);
    for number in 0..count {
        let now = at(u64::from(number));
        assert_eq!(intake.open(caller(number), now), Ok(None));
        intake.enter(caller(number), Stage::Arriving, now);
        intake.hold(caller(number), BODY, now).expect("somebody slower goes");
    }
    intake
}

#[test]
// Replays the crowd that ended a process: bodies that stop one byte short and stay open.
fn an_ordinary_request_gets_room_beside_a_crowd_that_stops_short() {
    let mut intake = crowd(90);
    assert!(intake.held() <= ROOM.bytes, "{} bytes are held", intake.held());
    let now = at(60_000);
    let ordinary = caller(95);
    assert_eq!(intake.open(ordinary, now), Ok(None));
    intake.enter(ordinary, Stage::Arriving, now);
    let victims = intake.hold(ordinary, BODY, now).expect("the crowd makes room");
    assert!(!victims.is_empty() && !victims.contains(&ordinary), "{victims:?}");
    assert!(intake.held() <= ROOM.bytes);
    // Those who go have been there for the longest of those who had room.
    assert_eq!(intake.hold(ordinary, 2 * BODY, now).map(|it| it.contains(&victims[0])), Ok(false));
}

#[test]
fn who_holds_the_most_for_the_longest_goes_first() {
    let mut intake = Intake::new(ROOM);
    for (number, bytes, since) in [(0, 200, 0), (1, 450, 1_000), (2, 100, 0)] {
        intake.open(caller(number), at(since)).expect("there is room");
        intake.enter(caller(number), Stage::Unread, at(since));
        assert_eq!(intake.hold(caller(number), bytes << 10, at(since)), Ok(Vec::new()));
    }
    intake.open(caller(60), at(5_000)).expect("there is room");
    let victims = intake.hold(caller(60), 320 << 10, at(5_000));
    assert_eq!(victims, Ok(vec![caller(1)]));
}

#[test]
fn a_request_alone_has_room_whatever_its_size() {
    let mut intake = Intake::new(ROOM);
    intake.open(caller(0), at(0)).expect("there is room");
    assert_eq!(intake.hold(caller(0), 4 * ROOM.bytes, at(0)), Ok(Vec::new()));
}

#[test]
fn requests_that_run_are_not_turned_away_and_small_ones_always_have_room() {
    let mut intake = Intake::new(ROOM);
    for number in 0..10 {
        intake.open(caller(50 * number), at(0)).expect("there is room");
        if intake.hold(caller(50 * number), 100 << 10, at(0)).is_ok() {
            intake.enter(caller(50 * number), Stage::Running, at(0));
        }
    }
    intake.open(caller(1), at(9_000)).expect("there is room");
    assert_eq!(intake.hold(caller(1), 400 << 10, at(9_000)), Err(Full));
    assert_eq!(intake.hold(caller(1), UNSHARED_BYTES, at(9_000)), Ok(Vec::new()));
}

#[test]
fn the_callers_of_one_address_leave_room_for_others() {
    let mut intake = Intake::new(ROOM);
    for number in 0..40 {
        intake.open(caller(number), at(0)).expect("there is room");
        if intake.hold(caller(number), BODY, at(0)).is_ok() {
            intake.enter(caller(number), Stage::Running, at(0));
        }
    }
    assert!(intake.held() <= ROOM.bytes / 4 * 3, "one address holds {}", intake.held());
    intake.open(caller(50), at(0)).expect("there is room");
    assert_eq!(intake.hold(caller(50), BODY, at(0)), Ok(Vec::new()));
}

#[test]
fn a_new_connection_closes_a_silent_one_then_an_idle_one_and_never_a_busy_one() {
    let mut intake = Intake::new(Room { connections: 3, ..ROOM });
    for number in 0..3 {
        intake.open(caller(number), at(u64::from(number))).expect("there is room");
    }
    intake.enter(caller(0), Stage::Idle, at(10));
    intake.enter(caller(1), Stage::Running, at(10));
    // Others can close in place of the one that is answered.
    assert!(!intake.is_crowded(caller(1)));
    assert_eq!(intake.open(caller(3), at(20)), Ok(Some(caller(2))));
    intake.close(caller(2));
    intake.enter(caller(3), Stage::Arriving, at(20));
    assert_eq!(intake.open(caller(4), at(30)), Ok(Some(caller(0))));
    intake.close(caller(0));
    intake.enter(caller(4), Stage::Running, at(30));
    assert!(intake.is_crowded(caller(1)));
    assert_eq!(intake.open(caller(5), at(40)), Err(Full));
    // A request that has been arriving for a second is slow.
    assert_eq!(intake.open(caller(5), at(1_020)), Ok(Some(caller(3))));
}

#[test]
fn no_order_of_calls_holds_more_than_there_is_room_for() {
    fn check(calls: Vec<(u8, u8, u32)>) -> bool {
        let mut intake = Intake::new(ROOM);
        // Bytes of each open connection.
        let mut held = [None::<usize>; 64];
        let shared = |held: &[Option<usize>; 64]| -> Vec<usize> {
            held.iter().flatten().map(|it| it.saturating_sub(UNSHARED_BYTES)).collect()
        };
        for (index, (number, call, bytes)) in calls.into_iter().enumerate() {
            let (number, now) = (usize::from(number % 64), at(index as u64));
            let address = caller(number as u16);
            let stages = [Stage::Arriving, Stage::Running, Stage::Unread, Stage::Idle];
            match call % 8 {
                0 => {
                    intake.open(address, now).expect("there is room");
                    held[number] = Some(0);
                }
                1 => {
                    intake.close(address);
                    held[number] = None;
                }
                2..=4 => intake.enter(address, stages[usize::from(call / 8 % 4)], now),
                _ => {
                    let bytes = bytes as usize % (ROOM.bytes / 2);
                    let before = intake.held();
                    let Ok(victims) = intake.hold(address, bytes, now) else { continue };
                    let went = (0..64).filter(|it| victims.contains(&caller(*it as u16)));
                    went.for_each(|it| held[it] = Some(0));
                    held[number] = held[number].map(|_| bytes);
                    let is_alone = shared(&held).iter().filter(|it| **it > 0).count() <= 1;
                    if intake.held() > before.max(ROOM.bytes) && !is_alone {
                        return false;
                    }
                }
            }
            if intake.held() != shared(&held).iter().sum::<usize>() {
                return false;
            }
        }
        true
    }
    let mut tests = QuickCheck::new().tests(2_000).rng(Gen::from_size_and_seed(200, 47));
    tests.quicktest(check as fn(Vec<(u8, u8, u32)>) -> bool).expect("the account holds");
}

#[test]
fn time_that_runs_backwards_turns_nobody_away_by_mistake() {
    let mut intake = Intake::new(ROOM);
    intake.open(caller(0), at(10_000)).expect("there is room");
    intake.enter(caller(0), Stage::Arriving, at(10_000));
    assert_eq!(intake.hold(caller(0), BODY, Time(0)), Ok(Vec::new()));
}

#[test]
// The second body of an address was refused on an otherwise empty host of 88 MB.
fn two_bodies_of_the_default_limit_fit_for_one_address() {
    let room = Room::of_host(88_000_000, 1_000);
    let mut intake = Intake::new(room);
    for number in 0..2 {
        intake.open(caller(number), at(0)).expect("there is room");
        intake.enter(caller(number), Stage::Arriving, at(0));
        let bytes = Limits::default().max_body_bytes + UNSHARED_BYTES;
        assert_eq!(intake.hold(caller(number), bytes, at(0)), Ok(Vec::new()));
        intake.enter(caller(number), Stage::Running, at(0));
    }
}
