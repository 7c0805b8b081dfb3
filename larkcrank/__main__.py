"""`python -m larkcrank`: without arguments, runs one sidecar, configured by PROXY_CONFIG.

With arguments, runs the command line; with `tier` as the first argument, runs a tier.
"""

import signal
import sys


def main() -> int:
    if sys.argv[1:2] == ["tier"]:
        from larkcrank.tiers.program import main as run_tier

        return run_tier(sys.argv[2:])
    if len(sys.argv) > 1:
        # Imported here, so that a sidecar starts without loading the libraries of the command line.
        from larkcrank.command.main import main as run_command

        run_command(prog_name="larkcrank")
    # By default SIGHUP ends a process, and the import below takes time, as it loads most of the program.
    # A SIGHUP that arrives while blocked causes a reload as soon as `Sidecar.run` has installed its handler.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    from larkcrank.program.start import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
