"""Read settings and class declarations from YAML and validate them."""

import ipaddress
from pathlib import Path
from typing import Any

import yaml
from msgspec import convert, to_builtins

from anvilcove.settings.check import Violation, find_violations, format_value
from anvilcove.settings.classes import (
    ClassDocument,
    find_declaration_violations,
    to_document,
)
from anvilcove.settings.daemon import DaemonSettings
from anvilcove.settings.errors import SettingsError

ROOT = 'document'


def load_settings(path: Path) -> DaemonSettings:
    """Read the settings of a daemon; raise SettingsError if invalid."""
    data = _read(path)
    violations = find_violations(data, DaemonSettings, ROOT)
    violations += _find_invalid_addresses(data)
    if not violations:
        settings = convert(data, type=DaemonSettings)
        violations = _find_invalid_files(settings)
        if not violations:
            return settings
    raise _settings_error(path, violations)


def load_classes(path: Path) -> tuple[dict[str, Any], ClassDocument]:
    """Read class declarations, as plain data and decoded.

    Raise SettingsError if they are invalid.
    """
    data = _read(path)
    violations = find_declaration_violations(data, ROOT)
    if violations:
        raise _settings_error(path, violations)
    return data, to_document(data)


def find_unregistered_names(settings: DaemonSettings) -> list[Violation]:
    """Return the policy variants and adapters that are not registered."""
    # Imported here to avoid an import cycle: the registries import modules
    # that import the settings.
    from anvilcove.decisions.registry import POLICIES
    from anvilcove.ports.registry import ADAPTERS

    policies = to_builtins(settings.policies)
    configured = [
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
        configured.append((f'{ROOT}.platform.{key}', kind, known))
    return [
        Violation(
            where, format_value(found), 'one of ' + ', '.join(sorted(known))
        )
        for where, found, known in configured
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


def _settings_error(path: Path, violations: list[Violation]) -> SettingsError:
    return SettingsError([f'{path}: {violation}' for violation in violations])


def _find_invalid_addresses(data: Any) -> list[Violation]:
    if not isinstance(data, dict):
        return []
    addresses = [
        (f'{ROOT}.{key}', data.get(key))
        for key in ('listen_address', 'advertise_address')
    ]
    platform = data.get('platform')
    if isinstance(platform, dict):
        addresses += [
            (f'{ROOT}.platform.{port}.address', adapter.get('address'))
            for port, adapter in platform.items()
            if isinstance(adapter, dict)
        ]
    return [
        Violation(where, format_value(value), 'ip:port')
        for where, value in addresses
        if isinstance(value, str) and value and not _is_address(value)
    ]


def _is_address(value: str) -> bool:
    ip, _, port = value.rpartition(':')
    try:
        ipaddress.ip_address(ip.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and int(port) < 65_536


def _find_invalid_files(settings: DaemonSettings) -> list[Violation]:
    tls = settings.tls
    violations = [
        Violation(f'{ROOT}.tls.{key}', format_value(value), 'a readable file')
        for key, value in to_builtins(tls).items()
        if value and not Path(value).is_file()
    ]
    if bool(tls.certificate_file) != bool(tls.key_file):
        violations.append(
            Violation(
                f'{ROOT}.tls',
                'only one of certificate_file and key_file',
                'both or none',
            )
        )
    return violations
