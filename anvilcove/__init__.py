"""Rollout service for reinforcement learning."""

from anvilcove.client.caller import Answer, Client
from anvilcove.client.errors import (
    CallError,
    FailedError,
    InvalidRequestError,
    NotRunError,
    UnknownOutcomeError,
)
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
]

__version__ = '0.1.0'
