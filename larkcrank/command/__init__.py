"""The command line. The sidecar itself needs none of it: `python -m larkcrank` alone serves."""
