//! The queue of a service: by rank, and within a rank by the time of each caller's first try.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use woadstage_types::unit::Time;

use crate::configuration::Rank;
use crate::fair_share::Tag;
use crate::job;
use crate::job::Job;
use crate::map::HashMap;

/// The position of a request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The request's rank.
    pub rank: Rank,
    /// Whether it can no longer meet its objective. Such requests come after the others of their
    /// rank.
    pub is_late: bool,
    /// Whether its caller has no booking. Requests with a booking come before the others of their
    /// rank.
    pub is_unbooked: bool,
    /// Its customer's fair share.
    pub tag: Tag,
    /// When its caller first tried.
    pub first_try: Time,
    /// The request, to tell equal positions apart.
    pub id: job::Id,
}

impl Position {
    /// Returns the position of a request. Booked requests are ordered by first try alone. They keep
    /// a tag if they have one, because they are charged to their customers while they wait.
    pub fn new(job: &Job, tag: Tag, is_late: bool, id: job::Id) -> Position {
        Position {
            rank: job.rank,
            is_late: is_late && !job.is_booked,
            is_unbooked: !job.is_booked,
            tag: match job.is_booked {
                true => tag.min(Tag::FIRST),
                false => tag,
            },
            first_try: job.first_try,
            id,
        }
    }
}

/// The requests that wait for one service.
#[derive(Debug, Default)]
pub struct Queue {
    jobs: BTreeMap<Position, Job>,
    /// The position of each request, and from when on it is late.
    positions: HashMap<job::Id, (Position, Time)>,
    /// The positions of each rank that are not late, in order. Counting those that precede a
    /// position takes a binary search; insertion and removal move at most half of them.
    in_time: BTreeMap<Rank, VecDeque<Position>>,
    expiry_order: BTreeSet<(Time, job::Id)>,
    objectives: BTreeSet<(Time, job::Id)>,
    counts: BTreeMap<Rank, usize>,
    /// Since when each rank has had waiting requests without interruption.
    busy_since: BTreeMap<Rank, Time>,
    /// Requests with a tag that were removed or moved behind the others of their rank since they
    /// were last taken.
    departed: Vec<(Rank, job::Id)>,
}

impl Queue {
    /// Adds a request that is late from `late_at` on. Ordering by first try puts requests that were
    /// refused before ahead of others in their rank, because another refusal would be their last.
    pub fn push(&mut self, now: Time, id: job::Id, job: Job, tag: Tag, late_at: Time) {
        let position = Position::new(&job, tag, false, id);
        self.positions.insert(id, (position, late_at));
        insert_sorted(&mut self.in_time, position);
        if !job.is_booked {
            self.objectives.insert((late_at, id));
        }
        self.expiry_order.insert((job.expires_at(), id));
        let count = self.counts.entry(job.rank).or_default();
        if *count == 0 {
            self.busy_since.insert(job.rank, now);
        }
        *count += 1;
        self.jobs.insert(position, job);
    }

    /// Returns a waiting request.
    pub fn get(&self, id: job::Id) -> Option<&Job> {
        self.jobs.get(&self.positions.get(&id)?.0)
    }

    /// Removes a request.
    pub fn remove(&mut self, id: job::Id) -> Option<Job> {
        let (position, late_at) = self.positions.remove(&id)?;
        let job = self.jobs.remove(&position)?;
        remove_sorted(&mut self.in_time, &position);
        if position.tag != Tag::default() && !position.is_late {
            self.departed.push((position.rank, id));
        }
        self.expiry_order.remove(&(job.expires_at(), id));
        self.objectives.remove(&(late_at, id));
        if let Some(count) = self.counts.get_mut(&job.rank) {
            *count -= 1;
        }
        Some(job)
    }

    /// Moves requests that are late behind the others of their rank.
    pub fn demote_late(&mut self, now: Time) {
        while let Some((late_at, id)) = self.objectives.first().copied() {
            if late_at > now {
                return;
            }
            self.objectives.remove(&(late_at, id));
            let Some((position, _)) = self.positions.get_mut(&id) else {
                continue;
            };
            let Some(job) = self.jobs.remove(position) else {
                continue;
            };
            remove_sorted(&mut self.in_time, position);
            position.is_late = true;
            self.jobs.insert(*position, job);
            if position.tag != Tag::default() {
                self.departed.push((position.rank, id));
            }
        }
    }

    /// Takes the requests that no longer wait in the order of their tags.
    pub fn take_departed(&mut self) -> Vec<(Rank, job::Id)> {
        std::mem::take(&mut self.departed)
    }

