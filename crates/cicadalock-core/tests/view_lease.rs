//! The view lease: at most one home runs a key, whatever lists and words are late.

mod support;

use std::time::Duration;

use cicadalock_core::id::{HostName, Revision};
use cicadalock_core::member::{LEASE_SPAN, ViewLease, key_home};
use cicadalock_core::message::ViewMessage;
use cicadalock_core::time::{ClockTime, WallTime};
use proptest::prelude::*;
use support::seeded;
use yare::parameterized;

fn name(index: usize) -> HostName {
    format!("host-{index}").parse().expect("a name")
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
        let word = left.word_for(&right_name, now);
        right.hear(&left_name, &word, now);
        let word = right.word_for(&left_name, now);
        left.hear(&right_name, &word, now);
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
    assert!(!left.is_held(now + LEASE_SPAN, wall));
}

#[test]
fn words_that_arrive_late_do_not_prolong_the_lease() {
    let (mut left, mut right) = (ViewLease::new(name(0)), ViewLease::new(name(1)));
    let start = ClockTime::from_millis(10_000);
    for lease in [&mut left, &mut right] {
        lease.set_homes(homes(3), Revision::new(1), Revision::new(0));
    }
    exchange(&mut left, &mut right, start);
    // The word was sent at the start but is read by a process that slept.
    let late = right.word_for(&name(0), start);
    let woken = start + Duration::from_secs(60);
    left.hear(&name(1), &late, woken);
    assert!(!left.is_held(woken, WallTime::from_unix_millis(70_000)));
}

#[test]
fn a_home_alone_in_its_list_needs_no_word() {
    let mut lease = ViewLease::new(name(0));
    lease.set_homes(homes(1), Revision::new(1), Revision::new(0));
    assert!(lease.is_held(ClockTime::from_millis(1), WallTime::from_unix_millis(1)));
}

#[test]
fn a_key_whose_home_did_not_move_stays_free_of_the_freshness_bound() {
    let (mut left, mut right) = (ViewLease::new(name(0)), ViewLease::new(name(1)));
    let now = ClockTime::from_millis(10_000);
    let wall = WallTime::from_unix_millis(50_000);
    for lease in [&mut left, &mut right] {
        lease.set_homes(homes(7), Revision::new(1), Revision::new(0));
        // The third home never speaks and leaves the list.
        lease.set_homes(homes(3), Revision::new(2), Revision::new(1));
    }
    exchange(&mut left, &mut right, now);
    assert!(left.is_held(now, wall));
    let moved = (0..100)
        .map(|number| format!("key-{number}"))
        .find(|key| key_home(&homes(7), key) == Some(&name(2)) && left.is_home(key));
    let after = left.minted_after(&moved.expect("a key that moved"));
    assert!(after.expect("the view is established") > wall);
}

