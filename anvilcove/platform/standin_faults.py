"""Fault switches and harmful contents of the stand-in of a server."""

import asyncio
import contextlib
import hashlib
import socket
import struct

from anvilcove.platform.names import (
    ATTEMPT_ID,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_STAMP,
)

# Prefixes of the last segment of a path that select what its content does.
CRASHING = 'crash-'
EARLY_CRASHES = 'early-crash-'
FAILING = 'fail-'
REJECTED = 'reject-'
ABORTING = 'abort-'
LATE_ABORTING = 'late-abort-'
MALFORMED = 'malformed-'
REFUSED = 'refused-'
STALLING = 'stall-'
# Contents that fail each of their runs, on any server.
FAILING_CONTENTS = (
    FAILING,
    ABORTING,
    LATE_ABORTING,
    MALFORMED,
    REFUSED,
    STALLING,
)
MARKERS = (CRASHING, EARLY_CRASHES, REJECTED, *FAILING_CONTENTS)
# Events behind which a run aborts late.
LATE_ABORT_EVENTS = 3
# Prefix of the last segment of the path of a plain request that takes longer,
# and its time.
LASTING = 'lasting-'
LASTING_S = 1.6
# Prefix of the last segment of the path of a stream with large events.
LONG = 'long-'
LONG_EVENT = 'x' * 65_536
# Prefix of the last segment of the path of a request whose answer is large and
# sent at once: its size, or its number of large events.
LARGE = 'large-'
LARGE_BYTES = 4 << 20
LARGE_EVENTS = LARGE_BYTES // len(LONG_EVENT)
# Number of servers that crash under a content of early crashes; it is sound
# after that.
EARLY_CRASH_COUNT = 4
# Ids that a late second response carries: that of the request which it
# repeats, that of an earlier one, or none.
SAME_ID, OTHER_ID, NO_ID = 'same', 'other', 'none'
# Time that a failing content runs.
FAILURE_TIME_S = 0.3
# Time that a run goes on after the fault has broken its connection.
UNSEEN_RUN_S = 0.6
MAX_LATENESS_S = 0.3
# Closing a socket with this option resets the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class ServerFaults:
    """Fault switches of one server, set by tests and the soak."""

    def __init__(self) -> None:
        """Create the switches with all faults off."""
        # Requests start to run but get no response.
        self.silent = False
        # Plain servers run requests and respond with status 500.
        self.failing = False
        # Share of the runs that fail, and the marker of contents that fail
        # the same way.
        self.failing_share = 0.0
        self.failing_as = ''
        self._runs = 0
        # Requests are rejected with status 503 and do not run.
        self.refusing = False
        # Connections break while their request runs.
        self.breaking = False
        # Connections break halfway through the body of a response.
        self.cutting = False
        # Reused connections are closed as soon as a request arrives.
        self.drops_idle = False
        # Time that a plain server takes for a request.
        self.work_s = 0.02
        # Number of the event after which streams break off, None for never.
        self.break_after: int | None = None
        # Number of the event behind which streams end as complete with the
        # first bytes of the next one, None for never.
        self.stop_after: int | None = None
        self.stop_bytes = 1
        # All responses say that the server is leaving; its row does not.
        self.leaving = False
        # Requests per second that all responses name as a limit, 0 for none.
        self.limit_per_s = 0.0
        # Number of bytes of an answer after which connections close, 0 for
        # never.
        self.head_bytes = 0
        # Status of the answers to a share of the resumptions of a stream or an
        # item, 0 for sound ones.
        self.resumption_status = 0
        self.resumption_share = 0.0
        # Prefixes of paths whose requests run without an answer.
        self.silent_prefixes: tuple[str, ...] = ()
        # Part of an answer that is sent without end, '' for none.
        self.endless = ''
        # Status of all answers to requests, three digits, '' for sound ones.
        self.odd_status = ''
        # Id of a second response that follows each response, '' for none.
        self.late_id = ''
        # Connections are reset after the last byte of a response.
        self.resets_after = False
        # Time after which connections of plain servers break while their
        # request runs on and is refused when it is repeated; 0 for never.
        self.break_after_s = 0.0

    def next_marker(self) -> str:
        """Return how the next run fails, '' for a sound one."""
        before = int(self._runs * self.failing_share)
        self._runs += 1
        strikes = int(self._runs * self.failing_share) > before
        return self.failing_as if strikes else ''


def report_headers(faults: ServerFaults) -> dict[str, str]:
    """Return the headers in which a server reports about itself."""
    headers = {}
    if faults.leaving:
        headers[SERVER_LEAVING] = '1'
    if faults.limit_per_s:
        headers[SERVER_LIMIT] = f'{faults.limit_per_s:.2f}'
    return headers


def content_marker(path: str) -> str:
    """Return the marker of a harmful content, '' for an ordinary one."""
    name = path.rpartition('/')[2]
    for marker in MARKERS:
        if name.startswith(marker):
            return marker
    return ''


def late_response(
    kind: str, instance: str, attempt: str, digest: str, other: str
) -> bytes:
    """Return the bytes of a second response to `attempt`."""
    request_id = other if kind == OTHER_ID else attempt
    body = f'{request_id}:{digest}'
    lines = [
        'HTTP/1.1 200 OK',
        f'{SERVER_STAMP}: {instance}.{request_id}',
        f'Content-Length: {len(body)}',
    ]
    if kind != NO_ID:
        lines.append(f'{ATTEMPT_ID}: {request_id}')
    return '\r\n'.join([*lines, '', body]).encode()


def is_chosen(attempt: str, after: str, share: float) -> bool:
    """Tell whether a resumption is among the share that fails."""
    digest = hashlib.sha256(f'{attempt}/{after}'.encode()).digest()
    return digest[2] < share * 256


def lateness_s(attempt: str) -> float:
    """Return the delay of a second response, derived from its request."""
    share = hashlib.sha256(attempt.encode()).digest()[1] / 255
    return 0.005 + share * MAX_LATENESS_S


def reset_connection(transport: asyncio.BaseTransport) -> None:
    """Reset a connection instead of closing it in the ordinary way."""
    opened = transport.get_extra_info('socket')
    if opened is not None:
        with contextlib.suppress(OSError):
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()
