"""Tests need nothing but this repository and free loopback ports."""

from hypothesis import settings

# The same examples every time: a verdict must not depend on the day.
settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")
