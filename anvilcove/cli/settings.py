"""List the keys of daemon settings and class declarations."""

import sys

from anvilcove.cli.registry import program
from anvilcove.settings.classes import ClassDocument
from anvilcove.settings.daemon import DaemonSettings
from anvilcove.settings.explain import explain
from anvilcove.settings.node import DutySettings, HostLimits, NodeBounds


@program('settings', 'List every settings key: anvilcove settings explain')
def settings(arguments: list[str]) -> int:
    """Print every key with its allowed values, unit, default and meaning."""
    if arguments != ['explain']:
        print('usage: anvilcove settings explain', file=sys.stderr)
        return 2
    print('# settings of an entry daemon')
    print('\n'.join(explain(DaemonSettings)))
    print(
        '\n# bounds, limits and interface for duties, written by the platform'
    )
    print('\n'.join(explain(NodeBounds)))
    print('\n'.join(explain(HostLimits)))
    print('\n'.join(explain(DutySettings)))
    print('\n# class declarations')
    print('\n'.join(explain(ClassDocument)))
    return 0
