"""Starts a sidecar from the environment, and returns the exit code of the process."""

import asyncio
import os
import signal
import socket

from larkcrank.config.sidecar import Config, ConfigError, load
from larkcrank.program.log import Log
from larkcrank.program.sidecar import Sidecar
from larkcrank.transport.listener import PassedSocketError, adopt_socket


async def _run(config: Config, log: Log, passed_socket: socket.socket | None) -> None:
    await Sidecar(config, log, lambda: load(os.environ, is_reload=True), passed_socket).run()


def serve() -> int:
    """Run until a graceful shutdown. Returns 2 if the configuration is invalid, 1 if listening fails."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))  # `Sidecar.run` unblocks it
    try:
        config = load(os.environ)
        passed_socket = None if config.passed_descriptor is None else adopt_socket(config.passed_descriptor)
    except (ConfigError, PassedSocketError) as error:
        Log(os.environ.get("PROXY_NAME", "")).event("bad_configuration", message=str(error))
        return 2
    log = Log(config.name)
    try:
        asyncio.run(_run(config, log, passed_socket))
    except OSError as error:  # the address is in use, or not an address of this host
        log.event("cannot_listen", message=str(error))
        return 1
    return 0
