"""Registry of the endpoints that have announced themselves."""

from collections import OrderedDict
from collections.abc import Callable

from loguru import logger
from msgspec import Struct, field
from msgspec.structs import replace

from anvilcove.messages.membership import (
    ENGINE,
    LEAVING,
    LIVE,
    SERVICE,
    EndpointMember,
)
from anvilcove.state.endpoints import EndpointView

# Rows that expired during a store outage are written again within about 2 s
# of its end if their endpoints are alive.
REANNOUNCE_GRACE_S = 2.0
MAX_REMEMBERED_ENDPOINTS = 1_000
# A stream may have begun at a software version that was last listed this long
# ago.
SOFTWARE_MEMORY_S = 60.0


class EndpointEntry(Struct):
    """Announcement of an endpoint.

    `instance` identifies it in requests. A restart may keep that identifier,
    so `started_ms` tells the processes apart.
    """

    instance: str
    started_ms: int
    service: str
    address: str
    data_centre: str
    draining: bool
    slots: int
    version_by_model: dict[str, int] = field(default_factory=dict)
    # Version of its software, '' if it names none.
    software: str = ''
    # Whether it may be reclaimed together with the others of its data centre.
    reclaimable: bool = False
    # Time until it leaves, as announced in its row; None if not announced.
    leaves_s: float | None = None

    @property
    def endpoint(self) -> str:
        """Return an identifier that changes with each restart."""
        return f'{self.instance}/{self.started_ms}'


class EndpointRegistry:
    """Announced endpoints, and the view of them that routing uses."""

    __slots__ = (
        'view',
        'entry_by_endpoint',
        '_entry_by_row',
        '_missing_until_s',
        '_left_by_answer',
        '_software_seen_at_s',
        'on_new_software',
    )

    def __init__(self) -> None:
        """Start without endpoints."""
        self.view = EndpointView()
        self.entry_by_endpoint: dict[str, EndpointEntry] = {}
        self._entry_by_row: dict[str, EndpointEntry] = {}
        self._missing_until_s: dict[str, float] = {}
        # Starts of endpoints that said in an answer that they are leaving.
        self._left_by_answer: OrderedDict[str, None] = OrderedDict()
        # When each software version was last listed, by service.
        self._software_seen_at_s: dict[str, dict[str, float]] = {}
        # Called with a service in which a further software version serves.
        self.on_new_software: Callable[[str], None] = lambda service: None

    def replace_all(
        self,
        entry_by_row: dict[str, EndpointEntry],
        now: float,
        keep_missing: bool,
    ) -> None:
        """Replace all entries with the rows of a full table read.

        With `keep_missing`, entries that are absent stay for
        REANNOUNCE_GRACE_S.
        """
        for row in list(self._entry_by_row):
            if row not in entry_by_row:
                self._remove_entry(row, now, keep_missing)
        for row, entry in entry_by_row.items():
            self._set_entry(row, entry)
        self._publish(now)

    def apply_changes(
        self,
        entry_by_row: dict[str, EndpointEntry | None],
        now: float,
        keep_missing: bool,
    ) -> None:
        """Apply changed entries, where None stands for a deleted row.

        With `keep_missing`, deleted entries stay for REANNOUNCE_GRACE_S.
        """
        # Most changes are heartbeats, which change nothing that is read here.
        changed = {
            row: entry
            for row, entry in entry_by_row.items()
            if entry != self._entry_by_row.get(row)
            or row in self._missing_until_s
        }
        for row, entry in changed.items():
            if entry is None:
                self._remove_entry(row, now, keep_missing)
            else:
                self._set_entry(row, entry)
        if changed:
            self._publish(now)

    def expire(self, now: float) -> None:
        """Remove missing entries whose grace period is over."""
        expired = [
            r for r, until in self._missing_until_s.items() if until < now
        ]
        for row in expired:
            self._remove_entry(row, now, keep_missing=False)
        if expired:
            self._publish(now)

    def version_of(self, endpoint: str, model: str) -> int:
        """Return the announced version of a model, 0 if there is none."""
        entry = self.entry_by_endpoint.get(endpoint)
        return entry.version_by_model.get(model, 0) if entry else 0

    def mark_leaving(self, endpoint: str) -> bool:
        """Record that a start of an endpoint said that it is leaving.

        Its row may say something else, be missing, or come back. Return
        whether this was not known yet.
        """
        if endpoint in self._left_by_answer:
            return False
        self._left_by_answer[endpoint] = None
        if len(self._left_by_answer) > MAX_REMEMBERED_ENDPOINTS:
            self._left_by_answer.popitem(last=False)
        entry = self.entry_by_endpoint.get(endpoint)
        if entry is None or entry.draining:
            return False
        self.entry_by_endpoint[endpoint] = replace(entry, draining=True)
        return self.view.mark_leaving(endpoint)

    def left_by_answer(self, endpoint: str) -> bool:
        """Tell whether an endpoint has said in an answer that it leaves."""
        return endpoint in self._left_by_answer

    def recent_software(self, service: str, now: float) -> set[str]:
        """Return the software versions that serve or served until lately."""
        seen_at_s = self._software_seen_at_s.get(service, {})
        listed = {
            entry.software
            for entry in self.entry_by_endpoint.values()
            if entry.service == service
        }
        return listed | {
            software
            for software, at_s in seen_at_s.items()
            if now - at_s <= SOFTWARE_MEMORY_S
        }

    def _record_software(self, now: float) -> None:
        grown = set()
        for entry in self.entry_by_endpoint.values():
            seen_at_s = self._software_seen_at_s.setdefault(entry.service, {})
            if entry.software not in seen_at_s and seen_at_s:
                grown.add(entry.service)
            seen_at_s[entry.software] = now
        for seen_at_s in self._software_seen_at_s.values():
            for software, at_s in list(seen_at_s.items()):
                if now - at_s > SOFTWARE_MEMORY_S:
                    del seen_at_s[software]
        for service in grown:
            self.on_new_software(service)

    def _set_entry(self, row: str, entry: EndpointEntry) -> None:
        self._missing_until_s.pop(row, None)
        self._entry_by_row[row] = entry

    def _remove_entry(self, row: str, now: float, keep_missing: bool) -> None:
        if keep_missing and row in self._entry_by_row:
            self._missing_until_s.setdefault(row, now + REANNOUNCE_GRACE_S)
            return
        self._missing_until_s.pop(row, None)
        self._entry_by_row.pop(row, None)

    def _publish(self, now: float) -> None:
        known = self.entry_by_endpoint
        # The time until which those that are removed now were listed.
        self._record_software(now)
        self.entry_by_endpoint = {
            entry.endpoint: replace(entry, draining=True)
            if entry.endpoint in self._left_by_answer
            else entry
            for entry in self._entry_by_row.values()
        }
        self.view.update(
            [to_member(e) for e in self.entry_by_endpoint.values()], now
        )
        self._record_software(now)
        for endpoint, entry in self.entry_by_endpoint.items():
            if endpoint not in known:
                logger.bind(
                    endpoint=endpoint,
                    service=entry.service,
                    address=entry.address,
                    software=entry.software,
                ).info('endpoint listed')


def to_member(entry: EndpointEntry) -> EndpointMember:
    """Convert an entry to the form that the decision policies use."""
    return EndpointMember(
        endpoint=entry.endpoint,
        address=entry.address,
        data_centre=entry.data_centre,
        pool=entry.service,
        kind=ENGINE if entry.version_by_model else SERVICE,
        state=LEAVING if entry.draining else LIVE,
        software=entry.software,
    )
