"""Engines that the batch jobs of a service need, learned from their rows."""

from collections import deque
from math import inf

from msgspec import Struct

# Jobs of this last time decide how many engines are kept. It is longer than
# the waves of trainers (11 s) and their pauses between steps.
DEMAND_MEMORY_S = 60.0
# The interval search looks at no more jobs than this.
MAX_ARRIVALS = 200
# Time constant of the learned slot time of a token. A pause of all items of
# 5 s raises the estimate by about a sixth.
LEARNING_S = 30.0
# Items that have to be listed before the slot time of a token counts as known.
MIN_LISTED_ITEMS = 20.0
# Share of the slot time until a deadline that is planned to be used. The rest
# covers the last items of a step, which run alone.
TARGET_LOAD = 0.6
# The same for work that is open already, of which the end is nearer.
OPEN_LOAD = 0.85
# Engines that serve for a shorter time than this before a deadline can't help.
MIN_HELP_S = 0.5


class JobLoad(Struct):
    """State of a batch job: tokens and items in total, items listed.

    `open` tells that the system still works on it.
    """

    job_id: str
    tokens: int
    listed: int
    total: int
    age_s: float
    objective_s: float
    open: bool = True

    def tokens_of(self, items: int) -> float:
        """Return the tokens that belong to a number of items."""
        return max(self.tokens, 0) * max(items, 0) / max(self.total, 1)


class Arrival(Struct):
    """Job that arrived, with the token rate that it needed on arrival."""

    at_s: float
    due_s: float
    tokens: float
    rate: float = 0.0