/// Process 0 misses a list in which it is absent; a key of its own is run by another home.
///
/// Returns whether process 0 runs the key as well once it is listed again.
fn runs_after_missed_list(reads_again: bool, outage_ms: u64) -> bool {
    let mut world = World::new();
    let settle = |world: &mut World, speakers: &[usize]| {
        for _ in 0..3 {
            for from in speakers {
                world.take(&Step::Speak(*from));
                (0..4).for_each(|to| world.take(&Step::Deliver(*from, to)));
            }
            world.take(&Step::Pass(10));
        }
    };
    (0..3).for_each(|index| world.take(&Step::Read(index, true)));
    settle(&mut world, &[0, 1, 2]);
    world.take(&Step::Pass(10_000));
    settle(&mut world, &[0, 1, 2]);
    world.take(&Step::Publish(0b0110));
    (1..3).for_each(|index| world.take(&Step::Read(index, true)));
    world.take(&Step::Pass(outage_ms));
    settle(&mut world, &[1, 2]);
    world.take(&Step::Pass(10));
    let key = world.keys.len();
    let own = (0..100).find(|number| {
        let text = format!("key-{number}");
        key_home(&homes(0b0111), &text) == Some(&name(0))
    });
    (0..=own.expect("a key of process 0")).for_each(|_| world.take(&Step::Mint));
    let key = key + own.expect("a key of process 0");
    world.take(&Step::Publish(0b0111));
    (1..3).for_each(|index| world.take(&Step::Read(index, true)));
    if reads_again {
        world.take(&Step::Read(0, true));
    }
    // Words of the time without process 0 are lost with their connections.
    (1..3).for_each(|index| world.take(&Step::Lose(index, 0)));
    settle(&mut world, &[0, 1, 2]);
    world.take(&Step::Bring(0, key));
    world.runs.contains(&(key, 0))
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

/// What one step of a random history does.
#[derive(Debug, Clone)]
enum Step {
    /// The platform publishes another set of homes.
    Publish(u8),
    /// A process reads the newest list, or an earlier one that it has not read.
    Read(usize, bool),
    /// A process sends its word to every other.
    Speak(usize),
    /// The oldest word between two processes arrives.
    Deliver(usize, usize),
    /// A connection is lost with all that is under way.
    Lose(usize, usize),
    /// A process starts again with an empty memory.
    Restart(usize),
    /// A key is minted.
    Mint,
    /// A caller brings a key to a process.
    Bring(usize, usize),
    /// Time passes.
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let process = 0..4_usize;
    prop_oneof![
        1 => (1..16_u8).prop_map(Step::Publish),
        4 => (process.clone(), any::<bool>()).prop_map(|(index, newest)| Step::Read(index, newest)),
        8 => process.clone().prop_map(Step::Speak),
        16 => (process.clone(), process.clone()).prop_map(|(from, to)| Step::Deliver(from, to)),
        1 => (process.clone(), process.clone()).prop_map(|(from, to)| Step::Lose(from, to)),
        1 => process.clone().prop_map(Step::Restart),
        3 => Just(Step::Mint),
        8 => (process, 0..12_usize).prop_map(|(index, key)| Step::Bring(index, key)),
        8 => (1..900_u64).prop_map(Step::Pass),
    ]
}

/// A published list: revision, revision before it, homes.
type List = (u64, u64, u8);

struct Process {
    lease: ViewLease,
    started: u64,
    read: u64,
    ran: Vec<usize>,
}

/// Four processes, with words under way between each two.
struct World {
    processes: Vec<Process>,
    under_way: Vec<Vec<Vec<ViewMessage>>>,
    lists: Vec<List>,
    now: u64,
    keys: Vec<(String, u64)>,
    runs: Vec<(usize, usize)>,
}

const SKEW_MS: u64 = 2_000;

impl World {
    fn new() -> Self {
        let process = |index| Process {
            lease: ViewLease::new(name(index)),
            started: 0,
            read: 0,
            ran: Vec::new(),
        };
        Self {
            processes: (0..4).map(process).collect(),
            under_way: vec![vec![Vec::new(); 4]; 4],
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

    fn take(&mut self, step: &Step) {
        let (clock, wall) = (self.clock(), self.wall());
        match *step {
            // Every set shares a home with the one before it, as the operators' page asks.
            Step::Publish(mask) => {
                let (revision, _, before) = *self.lists.last().expect("a list");
                let mask = if mask & before == 0 {
                    mask | before
                } else {
                    mask
                };
                self.lists.push((revision + 1, revision, mask));
            }
            Step::Read(index, newest) => self.read(index, newest),
            Step::Speak(from) => {
                for to in (0..4).filter(|to| *to != from) {
                    let word = self.processes[from].lease.word_for(&name(to), clock);
                    self.under_way[from][to].push(word);
                }
            }
            Step::Deliver(from, to) if !self.under_way[from][to].is_empty() => {
                let word = self.under_way[from][to].remove(0);
                self.processes[to].lease.hear(&name(from), &word, clock);
            }
            Step::Lose(from, to) => {
                self.under_way[from][to].clear();
                self.processes[to].lease.reset_peer(&name(from));
            }
            Step::Restart(index) => self.restart(index),
            Step::Mint => self
                .keys
                .push((format!("key-{}", self.keys.len()), self.now)),
            Step::Bring(index, key) if key < self.keys.len() => self.bring(index, key),
            Step::Pass(millis) => self.now += millis,
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
            self.under_way[index][other].clear();
            self.under_way[other][index].clear();
        }
    }

    /// Runs a key if the process may, as the sidecar's machine decides.
    fn bring(&mut self, index: usize, key: usize) {
        let (clock, wall) = (self.clock(), self.wall());
        let (text, minted) = self.keys[key].clone();
        let process = &mut self.processes[index];
        if process.ran.contains(&key) || !process.lease.is_held(clock, wall) {
            return;
        }
        let Some(after) = process.lease.minted_after(&text) else {
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
        let mut world = World::new();
        for step in &steps {
            world.take(step);
        }
        let mut keys: Vec<usize> = world.runs.iter().map(|(key, _)| *key).collect();
        keys.sort_unstable();
        for pair in keys.windows(2) {
            prop_assert_ne!(pair[0], pair[1], "key ran twice: {:?}", world.runs);
        }
    }
}

#[test]
fn most_keys_run_when_nothing_fails() {
    let mut world = World::new();
    for index in 0..3 {
        world.take(&Step::Read(index, true));
    }
    for round in 0..80 {
        for from in 0..3 {
            world.take(&Step::Speak(from));
            for to in 0..3 {
                world.take(&Step::Deliver(from, to));
            }
        }
        world.take(&Step::Pass(200));
        if round >= 40 {
            world.take(&Step::Mint);
            let key = world.keys.len() - 1;
            (0..3).for_each(|index| world.take(&Step::Bring(index, key)));
        }
    }
    assert_eq!(world.runs.len(), 40);
}
