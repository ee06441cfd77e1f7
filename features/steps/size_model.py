"""Model of a service whose size a policy orders, in steps of 0.1 s."""

import random

from anvilcove.decisions.registry import policy_class
from anvilcove.decisions.service_demand import JobLoad
from anvilcove.decisions.service_size import TOPIC
from anvilcove.decisions.size_mix import EngineGroup
from anvilcove.decisions.size_policy import GroupState, ServiceState

TICK_S = 0.1
SLOTS = 8
OBJECTIVE_S = 7.5
NOTICE_S = 2.4
TOKENS_PER_S = 100


class Engine:
    """One engine; `left` has the seconds of work of each running item."""

    def __init__(self, group, serves_at_s, slowness=1.0):
        self.group, self.serves_at_s = group, serves_at_s
        self.slowness, self.running = slowness, []
        self.draining, self.gone_at_s = False, float('inf')


class Step:
    """Batch job with the seconds of work of its items, longest first."""

    def __init__(self, at_s, seconds):
        self.at_s, self.total = at_s, len(seconds)
        self.tokens = int(sum(seconds) * TOKENS_PER_S)
        self.waiting = sorted(seconds)
        self.listed, self.done_at_s = 0, None


class SizeModel:
    """Engines, steps and the platform's interface around one policy."""

    def __init__(self, variant, bounds, counts, boot_s, slow_share=0.0):
        self.policy = policy_class(TOPIC, variant)()
        self.bounds, self.boot_s, self.now = bounds, boot_s, 0.0
        self.rng = random.Random(7)
        self.ordered = dict(counts)
        self.engines = [
            Engine(group, 0.0, 3.0 if number < slow_share * count else 1.0)
            for group, count in counts.items()
            for number in range(count)
        ]
        self.steps, self.orders, self.refusals = [], [], []
        self.tried = []
        self.cost, self.cut = 0.0, 0
        # Data centres without available engines, and outage of the interface.
        self.sold_out, self.away_until_s = set(), 0.0

    def run(self, seconds, steps, events=()):
        """Run steps of (time, items, seconds) and timed events."""
        steps, events = sorted(steps), sorted(events, key=lambda e: e[0])
        for tick in range(int(seconds / TICK_S)):
            self.now = tick * TICK_S
            while steps and steps[0][0] <= self.now:
                at_s, items, mean_s = steps.pop(0)
                work = [
                    mean_s * self.rng.uniform(0.5, 1.5) for _ in range(items)
                ]
                self.steps.append(Step(at_s, work))
            while events and events[0][0] <= self.now:
                events.pop(0)[1](self)
            self._advance()
            if tick % 10 == 0:
                self._order()

    def reclaim(self, data_centre):
        """Announce that a data centre's reclaimable engines all leave."""
        for engine in self.engines:
            if engine.group == EngineGroup(data_centre, True):
                engine.draining = True
                engine.gone_at_s = self.now + NOTICE_S
        self.sold_out.add(data_centre)

    def _advance(self):
        by_due = [step for step in self.steps if step.done_at_s is None]
        for engine in list(self.engines):
            price = self.bounds.price(
                engine.group.data_centre, engine.group.reclaimable
            )
            self.cost += price * TICK_S
            for item in list(engine.running):
                item[0] -= TICK_S / engine.slowness
                if item[0] <= 0:
                    engine.running.remove(item)
                    self._list(item[1])
            if engine.gone_at_s <= self.now or (
                engine.draining and not engine.running
            ):
                self.cut += len(engine.running)
                for left_s, step in engine.running:
                    step.waiting.append(left_s)
                self.engines.remove(engine)
        for step in by_due:
            self._start(step)

    def _list(self, step):
        step.listed += 1
        if step.listed == step.total:
            step.done_at_s = self.now

    def _start(self, step):
        free = [
            e
            for e in self.engines
            if not e.draining
            and e.serves_at_s <= self.now
            and len(e.running) < SLOTS
        ]
        while step.waiting and free:
            engine = min(free, key=lambda e: len(e.running))
            engine.running.append([step.waiting.pop(), step])
            free = [e for e in free if len(e.running) < SLOTS]

    def state(self):
        """Return what the policy sees."""
        states = {}
        for group, ordered in self.ordered.items():
            serving = sum(
                e.group == group
                and not e.draining
                and e.serves_at_s <= self.now
                for e in self.engines
            )
            states[group] = GroupState(ordered, serving, serving)
        jobs = [
            JobLoad(
                f'j{number}',
                step.tokens,
                step.listed,
                step.total,
                self.now - step.at_s,
                OBJECTIVE_S,
                step.done_at_s is None,
            )
            for number, step in enumerate(self.steps)
        ]
        return ServiceState(self.bounds, SLOTS, states, jobs)

    def _order(self):
        changes = self.policy.decide(self.now, self.state(), self.rng)
        self.tried += [(self.now, c.before, c.number) for c in changes]
        if self.now < self.away_until_s:
            # The orders stand in rows and are sent again by the next ones.
            return
        for change in changes:
            grows = change.number > self._present(change.group)
            if grows and change.group.data_centre in self.sold_out:
                self.policy.refused(self.now, change.group.data_centre)
                if change.number == change.before:
                    self.ordered[change.group] = self._present(change.group)
                self.refusals.append((self.now, change.group.data_centre))
                continue
            self.ordered[change.group] = change.number
            self.orders.append(
                (self.now, change.number - change.before, change.group)
            )
            self._apply(change.group, change.number)

    def _present(self, group):
        return sum(e.group == group and not e.draining for e in self.engines)

    def _apply(self, group, number):
        present = [
            e for e in self.engines if e.group == group and not e.draining
        ]
        for engine in present[number:]:
            engine.draining = True
        for _ in range(number - len(present)):
            self.engines.append(Engine(group, self.now + self.boot_s))

    def late(self):
        """Return the number of steps that did not end in time."""
        return sum(
            (step.done_at_s or self.now) - step.at_s > OBJECTIVE_S
            for step in self.steps
        )
