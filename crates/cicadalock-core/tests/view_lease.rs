//! The view lease: at most one home runs a key, however late host lists and messages arrive.

mod support;

use std::time::Duration;

use cicadalock_core::id::{HostName, Revision};
use cicadalock_core::member::{LEASE_DURATION, ViewLease, key_home};
use cicadalock_core::message::ViewMessage;
use cicadalock_core::time::{ClockTime, WallTime};
use proptest::prelude::*;
use support::seeded;
use yare::parameterized;

fn name(index: usize) -> HostName {
    format!("host-{index}").parse().expect("host name is valid")
}

fn homes(mask: u8) -> Vec<HostName> {
    (0..4)
        .filter(|index| mask & (1 << index) != 0)
        .map(name)
        .collect()
}

fn exchange(left: &mut ViewLease, right: &mut ViewLease, now: ClockTime) {
    let (left_name, right_name) = (name(0), name(1));
    for _ in 0..2 {
        let message = left.message_for(&right_name, now);
        right.receive(&left_name, &message, now);
        let message = right.message_for(&left_name, now);
        left.receive(&right_name, &message, now);
    }
}

#[test]
fn a_view_is_held_once_every_home_has_echoed_it() {
    let (mut left, mut right) = (ViewLease::new(name(0)), ViewLease::new(name(1)));
    let now = ClockTime::from_millis(10_000);
    let wall = WallTime::from_unix_millis(5_000);
    left.set_homes(homes(3), Revision::new(1), Revision::new(0));
    assert!(!left.is_held(now, wall));
    right.set_homes(homes(3), Revision::new(1), Revision::new(0));
    exchange(&mut left, &mut right, now);
    assert!(left.is_held(now, wall));
    assert!(!left.is_held(now + LEASE_DURATION, wall));
}

#[test]
fn messages_that_arrive_late_do_not_extend_the_lease() {
    let (mut left, mut right) = (ViewLease::new(name(0)), ViewLease::new(name(1)));
    let start = ClockTime::from_millis(10_000);
    for lease in [&mut left, &mut right] {
        lease.set_homes(homes(3), Revision::new(1), Revision::new(0));
    }
    exchange(&mut left, &mut right, start);
    // The message was sent at the start, but its reader was suspended meanwhile.
    let late = right.message_for(&name(0), start);
    let resumed = start + Duration::from_secs(60);
    left.receive(&name(1), &late, resumed);
    assert!(!left.is_held(resumed, WallTime::from_unix_millis(70_000)));
}

#[test]
fn a_single_home_needs_no_confirmation() {
    let mut lease = ViewLease::new(name(0));
    lease.set_homes(homes(1), Revision::new(1), Revision::new(0));
    assert!(lease.is_held(ClockTime::from_millis(1), WallTime::from_unix_millis(1)));
}

#[test]
fn a_key_whose_home_moved_must_be_minted_after_the_move() {
    let (mut left, mut right) = (ViewLease::new(name(0)), ViewLease::new(name(1)));
    let now = ClockTime::from_millis(10_000);
    let wall = WallTime::from_unix_millis(50_000);
    for lease in [&mut left, &mut right] {
        lease.set_homes(homes(7), Revision::new(1), Revision::new(0));
        // The third home never sends a message and leaves the list.
        lease.set_homes(homes(3), Revision::new(2), Revision::new(1));
    }
    exchange(&mut left, &mut right, now);
    assert!(left.is_held(now, wall));
    let moved = (0..100)
        .map(|number| format!("key-{number}"))
        .find(|key| key_home(&homes(7), key) == Some(&name(2)) && left.is_home(key));
    let after = left.key_fresh_after(&moved.expect("one of the keys moved"));
    assert!(after.expect("the view is established") > wall);
}

