"""Choose the daemon that runs a new batch job."""

from collections.abc import Callable

from loguru import logger
from msgspec import UnsetType

from anvilcove.control.node_rows import NodeRow
from anvilcove.control.nodes import NodeDirectory
from anvilcove.jobs.board import JobsView
from anvilcove.jobs.job_memory import PART_BYTES, job_bytes
from anvilcove.jobs.owner import JobOwner
from anvilcove.jobs.types import JobHead
from anvilcove.telemetry.logs import DECISION


class NoOwner(Exception):
    """Raised when no daemon has memory for a job."""


class OwnerChoice:
    """Choice of the owner of new jobs, by their memory.

    Other daemons announce how much their jobs may take; what they take is
    known from the rows of the jobs.
    """

    __slots__ = (
        '_host',
        '_nonce',
        '_jobs_view',
        '_nodes',
        '_owner',
        '_holds_orders_lease',
        '_undecided',
    )

    def __init__(
        self,
        host: str,
        nonce: str,
        jobs_view: JobsView,
        nodes: NodeDirectory,
        owner: JobOwner,
        holds_orders_lease: Callable[[], bool],
    ) -> None:
        """Choose between this daemon, whose jobs `owner` runs, and others."""
        self._host = host
        self._nonce = nonce
        self._jobs_view = jobs_view
        self._nodes = nodes
        self._owner = owner
        self._holds_orders_lease = holds_orders_lease
        # Jobs that are being stored for other hosts, with their memory.
        self._undecided: dict[str, tuple[str, int]] = {}

    def choose(self, job_id: str, needed: int) -> tuple[str, str]:
        """Return host and nonce of the daemon to run a new job.

        This is the daemon that holds the orders lease or, if none is known or
        its memory is taken, a substitute. Both are empty if only this daemon,
        which is stopping, is left. If it is this daemon, the memory is held
        from now on; `decided` must be called. Raises NoOwner.
        """
        closing = self._owner.closing
        if self._holds_orders_lease() and not closing:
            preferred = None
        else:
            preferred = self._nodes.default_owner() or (
                self._nodes.substitute_owner(include_self=not closing)
            )
            if preferred is None and closing:
                return '', ''
        if preferred is not None and self._has_room(preferred, needed):
            return self._assign(job_id, preferred, needed)
        if not closing and self._owner.hold_memory(job_id, needed):
            return self._host, self._nonce
        other = self._with_most_room(needed, excluded_host='')
        if other is None:
            logger.bind(
                job=job_id, memory=needed, held=self._owner.held_bytes()
            ).log(DECISION, 'job refused: no host has memory for it')
            self._owner.count_refusal()
            raise NoOwner(f'no host has {needed} B for the job')
        logger.bind(job=job_id, memory=needed, owner=other.host).log(
            DECISION, 'job assigned to a host that has memory for it'
        )
        return self._assign(job_id, other, needed)

    def decided(self, job_id: str) -> None:
        """Note that a job is stored, or is not."""
        self._undecided.pop(job_id, None)

    def substitute(self, head: JobHead) -> NodeRow | None:
        """Return a substitute for an owner that has not started a job.

        None stands for this daemon.
        """
        substitute = self._nodes.substitute_owner(excluded_host=head.owner)
        needed = job_bytes(head)
        if substitute is None or self._has_room(substitute, needed):
            return substitute
        if self._owner.fits_memory(needed):
            return None
        return self._with_most_room(needed, head.owner) or substitute

    def _assign(
        self, job_id: str, node: NodeRow, needed: int
    ) -> tuple[str, str]:
        self._undecided[job_id] = (node.host, needed)
        return node.host, node.nonce

    def _has_room(self, node: NodeRow, needed: int) -> bool:
        return needed <= self._free_bytes(node)

    def _free_bytes(self, node: NodeRow) -> float:
        """Return the memory that a daemon has for jobs, as far as known."""
        if isinstance(node.job_memory, UnsetType):
            # An earlier build, which can't run a job that is stored in parts,
            # or a host whose memory is not known.
            return PART_BYTES
        taken = self._jobs_view.memory_of(node.host)
        taken += sum(
            size
            for job_id, (host, size) in self._undecided.items()
            if host == node.host and job_id not in self._jobs_view.by_id
        )
        return node.job_memory - taken

    def _with_most_room(
        self, needed: int, excluded_host: str
    ) -> NodeRow | None:
        nodes = [
            node
            for node in self._nodes.alive()
            if node.host != excluded_host and self._has_room(node, needed)
        ]
        return max(nodes, key=self._free_bytes, default=None)
