"""Run training steps: submit, receive, acknowledge, publish weights.

Run it against the addresses of one or more entry hosts:

    python examples/trainer.py 127.1.0.1:8080 127.2.0.1:8080
"""

import asyncio
import sys

from anvilcove import GroupSpec, Trainer, TrainerSettings

STEPS = 5
MODEL = 'advisor-llm'


async def train(entries: list[str]) -> None:
    """Run the steps; each is submitted before the previous one is trained."""
    settings = TrainerSettings(
        trainer='example', class_name='rollouts', entries=entries
    )
    groups = [
        GroupSpec(group='g1', prompt='2 + 3 =', samples=4, max_tokens=16),
        GroupSpec(group='g2', prompt='7 * 6 =', samples=4, max_tokens=16),
    ]
    async with Trainer(settings) as trainer:
        await trainer.submit(1, groups)
        async for batch in trainer.batches(after=0):
            if batch.step < STEPS:
                await trainer.submit(batch.step + 1, groups)
            versions = {
                version_range.version
                for sample in batch.samples
                for version_range in sample.versions
            }
            print(
                f'step {batch.step}: {len(batch.samples)} samples '
                f'of versions {sorted(versions)}'
            )
            await batch.ack()
            await trainer.publish(MODEL, batch.step)
            if batch.step == STEPS:
                return


if __name__ == '__main__':
    asyncio.run(train(sys.argv[1:]))