/// Simulates a process that misses a list in which it is absent.
///
/// Meanwhile a key is minted whose home is process 0 by its own list, and which another home may
/// run. Returns whether process 0 runs the key once it is listed again.
fn runs_after_missed_list(reads_again: bool, outage_ms: u64) -> bool {
    let mut simulation = Simulation::new();
    let settle = |simulation: &mut Simulation, senders: &[usize]| {
        for _ in 0..3 {
            for from in senders {
                simulation.apply(&Step::SendView(*from));
                (0..4).for_each(|to| simulation.apply(&Step::Deliver(*from, to)));
            }
            simulation.apply(&Step::Advance(10));
        }
    };
    (0..3).for_each(|index| simulation.apply(&Step::Read(index, true)));
    settle(&mut simulation, &[0, 1, 2]);
    simulation.apply(&Step::Advance(10_000));
    settle(&mut simulation, &[0, 1, 2]);
    simulation.apply(&Step::Publish(0b0110));
    (1..3).for_each(|index| simulation.apply(&Step::Read(index, true)));
    simulation.apply(&Step::Advance(outage_ms));
    settle(&mut simulation, &[1, 2]);
    simulation.apply(&Step::Advance(10));
    let key = simulation.keys.len();
    let own = (0..100).find(|number| {
        let text = format!("key-{number}");
        key_home(&homes(0b0111), &text) == Some(&name(0))
    });
    (0..=own.expect("process 0 is the home of one of the keys"))
        .for_each(|_| simulation.apply(&Step::Mint));
    let key = key + own.expect("process 0 is the home of one of the keys");
    simulation.apply(&Step::Publish(0b0111));
    (1..3).for_each(|index| simulation.apply(&Step::Read(index, true)));
    if reads_again {
        simulation.apply(&Step::Read(0, true));
    }
    // Messages sent while process 0 was absent are lost with their connections.
    (1..3).for_each(|index| simulation.apply(&Step::Disconnect(index, 0)));
    settle(&mut simulation, &[0, 1, 2]);
    simulation.apply(&Step::Submit(0, key));
    simulation.runs.contains(&(key, 0))
}

#[parameterized(
    missed_for_long_and_read_again = { true, 5_000 },
    missed_for_a_moment_and_read_again = { true, 50 },
    missed_for_long_and_not_read = { false, 5_000 },
    missed_for_a_moment_and_not_read = { false, 50 },
)]
fn a_home_that_missed_a_list_does_not_run_keys_minted_meanwhile(reads_again: bool, outage_ms: u64) {
    assert!(!runs_after_missed_list(reads_again, outage_ms));
}

/// One step of a random simulation.
#[derive(Debug, Clone)]
enum Step {
    /// The platform publishes a host list with another set of homes.
    Publish(u8),
    /// A process reads the newest list, or else the oldest one that it has not read.
    Read(usize, bool),
    /// A process sends its view to every other.
    SendView(usize),
    /// The oldest message in flight between two processes arrives.
    Deliver(usize, usize),
    /// A connection is lost with all messages in flight.
    Disconnect(usize, usize),
    /// A process restarts without state.
    Restart(usize),
    /// A caller mints a key.
    Mint,
    /// A caller submits a request with a key to a process.
    Submit(usize, usize),
    /// Time advances by a number of milliseconds.
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let process = 0..4_usize;
    prop_oneof![
        1 => (1..16_u8).prop_map(Step::Publish),
        4 => (process.clone(), any::<bool>()).prop_map(|(index, newest)| Step::Read(index, newest)),
        8 => process.clone().prop_map(Step::SendView),
        16 => (process.clone(), process.clone()).prop_map(|(from, to)| Step::Deliver(from, to)),
        1 => (process.clone(), process.clone()).prop_map(|(from, to)| Step::Disconnect(from, to)),
        1 => process.clone().prop_map(Step::Restart),
        3 => Just(Step::Mint),
        8 => (process, 0..12_usize).prop_map(|(index, key)| Step::Submit(index, key)),
        8 => (1..900_u64).prop_map(Step::Advance),
    ]
}

/// A published list: revision, previous revision, bit mask of homes.
type PublishedList = (u64, u64, u8);

struct Process {
    lease: ViewLease,
    started: u64,
    read: u64,
    ran: Vec<usize>,
}

/// Four processes and the messages in flight between them.
struct Simulation {
    processes: Vec<Process>,
    in_flight: Vec<Vec<Vec<ViewMessage>>>,
    lists: Vec<PublishedList>,
    now: u64,
    keys: Vec<(String, u64)>,
    runs: Vec<(usize, usize)>,
}

const SKEW_MS: u64 = 2_000;

impl Simulation {
    fn new() -> Self {
        let process = |index| Process {
            lease: ViewLease::new(name(index)),
            started: 0,
            read: 0,
            ran: Vec::new(),
        };
        Self {
            processes: (0..4).map(process).collect(),
            in_flight: vec![vec![Vec::new(); 4]; 4],
            lists: vec![(1, 0, 0b0111)],
            now: 100_000,
            keys: Vec::new(),
            runs: Vec::new(),
        }
    }

