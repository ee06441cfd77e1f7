"""Stop a daemon gracefully."""

from anvilcove.cli.operator import CallError, call, report
from anvilcove.cli.registry import program


@program(
    'drain', 'Stop a daemon gracefully: anvilcove drain --address=IP:PORT'
)
def drain(arguments: list[str]) -> int:
    """Start the graceful shutdown of the daemon at --address."""
    try:
        call('POST', '/v1/drain', {'reason': 'asked by an operator'})
    except CallError as error:
        return report(error)
    print('draining')
    return 0
