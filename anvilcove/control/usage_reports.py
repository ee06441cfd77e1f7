"""Reports of the usage of workspaces, by the holder of the duty."""

from loguru import logger

from anvilcove.control.desired import DesiredState
from anvilcove.control.duties import Duty
from anvilcove.control.duty_board import duty
from anvilcove.control.duty_context import DutyContext
from anvilcove.control.share_hints import ShareHintWriter
from anvilcove.control.usage_counts import AllCounts
from anvilcove.control.usage_meter import write_period_s
from anvilcove.control.usage_report_rows import ReportRows
from anvilcove.control.usage_rows import RETENTION_S, UsageReport, window_of
from anvilcove.control.usage_sweep import sweep
from anvilcove.ports.duties import (
    DutyError,
    DutyNotHeld,
    DutyRejected,
    DutyThrottled,
)
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.settings.node import USAGE
from anvilcove.telemetry.logs import DECISION

# All windows are one subject of the platform.
SUBJECT = 'usage'
POLL_PERIOD_S = 0.1
# Requests are counted once their outcome is known, which takes up to their
# deadline of 2 s, and written within 0.5 s.
FIX_DELAY_S = 4.0
# With many hosts the counts are written less often.
WRITE_MARGIN_S = 1.0
# After an outage of the store, a write that was sent shortly before its end
# may first have to time out.
STORE_TIMEOUT_S = 1.5
# Windows without counts that are older than this are left out: nothing ran
# while all hosts were off. Windows with counts are never left out.
MAX_GAP_S = 3600.0
THROTTLED_PAUSE_S = 0.3
# Time for which fixed reports are sent before new windows are fixed.
SEND_ROUND_S = 1.0
# Fixed reports that are kept until they are sent; the others are read again.
MAX_KEPT_REPORTS = 4
# Reports of an earlier holder that are read at a time; each may have hundreds
# of kilobytes.
ADOPTED_REPORTS = 4
SWEEP_PERIOD_S = 10.0
# A rejected report is given up after this number of calls, so that the later
# windows get their turn.
MAX_REJECTIONS = 3
# The shares of workspaces are compared this often; hosts ignore hints that are
# older than 5 s.
SHARES_PERIOD_S = 2.0
# Work in rows that were written longer ago is not compared.
MAX_WORK_AGE_S = 10.0


