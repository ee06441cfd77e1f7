"""Publish weight versions and track the newest one of each model."""

import asyncio

from aiohttp import web
from loguru import logger
from reactivex import Subject

from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.daemon.replies import (
    error_response,
    json_response,
    read_message,
)
from anvilcove.messages.steps import (
    WeightsRow,
    decode_weights_version,
    encode_row_value,
    weights_key,
)
from anvilcove.messages.table import Check, Put, Transaction
from anvilcove.messages.trainers import PublishWeights, WeightsPublished
from anvilcove.ports.errors import PlatformError, StoreAnswerLost
from anvilcove.settings.classes import TrainerClass
from anvilcove.state.background_tasks import Work

POLL_PERIOD_S = 1.0
PUBLISH_TIMEOUT_S = 3.0


def trainer_classes(context: Context) -> list[TrainerClass]:
    """Return the declared classes of trainers."""
    return [
        target
        for target in context.config.document.classes
        if isinstance(target, TrainerClass)
    ]


@register_component
class WeightsComponent(Component):
    """Track the newest version of each model; it never decreases."""

    control = True

    def __init__(self, context: Context) -> None:
        """Start without versions; `changes` emits the model of a new one."""
        super().__init__(context)
        self.newest_by_model: dict[str, int] = {}
        self.changes: Subject[str] = Subject()

    def routes(self) -> list[web.RouteDef]:
        """Return the route of the trainer API."""
        return [web.post('/v1/weights', self._publish)]

    def tasks(self) -> list[Work]:
        """Return the polling loop."""
        return [self._poll]

    def newest(self, model: str) -> int:
        """Return the newest known version, 0 if there is none."""
        return self.newest_by_model.get(model, 0)

    def update_newest(self, model: str, version: int) -> None:
        """Apply a version that the table has held, if it is newer."""
        if version <= self.newest(model):
            return
        self.newest_by_model[model] = version
        self.context.record_version(model, version)
        now = self.context.clock.now()
        self.context.policy('staleness').published(now, model, version)
        self.changes.on_next(model)

    async def _poll(self) -> None:
        while True:
            models = {c.model for c in trainer_classes(self.context)}
            # Gossip may have brought newer versions while the table was down.
            for model, version in list(self.context.newest_versions.items()):
                self.update_newest(model, version)
            if models:
                await self._refresh(sorted(models))
            await self.context.sleep_until_tick(POLL_PERIOD_S)

    async def _refresh(self, models: list[str]) -> None:
        try:
            rows = await self.context.ports['control_table'].read(
                [weights_key(model) for model in models]
            )
        except PlatformError as error:
            logger.warning('weight versions not available: {}', error)
            return
        for model in models:
            self.update_newest(
                model, decode_weights_version(rows[weights_key(model)])
            )

    async def _publish(self, request: web.Request) -> web.Response:
        message = await read_message(request, PublishWeights)
        if message.version < 1 or not message.model:
            return error_response(
                400, 'invalid_body', 'model or version is out of range'
            )
        try:
            async with asyncio.timeout(PUBLISH_TIMEOUT_S):
                version = await self._advance_version(message)
        except (PlatformError, TimeoutError) as error:
            return error_response(503, 'store_unavailable', repr(error))
        self.update_newest(message.model, version)
        answer = WeightsPublished(model=message.model, version=version)
        return json_response(
            answer, 200 if version == message.version else 409
        )

    async def _advance_version(self, message: PublishWeights) -> int:
        """Advance the stored version; return the one now in the table."""
        table = self.context.ports['table']
        key = weights_key(message.model)
        value = encode_row_value(WeightsRow(version=message.version))
        while True:
            row = (await table.read([key]))[key]
            version = decode_weights_version(row)
            if version >= message.version:
                return version
            change = Transaction(
                checks=[Check(key=key, revision=row.revision)],
                puts=[Put(key=key, value=value)],
            )
            try:
                if (await table.transact(change)).committed:
                    return message.version
            except StoreAnswerLost as error:
                logger.warning('answer of the store was lost: {}', error)
