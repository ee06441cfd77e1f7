"""Entry point of the `anvilcove` command."""

import faulthandler
import gc
import logging
import sys
from importlib import import_module
from importlib.util import find_spec
from types import ModuleType
from typing import NoReturn

from absl.command_name import make_process_name_useful

from anvilcove.cli.registry import HELP_BY_NAME, PROGRAMS

# Only the module of the selected program is imported, which keeps a daemon
# below its memory budget.
MODULE_BY_PROGRAM = {
    'serve': 'anvilcove.cli.serve',
    'node': 'anvilcove.cli.node',
    'classes': 'anvilcove.cli.classes',
    'call': 'anvilcove.cli.call',
    'status': 'anvilcove.cli.status',
    'drain': 'anvilcove.cli.drain',
    'explain': 'anvilcove.cli.explain',
    'settings': 'anvilcove.cli.settings',
    'standin': 'anvilcove.cli.standin',
    'demo': 'anvilcove.cli.demo',
    'replay': 'anvilcove.cli.replay',
    'report': 'anvilcove.cli.report',
    'bench': 'anvilcove.cli.bench',
    'soak': 'anvilcove.cli.soak',
}

# Programs without flags of their own. Unless they get arguments, they run
# without the parser of flags, which takes 3 MB with its debugger and XML.
PROGRAMS_WITHOUT_FLAGS = ('node',)

# Modules that a program does without. Their importers treat them as optional,
# as Python can be built without OpenSSL. A node daemon speaks plain HTTP on
# the platform's network and hashes with the built-in functions; OpenSSL and
# its list of certificate authorities would take 7.6 MB.
UNUSED_BY_MODULE = {'anvilcove.cli.node': ('ssl', '_hashlib')}
# Modules that `hashlib` needs without OpenSSL; some builds of Python have not
# all of them.
BUILT_IN_HASHES = ('_md5', '_sha1', '_sha256', '_sha512', '_sha3', '_blake2')


def usage() -> str:
    """Return the usage text with the names of all programs."""
    names = '\n'.join(f'  {name}' for name in MODULE_BY_PROGRAM)
    return f'usage: anvilcove PROGRAM [ARGUMENTS] [--help]\n{names}'


def register_help_flags(module: str) -> None:
    """Make --help list the flags of a program and the operator flags."""
    from absl import flags

    for name in (module, 'anvilcove.cli.operator'):
        for flag in flags.FLAGS.get_flags_for_module(name):
            flags.FLAGS.register_key_flag_for_module(sys.argv[0], flag)


def leave_out(modules: tuple[str, ...]) -> None:
    """Make imports of modules fail that have not been imported yet.

    None in `sys.modules` is the import system's way to say that a module is
    absent.
    """
    known: dict[str, ModuleType | None] = sys.modules  # type: ignore
    for module in modules:
        known.setdefault(module, None)


def import_program(module: str) -> None:
    """Import a module without runs of the garbage collector.

    What it creates lives as long as the process, so that the collector need
    not look at it again.
    """
    if module in UNUSED_BY_MODULE and all(map(find_spec, BUILT_IN_HASHES)):
        leave_out(UNUSED_BY_MODULE[module])
    gc.disable()
    import_module(module)
    gc.freeze()
    gc.enable()


def run() -> None:
    """Run the program that the command line names."""
    if len(sys.argv) < 2 or sys.argv[1] not in MODULE_BY_PROGRAM:
        help_requested = len(sys.argv) == 2 and sys.argv[1] in (
            '--help',
            'help',
        )
        print(usage(), file=sys.stdout if help_requested else sys.stderr)
        sys.exit(0 if help_requested else 2)
    name = sys.argv.pop(1)
    module = MODULE_BY_PROGRAM[name]
    import_program(module)
    if name in PROGRAMS_WITHOUT_FLAGS and len(sys.argv) == 1:
        run_without_flags(name)
    run_with_flags(name, module)


def run_without_flags(name: str) -> NoReturn:
    """Run a program as `absl.app` does, without parsing flags."""
    make_process_name_useful()
    # Libraries that log in the standard way reach standard error.
    logging.basicConfig(
        level=logging.INFO,
        format='%(levelname).1s %(asctime)s %(name)s] %(message)s',
    )
    faulthandler.enable()
    sys.exit(PROGRAMS[name]([]))


def run_with_flags(name: str, module: str) -> None:
    """Run a program after its flags have been parsed."""
    from absl import app, flags

    register_help_flags(module)
    flags.FLAGS.set_gnu_getopt(True)
    sys.modules['__main__'].__doc__ = HELP_BY_NAME[name]

    def call(arguments: list[str]) -> int:
        return PROGRAMS[name](arguments[1:])

    app.run(call)
