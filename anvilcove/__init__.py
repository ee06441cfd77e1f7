"""Rollout service for reinforcement learning."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from anvilcove.client.caller import Answer, Client
    from anvilcove.client.errors import (
        CallError,
        FailedError,
        InvalidRequestError,
        NotRunError,
        UnknownOutcomeError,
    )
    from anvilcove.client.keys import ApiKey, read_key
    from anvilcove.client.settings import ClientSettings
    from anvilcove.client.trainer import (
        StepConsumedError,
        Trainer,
        TrainerBatch,
        TrainerError,
        TrainerSettings,
    )
    from anvilcove.messages.trainers import GroupSpec

__all__ = [
    'Answer',
    'ApiKey',
    'CallError',
    'Client',
    'ClientSettings',
    'FailedError',
    'GroupSpec',
    'InvalidRequestError',
    'NotRunError',
    'StepConsumedError',
    'Trainer',
    'TrainerBatch',
    'TrainerError',
    'TrainerSettings',
    'UnknownOutcomeError',
    'read_key',
]

__version__ = '0.1.0'

# The client library is imported at its first use: daemons do without it.
_MODULE_BY_NAME = {
    'Answer': 'anvilcove.client.caller',
    'ApiKey': 'anvilcove.client.keys',
    'CallError': 'anvilcove.client.errors',
    'Client': 'anvilcove.client.caller',
    'ClientSettings': 'anvilcove.client.settings',
    'FailedError': 'anvilcove.client.errors',
    'GroupSpec': 'anvilcove.messages.trainers',
    'InvalidRequestError': 'anvilcove.client.errors',
    'NotRunError': 'anvilcove.client.errors',
    'StepConsumedError': 'anvilcove.client.trainer',
    'Trainer': 'anvilcove.client.trainer',
    'TrainerBatch': 'anvilcove.client.trainer',
    'TrainerError': 'anvilcove.client.trainer',
    'TrainerSettings': 'anvilcove.client.trainer',
    'UnknownOutcomeError': 'anvilcove.client.errors',
    'read_key': 'anvilcove.client.keys',
}


def __getattr__(name: str) -> Any:
    """Import a public name of the client library."""
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    value = getattr(import_module(_MODULE_BY_NAME[name]), name)
    globals()[name] = value
    return value
