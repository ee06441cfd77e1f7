"""Read settings and declarations from YAML and report every error."""

import ipaddress
from pathlib import Path
from typing import Any

import yaml
from msgspec import convert, to_builtins

from anvilcove.settings.check import Fault, find_faults, show
from anvilcove.settings.classes import (
    ClassDocument,
    declaration_faults,
    to_document,
)
from anvilcove.settings.daemon import DaemonSettings

ROOT = 'document'


class SettingsError(Exception):
    """Raised for a file that is not valid; `lines` has one line per error."""

    def __init__(self, lines: list[str]) -> None:
        """Keep the lines."""
        super().__init__('\n'.join(lines))
        self.lines = lines


def load_settings(path: Path) -> DaemonSettings:
    """Read the settings of a daemon, or raise SettingsError."""
    data = _read(path)
    faults = find_faults(data, DaemonSettings, ROOT)
    faults += _address_faults(data)
    if not faults:
        settings = convert(data, type=DaemonSettings)
        faults = _file_faults(settings)
        if not faults:
            return settings
    raise _error(path, faults)


def load_classes(path: Path) -> tuple[dict[str, Any], ClassDocument]:
    """Read class declarations, or raise SettingsError."""
    data = _read(path)
    faults = declaration_faults(data, ROOT)
    if faults:
        raise _error(path, faults)
    return data, to_document(data)


def registry_faults(settings: DaemonSettings) -> list[Fault]:
    """Return the names that no loaded module registered."""
    # Imported here: the registries import modules that import the settings.
    from anvilcove.decisions.registry import POLICIES
    from anvilcove.ports.registry import ADAPTERS

    policies = to_builtins(settings.policies)
    wanted = [
        (f'{ROOT}.policies.{topic}', variant, list(POLICIES[topic]))
        for topic, variant in policies.items()
        if topic in POLICIES
    ]
    platform = to_builtins(settings.platform)
    kinds = {
        'engine': platform.pop('engine_kind'),
        'service': platform.pop('service_kind'),
    } | {port: adapter['kind'] for port, adapter in platform.items()}
    for port, kind in kinds.items():
        known = [k for p, k in ADAPTERS if p == port]
        key = f'{port}_kind' if port not in platform else f'{port}.kind'
        wanted.append((f'{ROOT}.platform.{key}', kind, known))
    return [
        Fault(where, show(found), 'one of ' + ', '.join(sorted(known)))
        for where, found, known in wanted
        if found not in known
    ]


def _read(path: Path) -> Any:
    try:
        return yaml.safe_load(path.read_text())
    except yaml.YAMLError as error:
        mark = getattr(error, 'problem_mark', None)
        where = f'line {mark.line + 1}' if mark else ROOT
        problem = getattr(error, 'problem', None) or 'invalid text'
        raise SettingsError(
            [f'{path}: {where}: found {problem}, allowed: YAML']
        ) from error
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            [f'{path}: {ROOT}: found {error}, allowed: a readable file']
        ) from error


def _error(path: Path, faults: list[Fault]) -> SettingsError:
    return SettingsError([f'{path}: {fault}' for fault in faults])


def _address_faults(data: Any) -> list[Fault]:
    if not isinstance(data, dict):
        return []
    named = [
        (f'{ROOT}.{key}', data.get(key))
        for key in ('listen_address', 'advertise_address')
    ]
    platform = data.get('platform')
    if isinstance(platform, dict):
        named += [
            (f'{ROOT}.platform.{port}.address', adapter.get('address'))
            for port, adapter in platform.items()
            if isinstance(adapter, dict)
        ]
    return [
        Fault(where, show(value), 'ip:port')
        for where, value in named
        if isinstance(value, str) and value and not _is_address(value)
    ]


def _is_address(value: str) -> bool:
    ip, _, port = value.rpartition(':')
    try:
        ipaddress.ip_address(ip.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and int(port) < 65_536


def _file_faults(settings: DaemonSettings) -> list[Fault]:
    tls = settings.tls
    faults = [
        Fault(f'{ROOT}.tls.{key}', show(value), 'a readable file')
        for key, value in to_builtins(tls).items()
        if value and not Path(value).is_file()
    ]
    if bool(tls.certificate_file) != bool(tls.key_file):
        faults.append(
            Fault(
                f'{ROOT}.tls',
                'only one of certificate_file and key_file',
                'both or none',
            )
        )
    return faults
