"""Read, write and distribute class declarations."""

import uuid
from typing import Any

from aiohttp import web
from loguru import logger

from anvilcove.commands.control.announce import AnnounceComponent
from anvilcove.daemon.context import Component
from anvilcove.daemon.parts import register_component
from anvilcove.daemon.replies import (
    error_response,
    json_response,
    read_message,
)
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
from anvilcove.state.background_tasks import Work

# Polling reads only the small `config` row; the document is read when the
# revision rises. One transaction writes both.
CONFIG_KEY = 'config'
DOCUMENT_KEY = 'config/document'
RESOLVE_ATTEMPTS = 10
RESOLVE_DELAY_S = 0.5
PUSH_TIMEOUT_S = 4.0
PUSH_DELAY_S = 0.2


class Conflict(Exception):
    """Raised when the table holds another revision than expected."""

    def __init__(self, revision: int) -> None:
        """Keep the revision that the table holds."""
        super().__init__(f'revision {revision} is current')
        self.revision = revision


class OutcomeUnknown(Exception):
    """Raised when a write may or may not have taken effect."""


@register_component
class ConfigComponent(Component):
    """Keep the local declarations in step with those in the table."""

    control = True

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the operator API."""
        return [
            web.get('/v1/classes', self._get_classes),
            web.put('/v1/classes', self._put_classes),
        ]

    def tasks(self) -> list[Work]:
        """Return the polling loop."""
        return [self._poll]

    async def refresh(self) -> None:
        """Read the configuration row once and apply a newer revision."""
        context = self.context
        table = context.ports['control_table']
        asked_at_s = context.clock.now()
        try:
            row = (await table.read([CONFIG_KEY]))[CONFIG_KEY]
            if _config_revision(row) > context.config.revision:
                rows = await table.read([CONFIG_KEY, DOCUMENT_KEY])
                self._apply_rows(rows)
        except PlatformError as error:
            logger.warning('declarations not available: {}', error)
            return
        context.confirmation.record_table_read(asked_at_s)

    async def _poll(self) -> None:
        period_s = self.context.settings.timing.config_period_ms / 1000
        while True:
            await self.refresh()
            await self.context.sleep_until_tick(period_s)

    def _apply_rows(self, rows: dict[str, Row]) -> None:
        value = rows[DOCUMENT_KEY].value
        if value is None:
            return
        errors = declaration_errors(value['document'])
        if errors:
            logger.error(
                'class declarations in the table are invalid: {}', errors
            )
            return
        self._apply_document(
            _config_revision(rows[CONFIG_KEY]), value['document']
        )

    def _apply_document(self, revision: int, document: dict[str, Any]) -> None:
        now = self.context.clock.now()
        if self.context.config.apply(revision, document, now):
            logger.info('revision {} is in force', revision)

    async def _get_classes(self, request: web.Request) -> web.Response:
        config = self.context.config
        return json_response(
            ClassesShown(revision=config.revision, document=config.raw)
        )

    async def _put_classes(self, request: web.Request) -> web.Response:
        change = await read_message(request, ApplyClasses)
        errors = declaration_errors(change.document)
        if errors:
            return error_response(400, 'invalid_document', '\n'.join(errors))
        if not await self._wait_for_majority():
            reason = 'no majority of the hosts was heard; nothing was changed'
            return error_response(503, 'no_majority', reason)
        try:
            revision = await self._write_revision(change)
        except Conflict as error:
            body = ClassesConflict(current_revision=error.revision)
            return json_response(body, 409)
        except OutcomeUnknown as error:
            return error_response(502, 'outcome_unknown', str(error))
        except PlatformError as error:
            return error_response(503, 'store_unavailable', str(error))
        self._apply_document(revision, change.document)
        if not await self._push(revision, change.document):
            reason = (
                f'the table holds revision {revision}, but no majority of '
                'the hosts has confirmed it'
            )
            return error_response(503, 'not_confirmed', reason)
        return json_response(ClassesApplied(revision=revision))

    async def _wait_for_majority(self) -> bool:
        """Wait up to one confirmation window for a majority of the hosts.

        Return whether a majority has confirmed the configuration.
        """
        context = self.context
        deadline_at_s = context.clock.now() + context.confirmation.window_s
        while not context.confirmation.majority_confirms(context.clock.now()):
            if context.clock.now() >= deadline_at_s:
                return False
            await context.clock.sleep(PUSH_DELAY_S)
        return True

    async def _write_revision(self, change: ApplyClasses) -> int:
        table = self.context.ports['control_table']
        row = (await table.read([CONFIG_KEY]))[CONFIG_KEY]
        if _config_revision(row) != change.expected_revision:
            raise Conflict(_config_revision(row))
        revision = change.expected_revision + 1
        nonce = uuid.uuid4().hex
        config_value = {'revision': revision, 'nonce': nonce}
        body = {'revision': revision, 'document': change.document}
        transaction = Transaction(
            checks=[Check(key=CONFIG_KEY, revision=row.revision)],
            puts=[
                Put(key=CONFIG_KEY, value=config_value),
                Put(key=DOCUMENT_KEY, value=body),
            ],
        )
        try:
            result = await table.transact(transaction)
        except StoreAnswerLost:
            return await self._resolve_lost_response(
                transaction, revision, nonce
            )
        if not result.committed:
            raise Conflict(
                max(map(_config_revision, result.conflicts), default=0)
            )
        return revision

    async def _resolve_lost_response(
        self, transaction: Transaction, revision: int, nonce: str
    ) -> int:
        """Repeat a write whose response was lost until its outcome is known.

        The repeated compare-and-set either commits or conflicts with a row
        that holds the nonce of this write, which then took effect the first
        time, or that of another writer.
        """
        table = self.context.ports['control_table']
        for _ in range(RESOLVE_ATTEMPTS):
            try:
                result = await table.transact(transaction)
            except (StoreAnswerLost, StoreUnavailable):
                await self.context.clock.sleep(RESOLVE_DELAY_S)
                continue
            if result.committed:
                return revision
            row = result.conflicts[0]
            if row.value and row.value.get('nonce') == nonce:
                return revision
            if _config_revision(row) > revision:
                raise OutcomeUnknown(
                    f'the table holds revision {_config_revision(row)}; '
                    f'whether revision {revision} was this change is not known'
                )
            raise Conflict(_config_revision(row))
        raise OutcomeUnknown(
            f'the store did not tell whether it holds revision {revision}'
        )

    async def _push(self, revision: int, document: dict[str, Any]) -> bool:
        """Push to all peers until a majority holds the revision.

        Return False if that takes too long. Every peer is sent the revision
        at least once before the operator is answered.
        """
        context = self.context
        announcement = Announce(
            host=context.settings.host, revision=revision, document=document
        )
        confirmed_hosts = {context.settings.host}
        deadline_at_s = context.clock.now() + PUSH_TIMEOUT_S
        while True:
            missing = [
                peer
                for peer in context.peers.others()
                if peer.host not in confirmed_hosts
            ]
            answers = await context.component(AnnounceComponent).send(
                announcement, missing
            )
            confirmed_hosts |= {
                a.host for a in answers if a.revision >= revision
            }
            if len(confirmed_hosts) * 2 > len(context.peers.by_host):
                return True
            if context.clock.now() >= deadline_at_s:
                return False
            await context.clock.sleep(PUSH_DELAY_S)


def _config_revision(row: Row) -> int:
    """Return the declared revision in a row, 0 if the row is absent."""
    return int(row.value['revision']) if row.value else 0
