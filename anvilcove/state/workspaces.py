"""Workspaces of a configuration and the digests of their keys."""

from collections.abc import Callable, Iterable
from hashlib import blake2b, sha256

from msgspec import Struct, field

# Bytes of the digest of a key. Memory dumps and debuggers show no keys.
DIGEST_BYTES = 16


class Workspace(Struct, frozen=True):
    """Customer of the service.

    `priority` goes before that of the route, None if it has none. `weight` is
    its share of scarce room relative to other workspaces.
    """

    name: str
    priority: int | None = None
    weight: float = 1.0


class WorkspaceKeys(Struct):
    """A workspace and the digests of its keys."""

    workspace: Workspace
    digests: list[bytes] = field(default_factory=list)


class WorkspaceDirectory:
    """Workspaces of one configuration, by name and by key."""

    __slots__ = ('by_name', 'shared_keys', '_by_digest', '_digest')

    def __init__(
        self,
        entries: Iterable[WorkspaceKeys],
        make_digest: Callable[[str], bytes] | None = None,
    ) -> None:
        """Index the workspaces; a key that two of them list opens none.

        `make_digest` makes the digests of the entries, `key_digest` if None.
        """
        self._digest = make_digest or key_digest
        self.by_name: dict[str, Workspace] = {}
        self._by_digest: dict[bytes, Workspace] = {}
        shared: set[bytes] = set()
        for entry in entries:
            workspace = entry.workspace
            self.by_name[workspace.name] = workspace
            for digest in entry.digests:
                known = self._by_digest.setdefault(digest, workspace)
                if known.name != workspace.name:
                    shared.add(digest)
        for digest in shared:
            del self._by_digest[digest]
        # Number of keys that several workspaces list.
        self.shared_keys = len(shared)

    def find(self, key: str) -> Workspace | None:
        """Return the workspace that a key opens, None if it opens none."""
        return self._by_digest.get(self._digest(key)) if key else None


def key_digest(key: str) -> bytes:
    """Return the digest by which a key is stored and looked up."""
    data = key.encode(errors='surrogateescape')
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


def sha256_digest(key: str) -> bytes:
    """Return the digest of a key as class documents have it."""
    return sha256(key.encode(errors='surrogateescape')).digest()
