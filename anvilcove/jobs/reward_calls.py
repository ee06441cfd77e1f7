"""Score generated texts with reward calls."""

import random

from loguru import logger

from anvilcove.control.crashes import ContentCrashes
from anvilcove.control.desired import DesiredStateView, Route
from anvilcove.decisions.service_choice import service_shares
from anvilcove.jobs.progress import ItemProgress
from anvilcove.jobs.reward_gate import RewardGate
from anvilcove.jobs.types import ItemResult, RewardCall
from anvilcove.ports.servers import CallerAnswer, CallerRequest
from anvilcove.proxy.forwarder import Forwarder
from anvilcove.state.clock import Clock
from anvilcove.state.content import request_content_hash

RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5
# A call that may be given up waits this long for evidence on its servers.
EVIDENCE_WAIT_S = 1.0
# Longest time for one reward call.
REWARD_TIMEOUT_S = 3.0


class RewardCalls:
    """Send reward calls until they succeed or fail too often."""

    __slots__ = (
        '_forwarder',
        '_desired',
        '_gate',
        '_crashes',
        '_clock',
        '_rng',
    )

    def __init__(
        self,
        forwarder: Forwarder,
        desired: DesiredStateView,
        gate: RewardGate,
        crashes: ContentCrashes,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Set up; `gate` limits the number of concurrent calls."""
        self._forwarder = forwarder
        self._desired = desired
        self._gate = gate
        self._crashes = crashes
        self._clock = clock
        self._rng = rng

    async def score(
        self, progress: ItemProgress, workspace: str = ''
    ) -> ItemResult:
        """Return the result of an item with a complete text.

        Only a 2xx answer with the server's stamp counts as its score. The
        call is charged to the workspace of the job.
        """
        reward = progress.item.reward
        if reward is None:
            return progress.completed_result('')
        content = request_content_hash(
            'POST', reward.host, reward.path, reward.body
        )
        retry_delay_s = RETRY_DELAY_S
        failing = progress.failures.reward_calls > 0
        while True:
            await self._crashes.delay_owed_call(reward.request_id, content)
            route = self._route(reward)
            if route is not None:
                if await self._is_exhausted(progress, route):
                    return _errored_result(progress, reward)
                answer = await self._send(reward, route, workspace, failing)
                if answer is None:
                    continue
                failing = True
                if 200 <= answer.status < 300 and answer.stamp:
                    return progress.completed_result(answer.stamp)
                await progress.record_reward_failures(answer.failed_at)
            await self._clock.sleep(
                retry_delay_s * self._rng.uniform(0.5, 1.5)
            )
            retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)

    async def _is_exhausted(
        self, progress: ItemProgress, route: Route
    ) -> bool:
        """Tell whether a reward call failed too often to be sent again.

        If it depends on servers of which no run is known, runs there of other
        calls are awaited for a short time.
        """
        wait_until_s = self._clock.now() + EVIDENCE_WAIT_S
        while True:
            exhausted = progress.reward_exhausted(
                route.max_attempts, self._forwarder.is_sound
            )
            if exhausted is not None:
                return exhausted
            if self._clock.now() >= wait_until_s:
                return True
            await self._clock.sleep(RETRY_DELAY_S)

    def _route(self, reward: RewardCall) -> Route | None:
        state = self._desired.current
        return state.find_route(reward.host, reward.path) if state else None

    async def _send(
        self, reward: RewardCall, route: Route, workspace: str, failing: bool
    ) -> CallerAnswer | None:
        """Send a call and return the answer.

        Return None if its route has left the service for which it waited.
        """
        service = self._gate.choose(
            route.targets,
            reward.request_id,
            self._forwarder.choose_service(route, reward.request_id),
        )
        async with self._gate.enter(service, workspace, failing):
            current = self._route(reward)
            if current is None or service not in service_shares(
                current.targets
            ):
                return None
            route = current
            now = self._clock.now()
            timeout_s = min(route.timeout_s, REWARD_TIMEOUT_S)
            request = CallerRequest(
                request_id=reward.request_id,
                method='POST',
                host=reward.host,
                path=reward.path,
                headers=reward.headers,
                body=reward.body,
                received_s=now,
                deadline_at_s=now + timeout_s,
            )
            hedges = 0

            def may_hedge() -> bool:
                nonlocal hedges
                allowed = self._gate.try_hedge(service)
                hedges += allowed
                return allowed

            try:
                return await self._forwarder.forward(
                    request,
                    route,
                    owed=True,
                    charged_to=workspace,
                    may_hedge=may_hedge,
                    service=service,
                )
            finally:
                self._gate.end_hedges(service, hedges)


def _errored_result(progress: ItemProgress, reward: RewardCall) -> ItemResult:
    logger.bind(
        request=progress.item.item_id,
        reward=reward.request_id,
        failures=progress.failures.reward_calls,
    ).info('item errored: its reward call failed each time')
    return ItemResult(progress.item.item_id, completed=False)
