"""Settings of a soak run."""

from msgspec import Struct, field

SPLITS = 'split routes change'


class SoakSettings(Struct):
    """Seed, duration and size of a run."""

    seed: int
    seconds: float = 10.0
    faults: int = 8
    daemons: int = 4
    engines: int = 3
    servers: int = 3
    # Kinds of faults to draw from; all kinds and series if empty.
    kinds: list[str] = field(default_factory=list)
    # Whether the checks that need a site without faults are made.
    closing: bool = True
    keep_logs: bool = False
    # Engines that start only when the daemons order them.
    spare_engines: int = 0
    # Engines that run at first and may be reclaimed.
    reclaimable_engines: int = 0
    # Callers that read one byte per second.
    slow_readers: int = 0
    # Clients of each crowd; crowds of all kinds follow each other.
    crowd_clients: int = 0
    # Whether a run has each of STEP_KINDS once, beside its other faults.
    step_faults: bool = False
    # Folder of another build, which the daemons run at first.
    build: str = ''

    @property
    def has_splits(self) -> bool:
        """Tell whether routes are split between two services."""
        return self.step_faults or SPLITS in self.kinds

    @property
    def has_workspaces(self) -> bool:
        """Tell whether the site has workspaces, as for every other seed."""
        return self.seed % 2 == 0
