"""`python -m larkcrank`: one sidecar, configured by PROXY_CONFIG; with words, the command line."""

import asyncio
import os
import signal
import socket
import sys

from larkcrank.config.sidecar import Config, ConfigError, load
from larkcrank.program.log import Log
from larkcrank.program.sidecar import Sidecar
from larkcrank.transport.listener import PassedSocketError, adopt


async def _run(config: Config, log: Log, passed: socket.socket | None) -> None:
    await Sidecar(config, log, lambda: load(os.environ, again=True), passed).run()


def serve() -> int:
    # A file that is replaced while we start is read again as soon as that can be done.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    try:
        config = load(os.environ)
        passed = None if config.passed is None else adopt(config.passed)
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


def main() -> int:
    if len(sys.argv) > 1:  # the command line's libraries are no burden on a sidecar's start
        from larkcrank.command.main import main as command

        command(prog_name="larkcrank")
    return serve()


if __name__ == "__main__":
    sys.exit(main())
