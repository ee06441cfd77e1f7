"""Read, apply and adopt class declarations."""

import uuid
from collections.abc import Coroutine
from typing import Any

from aiohttp import web
from loguru import logger

from anvilcove.commands.control.announce import AnnouncePart
from anvilcove.daemon.context import Part
from anvilcove.daemon.parts import part
from anvilcove.daemon.replies import read_message, refusal, reply
from anvilcove.messages.operators import (
    ApplyClasses,
    ClassesApplied,
    ClassesConflict,
    ClassesShown,
)
from anvilcove.messages.peers import Announce
from anvilcove.messages.table import Check, Put, Row, Transaction
from anvilcove.ports.errors import (
    PlatformError,
    StoreAnswerLost,
    StoreUnavailable,
)
from anvilcove.settings.classes import declaration_errors

# The poll reads only the small row; the document is read when the revision
# rises. One transaction writes both.
CONFIG_KEY = 'config'
DOCUMENT_KEY = 'config/document'
READ_BACK_ATTEMPTS = 10
READ_BACK_DELAY_S = 0.5
PUSH_LIMIT_S = 4.0
PUSH_DELAY_S = 0.2


class Conflict(Exception):
    """Raised when another revision is in the table."""

    def __init__(self, revision: int) -> None:
        """Keep the winning revision."""
        super().__init__(f'revision {revision} is current')
        self.revision = revision


class OutcomeUnknown(Exception):
    """Raised when a write may or may not have taken effect."""


@part
class ConfigPart(Part):
    """Keep the declarations in force near those in the table."""

    control = True

    def routes(self) -> list[web.RouteDef]:
        """Return the operators' routes."""
        return [
            web.get('/v1/classes', self._show),
            web.put('/v1/classes', self._apply),
        ]

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the polling loop."""
        return [self._poll()]

    async def refresh(self) -> None:
        """Read the row once and adopt a newer revision."""
        context = self.context
        table = context.ports['control_table']
        asked_at_s = context.clock.now()
        try:
            row = (await table.read([CONFIG_KEY]))[CONFIG_KEY]
            if _revision(row) > context.config.revision:
                rows = await table.read([CONFIG_KEY, DOCUMENT_KEY])
                self._adopt_rows(rows)
        except PlatformError as error:
            logger.warning('declarations not available: {}', error)
            return
        context.confirmation.table_was_read(asked_at_s)

    async def _poll(self) -> None:
        period_s = self.context.settings.timing.config_period_ms / 1000
        while True:
            await self.refresh()
            await self.context.sleep_until_tick(period_s)

    def _adopt_rows(self, rows: dict[str, Row]) -> None:
        value = rows[DOCUMENT_KEY].value
        if value is None:
            return
        errors = declaration_errors(value['document'])
        if errors:
            logger.error('declarations in the table refused: {}', errors)
            return
        self._adopt(_revision(rows[CONFIG_KEY]), value['document'])

    def _adopt(self, revision: int, document: dict[str, Any]) -> None:
        now = self.context.clock.now()
        if self.context.config.adopt(revision, document, now):
            logger.info('revision {} is in force', revision)

    async def _show(self, request: web.Request) -> web.Response:
        config = self.context.config
        return reply(
            ClassesShown(revision=config.revision, document=config.raw)
        )

    async def _apply(self, request: web.Request) -> web.Response:
        change = await read_message(request, ApplyClasses)
        errors = declaration_errors(change.document)
        if errors:
            return refusal(400, 'invalid_document', '\n'.join(errors))
        if not await self._majority():
            reason = 'no majority of the hosts was heard; nothing was changed'
            return refusal(503, 'no_majority', reason)
        try:
            revision = await self._write(change)
        except Conflict as error:
            body = ClassesConflict(current_revision=error.revision)
            return reply(body, 409)
        except OutcomeUnknown as error:
            return refusal(502, 'outcome_unknown', str(error))
        except PlatformError as error:
            return refusal(503, 'store_unavailable', str(error))
        self._adopt(revision, change.document)
        if not await self._push(revision, change.document):
            reason = (
                f'the table holds revision {revision}, but no majority of '
                'the hosts has confirmed it'
            )
            return refusal(503, 'not_confirmed', reason)
        return reply(ClassesApplied(revision=revision))

    async def _majority(self) -> bool:
        """Wait one confirmation window for a heard majority."""
        context = self.context
        until_s = context.clock.now() + context.confirmation.window_s
        while not context.confirmation.heard_majority(context.clock.now()):
            if context.clock.now() >= until_s:
                return False
            await context.clock.sleep(PUSH_DELAY_S)
        return True

    async def _write(self, change: ApplyClasses) -> int:
        table = self.context.ports['control_table']
        row = (await table.read([CONFIG_KEY]))[CONFIG_KEY]
        if _revision(row) != change.expected_revision:
            raise Conflict(_revision(row))
        revision = change.expected_revision + 1
        nonce = uuid.uuid4().hex
        head = {'revision': revision, 'nonce': nonce}
        body = {'revision': revision, 'document': change.document}
        transaction = Transaction(
            checks=[Check(key=CONFIG_KEY, revision=row.revision)],
            puts=[
                Put(key=CONFIG_KEY, value=head),
                Put(key=DOCUMENT_KEY, value=body),
            ],
        )
        try:
            result = await table.transact(transaction)
        except StoreAnswerLost:
            return await self._resolve(transaction, revision, nonce)
        if not result.committed:
            raise Conflict(max(map(_revision, result.conflicts), default=0))
        return revision

    async def _resolve(
        self, transaction: Transaction, revision: int, nonce: str
    ) -> int:
        """Repeat a write whose answer was lost until its fate is certain.

        The repeated compare-and-set either commits or shows a row that holds
        the own nonce (the first write took effect) or that of another.
        """
        table = self.context.ports['control_table']
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                result = await table.transact(transaction)
            except (StoreAnswerLost, StoreUnavailable):
                await self.context.clock.sleep(READ_BACK_DELAY_S)
                continue
            if result.committed:
                return revision
            row = result.conflicts[0]
            if row.value and row.value.get('nonce') == nonce:
                return revision
            if _revision(row) > revision:
                raise OutcomeUnknown(
                    f'the table holds revision {_revision(row)}; whether '
                    f'revision {revision} was this change is not known'
                )
            raise Conflict(_revision(row))
        raise OutcomeUnknown(
            f'the store did not tell whether it holds revision {revision}'
        )

    async def _push(self, revision: int, document: dict[str, Any]) -> bool:
        """Push to all peers until a majority holds the revision.

        Every peer is asked once before the operator is answered.
        """
        context = self.context
        news = Announce(
            host=context.settings.host, revision=revision, document=document
        )
        holding = {context.settings.host}
        until_s = context.clock.now() + PUSH_LIMIT_S
        while True:
            missing = [
                peer
                for peer in context.peers.others()
                if peer.host not in holding
            ]
            answers = await context.part(AnnouncePart).send(news, missing)
            holding |= {a.host for a in answers if a.revision >= revision}
            if len(holding) * 2 > len(context.peers.by_host):
                return True
            if context.clock.now() >= until_s:
                return False
            await context.clock.sleep(PUSH_DELAY_S)


def _revision(row: Row) -> int:
    return int(row.value['revision']) if row.value else 0
