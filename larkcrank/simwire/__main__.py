"""`python -m larkcrank.simwire`: runs balancers for the simulator over standard input and output."""

import gc
import sys

from larkcrank.simwire.codec import WireError
from larkcrank.simwire.host import serve


def main() -> int:
    """Serve the simulator until the input ends. Returns the exit code: 0, or 2 if the input is malformed."""
    gc.freeze()  # excludes the objects made by the imports from garbage collection
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"larkcrank: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
