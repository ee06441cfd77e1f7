"""Workspaces of a soak run and the keys that come and go."""

import random
from zlib import crc32

from msgspec import Struct, field

from anvilcove.platform.standin_wire import WorkspaceSpec, key_headers

NAMES = ('acme', 'globex', 'initech')


class KeyPeriod(Struct):
    """A key, its workspace, and when the store took it in and lost it."""

    key: str
    workspace: str
    added_s: float
    removed_s: float = float('inf')


class KeyRing:
    """Keys of the workspaces; each has a lasting one and one that changes."""

    def __init__(self, rng: random.Random) -> None:
        """Create the keys of a run."""
        self._rng = rng
        self._lasting = {name: self._new_key() for name in NAMES}
        self.changing = {
            name: KeyPeriod(self._new_key(), name, 0.0) for name in NAMES
        }
        self.removed: list[KeyPeriod] = []

    def specs(self) -> list[WorkspaceSpec]:
        """Return the workspaces as the next desired state has them."""
        return [
            WorkspaceSpec(name, [self._lasting[name], self.changing[name].key])
            for name in NAMES
        ]

    def change_one(self, now_s: float) -> None:
        """Take one key away; its workspace gets another."""
        name = self._rng.choice(NAMES)
        old = self.changing[name]
        old.removed_s = now_s
        self.removed.append(old)
        self.changing[name] = KeyPeriod(self._new_key(), name, now_s)

    def choose(self) -> KeyPeriod:
        """Return a key that changes, or one that was taken away."""
        if self.removed and self._rng.random() < 0.5:
            return self._rng.choice(self.removed[-4:])
        return self.changing[self._rng.choice(NAMES)]

    def headers(self, request_id: str) -> dict[str, str]:
        """Return the headers with the lasting key of a request or job."""
        return key_headers(self._lasting[workspace_of(request_id)])

    def _new_key(self) -> str:
        return f'sk-{self._rng.getrandbits(128):032x}'


class KeyedCall(Struct):
    """A call with a key that changes or was taken away."""

    request_id: str
    period: KeyPeriod
    sent_s: float
    answered_s: float = float('inf')
    status: int = 0


class KeyedCalls(Struct):
    """Calls with such keys, by request id."""

    by_id: dict[str, KeyedCall] = field(default_factory=dict)


def workspace_of(request_id: str) -> str:
    """Return the workspace that sends a request or owns a job."""
    return NAMES[crc32(request_id.encode()) % len(NAMES)]
