"""Calls to the platform that one daemon at a time makes."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from loguru import logger

from anvilcove.control.duty_context import DutyContext, DutyWork
from anvilcove.control.leases import USE_DURATION_S, Lease
from anvilcove.decisions.duty_candidates import DutyCandidates
from anvilcove.ports.duties import (
    DutyError,
    DutyNotHeld,
    DutyRejected,
    DutyThrottled,
    DutyUnanswered,
    NoneAvailable,
)
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.telemetry.logs import DECISION

# A call ends within the time that the lease grants to a use; the interface
# answers in 4 ms, at times 50 times slower.
CALL_TIMEOUT_S = USE_DURATION_S - 0.1
# After this number of failed calls in a row the holder gives the duty back.
FAILURES_TO_GIVE_BACK = 2
# A daemon that gave a duty back is no candidate for this time. The time is
# doubled at each further give-back, so that a duty whose interface is away
# for all daemons stops moving between them.
REST_S = 10.0
MAX_REST_S = 160.0
# Work that ends by an exception is started again after this time. If it fails
# again within WORK_FAILURE_SPAN_S each time, the duty is given back.
WORK_RESTART_S = 0.5
WORK_FAILURE_SPAN_S = 5.0
WORK_FAILURES_TO_GIVE_BACK = 3
# The candidates are computed from all daemons.
RANK_PERIOD_S = 0.5
# Waits before a call; the lease is checked after each.
MIN_WAIT_S = 0.001
MAX_WAIT_S = 0.2
# Outcomes of calls, in logs and metrics; the others are in `_outcome`.
ANSWERED = 'answered'
UNANSWERED = 'unanswered'

T = TypeVar('T')


class Duty:
    """Lease of one duty and the ability of this daemon to perform it."""

    __slots__ = (
        'name',
        'lease',
        'held_since_s',
        'last_outcome',
        '_host',
        '_nodes',
        '_clock',
        '_metrics',
        '_gap_s',
        '_candidates',
        '_ranked_at_s',
        '_failures',
        '_rest_s',
        '_rests_until_s',
        '_next_call_at_s',
        '_work_failures',
        '_work_failed_at_s',
        'on_change',
    )

    def __init__(
        self, name: str, context: DutyContext, calls_per_s: float
    ) -> None:
        """Start without the duty; make at most `calls_per_s` calls."""
        settings = context.settings
        self.name = name
        self.held_since_s: float | None = None
        self.last_outcome = ''
        # Called when other daemons must learn of a changed ability.
        self.on_change: Callable[[], None] = lambda: None
        self._host = settings.host
        self._nodes = context.nodes
        self._clock = context.lease_clock
        self._metrics = context.metrics
        self._gap_s = 1.0 / calls_per_s
        self._candidates = DutyCandidates([], set())
        self._ranked_at_s = float('-inf')
        self._failures = 0
        self._rest_s = REST_S
        self._rests_until_s = float('-inf')
        self._next_call_at_s = float('-inf')
        self._work_failures = 0
        self._work_failed_at_s = float('-inf')
        self.lease = Lease(
            name,
            settings.host,
            context.nonce,
            settings.bounds.lease_s,
            context.store,
            context.lease_clock,
            context.rng,
        )
        self.lease.get_rank = self._rank
        self.lease.may_hold = self._may_hold

    def fence(self) -> int | None:
        """Return the fencing token, or None while the duty is not held."""
        return self.lease.fence()

    def status(self) -> dict[str, Any]:
        """Return what operators see; the holder as last seen from here."""
        self._note_holding()
        fence, now = self.fence(), self._clock.now()
        since_s = self.held_since_s
        held_s = None if since_s is None else now - since_s
        holder = self.lease.seen_holder
        if fence is not None:
            holder = self._host
        return {
            'holder': holder or None,
            'held_here_s': round(held_s, 1) if held_s is not None else None,
            'fence': fence,
            'candidates': ' '.join(self._current_candidates().hosts),
            'unable_here': self.is_unable(),
            'last_call': self.last_outcome or None,
        }

    def is_unable(self) -> bool:
        """Tell whether calls failed here a short time ago."""
        return self._clock.now() < self._rests_until_s

    async def announce(self, subjects: list[str]) -> bool:
        """Write that this daemon is about to act on subjects.

        Returns whether that was acknowledged and the duty is still held.
        """
        try:
            return await self.lease.announce(subjects)
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(duty=self.name, reason=str(error)).info(
                'duty not announced'
            )
            return False

    def may_act(self, subject: str) -> bool:
        """Tell whether the holder may act on an announced subject now."""
        return (
            self.lease.may_act_on(subject)
            and self.lease.blocked_s(subject) <= 0.0
        )

    async def perform(
        self, subject: str, call: Callable[[int], Awaitable[T]]
    ) -> T:
        """Announce a subject and make a call with the fence.

        Waits for the rate and for earlier holders of the subject. Raises
        DutyError; DutyNotHeld if nothing was sent.
        """
        while (wait_s := self._wait_s(subject)) > 0.0:
            if self.fence() is None:
                raise DutyNotHeld(f'{self.name}: lease not held')
            # Not shorter: a wait below the resolution of a clock never ends.
            await self._clock.sleep(max(min(wait_s, MAX_WAIT_S), MIN_WAIT_S))
        if self.fence() is None or not await self.announce([subject]):
            raise DutyNotHeld(f'{self.name}: not announced')
        return await self.act(subject, call)

    async def act(
        self, subject: str, call: Callable[[int], Awaitable[T]]
    ) -> T:
        """Make a call on an announced subject; as `perform` without waits."""
        fence = self.fence()
        if fence is None or not self.may_act(subject):
            raise DutyNotHeld(f'{self.name}: announced too long ago')
        self._next_call_at_s = self._clock.now() + self._gap_s
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                result = await call(fence)
        except TimeoutError as error:
            await self._record(subject, fence, UNANSWERED)
            raise DutyUnanswered('no answer in time') from error
        except DutyError as error:
            await self._record(subject, fence, _outcome(error))
            raise
        await self._record(subject, fence, ANSWERED)
        return result

    def _wait_s(self, subject: str) -> float:
        return max(
            self._next_call_at_s - self._clock.now(),
            self.lease.blocked_s(subject),
        )

    async def _record(self, subject: str, fence: int, outcome: str) -> None:
        """Record the outcome of a call; give the duty back if calls fail."""
        self.last_outcome = outcome
        self._metrics.duty_call(self.name, outcome)
        logger.bind(
            duty=self.name, subject=subject, fence=fence, outcome=outcome
        ).log(DECISION, 'duty call')
        self._failures = self._failures + 1 if outcome == UNANSWERED else 0
        if outcome == ANSWERED:
            self._rest_s = REST_S
        if self._failures >= FAILURES_TO_GIVE_BACK:
            self._failures = 0
            if self._current_candidates().has_able_other(self._host):
                await self._give_back()

    async def run_work(self, work: DutyWork) -> None:
        """Run the work without end, again after each exception."""
        while True:
            try:
                await work.run()
            except Exception:
                await self.record_failure()
            else:
                await self._count_work_failure()
                await self._clock.sleep(WORK_RESTART_S)

    async def record_failure(self) -> None:
        """Log the current exception of the work and wait for a while.

        Gives the duty back if the work fails each time here.
        """
        logger.bind(duty=self.name).exception('work of a duty failed')
        await self._count_work_failure()
        await self._clock.sleep(WORK_RESTART_S)

    async def _count_work_failure(self) -> None:
        now = self._clock.now()
        if now - self._work_failed_at_s > WORK_FAILURE_SPAN_S:
            self._work_failures = 0
        self._work_failed_at_s = now
        self._work_failures += 1
        if (
            self._work_failures >= WORK_FAILURES_TO_GIVE_BACK
            and self.fence() is not None
            and self._current_candidates().has_able_other(self._host)
        ):
            self._work_failures = 0
            await self._give_back()

    async def _give_back(self) -> None:
        self._rests_until_s = self._clock.now() + self._rest_s
        logger.bind(duty=self.name, rest_s=self._rest_s).log(
            DECISION, 'duty given back'
        )
        self._rest_s = min(self._rest_s * 2, MAX_REST_S)
        self.on_change()
        try:
            await self.lease.give_back()
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(duty=self.name, reason=str(error)).info(
                'duty not released'
            )

    def _current_candidates(self) -> DutyCandidates:
        if not self._nodes.is_known:
            return DutyCandidates([], set())
        now = self._clock.now()
        if now - self._ranked_at_s >= RANK_PERIOD_S:
            # Daemons of an older build would leave a duty that they are the
            # candidates for to nobody.
            alive = [n for n in self._nodes.alive() if n.knows_duties]
            unable = {n.host for n in alive if self.name in n.unable_duties()}
            self._candidates = DutyCandidates.choose(
                self.name, [self._host, *(n.host for n in alive)], unable
            )
            self._ranked_at_s = now
        return self._candidates

    def _rank(self) -> int:
        if not self._nodes.is_known:
            # It may be a candidate and looks again soon.
            return 0
        return self._current_candidates().rank(self._host)

    def _may_hold(self) -> bool:
        """Tell whether this daemon may take the duty, or keep it."""
        self._note_holding()
        if not self._nodes.is_known:
            return False
        candidates = self._current_candidates()
        if self.is_unable() and candidates.has_able_other(self._host):
            return False
        # A holder keeps the duty when its rank grows: each move takes time.
        return self.fence() is not None or candidates.includes(self._host)

    def _note_holding(self) -> None:
        held = self.fence() is not None
        if not held:
            self.held_since_s = None
        elif self.held_since_s is None:
            self.held_since_s = self._clock.now()


def _outcome(error: DutyError) -> str:
    for kind, outcome in (
        (DutyUnanswered, UNANSWERED),
        (DutyThrottled, 'throttled'),
        (NoneAvailable, 'none available'),
        (DutyRejected, 'rejected'),
    ):
        if isinstance(error, kind):
            return outcome
    return 'failed'
