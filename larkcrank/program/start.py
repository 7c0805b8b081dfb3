"""From the environment to a sidecar that runs, and its exit code."""

import asyncio
import os
import signal
import socket

from larkcrank.config.sidecar import Config, ConfigError, load
from larkcrank.program.log import Log
from larkcrank.program.sidecar import Sidecar
from larkcrank.transport.listener import PassedSocketError, adopt_socket


async def _run(config: Config, log: Log, passed: socket.socket | None) -> None:
    await Sidecar(config, log, lambda: load(os.environ, again=True), passed).run()


def serve() -> int:
    """Run until the planned end. 2: the configuration is faulty; 1: its address can't be listened on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))  # until its handler stands
    try:
        config = load(os.environ)
        passed = None if config.passed is None else adopt_socket(config.passed)
    except (ConfigError, PassedSocketError) as error:
        Log(os.environ.get("PROXY_NAME", "")).event("bad_configuration", message=str(error))
        return 2
    log = Log(config.name)
    try:
        asyncio.run(_run(config, log, passed))
    except OSError as error:  # the address is taken, or not ours
        log.event("cannot_listen", message=str(error))
        return 1
    return 0
