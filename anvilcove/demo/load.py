"""Callers, trainers and operators that use a site during the demo."""

import asyncio
import random
import time
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import convert

from anvilcove import (
    CallError,
    Client,
    ClientSettings,
    FailedError,
    NotRunError,
    Trainer,
    TrainerSettings,
    UnknownOutcomeError,
)
from anvilcove.client.trainer import TrainerBatch
from anvilcove.demo.classes import (
    BOUND_VERSIONS,
    LEDGER,
    LOOKUP,
    ROLLOUTS,
    declarations,
    probe_name,
)
from anvilcove.demo.records import (
    BatchRecord,
    CallRecord,
    PublishRecord,
    RevisionRecord,
    RunRecord,
)
from anvilcove.demo.site import OPERATOR_KEY, Site
from anvilcove.messages.callers import (
    ANSWERED,
    FAILED,
    NOT_RUN,
    UNKNOWN,
    VersionRange,
)
from anvilcove.messages.trainers import Batch, GroupSpec

LOOKUP_DEADLINE_MS = 500
LEDGER_DEADLINE_MS = 15_000
MEAN_LOOKUP_PAUSE_S = 0.15
MEAN_LEDGER_PAUSE_S = 0.25
PUBLISH_PAUSE_S = 2.5
PROBE_PAUSE_S = 0.4
PROBE_TIMEOUT_S = 2.0
GROUPS = 4
SAMPLES = 4
TOKENS = 24
STRAGGLER_SHARE = 0.02
STRAGGLER_FACTOR = 20
DUPLICATE_SHARE = 0.2
# Poison requests carry no marker, so that their content is always the same.
POISON_KEY = 'note'
OUTCOME_BY_ERROR: list[tuple[type[CallError], str]] = [
    (NotRunError, NOT_RUN),
    (UnknownOutcomeError, UNKNOWN),
    (FailedError, FAILED),
]


