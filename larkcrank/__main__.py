"""`python -m larkcrank`: one sidecar, configured by PROXY_CONFIG; with words, the command line, or a tier."""

import signal
import sys


def main() -> int:
    if sys.argv[1:2] == ["tier"]:
        from larkcrank.tiers.program import main as tier

        return tier(sys.argv[2:])
    if len(sys.argv) > 1:  # the command line's libraries are no burden on a sidecar's start
        from larkcrank.command.main import main as command

        command(prog_name="larkcrank")
    # Left to itself the signal ends a process, and what follows loads most of the program: a file that is
    # replaced meanwhile is read again as soon as that can be done.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    from larkcrank.program.start import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
