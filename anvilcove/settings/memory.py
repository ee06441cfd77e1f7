"""Memory that a host may hold for its clients and jobs."""

MIB = 1 << 20
# Share of the memory of the host, and the size where that is unknown.
HELD_SHARE = 0.25
DEFAULT_HELD_MB = 64
# Share of the bound for clients that bodies with room of their own take.
RESERVED_SHARE = 0.5
# Share of the memory of the host that its batch jobs take, and the size of a
# host whose memory is unknown.
JOB_SHARE = 0.25
DEFAULT_MEMORY_MB = 256
# Memory of a process without clients and jobs, with its caches.
PROCESS_MB = 52


def held_bound_bytes(memory_mb: float, held_mb: float = 0.0) -> int:
    """Return the bytes that may be held, `held_mb` unless it is 0."""
    return int((held_mb or memory_mb * HELD_SHARE or DEFAULT_HELD_MB) * MIB)


def job_bound_bytes(memory_mb: float, jobs_mb: float = 0.0) -> int:
    """Return the bytes that jobs may take, `jobs_mb` unless it is 0."""
    return int((jobs_mb or (memory_mb or DEFAULT_MEMORY_MB) * JOB_SHARE) * MIB)


def room_bytes(
    memory_mb: float, job_bytes: int, body_bytes: int, answer_bytes: int
) -> int:
    """Return the bytes that bodies, documents and jobs take together.

    It is what the process, its clients and the answers that arrive leave,
    and at least what bodies and jobs may take by themselves.
    """
    memory_bytes = int((memory_mb or DEFAULT_MEMORY_MB) * MIB)
    left = memory_bytes - PROCESS_MB * MIB - body_bytes - answer_bytes
    return max(left, body_bytes + job_bytes)
