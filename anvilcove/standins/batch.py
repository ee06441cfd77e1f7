"""Continuous batching and the prompt-prefix cache of the model engine."""

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
    """Sizes and times of one engine."""

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
    """One generation; `events` ends with None."""

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
        """Return the prefix that the prompt marks, empty for none."""
        prefix, marked, _ = self.call.prompt.partition('|')
        return prefix if marked else ''


class PrefixCache:
    """Most recently used prompt prefixes and the events about them."""

    def __init__(self, standin: Standin, size: int) -> None:
        """Start empty."""
        self.standin = standin
        self.size = size
        self._prefixes: dict[str, None] = {}
        self._events: list[tuple[float, CacheEvent]] = []
        self._sequence = 0
        self._rng = random.Random(0)

    def hit(self, prefix: str) -> bool:
        """Tell whether a prefix is cached and mark it as just used."""
        if not prefix:
            return True
        if prefix not in self._prefixes:
            return False
        self._prefixes[prefix] = self._prefixes.pop(prefix)
        return True

    def store(self, prefix: str) -> None:
        """Cache a prefix; the least recently used one gives way."""
        if self.hit(prefix):
            return
        if len(self._prefixes) >= self.size:
            self._remove(next(iter(self._prefixes)))
        self._prefixes[prefix] = None
        self._publish(prefix, True)

    def clear(self) -> None:
        """Forget all; other weights make cached prefixes useless."""
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
        """Return the events after a number that are `cache_lag_s` old."""
        as_of = self.standin.now() - self.standin.faults.get(
            'cache_lag_s', 0.0
        )
        return [
            event
            for at_s, event in self._events
            if event.sequence > after and at_s <= as_of
        ]


class Batch:
    """Queue by priority and the generations that run in each step."""

    def __init__(self, standin: Standin, options: EngineOptions) -> None:
        """Start idle with version 0."""
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
        self._order = count()
        self._wake = asyncio.Event()

    @property
    def queued(self) -> int:
        """Return the number of waiting generations."""
        return len(self._queue)

    def is_full(self) -> bool:
        """Tell whether the queue takes no more."""
        limit = self.options.slots + self.options.queue
        return len(self.running) + self.queued >= limit

    def add(self, generation: Generation) -> None:
        """Queue a generation; a higher priority goes first."""
        place = (-generation.call.priority, next(self._order), generation)
        heappush(self._queue, place)
        self._wake.set()
        self._record()

    def end(self, generation: Generation) -> None:
        """Free the slot of a generation and end its events."""
        if generation in self.running:
            self.running.remove(generation)
            generation.events.put_nowait(None)
            self._record()

    def cancel(self, request_id: str) -> bool:
        """Stop the generations of a request, running or waiting."""
        waiting = [place[2] for place in self._queue]
        found = [
            generation
            for generation in (*self.running, *waiting)
            if generation.call.request_id == request_id
        ]
        for generation in found:
            self.end(generation)
            generation.refusal = 'cancelled'
            generation.started.set()
        self._queue = [p for p in self._queue if not p[2].refusal]
        heapify(self._queue)
        self._record()
        return bool(found)

    async def run(self) -> None:
        """Make one step each token time while there is work."""
        while True:
            await self._wake.wait()
            self.admit()
            await asyncio.sleep(self.options.token_time_s)
            self.step()
            if not (self.running or self._queue or self._is_dying()):
                self._wake.clear()

    def _is_dying(self) -> bool:
        return bool(self.standin.faults.get('die_after_tokens', 1) <= 0)

    def admit(self) -> None:
        """Fill free slots from the queue."""
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
        self._record()

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
        self.standin.write(
            'started',
            request_id=call.request_id,
            prompt=call.prompt,
            index=generation.index,
            cached=cached,
            imported=imported,
            prefill_s=generation.prefill_s,
        )
        poison = self.standin.faults.get('crash_on')
        if poison and poison in call.prompt:
            self.standin.crash(f'prompt contains {poison!r}', call.request_id)

    def step(self) -> None:
        """Advance every running generation by one token or some prefill."""
        if self._is_dying():
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
            self.standin.write(
                'version',
                request_id=generation.call.request_id,
                version=self.version,
                index=index,
            )
        event = {'index': index, 'text': f't{index}', 'version': self.version}
        if self.standin.take('drop_versions'):
            del event['version']
        self.standin.take('die_after_tokens')
        generation.events.put_nowait(event)
        generation.index += 1

    def _record(self) -> None:
        self.standin.record_load(len(self.running), self.queued)
