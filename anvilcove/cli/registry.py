"""Registry of the command-line programs."""

from collections.abc import Callable

Program = Callable[[list[str]], int]
PROGRAMS: dict[str, Program] = {}
HELP_BY_NAME: dict[str, str] = {}


def program(name: str, summary: str) -> Callable[[Program], Program]:
    """Register a function that maps arguments to an exit status."""

    def register(function: Program) -> Program:
        PROGRAMS[name] = function
        HELP_BY_NAME[name] = summary
        return function

    return register