@duty(USAGE)
class UsageReports:
    """Fix the counts of each window in a row, then send them.

    A row that exists is what is sent, by whichever holder and however often,
    so that no window gets two different reports.
    """

    __slots__ = (
        '_duty',
        '_context',
        '_counts',
        '_rows',
        '_known',
        '_known_state',
        '_fence',
        '_next_window',
        '_pending',
        '_kept_reports',
        '_rejections',
        '_sweep_at_s',
        '_share_hints',
        '_share_hints_at_s',
    )

    def __init__(self, held: Duty, context: DutyContext) -> None:
        """Fix and send nothing before `run`."""
        self._duty = held
        self._context = context
        self._counts = AllCounts(context.store, context.clock)
        self._rows = ReportRows(context.store, context.settings)
        # Workspaces of all desired states that this process has known; the
        # last requests of one that is removed count, too.
        self._known: set[str] = set()
        self._known_state: DesiredState | None = None
        # Fence under which the windows below were read.
        self._fence: int | None = None
        self._next_window: int | None = None
        # Windows whose reports are fixed and unsent, in their order.
        self._pending: list[int] = []
        self._kept_reports: dict[int, UsageReport] = {}
        self._rejections = 0
        self._sweep_at_s = 0.0
        self._share_hints = ShareHintWriter(context.store, context.clock)
        self._share_hints_at_s = 0.0

    async def run(self) -> None:
        """Report windows while the duty is held, without end."""
        while True:
            await self._context.clock.sleep(POLL_PERIOD_S)
            try:
                await self._run_round()
            except (StoreUnavailable, StoreAnswerLost) as error:
                logger.bind(reason=str(error)).info('usage not fixed')
            except DutyNotHeld as error:
                self._forget()
                logger.bind(reason=str(error)).info('usage not fixed')
            except Exception:
                self._forget()
                await self._duty.record_failure()

    async def _run_round(self) -> None:
        self._learn_workspaces()
        fence = self._duty.fence()
        if fence is None or fence != self._fence:
            # Another holder may have acted since, also during one round.
            self._forget()
            self._fence = fence
        if fence is None:
            return
        if self._known_state is None:
            return
        if self._next_window is None:
            await self._begin()
        if self._next_window is None:
            return
        await self._fix_due()
        await self._send_pending()
        await self._publish_shares()
        await self._sweep()

    def _forget(self) -> None:
        """Begin with what the store has in the next round."""
        self._next_window, self._pending = None, []
        self._kept_reports.clear()
        self._counts.clear()

    def _learn_workspaces(self) -> None:
        state = self._context.desired.current
        if state is None or state is self._known_state:
            return
        self._known_state = state
        if state.workspaces is not None:
            self._known.update(state.workspaces.by_name)

    def _window_now(self, age_s: float = 0.0) -> int:
        return window_of(
            self._context.true_time.now_s() - age_s, self._window_s()
        )

    def _window_s(self) -> float:
        return self._context.settings.bounds.report_window_s

    async def _begin(self) -> None:
        """Continue after the last report that is known to be sent."""
        self._pending = []
        await self._rows.progress.read()
        following = self._sent_before()
        if following is None:
            if self._awaits_counts():
                return
            following = await self._first_window()
        self._next_window = await self._adopt_fixed(following)
        logger.bind(
            duty=USAGE, next=self._next_window, unsent=len(self._pending)
        ).log(DECISION, 'usage reports continue')

    def _sent_before(self) -> int | None:
        return self._rows.progress.sent_before(self._window_now())

    async def _adopt_fixed(self, window: int) -> int:
        """Note the reports from a window on; return the first without one."""
        while True:
            reports = await self._rows.read_range(
                window, min(window + ADOPTED_REPORTS, self._window_now())
            )
            for report in reports:
                if report.window != window:
                    return window
                if not report.sent:
                    self._pending.append(window)
                window += 1
            if len(reports) < ADOPTED_REPORTS:
                return window

    async def _first_window(self) -> int:
        """Return where to begin if no progress is stored.

        No report was sent yet, or only those of an older build.
        """
        # A window to come was named by a wrong clock. If its row exists when
        # the window is due, that row is sent.
        now = self._window_now()
        reports = [r for r in await self._rows.read_all() if r.window < now]
        self._pending = [r.window for r in reports if not r.sent]
        if reports:
            return reports[-1].window + 1
        # The deployment is new: nothing was counted before its first row.
        await self._counts.refresh()
        oldest = self._window_now(MAX_GAP_S)
        return max(min([now, *self._counts.windows()]), oldest)

    def _fix_delay_s(self) -> float:
        return max(FIX_DELAY_S, self._write_period_s() + WRITE_MARGIN_S)

    async def _fix_due(self) -> None:
        """Create the rows of the windows that ended long enough ago."""
        assert self._next_window is not None
        due = self._window_now(self._fix_delay_s())
        if self._next_window >= due or self._awaits_counts():
            return
        await self._counts.refresh()
        while self._next_window < due and self._duty.fence() is not None:
            await self._leave_out_empty()
            await self._fix(self._next_window)
            self._next_window += 1
        await self._counts.drop_before(self._next_window)

    async def _leave_out_empty(self) -> None:
        """Skip windows of a long stop of all hosts, in which nothing ran."""
        assert self._next_window is not None
        first, oldest = self._next_window, self._window_now(MAX_GAP_S)
        if first >= oldest:
            return
        found = {w for w in self._counts.windows() if w >= first}
        if first in found:
            return
        # Reports that an earlier holder has fixed are sent, too.
        found |= await self._rows.windows(first, oldest)
        self._next_window = min([oldest, *found])
        if self._next_window > first:
            logger.bind(
                duty=USAGE, first=first, next=self._next_window
            ).warning('windows left out')

    def _awaits_counts(self) -> bool:
        """Tell whether hosts are still to write what an outage held back."""
        back_s = self._context.lease_clock.now() - (
            self._context.store_back_at_s()
        )
        return back_s < (
            STORE_TIMEOUT_S + self._write_period_s() + WRITE_MARGIN_S
        )

    def _write_period_s(self) -> float:
        return write_period_s(len(self._context.nodes.by_host))

    async def _fix(self, window: int) -> None:
        """Create the row of a window, or take over the one that exists."""
        counts = await self._counts.total(window, self._known)
        report = await self._rows.create(
            window, counts, self._duty.fence() or 0, self._window_now()
        )
        if report is None:
            # Other counts may have been sent, so the window is left out.
            logger.bind(duty=USAGE, window=window).error(
                'unreadable report left out'
            )
            return
        logger.bind(
            duty=USAGE,
            window=window,
            total=sum(report.counts.values()),
            fence=report.fence,
            by=report.holder,
        ).log(DECISION, 'usage fixed')
        if not report.sent:
            self._pending.append(window)
            if len(self._kept_reports) < MAX_KEPT_REPORTS:
                self._kept_reports[window] = report

    async def _send_pending(self) -> None:
        end_at_s = self._context.clock.now() + SEND_ROUND_S
        while self._pending and self._context.clock.now() < end_at_s:
            window = self._pending[0]
            report = self._kept_reports.get(window)
            if report is None:
                report = await self._rows.read(window)
            if report is None:
                logger.bind(duty=USAGE, window=window).error(
                    'unreadable report left out'
                )
            elif not report.sent and not await self._send(report):
                return
            self._kept_reports.pop(window, None)
            self._pending.pop(0)

    async def _send(self, report: UsageReport) -> bool:
        """Send a report; return whether it needs no further call."""

        async def call(fence: int) -> None:
            await self._context.port.report_usage(
                fence, report.window, report.counts
            )

        try:
            await self._duty.perform(SUBJECT, call)
        except DutyNotHeld:
            return False
        except DutyThrottled:
            await self._context.clock.sleep(THROTTLED_PAUSE_S)
            return False
        except DutyRejected as error:
            self._rejections += 1
            if self._rejections < MAX_REJECTIONS:
                return False
            logger.bind(
                duty=USAGE, window=report.window, reason=str(error)
            ).error('usage report rejected')
        except DutyError as error:
            logger.bind(window=report.window, reason=str(error)).info(
                'usage report unanswered'
            )
            return False
        self._rejections = 0
        await self._mark_sent(report)
        return True

    async def _mark_sent(self, report: UsageReport) -> None:
        """Record that a report was sent; if that fails, it is sent again."""
        end_s = (report.window + 1) * self._window_s()
        late_s = self._context.true_time.now_s() - end_s
        on_time = late_s <= self._context.settings.bounds.usage_late_s
        self._context.metrics.usage_report('on time' if on_time else 'late')
        following = [*self._pending[1:2], self._next_window or 0][0]
        try:
            await self._rows.mark_sent(report, following, self._window_now())
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(window=report.window, reason=str(error)).info(
                'usage report not marked as sent'
            )

    async def _publish_shares(self) -> None:
        """Tell the hosts which workspaces take more than their share."""
        now = self._context.clock.now()
        state = self._context.desired.current
        if now < self._share_hints_at_s or state is None:
            return
        self._share_hints_at_s = now + SHARES_PERIOD_S
        if state.workspaces is None:
            return
        await self._counts.refresh()
        written_after_s = self._context.true_time.now_s() - MAX_WORK_AGE_S
        await self._share_hints.update(
            self._counts.work(written_after_s), state.workspaces.by_name
        )

    async def _sweep(self) -> None:
        """Remove the rows of old windows whose reports were sent."""
        now = self._context.clock.now()
        sent_before = self._sent_before()
        if now < self._sweep_at_s or sent_before is None:
            return
        self._sweep_at_s = now + SWEEP_PERIOD_S
        await self._counts.refresh()
        await sweep(
            self._context.store,
            self._counts.rows(),
            min(sent_before, self._window_now(RETENTION_S)),
        )
