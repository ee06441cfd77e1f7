"""Flag that names the collected log files of hosts."""

from absl import flags

FLAGS = flags.FLAGS
flags.DEFINE_multi_string(
    'logs', [], 'Log files of hosts; if there is none, the daemon is queried.'
)


def log_files(arguments: list[str]) -> list[str]:
    """Return the files of the flag and of the arguments."""
    return [*FLAGS.logs, *arguments]