    /// Moves a waiting request to the position of another tag.
    pub fn change_tag(&mut self, id: job::Id, tag: Tag) {
        let Some((position, _)) = self.positions.get_mut(&id) else {
            return;
        };
        if let Some(job) = self.jobs.remove(position) {
            remove_sorted(&mut self.in_time, position);
            position.tag = tag;
            if !position.is_late {
                insert_sorted(&mut self.in_time, *position);
            }
            self.jobs.insert(*position, job);
        }
    }

    /// Returns a waiting request that has expired by `now`.
    pub fn expired_opt(&self, now: Time) -> Option<job::Id> {
        let (expires_at, id) = self.expiry_order.first()?;
        (*expires_at <= now).then_some(*id)
    }

    /// Returns the arrival time of the request at the head of a rank.
    pub fn first_arrival_opt(&self, rank: Rank) -> Option<Time> {
        let from = Position {
            rank,
            is_late: false,
            is_unbooked: false,
            tag: Tag(0),
            first_try: Time(0),
            id: job::Id(0),
        };
        let (position, job) = self.jobs.range(from..).next()?;
        (position.rank == rank).then_some(job.arrived)
    }

    /// Returns since when a rank has had waiting requests without interruption, if it has any.
    pub fn busy_since_opt(&self, rank: Rank) -> Option<Time> {
        let since = self.busy_since.get(&rank).copied();
        since.filter(|_| self.count(rank) > 0)
    }

    /// The number of requests waiting in a rank.
    pub fn count(&self, rank: Rank) -> usize {
        self.counts.get(&rank).copied().unwrap_or(0)
    }

    /// The number of requests waiting in more protected ranks.
    pub fn count_above(&self, rank: Rank) -> usize {
        self.counts.range(..rank).map(|(_, count)| *count).sum()
    }

    /// The number of requests waiting in a rank that are not late.
    pub fn count_in_time(&self, rank: Rank) -> usize {
        self.in_time.get(&rank).map_or(0, VecDeque::len)
    }

    /// The number of requests waiting that are late.
    pub fn count_late(&self) -> usize {
        self.len() - self.in_time.values().map(VecDeque::len).sum::<usize>()
    }

    /// The number of waiting requests that precede a position. Late requests of the same rank are
    /// counted one by one.
    pub fn count_before(&self, position: &Position) -> usize {
        let above = self.count_above(position.rank);
        if position.is_late {
            let late = self.late_positions(position.rank);
            let late = late.take_while(|(other, _)| *other < position);
            return above + self.count_in_time(position.rank) + late.count();
        }
        let in_time = self.in_time.get(&position.rank);
        above + in_time.map_or(0, |all| all.partition_point(|other| other < position))
    }

    /// Iterates over the late requests of a rank in order.
    pub fn late(&self, rank: Rank) -> impl Iterator<Item = (job::Id, &Job)> + '_ {
        let late = self.late_positions(rank);
        late.map(|(position, job)| (position.id, job))
    }

    fn late_positions(&self, rank: Rank) -> impl Iterator<Item = (&Position, &Job)> + '_ {
        let from = Position {
            rank,
            is_late: true,
            is_unbooked: false,
            tag: Tag(0),
            first_try: Time(0),
            id: job::Id(0),
        };
        let late = self.jobs.range(from..);
        late.take_while(move |(position, _)| position.rank == rank)
    }

    /// Iterates over the waiting requests in order.
    pub fn iter(&self) -> impl Iterator<Item = (job::Id, &Job)> + '_ {
        self.jobs.iter().map(|(position, job)| (position.id, job))
    }

    /// Iterates over the ranks with waiting requests and their number.
    pub fn counts(&self) -> impl Iterator<Item = (Rank, usize)> + '_ {
        let counts = self.counts.iter().filter(|(_, count)| **count > 0);
        counts.map(|(rank, count)| (*rank, *count))
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

/// Adds a position to those of its rank that are not late.
fn insert_sorted(in_time: &mut BTreeMap<Rank, VecDeque<Position>>, position: Position) {
    let positions = in_time.entry(position.rank).or_default();
    let index = positions.partition_point(|other| *other < position);
    positions.insert(index, position);
}

/// Removes a position from those of its rank that are not late, if it is among them.
fn remove_sorted(in_time: &mut BTreeMap<Rank, VecDeque<Position>>, position: &Position) {
    if let Some(positions) = in_time.get_mut(&position.rank)
        && let Ok(index) = positions.binary_search(position)
    {
        positions.remove(index);
    }
}
