"""Room for large request bodies, documents and the batch jobs of a host."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from anvilcove.decisions.slow_readers import MIN_AGE_S, NORMAL_BYTES_PER_S

# Bodies up to this size are read without a reservation, so that ordinary
# calls never wait for large ones.
SMALL_BODY_BYTES = 65_536
# A body is held twice: for further attempts, and by the connection to the
# endpoint that has not taken it yet.
COPIES = 2


class NoRoom(Exception):
    """Raised when there was no room in memory until the deadline."""


class RoomBounds(Protocol):
    """Bounds of a room in bytes, which are read at each reservation."""

    def body_bound_bytes(self) -> int:
        """Return the bound of all bodies; a larger one is read alone."""

    def job_bound_bytes(self) -> int:
        """Return the bound of the jobs that the host runs."""

    def room_bytes(self) -> int:
        """Return the bound of bodies, documents and jobs together."""


class FixedBounds(Struct, frozen=True):
    """Bounds of a room that do not change."""

    bodies: int
    jobs: int = 0
    total: int = 0

    def body_bound_bytes(self) -> int:
        """Return the bound of all bodies."""
        return self.bodies

    def job_bound_bytes(self) -> int:
        """Return the bound of jobs."""
        return self.jobs

    def room_bytes(self) -> int:
        """Return the bound of both."""
        return max(self.total, self.bodies + self.jobs)


class MemoryRoom:
    """Reservations of memory for the bodies of calls, and for jobs.

    Bodies that wait get room in the order of their arrival. Jobs never wait:
    they stay for long, so that another host or a later call serves better.
    """

    __slots__ = (
        '_bounds',
        '_waiting',
        'reserved_bytes',
        '_bytes_by_job',
        'job_bytes',
        'on_reserved',
    )

    def __init__(self, bounds: RoomBounds) -> None:
        """Start empty."""
        self._bounds = bounds
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()
        # Held for bodies and what is decoded from them.
        self.reserved_bytes = 0
        self._bytes_by_job: dict[str, int] = {}
        # Held for all jobs.
        self.job_bytes = 0
        # Called when more is reserved for bodies.
        self.on_reserved: Callable[[], None] = lambda: None

    async def reserve(self, body_bytes: int, wait_s: float) -> int:
        """Wait for room for a body and return the bytes to release.

        Raises NoRoom after `wait_s` seconds, or at once for a body that does
        not fit beside the jobs of the host.
        """
        if body_bytes <= SMALL_BODY_BYTES:
            return 0
        needed = body_bytes * COPIES
        if not self._fits_beside_jobs(needed):
            raise NoRoom(f'no room for {body_bytes} B beside jobs')
        if not self._waiting and self._fits(needed):
            self._take(needed)
            return needed
        granted = asyncio.get_running_loop().create_future()
        self._waiting.append((needed, granted))
        try:
            async with asyncio.timeout(wait_s):
                await granted
        except (TimeoutError, asyncio.CancelledError) as error:
            if granted.done() and not granted.cancelled():
                if granted.exception() is None:
                    self.release(needed)
            else:
                granted.cancel()
                self._admit()
            if isinstance(error, TimeoutError):
                raise NoRoom(f'no room for {body_bytes} B') from error
            raise
        return needed

    def is_wanted(self) -> bool:
        """Tell whether a body waits for room."""
        return any(not granted.done() for _, granted in self._waiting)

    def extend(self, extra_bytes: int) -> int:
        """Reserve more at once, for what is decoded from a body.

        Returns the bytes to release, or raises NoRoom.
        """
        held = self.reserved_bytes + self.job_bytes
        if held + extra_bytes > self._bounds.room_bytes():
            raise NoRoom(f'no room for {extra_bytes} B of a document')
        self._take(extra_bytes)
        return extra_bytes

    def shrink(self, reserved_bytes: int, body_bytes: int) -> int:
        """Return what a body does not need; return the bytes left."""
        return self.shrink_to(reserved_bytes, body_bytes * COPIES)

    def shrink_to(self, reserved_bytes: int, needed: int) -> int:
        """Release what exceeds `needed`; return the bytes left."""
        needed = min(needed, reserved_bytes)
        self.release(reserved_bytes - needed)
        return needed

    def release(self, reserved_bytes: int) -> None:
        """Return a reservation."""
        self.reserved_bytes -= reserved_bytes
        self._admit()

    def hold_job(self, job_id: str, job_bytes: int, alone: bool) -> bool:
        """Hold memory for a job from now on, and tell whether it fits.

        With `alone`, a job that is too large for the bound fits while nothing
        else is held: no host may leave an accepted job to nobody.
        """
        if job_id in self._bytes_by_job:
            return True
        fits = self.fits_job(job_bytes) or (
            alone and not self.job_bytes and not self.reserved_bytes
        )
        if fits:
            self._bytes_by_job[job_id] = job_bytes
            self.job_bytes += job_bytes
            self._admit()
        return fits

    def fits_job(self, job_bytes: int) -> bool:
        """Tell whether a job fits beside all that is held."""
        jobs_after = self.job_bytes + job_bytes
        return (
            jobs_after <= self._bounds.job_bound_bytes()
            and jobs_after + self.reserved_bytes <= self._bounds.room_bytes()
        )

    def release_job(self, job_id: str) -> None:
        """Hold nothing for a job any more."""
        self.job_bytes -= self._bytes_by_job.pop(job_id, 0)
        self._admit()

    def _fits(self, needed: int) -> bool:
        """Tell whether a body fits; one that never does is read alone."""
        if not self.reserved_bytes:
            return True
        reserved_after = self.reserved_bytes + needed
        return (
            reserved_after <= self._bounds.body_bound_bytes()
            and reserved_after + self.job_bytes <= self._bounds.room_bytes()
        )

    def _fits_beside_jobs(self, needed: int) -> bool:
        """Tell whether a body fits once all other bodies are gone."""
        return (
            not self.job_bytes
            or needed <= self._bounds.body_bound_bytes()
            or needed + self.job_bytes <= self._bounds.room_bytes()
        )

    def _admit(self) -> None:
        while self._waiting:
            needed, granted = self._waiting[0]
            if granted.done():
                self._waiting.popleft()
                continue
            if not self._fits_beside_jobs(needed):
                self._waiting.popleft()
                granted.set_exception(NoRoom('no room beside jobs'))
                continue
            if not self._fits(needed):
                return
            self._waiting.popleft()
            self._take(needed)
            granted.set_result(None)

    def _take(self, needed: int) -> None:
        self.reserved_bytes += needed
        self.on_reserved()


class BodyPace:
    """Pace of a body that arrives while others may wait for its room."""

    __slots__ = ('_room', '_started_s')

    def __init__(self, room: MemoryRoom) -> None:
        """Start with a body that has got room."""
        self._room = room
        self._started_s = asyncio.get_running_loop().time()

    def check(self, read_bytes: int) -> None:
        """Raise NoRoom if the body is slow and others wait."""
        age_s = asyncio.get_running_loop().time() - self._started_s
        if (
            age_s >= MIN_AGE_S
            and read_bytes < age_s * NORMAL_BYTES_PER_S
            and self._room.is_wanted()
        ):
            raise NoRoom('body sent slowly while others wait')
