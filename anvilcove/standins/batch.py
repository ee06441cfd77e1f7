"""Continuous batching and prefix cache of the simulated model engine."""

import asyncio
import random
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any

from msgspec import Struct, field

from anvilcove.messages.base import Message
from anvilcove.messages.engines import CacheEvent, Generate
from anvilcove.standins.faults import Standin


class EngineOptions(Message):
    """Capacities and latencies of one simulated engine."""

    endpoint: str
    model: str = ''
    slots: int = 8
    queue: int = 64
    token_time_s: float = 0.005
    prefill_s: float = 0.02
    cache_prefixes: int = 16
    weights_address: str = ''
    listen_ip: str = '127.0.0.1'
    switch_s: float = 0.05


class Generation(Struct, eq=False):
    """A generation request and its queue of `events`, which None ends."""

    call: Generate
    connected: Callable[[], bool]
    index: int
    prefill_s: float = 0.0
    started_s: float = 0.0
    refusal: str = ''
    versions: list[list[int]] = field(default_factory=list)
    events: asyncio.Queue[Any] = field(default_factory=asyncio.Queue)
    started: asyncio.Event = field(default_factory=asyncio.Event)

    def prefix(self) -> str:
        """Return the prompt text before the first `|`, empty if none."""
        prefix, marked, _ = self.call.prompt.partition('|')
        return prefix if marked else ''


class PrefixCache:
    """LRU cache of prompt prefixes that records an event for each change."""

    def __init__(self, standin: Standin, size: int) -> None:
        """Create an empty cache for at most `size` prefixes."""
        self.standin = standin
        self.size = size
        self._prefixes: dict[str, None] = {}
        self._events: list[tuple[float, CacheEvent]] = []
        self._sequence = 0
        self._rng = random.Random(0)

    def hit(self, prefix: str) -> bool:
        """Return whether a prefix is cached and mark it as just used.

        An empty prefix counts as cached.
        """
        if not prefix:
            return True
        if prefix not in self._prefixes:
            return False
        self._prefixes[prefix] = self._prefixes.pop(prefix)
        return True

    def store(self, prefix: str) -> None:
        """Cache a prefix and evict the least recently used one if full."""
        if self.hit(prefix):
            return
        if len(self._prefixes) >= self.size:
            self._remove(next(iter(self._prefixes)))
        self._prefixes[prefix] = None
        self._publish(prefix, True)

    def clear(self) -> None:
        """Drop all prefixes, which are invalid once the weights change."""
        for prefix in list(self._prefixes):
            self._remove(prefix)

    def _remove(self, prefix: str) -> None:
        del self._prefixes[prefix]
        self._publish(prefix, False)

    def _publish(self, prefix: str, stored: bool) -> None:
        self._sequence += 1
        if self._rng.random() < self.standin.faults.get('cache_gaps', 0.0):
            return
        event = CacheEvent(
            sequence=self._sequence, prefix=prefix, stored=stored
        )
        self._events.append((self.standin.now(), event))

    def events(self, after: int) -> list[CacheEvent]:
        """Return the events after sequence number `after`.

        Events younger than `cache_lag_s` are left out.
        """
        as_of = self.standin.now() - self.standin.faults.get(
            'cache_lag_s', 0.0
        )
        return [
            event
            for at_s, event in self._events
            if event.sequence > after and at_s <= as_of
        ]