class ServiceDemand:
    """Learn the slot time of a token and the token rate that jobs need.

    The rate is that of the busiest interval: the tokens of all jobs that
    arrive and are due within it, over its length. If the engines complete this
    rate, each job can end in time. It does not depend on how many engines run,
    unlike their utilization.
    """

    __slots__ = (
        '_arrivals',
        '_listed_by_job',
        '_busy_slot_s',
        '_listed_tokens',
        '_listed_items',
        '_observed_at_s',
        '_open_items',
        '_half_done_tokens',
        'unservable_at_s',
    )

    def __init__(self) -> None:
        """Start without knowledge."""
        self._arrivals: deque[Arrival] = deque(maxlen=MAX_ARRIVALS)
        self._listed_by_job: dict[str, int] = {}
        self._busy_slot_s = 0.0
        self._listed_tokens = 0.0
        self._listed_items = 0.0
        self._observed_at_s: float | None = None
        self._open_items = 0
        # Half of the tokens of the running items: on average they are half
        # done. Without them the first estimate is about twice too high.
        self._half_done_tokens = 0.0
        # Last arrival of a job that no allowed size completes in time.
        self.unservable_at_s = -inf

    def observe(
        self, now: float, jobs: list[JobLoad], slots: int, max_slots: int
    ) -> None:
        """Record the state of all jobs of the service.

        `slots` are those of the engines that serve, `max_slots` those of the
        largest allowed size.
        """
        first = self._observed_at_s is None
        known = self._listed_by_job
        self._listed_by_job = {job.job_id: job.listed for job in jobs}
        listed_tokens = listed_items = 0.0
        for job in jobs:
            is_new = job.job_id not in known
            if is_new and (job.open or not first):
                self._add_arrival(now, job, max_slots)
            # A job that was first seen in progress has an unknown past.
            before = 0 if is_new and not first else job.listed
            listed = max(job.listed - known.get(job.job_id, before), 0)
            listed_items += listed
            listed_tokens += job.tokens_of(listed)
        unknown = self.slot_s_per_token() is None
        self._learn(now, jobs, slots, listed_tokens, listed_items)
        if unknown and self.slot_s_per_token() is not None:
            self._judge_arrivals(now, max_slots)

    def _learn(
        self,
        now: float,
        jobs: list[JobLoad],
        slots: int,
        listed_tokens: float,
        listed_items: float,
    ) -> None:
        open_items = sum(
            max(job.total - job.listed, 0) for job in jobs if job.open
        )
        last_s = self._observed_at_s
        elapsed_s = 0.0 if last_s is None else max(now - last_s, 0.0)
        running = (min(open_items, slots) + min(self._open_items, slots)) / 2
        # What was learned remains known while no job is open.
        kept = max(1 - elapsed_s / LEARNING_S, 0.0) if running else 1.0
        self._busy_slot_s = self._busy_slot_s * kept + running * elapsed_s
        self._listed_tokens = self._listed_tokens * kept + listed_tokens
        self._listed_items = self._listed_items * kept + listed_items
        self._open_items = open_items
        self._observed_at_s = now
        open_tokens = sum(
            job.tokens_of(job.total - job.listed) for job in jobs if job.open
        )
        running_share = min(slots / open_items, 1.0) if open_items else 0.0
        self._half_done_tokens = open_tokens * running_share / 2

    def _add_arrival(self, now: float, job: JobLoad, max_slots: int) -> None:
        if job.tokens <= 0 or job.objective_s <= 0:
            return
        at_s = now - min(job.age_s, DEMAND_MEMORY_S)
        self._add(
            now, Arrival(at_s, at_s + job.objective_s, job.tokens), max_slots
        )

    def _add(self, now: float, arrival: Arrival, max_slots: int) -> None:
        """Add an arrival unless no allowed size completes it in time."""
        work_s = arrival.tokens * (self.slot_s_per_token() or 0.0)
        if work_s > max_slots * (arrival.due_s - arrival.at_s):
            self.unservable_at_s = now
            return
        self._arrivals.append(arrival)
        latest_due_s = max(known.due_s for known in self._arrivals)
        for end_s in {arrival.due_s, latest_due_s}:
            tokens = 0.0
            for known in reversed(self._arrivals):
                if known.due_s <= end_s:
                    tokens += known.tokens
                    rate = tokens / max(end_s - known.at_s, MIN_HELP_S)
                    arrival.rate = max(arrival.rate, rate)

    def _judge_arrivals(self, now: float, max_slots: int) -> None:
        """Add again the arrivals before the slot time became known."""
        arrivals = list(self._arrivals)
        self._arrivals.clear()
        for arrival in arrivals:
            arrival.rate = 0.0
            self._add(now, arrival, max_slots)

    def slot_s_per_token(self) -> float | None:
        """Return the slot time of a token in seconds, None if unknown."""
        if self._listed_items < MIN_LISTED_ITEMS or self._listed_tokens <= 0:
            return None
        tokens = self._listed_tokens + self._half_done_tokens
        return self._busy_slot_s / tokens or None

    def needed_slots(self, now: float) -> float | None:
        """Return the slots that the recent jobs needed, None if unknown."""
        while self._arrivals and (
            now - self._arrivals[0].at_s > DEMAND_MEMORY_S
        ):
            self._arrivals.popleft()
        slot_s = self.slot_s_per_token()
        if slot_s is None:
            return None
        rate = max((one.rate for one in self._arrivals), default=0.0)
        return rate * slot_s / TARGET_LOAD

    def missing_slots(
        self, jobs: list[JobLoad], slots: int, booting: int, boot_s: float
    ) -> float:
        """Return the slots, ordered now, that keep the open jobs in time.

        `booting` slots are ordered and count as if they were ordered now. Jobs
        that end before a new engine serves ask for nothing.
        """
        slot_s = self.slot_s_per_token()
        if slot_s is None or self._open_items <= slots:
            return 0.0
        work_s = missing = 0.0
        for job in sorted(jobs, key=lambda job: job.objective_s - job.age_s):
            left_s = job.objective_s - job.age_s
            if not job.open or left_s <= 0:
                continue
            work_s += job.tokens_of(job.total - job.listed) * slot_s
            help_s = left_s - boot_s
            if help_s < MIN_HELP_S:
                continue
            short_s = work_s / OPEN_LOAD - slots * left_s - booting * help_s
            missing = max(missing, short_s / help_s)
        return missing
