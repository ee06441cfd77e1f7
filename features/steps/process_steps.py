"""Steps that kill, pause, resume, stop and restart daemons."""

import signal

from behave import when
from site_steps import host_url, run

from anvilcove.demo.processes import wait_until_ready


@when('host {host:w} is killed')
def kill_host(context, host):
    """Kill a daemon with SIGKILL."""
    run(context, context.site.processes.kill(host))


@when('host {host:w} is paused')
@when('daemon {host} is paused')
def pause_host(context, host):
    """Pause a daemon with SIGSTOP."""
    context.site.processes.signal(host, signal.SIGSTOP)


@when('host {host:w} goes on')
@when('daemon {host} is resumed')
def resume_host(context, host):
    """Resume a daemon with SIGCONT."""
    context.site.processes.signal(host, signal.SIGCONT)


@when('daemon {host} is stopped gracefully')
def stop_host(context, host):
    """Stop a daemon and require a clean exit."""
    assert run(context, context.site.processes.terminate(host)) == 0


@when('host {host:w} is killed and started again')
def restart_host(context, host):
    """Kill a daemon and start it again without its in-memory state."""

    async def restart():
        await context.site.processes.kill(host)
        await context.site.processes.restart(host)
        url = f'{host_url(context, host)}/healthz'
        await wait_until_ready(context.session, url)

    run(context, restart())
