"""Run a not-repeatable request at most once, under a claim."""

from anvilcove.commands.requests.attempts import Attempts
from anvilcove.commands.requests.claim import ClaimComponent
from anvilcove.commands.rollouts.job import RequestAbandoned, RequestRun
from anvilcove.daemon.context import Context
from anvilcove.messages.callers import NOT_RUN, Outcome
from anvilcove.ports.errors import EndpointFailed, EndpointNotRun


async def run_claimed(
    context: Context, attempts: Attempts, job: RequestRun
) -> Outcome:
    """Claim and run a request, or raise RequestAbandoned."""
    context.policy('retry').started(context.clock.now())
    claims: ClaimComponent = context.component(ClaimComponent)
    claim = await claims.acquire(job)
    if isinstance(claim, Outcome):
        return claim
    try:
        outcome = await _attempt_under_claim(attempts, job)
    except BaseException:
        if job.uncertain_attempts:
            claims.finish(
                job, claim, job.unknown_outcome('the attempt was stopped')
            )
        else:
            claims.release(claim)
        raise
    if outcome.outcome == NOT_RUN:
        claims.release(claim)
    else:
        claims.finish(job, claim, outcome)
    return outcome


async def _attempt_under_claim(attempts: Attempts, job: RequestRun) -> Outcome:
    """Retry until an endpoint may have run the request or it is given up."""
    attempt = 0
    while True:
        try:
            slot = await attempts.ready_slot(job)
            attempt += 1
            return await attempts.attempt(job, slot, fresh_connection=True)
        except RequestAbandoned as error:
            return job.abort_outcome(error)
        except EndpointFailed as error:
            return job.unknown_outcome(str(error))
        except EndpointNotRun as error:
            failure = error
        try:
            await attempts.prepare_retry(job, slot, attempt, failure)
        except RequestAbandoned as error:
            return job.abort_outcome(error)