class Batch:
    """Priority queue and running batch of a simulated engine."""

    def __init__(self, standin: Standin, options: EngineOptions) -> None:
        """Create an idle batch with version 0 of the weights."""
        self.standin = standin
        self.options = options
        self.cache = PrefixCache(standin, options.cache_prefixes)
        self.model = options.model
        self.version = 0
        self.closed = False
        self.paused = False
        self.running: list[Generation] = []
        self.imported: dict[str, tuple[str, int]] = {}
        self._queue: list[tuple[int, int, Generation]] = []
        self._arrival_numbers = count()
        self._wake = asyncio.Event()

    @property
    def queued(self) -> int:
        """Return the number of queued generations."""
        return len(self._queue)

    def is_full(self) -> bool:
        """Return whether all slots and queue positions are in use."""
        limit = self.options.slots + self.options.queue
        return len(self.running) + self.queued >= limit

    def add(self, generation: Generation) -> None:
        """Queue a generation, ordered by priority, highest first."""
        entry = (
            -generation.call.priority,
            next(self._arrival_numbers),
            generation,
        )
        heappush(self._queue, entry)
        self._wake.set()
        self._record_load()

    def end(self, generation: Generation) -> None:
        """Free the slot of a generation and end its event stream."""
        if generation in self.running:
            self.running.remove(generation)
            generation.events.put_nowait(None)
            self._record_load()

    def cancel(self, request_id: str) -> bool:
        """Stop the running and queued generations of a request.

        Return whether there were any.
        """
        waiting = [entry[2] for entry in self._queue]
        found = [
            generation
            for generation in (*self.running, *waiting)
            if generation.call.request_id == request_id
        ]
        for generation in found:
            self.end(generation)
            generation.refusal = 'cancelled'
            generation.started.set()
        self._queue = [entry for entry in self._queue if not entry[2].refusal]
        heapify(self._queue)
        self._record_load()
        return bool(found)

    async def run(self) -> None:
        """Run one decoding step every `token_time_s` while there is work."""
        while True:
            await self._wake.wait()
            self.admit()
            await asyncio.sleep(self.options.token_time_s)
            self.step()
            if not (self.running or self._queue or self._crash_is_due()):
                self._wake.clear()

    def _crash_is_due(self) -> bool:
        return bool(self.standin.faults.get('die_after_tokens', 1) <= 0)

    def admit(self) -> None:
        """Move generations from the queue to free slots.

        Drop generations whose client has disconnected; refuse those for a
        model that is not loaded.
        """
        while self._queue and not self.closed:
            generation = self._queue[0][2]
            if generation.connected():
                if len(self.running) >= self.options.slots:
                    break
                if generation.call.model in ('', self.model):
                    self._start(generation)
                else:
                    generation.refusal = 'model is not loaded'
            heappop(self._queue)
            generation.started.set()
        self._record_load()

    def _start(self, generation: Generation) -> None:
        call = generation.call
        cached = self.cache.hit(generation.prefix())
        kv_prompt, kv_tokens = self.imported.pop(call.request_id, ('', -1))
        imported = kv_prompt == call.prompt and kv_tokens >= generation.index
        if not imported and (not cached or call.resume_tokens):
            generation.prefill_s = self.options.prefill_s
        else:
            self.cache.store(generation.prefix())
        generation.started_s = self.standin.now()
        self.running.append(generation)
        self.standin.write_journal(
            'started',
            request_id=call.request_id,
            prompt=call.prompt,
            index=generation.index,
            cached=cached,
            imported=imported,
            prefill_s=generation.prefill_s,
        )
        crash_marker = self.standin.faults.get('crash_on')
        if crash_marker and crash_marker in call.prompt:
            self.standin.crash(
                f'prompt contains {crash_marker!r}', call.request_id
            )

    def step(self) -> None:
        """Advance each running generation by one token or by its prefill."""
        if self._crash_is_due():
            self.standin.crash('die_after_tokens')
        if self.paused:
            return
        for generation in list(self.running):
            if generation.prefill_s > 0:
                self._prefill(generation)
                continue
            if generation.index < generation.call.max_tokens:
                self._emit(generation)
            if generation.index >= generation.call.max_tokens:
                generation.events.put_nowait({'tokens': generation.index})
                self.end(generation)

    def _prefill(self, generation: Generation) -> None:
        generation.prefill_s -= self.options.token_time_s
        if generation.prefill_s <= 0:
            self.cache.store(generation.prefix())

    def _emit(self, generation: Generation) -> None:
        index, versions = generation.index, generation.versions
        if versions and versions[-1][0] == self.version:
            versions[-1][2] = index + 1
        else:
            versions.append([self.version, index, index + 1])
            self.standin.write_journal(
                'version',
                request_id=generation.call.request_id,
                version=self.version,
                index=index,
            )
        event = {'index': index, 'text': f't{index}', 'version': self.version}
        if self.standin.consume_fault('drop_versions'):
            del event['version']
        self.standin.consume_fault('die_after_tokens')
        generation.events.put_nowait(event)
        generation.index += 1

    def _record_load(self) -> None:
        self.standin.record_load(len(self.running), self.queued)
