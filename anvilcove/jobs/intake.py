"""Accept batch jobs and see that a daemon begins them."""

import random
import secrets
from collections.abc import Callable

from loguru import logger
from msgspec.structs import replace

from anvilcove.control.nodes import NodeDirectory, NodeRow
from anvilcove.control.watch import TableWatch
from anvilcove.jobs.board import JobBoard
from anvilcove.jobs.owner import JobOwner
from anvilcove.jobs.records import CommitConflict, JobRecords
from anvilcove.jobs.types import Commit, HeldJob, JobHead, JobSpec
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.settings.node import NodeSettings
from anvilcove.state.clock import Clock
from anvilcove.telemetry.logs import DECISION
from anvilcove.telemetry.metrics import NodeMetrics

# A job that its owner has not begun after this time is given to another
# daemon.
BEGIN_S = 0.8


class NotAccepted(Exception):
    """Raised when a job was not accepted; `uncertain` if it may be later."""

    def __init__(self, reason: str, uncertain: bool) -> None:
        """Keep whether a write may still be applied."""
        super().__init__(reason)
        self.uncertain = uncertain


class JobIntake:
    """Keep submissions for good and choose who runs them."""

    __slots__ = (
        '_settings',
        '_nonce',
        '_records',
        '_board',
        '_watch',
        '_nodes',
        '_owner',
        '_metrics',
        '_clock',
        '_rng',
        '_gives_orders',
    )

    def __init__(
        self,
        settings: NodeSettings,
        nonce: str,
        records: JobRecords,
        board: JobBoard,
        watch: TableWatch,
        nodes: NodeDirectory,
        owner: JobOwner,
        metrics: NodeMetrics,
        clock: Clock,
        rng: random.Random,
        gives_orders: Callable[[], bool],
    ) -> None:
        """Accept nothing yet; `owner` runs the jobs of this daemon."""
        self._settings = settings
        self._nonce = nonce
        self._records = records
        self._board = board
        self._watch = watch
        self._nodes = nodes
        self._owner = owner
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._gives_orders = gives_orders

    async def accept(self, spec: JobSpec, end_s: float) -> None:
        """Keep a job for good and run it, or raise NotAccepted."""
        owner, nonce = self._home()
        head = JobHead(
            job_id=spec.job_id,
            owner=owner,
            nonce=nonce,
            beat=0,
            commit_id=secrets.token_hex(8),
            listed=0,
            total=len(spec.items),
            submitted_ms=self._watch.store_now_ms(),
            host=spec.host,
            path=spec.path,
            model=spec.model,
            tokens=sum(item.tokens for item in spec.items),
        )
        # The watch may deliver the row before the store's answer arrives.
        fresh = spec.job_id not in self._owner.taking
        self._owner.taking.add(spec.job_id)
        try:
            held = await self._create(spec, head, end_s)
        finally:
            if fresh:
                self._owner.taking.discard(spec.job_id)
        self._board.adopt(held)
        own = held.head.commit_id == head.commit_id
        logger.bind(
            job=spec.job_id,
            step=spec.step,
            model=spec.model,
            min_version=spec.min_version,
            items=len(spec.items),
            first=own,
            owner=held.head.owner,
        ).log(DECISION, 'job accepted')
        self._metrics.job_event('accepted' if own else 'repeated')
        if (
            own
            and nonce == self._nonce
            and spec.job_id not in self._owner.runs
        ):
            self._owner.begin(spec, held, [], {})
        elif own:
            self._owner.spawn(self._guard(held))

    def _home(self) -> tuple[str, str]:
        """Return host and nonce of the daemon that should run a new job."""
        if self._gives_orders() and not self._owner.closing:
            return self._settings.host, self._nonce
        home = self._nodes.home() or self._nodes.stand_in(
            own=not self._owner.closing
        )
        if home is not None:
            return home.host, home.nonce
        if self._owner.closing:
            return '', ''
        return self._settings.host, self._nonce

    async def _guard(self, held: HeldJob) -> None:
        """Give a job to another daemon if its owner does not begin."""
        job_id = held.head.job_id
        end_s = self._clock.now() + BEGIN_S
        while self._clock.now() < end_s:
            await self._board.changed(job_id, end_s - self._clock.now())
            current = self._board.by_id.get(job_id)
            if current is None or current.version != held.version:
                return
        if self._owner.closing or job_id in self._board.ended:
            return
        other = self._nodes.stand_in(lost=held.head.owner)
        if other is None:
            await self._owner.take_over(held, 'its home did not begin')
        else:
            await self._give(held, other)

    async def _give(self, held: HeldJob, other: NodeRow) -> None:
        """Make another daemon the owner of a job that nobody has begun."""
        head = replace(
            held.head,
            owner=other.host,
            nonce=other.nonce,
            commit_id=secrets.token_hex(8),
        )
        try:
            self._board.adopt(await self._records.commit(held, Commit(head)))
        except CommitConflict as conflict:
            if conflict.current is not None:
                self._board.adopt(conflict.current)
            return
        except (StoreUnavailable, StoreAnswerLost) as error:
            # The job stands still, so it will be taken over.
            logger.bind(job=head.job_id, reason=str(error)).info(
                'job not given to another daemon'
            )
            return
        logger.bind(
            job=head.job_id, owner=other.host, former=held.head.owner
        ).log(DECISION, 'job given to another daemon: its home did not begin')

    async def _create(
        self, spec: JobSpec, head: JobHead, end_s: float
    ) -> HeldJob:
        uncertain = False
        while True:
            try:
                return await self._records.create(spec, head)
            except StoreUnavailable as error:
                reason = str(error)
            except StoreAnswerLost as error:
                uncertain = True
                reason = str(error)
            if self._clock.now() >= end_s:
                raise NotAccepted(reason, uncertain)
            await self._clock.sleep(self._rng.uniform(0.05, 0.15))
