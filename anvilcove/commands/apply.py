"""Read, apply and adopt class declarations."""

from collections.abc import Coroutine
from typing import Any

from aiohttp import web
from loguru import logger

from anvilcove.daemon.context import Part
from anvilcove.daemon.parts import part
from anvilcove.daemon.replies import read_message, refusal, reply
from anvilcove.messages.operators import (
    ApplyClasses,
    ClassesApplied,
    ClassesConflict,
    ClassesShown,
)
from anvilcove.messages.table import Check, Put, Transaction
from anvilcove.platform.errors import PlatformError

CONFIG_KEY = 'config'


@part
class ConfigPart(Part):
    """Keep the declarations in force near those in the table."""

    def routes(self) -> list[web.RouteDef]:
        """Return the operators' routes."""
        return [
            web.get('/v1/classes', self._show),
            web.put('/v1/classes', self._apply),
        ]

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the polling loop."""
        return [self._poll()]

    async def _poll(self) -> None:
        period_s = self.context.settings.timing.config_period_ms / 1000
        while True:
            try:
                rows = await self.context.ports['table'].read([CONFIG_KEY])
                self.context.confirmation.table_was_read(
                    self.context.clock.now()
                )
                value = rows[CONFIG_KEY].value
                if value is not None:
                    self._adopt(value['revision'], value['document'])
            except PlatformError as error:
                logger.warning('declarations not available: {}', error)
            await self.context.clock.sleep(period_s)

    def _adopt(self, revision: int, document: dict[str, Any]) -> None:
        context = self.context
        if context.config.adopt(revision, document, context.clock.now()):
            logger.info('revision {} of the classes in force', revision)

    async def _show(self, request: web.Request) -> web.Response:
        config = self.context.config
        return reply(
            ClassesShown(revision=config.revision, document=config.raw)
        )

    async def _apply(self, request: web.Request) -> web.Response:
        change = await read_message(request, ApplyClasses)
        table = self.context.ports['table']
        try:
            row = (await table.read([CONFIG_KEY]))[CONFIG_KEY]
            current = row.value['revision'] if row.value else 0
            if current != change.expected_revision:
                return reply(ClassesConflict(current_revision=current), 409)
            revision = current + 1
            value = {'revision': revision, 'document': change.document}
            result = await table.transact(
                Transaction(
                    checks=[Check(key=CONFIG_KEY, revision=row.revision)],
                    puts=[Put(key=CONFIG_KEY, value=value)],
                )
            )
        except PlatformError as error:
            return refusal(503, 'store_unavailable', str(error))
        if not result.committed:
            return reply(ClassesConflict(current_revision=revision), 409)
        self._adopt(revision, change.document)
        return reply(ClassesApplied(revision=revision))
