"""Reward calls of finished texts."""

import random

from loguru import logger

from anvilcove.control.desired import DesiredStateView, Route
from anvilcove.jobs.progress import ItemProgress
from anvilcove.jobs.reward_gate import RewardGate
from anvilcove.jobs.types import ItemResult, RewardCall
from anvilcove.ports.servers import CallerAnswer, CallerRequest
from anvilcove.proxy.forwarder import Forwarder
from anvilcove.state.clock import Clock

RETRY_S = 0.05
LONGEST_RETRY_S = 0.5
# Largest time that a reward call has at its service.
REWARD_TIMEOUT_S = 3.0


class RewardCalls:
    """Send the reward call of an item until its answer counts."""

    __slots__ = ('_forwarder', '_desired', '_gate', '_clock', '_rng')

    def __init__(
        self,
        forwarder: Forwarder,
        desired: DesiredStateView,
        gate: RewardGate,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Keep what calls need; `gate` bounds how many run at once."""
        self._forwarder = forwarder
        self._desired = desired
        self._gate = gate
        self._clock = clock
        self._rng = rng

    async def score(self, progress: ItemProgress) -> ItemResult:
        """Return the result of an item whose text is whole."""
        reward = progress.item.reward
        if reward is None:
            return progress.completed('')
        pause_s = RETRY_S
        while True:
            state = self._desired.current
            route = state.find(reward.host, reward.path) if state else None
            if route is not None:
                answer = await self._send(reward, route)
                if 200 <= answer.status < 300 and answer.stamp:
                    return progress.completed(answer.stamp)
                progress.reward_failures += answer.server_failures
                if progress.reward_failures >= route.max_attempts:
                    return _errored(progress, reward)
            await self._clock.sleep(pause_s * self._rng.uniform(0.5, 1.5))
            pause_s = min(pause_s * 2, LONGEST_RETRY_S)

    async def _send(self, reward: RewardCall, route: Route) -> CallerAnswer:
        async with self._gate.enter(route.targets[0].service):
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
            return await self._forwarder.forward(request, route, early_hedge=False)


def _errored(progress: ItemProgress, reward: RewardCall) -> ItemResult:
    logger.bind(
        request=progress.item.item_id,
        reward=reward.request_id,
        failures=progress.reward_failures,
    ).info('item errored: its reward call failed each time')
    return ItemResult(progress.item.item_id, completed=False)