class Load:
    """Generate the load of one run and record every call."""

    def __init__(
        self,
        site: Site,
        session: ClientSession,
        record: RunRecord,
        rng: random.Random,
    ) -> None:
        """Use the listed addresses of all hosts as initial entry addresses."""
        self.site = site
        self.session = session
        self.record = record
        self.rng = rng
        self.stopping = False
        self._marker_count = 0
        self.address_by_host = {m.host: m.address for m in site.members.hosts}
        self.addresses = list(self.address_by_host.values())

    def next_marker(self, prefix: str) -> str:
        """Return an identifier that is unique in this run."""
        self._marker_count += 1
        return f'{prefix}-{self._marker_count}'

    async def lookups(self, caller: str, client: Client) -> None:
        """Send lookups of random accounts at random intervals."""
        rng = random.Random(self.rng.random())
        while not self.stopping:
            body = {'account': rng.randrange(1000)}
            await self.call(client, LOOKUP, body, LOOKUP_DEADLINE_MS)
            await asyncio.sleep(rng.expovariate(1 / MEAN_LOOKUP_PAUSE_S))

    async def postings(
        self, caller: str, client: Client, second_client: Client
    ) -> None:
        """Send ledger postings, some of them through both clients at once."""
        rng = random.Random(self.rng.random())
        while not self.stopping:
            marker = self.next_marker('posting')
            senders = [client]
            if rng.random() < DUPLICATE_SHARE:
                senders.append(second_client)
            await asyncio.gather(
                *(
                    self.call(
                        sender,
                        LEDGER,
                        {'credit': 5},
                        LEDGER_DEADLINE_MS,
                        repeatable=False,
                        marker=marker,
                    )
                    for sender in senders
                )
            )
            await self.call(client, LEDGER, {'balance': 1}, LEDGER_DEADLINE_MS)
            await asyncio.sleep(rng.expovariate(1 / MEAN_LEDGER_PAUSE_S))

    async def call(
        self,
        client: Client,
        class_name: str,
        body: dict[str, Any],
        deadline_ms: int,
        repeatable: bool = True,
        marker: str = '',
    ) -> CallRecord:
        """Make one call and record its outcome."""
        marker = marker or self.next_marker(class_name)
        call = CallRecord(
            marker=marker,
            class_name=class_name,
            repeatable=repeatable,
            body=body if POISON_KEY in body else {**body, 'marker': marker},
            sent_at_s=time.time(),
            deadline_s=deadline_ms / 1000,
        )
        self.record.calls.append(call)
        try:
            answer = await client.call(
                class_name,
                call.body,
                deadline_ms=deadline_ms,
                repeatable=repeatable,
                key='' if repeatable else marker,
            )
            call.outcome = ANSWERED
            call.answer = answer.value
            call.versions = answer.versions
        except CallError as error:
            call.outcome = outcome_of_error(error)
            call.reason = str(error)
        call.ended_at_s = time.time()
        return call

    async def train(self, name: str) -> None:
        """Submit steps and consume their batches in turn.

        The next step is submitted before the current batch is acknowledged.
        """
        rng = random.Random(self.rng.random())
        settings = TrainerSettings(
            trainer=name, class_name=ROLLOUTS, entries=list(self.addresses)
        )
        rng.shuffle(settings.entries)
        async with Trainer(settings) as trainer:
            step = 1
            await trainer.submit(step, step_groups(step, rng))
            batches = trainer.batches(after=0)
            while not self.stopping:
                started_s = time.time()
                batch = await anext(batches)
                record = self._batch_record(name, batch, started_s)
                self.record.batches.append(record)
                step += 1
                await trainer.submit(step, step_groups(step, rng))
                await batch.ack()
                record.acknowledged = True

    def _batch_record(
        self, trainer: str, batch: TrainerBatch, started_s: float
    ) -> BatchRecord:
        now_s = time.time()
        return BatchRecord(
            trainer=trainer,
            batch=Batch(
                trainer=trainer,
                step=batch.step,
                epoch=batch.epoch,
                model=batch.model,
                samples=batch.samples,
            ),
            requested_at_s=started_s,
            received_at_s=now_s,
            waited_s=now_s - started_s,
            expected_samples=GROUPS * SAMPLES,
            bound_versions=BOUND_VERSIONS,
        )

    async def publish(self, name: str) -> None:
        """Publish new weights of the shared model every few seconds."""
        model = self.site.shape.model
        settings = TrainerSettings(
            trainer=name, class_name=ROLLOUTS, entries=list(self.addresses)
        )
        base = f'http://{self.site.platform_address}/weights/{model}'
        async with Trainer(settings) as trainer:
            version = 0
            while not self.stopping:
                version += 1
                async with self.session.put(f'{base}/{version}', data=b''):
                    pass
                await trainer.publish(model, version)
                self.record.publishes.append(
                    PublishRecord(
                        model=model,
                        version=version,
                        accepted_at_s=time.time(),
                    )
                )
                await asyncio.sleep(PUBLISH_PAUSE_S)

    async def probe(self, host: str) -> None:
        """Call the probe classes of the last two revisions at one host."""
        address = self.address_by_host[host]
        while not self.stopping:
            for revision in self.record.revisions[-2:]:
                await self._probe_once(host, address, revision.probe)
            await asyncio.sleep(PROBE_PAUSE_S)

    async def _probe_once(self, host: str, address: str, probe: str) -> None:
        marker = self.next_marker(probe)
        call = CallRecord(
            marker=marker,
            class_name=probe,
            repeatable=True,
            body={'marker': marker, 'probe': probe},
            sent_at_s=time.time(),
            deadline_s=PROBE_TIMEOUT_S,
            host=host,
        )
        message = {
            'request_id': f'{host}.{marker}',
            'class_name': probe,
            'caller': 'probe',
            'body': call.body,
            'deadline_ms': int(PROBE_TIMEOUT_S * 1000),
        }
        try:
            await self.post(address, message, call)
        except (ClientError, OSError, TimeoutError):
            return
        self.record.calls.append(call)

    async def post(
        self, address: str, message: dict[str, Any], call: CallRecord
    ) -> None:
        """Send a request to one host and record its outcome."""
        async with self.session.post(
            f'http://{address}/v1/requests',
            json=message,
            timeout=ClientTimeout(total=None, sock_read=20.0),
        ) as response:
            outcome = await response.json()
        call.outcome = outcome['outcome']
        call.reason = outcome.get('reason', '')
        call.answer = outcome.get('answer')
        call.versions = convert(
            outcome.get('versions', []), list[VersionRange]
        )
        call.ended_at_s = time.time()

    async def apply(self, address: str, revision: int, probe: str) -> int:
        """Apply declarations; return the accepted revision, 0 if refused."""
        shape = self.site.shape
        document = declarations(shape.model, shape.app, probe)
        body = {'expected_revision': revision, 'document': document}
        headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
        sent_at_s = time.time()
        try:
            async with self.session.put(
                f'http://{address}/v1/classes', json=body, headers=headers
            ) as response:
                answer = await response.json()
        except (ClientError, OSError, TimeoutError):
            return 0
        if response.status != 200:
            return 0
        accepted: int = answer['revision']
        self.record.revisions.append(
            RevisionRecord(
                revision=accepted,
                probe=probe,
                sent_at_s=sent_at_s,
                accepted_at_s=time.time(),
            )
        )
        return accepted

    async def apply_concurrently(self, hosts: list[str], revision: int) -> int:
        """Apply one document per host at once; return the accepted revision.

        Return 0 if none was accepted.
        """
        names = [
            probe_name(revision + 1, suffix)
            for suffix in ('a', 'b')[: len(hosts)]
        ]
        results = await asyncio.gather(
            *(
                self.apply(self.address_by_host[host], revision, name)
                for host, name in zip(hosts, names, strict=True)
            )
        )
        self.record.rejected_probes += [
            name
            for name, accepted in zip(names, results, strict=True)
            if not accepted
        ]
        return max(results)


def outcome_of_error(error: CallError) -> str:
    """Return the outcome of a call for an error of the client library."""
    for kind, outcome in OUTCOME_BY_ERROR:
        if isinstance(error, kind):
            return outcome
    return FAILED


def step_groups(step: int, rng: random.Random) -> list[GroupSpec]:
    """Return the groups of a step; a few are stragglers with more tokens."""
    return [
        GroupSpec(
            group=f'g{index}',
            prompt=f'prefix-{index}|step {step}',
            samples=SAMPLES,
            max_tokens=TOKENS
            * (STRAGGLER_FACTOR if rng.random() < STRAGGLER_SHARE else 1),
        )
        for index in range(GROUPS)
    ]


async def open_clients(names: list[str], addresses: list[str]) -> list[Client]:
    """Open a client per caller; the initial address rotates."""
    clients = []
    for position, name in enumerate(names):
        first = position % len(addresses)
        settings = ClientSettings(
            caller=name, addresses=addresses[first:] + addresses[:first]
        )
        client = Client(settings)
        await client.__aenter__()
        clients.append(client)
    return clients
