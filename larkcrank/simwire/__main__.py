"""`python -m larkcrank.simwire`: the decisions on the simulator's wire, standard input to output."""

import gc
import sys

from larkcrank.simwire.codec import WireError
from larkcrank.simwire.host import serve


def main() -> int:
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"larkcrank: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
