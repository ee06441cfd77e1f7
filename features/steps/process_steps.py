"""Steps that kill, pause, continue, stop and replace daemons."""

import signal

from behave import when
from site_steps import host_url, run

from anvilcove.demo.processes import wait_until_ready


@when('host {host:w} is killed')
def kill_host(context, host):
    """Kill a daemon without warning."""
    run(context, context.site.processes.kill(host))


@when('host {host:w} is paused')
@when('daemon {host} is paused')
def pause_host(context, host):
    """Stop a daemon with SIGSTOP."""
    context.site.processes.signal(host, signal.SIGSTOP)


@when('host {host:w} goes on')
@when('daemon {host} is resumed')
def continue_host(context, host):
    """Continue a daemon with SIGCONT."""
    context.site.processes.signal(host, signal.SIGCONT)


@when('daemon {host} is stopped gracefully')
def stop_host(context, host):
    """Stop a daemon and require a clean exit."""
    assert run(context, context.site.processes.terminate(host)) == 0


@when('host {host:w} is killed and started again')
def restart_host(context, host):
    """Replace a daemon by a new one without memory."""

    async def replace():
        await context.site.processes.kill(host)
        await context.site.processes.restart(host)
        url = f'{host_url(context, host)}/healthz'
        await wait_until_ready(context.session, url)

    run(context, replace())
