"""The `larkcrank` command line. `python -m larkcrank` without arguments does not import it."""