    fn clock(&self) -> ClockTime {
        ClockTime::from_millis(self.now)
    }

    fn wall(&self) -> WallTime {
        WallTime::from_unix_millis(self.now)
    }

    fn apply(&mut self, step: &Step) {
        let (clock, wall) = (self.clock(), self.wall());
        match *step {
            // Every set shares a home with the previous one, as the operators' page requires.
            Step::Publish(mask) => {
                let (revision, _, before) = *self.lists.last().expect("there is a first list");
                let mask = if mask & before == 0 {
                    mask | before
                } else {
                    mask
                };
                self.lists.push((revision + 1, revision, mask));
            }
            Step::Read(index, newest) => self.read(index, newest),
            Step::SendView(from) => {
                for to in (0..4).filter(|to| *to != from) {
                    let message = self.processes[from].lease.message_for(&name(to), clock);
                    self.in_flight[from][to].push(message);
                }
            }
            Step::Deliver(from, to) if !self.in_flight[from][to].is_empty() => {
                let message = self.in_flight[from][to].remove(0);
                self.processes[to]
                    .lease
                    .receive(&name(from), &message, clock);
            }
            Step::Disconnect(from, to) => {
                self.in_flight[from][to].clear();
                self.processes[to].lease.reset_peer(&name(from));
            }
            Step::Restart(index) => self.restart(index),
            Step::Mint => self
                .keys
                .push((format!("key-{}", self.keys.len()), self.now)),
            Step::Submit(index, key) if key < self.keys.len() => self.submit(index, key),
            Step::Advance(millis) => self.now += millis,
            _ => {}
        }
        for process in &mut self.processes {
            process.lease.is_held(clock, wall);
        }
    }

    fn read(&mut self, index: usize, newest: bool) {
        let process = &mut self.processes[index];
        let mut unread = self.lists.iter().filter(|list| list.0 > process.read);
        let list = if newest {
            unread.next_back()
        } else {
            unread.next()
        };
        if let Some((revision, previous, mask)) = list {
            process.read = *revision;
            let (revision, previous) = (Revision::new(*revision), Revision::new(*previous));
            process.lease.set_homes(homes(*mask), revision, previous);
        }
    }

    fn restart(&mut self, index: usize) {
        self.processes[index] = Process {
            lease: ViewLease::new(name(index)),
            started: self.now,
            read: 0,
            ran: Vec::new(),
        };
        for other in 0..4 {
            self.in_flight[index][other].clear();
            self.in_flight[other][index].clear();
        }
    }

    /// Runs a key if the process may run it, by the same rules as the sidecar's state machine.
    fn submit(&mut self, index: usize, key: usize) {
        let (clock, wall) = (self.clock(), self.wall());
        let (text, minted) = self.keys[key].clone();
        let process = &mut self.processes[index];
        if process.ran.contains(&key) || !process.lease.is_held(clock, wall) {
            return;
        }
        let Some(after) = process.lease.key_fresh_after(&text) else {
            return;
        };
        let after = after.as_unix_millis().max(process.started);
        if process.lease.is_home(&text) && minted > after + SKEW_MS {
            process.ran.push(key);
            self.runs.push((key, index));
        }
    }
}

proptest! {
    #![proptest_config(seeded(3_000))]

    #[test]
    fn no_two_homes_run_the_same_key(steps in prop::collection::vec(step(), 50..400)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.apply(step);
        }
        let mut keys: Vec<usize> = simulation.runs.iter().map(|(key, _)| *key).collect();
        keys.sort_unstable();
        for pair in keys.windows(2) {
            prop_assert_ne!(pair[0], pair[1], "a key ran twice: {:?}", simulation.runs);
        }
    }
}

#[test]
fn most_keys_run_when_nothing_fails() {
    let mut simulation = Simulation::new();
    for index in 0..3 {
        simulation.apply(&Step::Read(index, true));
    }
    for round in 0..80 {
        for from in 0..3 {
            simulation.apply(&Step::SendView(from));
            for to in 0..3 {
                simulation.apply(&Step::Deliver(from, to));
            }
        }
        simulation.apply(&Step::Advance(200));
        if round >= 40 {
            simulation.apply(&Step::Mint);
            let key = simulation.keys.len() - 1;
            (0..3).for_each(|index| simulation.apply(&Step::Submit(index, key)));
        }
    }
    assert_eq!(simulation.runs.len(), 40);
}
