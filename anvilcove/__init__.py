"""Rollout service for reinforcement learning."""

from anvilcove.client.trainer import (
    StepConsumedError,
    Trainer,
    TrainerBatch,
    TrainerError,
    TrainerSettings,
)
from anvilcove.messages.trainers import GroupSpec

__version__ = '0.1.0'

__all__ = [
    'GroupSpec',
    'StepConsumedError',
    'Trainer',
    'TrainerBatch',
    'TrainerError',
    'TrainerSettings',
]
