"""HTTP handlers for operators: status, decisions, metrics, log level."""

from collections import Counter
from typing import Any

from aiohttp import web
from loguru import logger
from msgspec import to_builtins
from msgspec.structs import asdict

from anvilcove.commands.requests.dispatch import Dispatcher
from anvilcove.commands.rollouts.samples import SampleRunner
from anvilcove.daemon.context import Component
from anvilcove.daemon.gauges import set_gauges
from anvilcove.daemon.parts import register_component
from anvilcove.daemon.replies import json_response, read_message
from anvilcove.messages.operators import (
    LogLevel,
    StatusReport,
    WorkspaceStatusReport,
)
from anvilcove.state.peers import NEVER

# A report lists at most this many workspaces.
MAX_WORKSPACES = 50


@register_component
class StatusComponent(Component):
    """Serve status, decisions and metrics; change the log level."""

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes for operators and `/metrics`."""
        return [
            web.get('/v1/status', self._status),
            web.get('/v1/decisions', self._decisions),
            web.put('/v1/log-level', self._set_level),
            web.get('/metrics', self._metrics),
        ]

    def report(self) -> StatusReport:
        """Return the current status of this daemon."""
        context = self.context
        reason = context.refusal_reason()
        restarting = context.tasks.restarting()
        if not reason and restarting:
            reason = f'restarting {", ".join(restarting)}'
        state = 'draining' if context.draining else reason or 'ready'
        report = StatusReport(
            host=context.settings.host,
            data_centre=context.settings.data_centre,
            state=state,
            revision=context.config.revision,
            confirmed=not context.refusal_reason(),
            hosts=self._hosts(),
            endpoints=self._endpoints(),
            classes={
                target.name: {
                    'target': to_builtins(target),
                    **context.metrics.class_summary(target.name),
                }
                for target in context.config.document.classes
            },
            versions=dict(context.newest_versions),
        )
        if context.config.workspaces is None:
            return report
        return WorkspaceStatusReport(
            **asdict(report), workspaces=self._workspaces()
        )

    def _workspaces(self) -> dict[str, dict[str, Any]]:
        """Return the workspaces whose work waits.

        Those with most waiting calls come first, then those with most samples.
        """
        dispatcher: Dispatcher = self.context.component(Dispatcher)
        runner: SampleRunner = self.context.component(SampleRunner)
        waiting_s = dispatcher.waiting_s_by_workspace()
        samples: Counter[str] = Counter()
        for run in runner.registry.by_id.values():
            if run.pending:
                samples[run.workspace] += len(run.pending)
        ordered = sorted(
            {*waiting_s, *samples},
            key=lambda name: (
                -waiting_s.get(name, 0.0),
                -samples[name],
                name,
            ),
        )
        return {
            name or '(none)': {
                'weight': dispatcher.shares.weight(name),
                'waiting_calls_s': round(waiting_s.get(name, 0.0), 3),
                'waiting_samples': samples[name],
            }
            for name in ordered[:MAX_WORKSPACES]
        }

    def _hosts(self) -> dict[str, dict[str, Any]]:
        context = self.context
        now = context.clock.now()
        hosts: dict[str, dict[str, Any]] = {}
        for peer in context.peers.by_host.values():
            is_own = peer.host == context.settings.host
            has_digest = peer.beat_at_s != NEVER
            hosts[peer.host] = {
                'address': peer.address,
                'data_centre': peer.data_centre,
                'listed': peer.state,
                'draining': context.draining if is_own else peer.draining,
                'revision': context.config.revision
                if is_own
                else peer.revision,
                'load': context.in_flight if is_own else peer.load,
                'heard_ago_s': 0.0
                if is_own
                else round(now - peer.beat_at_s, 3)
                if has_digest
                else None,
            }
        return hosts

    def _endpoints(self) -> dict[str, dict[str, Any]]:
        now = self.context.clock.now()
        return {
            state.endpoint: {
                'pool': state.pool,
                'data_centre': state.data_centre,
                'leaving': state.leaving,
                'in_flight': state.in_flight,
                'limit': state.limit,
                'ejected': state.ejected_until_s > now,
                'version': state.version,
                'report': to_builtins(state.report),
                'report_age_s': round(now - state.report_at_s, 3)
                if state.report
                else None,
            }
            for state in self.context.endpoints.by_id.values()
        }

    async def _status(self, request: web.Request) -> web.Response:
        return json_response(self.report())

    async def _decisions(self, request: web.Request) -> web.Response:
        subject = request.query.get('subject', '')
        return json_response(
            [
                record
                for record in self.context.decisions.recent
                if not subject or record.subject == subject
            ]
        )

    async def _set_level(self, request: web.Request) -> web.Response:
        change = await read_message(request, LogLevel)
        if self.context.logs is not None:
            self.context.logs.set_level(change.level)
        logger.info('log level is {}', change.level)
        return json_response(change)

    async def _metrics(self, request: web.Request) -> web.Response:
        set_gauges(self.context, self.context.newest_versions)
        return web.Response(
            body=self.context.metrics.render(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )
